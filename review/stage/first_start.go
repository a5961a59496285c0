//go:build reviewstage

package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

const (
	// startSpread is how much later than the others the last machine starts; at most 0.3 s.
	startSpread = 250 * time.Millisecond
	// diskLostAt is when a machine loses power and its disk, diskLostFor how long it is dark.
	diskLostAt  = 500 * time.Millisecond
	diskLostFor = 3 * time.Second
	lostMachine = 1 // the second one
	// ackLimit is how long after the machine's return the first configuration is waited for:
	// catch-up-s, recover-s and ack-ms together, and as much again.
	ackLimit = 2 * (4 + 12 + 5) * time.Second
	// readLimit is how long the operator reads the configuration back, and requests are sent.
	readLimit = 5 * time.Second
)

func answerShort(_ *leaf, w http.ResponseWriter, _ *http.Request, _ arrival) {
	_, _ = w.Write([]byte("done"))
}

// playFirstStart starts the system for the first time. With trouble one of three machines loses its
// disk half a second after the start, and is back 3 s later. The system must take the first
// configuration, give it back, and serve requests.
func playFirstStart(s *stage) (bool, error) {
	for z := range machineCount {
		if _, err := s.startLeaf("ledger", zone(z), answerShort); err != nil {
			return false, err
		}
	}
	begin := time.Now()
	for i := range machineCount {
		m := &machine{stage: s, index: i, disk: true}
		s.mu.Lock()
		s.machines = append(s.machines, m)
		s.mu.Unlock()
		if i == machineCount-1 {
			time.Sleep(time.Until(begin.Add(startSpread)))
		}
		if err := m.start(true); err != nil {
			return false, err
		}
		s.note("machine %d starts for the first time", i+1)
	}
	if s.trouble {
		time.Sleep(time.Until(begin.Add(diskLostAt)))
		m := s.machines[lostMachine]
		m.signal(syscall.SIGKILL)
		<-m.done
		if err := os.RemoveAll(filepath.Join(s.dir, fmt.Sprint("data-", lostMachine))); err != nil {
			return false, err
		}
		s.note("machine %d has lost its disk", lostMachine+1)
	}
	time.Sleep(time.Until(begin.Add(diskLostAt + diskLostFor)))
	if s.trouble {
		if err := s.machines[lostMachine].start(false); err != nil {
			return false, err
		}
		s.note("machine %d is back with an empty disk, bootstrap is false", lostMachine+1)
	}
	conf := map[string]any{
		"version": 7, "services": []any{service("ledger")}, "limits": limits(),
		"routes": []any{map[string]any{
			"name": "r-ledger", "host": letterHost, "path-prefix": letterPrefix, "type": "idempotent", "timeout-ms": 4000,
			"target-latency-ms": 400, "priority": 2, "service": "ledger", "max-attempts": 2,
		}},
	}
	acknowledged := s.put(conf, ackLimit)
	if acknowledged != nil {
		s.note("operator: %v", acknowledged)
	}
	time.Sleep(3 * time.Second) // config-apply-ms
	read, answers := s.readBack(), map[int]int{}
	for k := range 30 {
		answers[s.fetchShort(k%machineCount)]++
		time.Sleep(50 * time.Millisecond)
	}
	s.note("acknowledged: %v; read back: %v; answers to 30 requests by status: %v", acknowledged == nil, read, answers)
	if acknowledged != nil && !read {
		s.note("CONFIG: all machines run, and no configuration is ever taken; read back, none comes")
		return true, nil
	}
	return !read, nil
}

// readBack reads the configuration from one machine after the other and reports whether it comes.
func (s *stage) readBack() bool {
	client := &http.Client{Timeout: time.Second}
	last := ""
	for end := time.Now().Add(readLimit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for i := range s.size() {
			resp, err := client.Get("http://" + s.addr(i, s.ports.control) + "/configuration/get")
			if err != nil {
				last = err.Error()
				continue
			}
			body, _ := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return true
			}
			last = fmt.Sprint(resp.StatusCode, " ", string(body))
		}
	}
	s.note("operator: no configuration read: %s", last)
	return false
}

// fetchShort sends a request to a machine and returns the status of the answer, 0 if there is none.
func (s *stage) fetchShort(machine int) int {
	req, err := http.NewRequest(http.MethodGet, "http://"+s.addr(machine, s.ports.edge)+letterPrefix+"2f", nil)
	if err != nil {
		return 0
	}
	req.Host = letterHost
	req.Header.Set("Attempt-Id", newID())
	req.Header.Set("Deadline-Ms", strconv.Itoa(1000))
	resp, err := (&http.Client{Timeout: time.Second}).Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}
