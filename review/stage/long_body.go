//go:build reviewstage

package main

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	longBodyShards   = 12
	longBodyRequests = 40
	// Both lengths are within max-body-bytes, which is 262,144.
	longBodyBytes  = 200_000
	shortBodyBytes = 20_000
	pieceBytes     = 8_000
	queryHost      = "pupu76.example"
	queryPrefix    = "/bapu561/"
	queryWait      = 2 * time.Second
	// The second part sends bodies of these lengths, with a trailer after the last chunk.
	longTrailedBytes  = 66_000
	shortTrailedBytes = 20_000
	trailedClients    = 8
	trailedTime       = 25 * time.Second
)

// piecesReader hides the length of a body, so that it is sent in chunks.
type piecesReader struct{ r io.Reader }

func (p piecesReader) Read(b []byte) (int, error) { return p.r.Read(b[:min(len(b), pieceBytes)]) }

// playLongBody sends requests with a body in chunks on a route over four shards. With trouble the
// bodies are long. Every leaf that runs a request must have got the body that its client sent.
func playLongBody(s *stage) (bool, error) {
	var shards []string
	var services []any
	for i := range longBodyShards {
		name := fmt.Sprintf("shard%d", i+1)
		shards, services = append(shards, name), append(services, service(name))
		for z := range 2 {
			if _, err := s.startLeaf(name, zone(z), answerRecords); err != nil {
				return false, err
			}
		}
	}
	if err := s.startMachines(); err != nil {
		return false, err
	}
	conf := map[string]any{
		"version": 7, "services": services, "limits": limits(),
		"routes": []any{map[string]any{
			"name": "r-search", "host": queryHost, wire["prefix"]: queryPrefix, "type": "idempotent", "timeout-ms": queryWait.Milliseconds(),
			wire["aim"]: 500, "priority": 1, "gather": shards, "max-attempts": 2, "top-k": 5, "min-coverage": 0.75,
		}},
	}
	if err := s.put(conf, 20*time.Second); err != nil {
		return false, err
	}
	if err := s.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // the list and the configuration are known everywhere
	length := shortBodyBytes
	if s.trouble {
		length = longBodyBytes
	}
	sent := map[string][32]byte{}
	answers := map[int]int{}
	client := &http.Client{Timeout: queryWait}
	for k := range longBodyRequests {
		id, body := newID(), make([]byte, length)
		for i := range body {
			body[i] = byte('a' + rand.N(26))
		}
		sent[id] = sha256.Sum256(body)
		status, err := s.sendChunked(client, k%machineCount, id, body)
		s.note("client: request %s with a body of %d bytes in chunks to machine %d: status %d, %v", id, length, k%machineCount+1, status, err)
		answers[status]++
	}
	time.Sleep(queryWait)
	ran, changed := 0, 0
	for _, a := range s.allArrivals() {
		if a.err != nil {
			continue
		}
		ran++
		want, known := sent[a.id]
		if !known || a.sum != want || a.method != http.MethodPost {
			changed++
			s.note("UNASKED: leaf %s of %s ran request %s with a body of %d bytes that is not the one its client sent", a.leaf, a.service, a.id, a.length)
		}
	}
	s.note("%d requests; answers by status %v; leaves ran %d, of which %d with another body than was sent", longBodyRequests, answers, ran, changed)
	if answers[0] == longBodyRequests || !s.trouble && ran == 0 {
		return false, fmt.Errorf("no request was answered, or no leaf ran one")
	}
	ended := s.sendTrailed()
	return changed > 0 || ended > 0, nil
}

// sendTrailed sends requests whose bodies in chunks have a trailer, from several clients, until
// a process has ended by itself or the time is over. It returns how many processes have ended.
func (s *stage) sendTrailed() int {
	length := shortTrailedBytes
	if s.trouble {
		length = longTrailedBytes
	}
	var wg sync.WaitGroup
	var answered atomic.Int64
	end := time.Now().Add(trailedTime)
	for w := range trailedClients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			client := &http.Client{Timeout: queryWait, Transport: &http.Transport{}}
			for time.Now().Before(end) && s.endedProcesses() == 0 {
				req, err := http.NewRequest(http.MethodPost, "http://"+s.addr(w%machineCount, s.ports.edge)+queryPrefix+"2f", piecesReader{bytes.NewReader(make([]byte, length))})
				if err != nil {
					return
				}
				req.Host, req.ContentLength = queryHost, -1
				req.Trailer = http.Header{"X-Sum": {"1"}, "X-Part": {"2"}, "X-Count": {"3"}}
				req.Header.Set(wire["id"], newID())
				req.Header.Set(wire["wait"], strconv.FormatInt(queryWait.Milliseconds(), 10))
				resp, err := client.Do(req)
				if err != nil {
					time.Sleep(20 * time.Millisecond)
					continue
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				answered.Add(1)
			}
		}()
	}
	wg.Wait()
	ended := s.endedProcesses()
	s.note("%d clients sent bodies of %d bytes in chunks with a trailer: %d answers, %d processes ended by themselves", trailedClients, length, answered.Load(), ended)
	return ended
}

// endedProcesses returns how many machines have no process any more.
func (s *stage) endedProcesses() int {
	n := 0
	for _, m := range s.machines {
		select {
		case <-m.done:
			n++
		default:
		}
	}
	return n
}

// sendChunked sends a request with a body in chunks and reads the whole answer. The status is 0
// if there was none.
func (s *stage) sendChunked(client *http.Client, machine int, id string, body []byte) (int, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+s.addr(machine, s.ports.edge)+queryPrefix+"2f", piecesReader{bytes.NewReader(body)})
	if err != nil {
		return 0, err
	}
	req.Host = queryHost
	req.ContentLength = -1
	req.Header.Set(wire["id"], id)
	req.Header.Set(wire["wait"], strconv.FormatInt(queryWait.Milliseconds(), 10))
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
