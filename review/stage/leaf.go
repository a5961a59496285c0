//go:build reviewstage

package main

import (
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const leafSlots = 2

// arrival is a request as a leaf has read it.
type arrival struct {
	leaf, service, id, method, uri string
	length                         int
	sum                            [32]byte
	err                            error // the body did not arrive whole
	at                             time.Time
}

// leaf is a server of a service. It answers as the pages say.
type leaf struct {
	stage             *stage
	id, service, zone string
	addr              string
	answer            func(l *leaf, w http.ResponseWriter, r *http.Request, a arrival)

	mu       sync.Mutex
	arrivals []arrival
}

// startLeaf starts a leaf at an address of its own.
func (s *stage) startLeaf(service, zone string, answer func(l *leaf, w http.ResponseWriter, r *http.Request, a arrival)) (*leaf, error) {
	s.mu.Lock()
	n := len(s.leaves)
	s.mu.Unlock()
	lis, err := net.Listen("tcp", fmt.Sprintf("%s%d:0", s.net, 110+n))
	if err != nil {
		return nil, err
	}
	l := &leaf{
		stage: s, id: fmt.Sprintf("i-%08x", rand.Uint32()), service: service, zone: zone, addr: lis.Addr().String(), answer: answer,
	}
	s.mu.Lock()
	s.leaves = append(s.leaves, l)
	s.mu.Unlock()
	go func() { _ = (&http.Server{Handler: l, IdleTimeout: 30 * time.Second}).Serve(lis) }()
	return l, nil
}

// ServeHTTP implements http.Handler.
func (l *leaf) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(wire["load"], "1,0,"+strconv.Itoa(leafSlots))
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", l.id)
		return
	}
	id := r.Header.Get(wire["id"])
	w.Header().Set(wire["id"], id)
	switch target := r.Header.Get(wire["target"]); {
	case target != "" && target != l.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case id == "":
		w.Header().Set(wire["notRun"], "no id")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	a := arrival{
		leaf: l.id, service: l.service, id: id, method: r.Method, uri: r.RequestURI, length: len(body), sum: sha256.Sum256(body), err: err, at: time.Now(),
	}
	l.mu.Lock()
	l.arrivals = append(l.arrivals, a)
	l.mu.Unlock()
	if err != nil {
		l.stage.note("leaf %s of %s: request %s broke off after %d bytes of its body, it did not run: %v", l.id, l.service, id, len(body), err)
		return
	}
	w.Header().Set(wire["stamp"], fmt.Sprintf("%s.%08x", l.id[2:], rand.Uint32()))
	l.answer(l, w, r, a)
}

// answerRecords answers with a few records of a shard.
func answerRecords(l *leaf, w http.ResponseWriter, _ *http.Request, _ arrival) {
	var out []byte
	for range 12 {
		out = append(out, fmt.Sprintf("%016x", rand.Uint64())...)
	}
	_, _ = w.Write(out)
}

// allArrivals returns what all leaves have read so far.
func (s *stage) allArrivals() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []arrival
	for _, l := range s.leaves {
		l.mu.Lock()
		out = append(out, l.arrivals...)
		l.mu.Unlock()
	}
	return out
}
