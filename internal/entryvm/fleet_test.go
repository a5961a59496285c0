package entryvm

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pearmoor/internal/discovery"
)

// fleet runs the leaves of a tier and counts their crashes by the path of the request that
// caused them.
type fleet struct {
	t      *testing.T
	nextID atomic.Int64 // counter for incarnations, signatures and bodies

	mu           sync.Mutex
	leaves       []*fleetLeaf
	thirdCrash   map[string]time.Time       // by path: time of the third crash
	crashes      map[string]int             // by path
	runs         map[string]int             // of paths with halvesSuffix, by request id
	lateAttempts map[string]map[string]bool // by path: attempts that reached leaves more than detectionTime after that
}

// fleetLeaf is a leaf at a fixed address through all its incarnations.
type fleetLeaf struct {
	f                     *fleet
	service, addr, domain string
	requests              atomic.Int64

	mu  sync.Mutex
	id  string
	srv *http.Server
}

const (
	// crashSuffix is the suffix of paths that crash the leaves that run them.
	crashSuffix = "fatal"
	// slowSuffix is the suffix of paths that leaves take slowTime to answer.
	slowSuffix = "slow"
	slowTime   = 400 * time.Millisecond
	// halvesSuffix is the suffix of paths to which leaves send a long answer, the second half
	// halvesTime after the first.
	halvesSuffix = "halves"
	halvesTime   = 1500 * time.Millisecond
	halfBytes    = 80_000
)

func newFleet(t *testing.T) *fleet {
	f := &fleet{t: t, thirdCrash: map[string]time.Time{}, crashes: map[string]int{}, runs: map[string]int{}, lateAttempts: map[string]map[string]bool{}}
	for s := range crashShards {
		for d := range 2 {
			f.add(shardName(s), fmt.Sprintf("hall-%d", d))
		}
	}
	for d := range 3 {
		f.add("fetch", fmt.Sprintf("hall-%d", d%2))
	}
	t.Cleanup(func() {
		for _, l := range f.leaves {
			l.mu.Lock()
			srv := l.srv
			l.mu.Unlock()
			_ = srv.Close()
		}
	})
	return f
}

func shardName(s int) string { return fmt.Sprintf("shard-%d", s) }

func (f *fleet) add(service, domain string) {
	lis := listen(f.t)
	l := &fleetLeaf{f: f, service: service, domain: domain, addr: lis.Addr().String()}
	l.start(lis)
	f.leaves = append(f.leaves, l)
}

func (l *fleetLeaf) start(lis net.Listener) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.id = fmt.Sprintf("i-%d", l.f.nextID.Add(1))
	id := l.id
	l.srv = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { l.serve(w, r, id) })}
	go func(srv *http.Server) { _ = srv.Serve(lis) }(l.srv)
}

// crash stops the leaf at once if its incarnation is still id, and starts it again after
// crashDowntime.
func (l *fleetLeaf) crash(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.id != id {
		return
	}
	l.id = ""
	_ = l.srv.Close()
	time.AfterFunc(crashDowntime, func() {
		for {
			lis, err := net.Listen("tcp", l.addr)
			if err == nil {
				l.start(lis)
				return
			}
			time.Sleep(crashDowntime / 10)
		}
	})
}

func (l *fleetLeaf) serve(w http.ResponseWriter, r *http.Request, id string) {
	l.requests.Add(1)
	w.Header().Set(crashDialect.RequestID, r.Header.Get(crashDialect.RequestID))
	if r.Header.Get(crashDialect.LeafID) != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if strings.HasSuffix(r.URL.Path, crashSuffix) {
		l.f.recordAttempt(r)
		time.Sleep(5 * time.Millisecond)
		l.f.recordCrash(r.URL.Path)
		l.crash(id)
		panic(http.ErrAbortHandler)
	}
	if strings.HasSuffix(r.URL.Path, slowSuffix) {
		time.Sleep(slowTime)
	}
	if strings.HasSuffix(r.URL.Path, halvesSuffix) {
		l.serveHalves(w, r)
		return
	}
	time.Sleep(2 * time.Millisecond)
	w.Header().Set(crashDialect.Signature, fmt.Sprintf("s%d", l.f.nextID.Add(1)))
	_, _ = fmt.Fprintf(w, "%016d", l.f.nextID.Add(1))
}

func (l *fleetLeaf) serveHalves(w http.ResponseWriter, r *http.Request) {
	l.f.recordRun(r)
	half := make([]byte, halfBytes)
	w.Header().Set(crashDialect.Signature, fmt.Sprintf("s%d", l.f.nextID.Add(1)))
	w.Header().Set("Content-Length", strconv.Itoa(2*halfBytes))
	_, _ = w.Write(half)
	_ = http.NewResponseController(w).Flush()
	select {
	case <-time.After(halvesTime):
		_, _ = w.Write(half)
	case <-r.Context().Done():
	}
}

func (f *fleet) recordRun(r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs[r.Header.Get(crashDialect.RequestID)]++
}

func (f *fleet) runsOf(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[id]
}

// recordAttempt counts an attempt that reaches a leaf more than detectionTime after the
// third crash.
func (f *fleet) recordAttempt(r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	path := r.URL.Path
	if third, ok := f.thirdCrash[path]; ok && time.Since(third) > detectionTime {
		if f.lateAttempts[path] == nil {
			f.lateAttempts[path] = map[string]bool{}
		}
		f.lateAttempts[path][r.Header.Get(crashDialect.RequestID)] = true
	}
}

func (f *fleet) recordCrash(path string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.crashes[path]++; f.crashes[path] == 3 {
		f.thirdCrash[path] = time.Now()
	}
}

func (f *fleet) crashCount(path string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashes[path]
}

func (f *fleet) checkLateAttempts(path string) {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.t.Logf("%s: %d leaves crashed, %d attempts reached leaves more than %v after the third crash", path, f.crashes[path], len(f.lateAttempts[path]), detectionTime)
	if n := len(f.lateAttempts[path]); n > maxLateAttempts {
		f.t.Errorf("%s: %d attempts reached leaves more than %v after it had crashed three, at most %d may", path, n, detectionTime, maxLateAttempts)
	}
}

// List implements discovery.Source.
func (f *fleet) List(context.Context) (discovery.Listing, error) {
	var out discovery.Listing
	for _, l := range f.leaves {
		l.mu.Lock()
		if l.id != "" {
			out.Leaves = append(out.Leaves, discovery.ListedLeaf{ID: l.id, Service: l.service, Addr: l.addr, Domain: l.domain, Slots: 2})
		}
		l.mu.Unlock()
	}
	return out, nil
}

// crashLeaves crashes the running leaves for which accepts returns true.
func (f *fleet) crashLeaves(accepts func(*fleetLeaf) bool) {
	for _, l := range f.leaves {
		l.mu.Lock()
		id := l.id
		l.mu.Unlock()
		if id != "" && accepts(l) {
			l.crash(id)
		}
	}
}
