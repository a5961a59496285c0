//go:build reviewstage

package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// readLimit is how long the operator reads the configuration back at a time.
const readLimit = 5 * time.Second

func answerShort(_ *leaf, w http.ResponseWriter, _ *http.Request, _ arrival) {
	_, _ = w.Write([]byte("done"))
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
	req.Header.Set(wire["id"], newID())
	req.Header.Set(wire["wait"], strconv.Itoa(1000))
	resp, err := (&http.Client{Timeout: time.Second}).Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}
