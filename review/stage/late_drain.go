//go:build reviewstage

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	letterHost   = "pupu76.example"
	letterPrefix = "/timi402/"
	letterWait   = 8 * time.Second // the deadline of the class on the pages
	letterBytes  = 120_000
	letterFirst  = 80_000 // bytes that a leaf has at once
	letterTime   = 2800 * time.Millisecond
	letterCount  = 6
	// lateFrom and lateTo are when the requests are sent, after the SIGTERM. The list of addresses
	// that the client got before it holds for longer.
	lateFrom = 3100 * time.Millisecond
	lateTo   = 3500 * time.Millisecond
	graceS   = 6
)

// answerLetter sends a long answer in two pieces, as a leaf that reads it from a slow disk.
func answerLetter(l *leaf, w http.ResponseWriter, r *http.Request, a arrival) {
	w.Header().Set("Content-Length", strconv.Itoa(letterBytes))
	_, _ = w.Write(make([]byte, letterFirst))
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
	select {
	case <-time.After(letterTime):
	case <-r.Context().Done():
		l.stage.note("leaf %s: the connection of request %s was closed after %.3f s of work", l.id, a.id, time.Since(a.at).Seconds())
		return
	}
	_, _ = w.Write(make([]byte, letterBytes-letterFirst))
}

// playLateDrain stops a machine as planned and sends it requests whose leaves need 2.8 s, a bit
// later than 3 s after the SIGTERM, while the directory's list still holds. Each that is read and
// passed on to a leaf must get a complete answer.
func playLateDrain(s *stage) (bool, error) {
	for z := range machineCount {
		if _, err := s.startLeaf("ledger", zone(z), answerLetter); err != nil {
			return false, err
		}
	}
	if err := s.startMachines(); err != nil {
		return false, err
	}
	conf := map[string]any{
		"version": 7, "services": []any{service("ledger")}, "limits": limits(),
		"routes": []any{map[string]any{
			"name": "r-letters", "host": letterHost, wire["prefix"]: letterPrefix, "type": "idempotent", "timeout-ms": letterWait.Milliseconds(),
			wire["aim"]: 4000, "priority": 2, "service": "ledger", "max-attempts": 2,
		}},
	}
	if err := s.put(conf, 20*time.Second); err != nil {
		return false, err
	}
	if err := s.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second) // calm before the planned work
	m := s.machines[0]
	edge := s.addr(0, s.ports.edge)
	ttl, err := s.lookUp(edge)
	if err != nil {
		return false, err
	}
	s.note("client: the directory names %s and lets clients keep the list for %v", edge, ttl)
	start := time.Now()
	if s.trouble {
		m.signal(syscall.SIGTERM)
		time.AfterFunc(graceS*time.Second, m.killAfterGrace)
	}
	if ttl < lateTo {
		return false, fmt.Errorf("the list holds for %v only", ttl)
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	lost, complete, refused := 0, 0, 0
	for k := range letterCount {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Until(start.Add(lateFrom + time.Duration(k)*(lateTo-lateFrom)/letterCount)))
			id, sentAt := newID(), time.Since(start)
			connected, status, n, err := fetchLetter(edge, id)
			s.note("client: request %s sent %.3f s after the SIGTERM: connected %v, status %d, %d bytes, ended after %.3f s, %v",
				id, sentAt.Seconds(), connected, status, n, time.Since(start).Seconds(), err)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case !connected:
				refused++
			case err == nil:
				complete++
			case s.reached(id):
				lost++
				s.note("LOST: request %s was passed on to a leaf, and its connection ended without a complete answer", id)
			}
		}()
	}
	wg.Wait()
	s.note("%d requests: %d not connected, %d answered completely, %d passed on and cut", letterCount, refused, complete, lost)
	if !s.trouble && complete == 0 {
		return false, fmt.Errorf("no request was answered")
	}
	return lost > 0, nil
}

// reached reports whether a leaf has read the request.
func (s *stage) reached(id string) bool {
	for _, a := range s.allArrivals() {
		if a.id == id {
			return true
		}
	}
	return false
}

// lookUp asks the first machine's directory and returns how long the list may be kept, if it
// names the address.
func (s *stage) lookUp(edge string) (time.Duration, error) {
	resp, err := http.Get("http://" + s.addr(0, s.ports.directory) + "/lookup?name=" + letterHost + "&region=" + region + "&zone=" + zone(0))
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	var list struct {
		Addrs []string `json:"addrs"`
		TTL   float64  `json:"ttl_s"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&list); err != nil {
		return 0, err
	}
	for _, a := range list.Addrs {
		if a == edge {
			return time.Duration(list.TTL * float64(time.Second)), nil
		}
	}
	return 0, fmt.Errorf("the directory does not name %s but %v", edge, list.Addrs)
}

// fetchLetter sends one request on a new connection and reads its answer. err is nil if the
// answer is complete.
func fetchLetter(edge, id string) (connected bool, status, n int, err error) {
	client := &http.Client{Timeout: letterWait, Transport: &http.Transport{
		DisableKeepAlives: true, DisableCompression: true,
		Dial: func(network, addr string) (net.Conn, error) {
			c, err := net.DialTimeout(network, addr, time.Second)
			connected = err == nil
			return c, err
		},
	}}
	req, err := http.NewRequest(http.MethodGet, "http://"+edge+letterPrefix+"2f", nil)
	if err != nil {
		return false, 0, 0, err
	}
	req.Host = letterHost
	req.Header.Set(wire["id"], id)
	req.Header.Set(wire["wait"], strconv.FormatInt(letterWait.Milliseconds(), 10))
	resp, err := client.Do(req)
	if err != nil {
		return connected, 0, 0, err
	}
	defer resp.Body.Close()
	read, err := io.Copy(io.Discard, resp.Body)
	return connected, resp.StatusCode, int(read), err
}
