package entryvm

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pearmoor/internal/discovery"
)

// fleet is the leaves of a tier, whose crashes it counts by the path that caused them.
type fleet struct {
	t     *testing.T
	deals atomic.Int64 // incarnations and signatures

	mu     sync.Mutex
	leaves []*fleetLeaf
	third  map[string]time.Time       // by path: when it had crashed three leaves
	ends   map[string]int             // by path
	late   map[string]map[string]bool // by path: attempts that reached leaves knownWithin after that
}

// fleetLeaf is a leaf at one address, over all its incarnations.
type fleetLeaf struct {
	f                     *fleet
	service, addr, domain string

	mu  sync.Mutex
	id  string
	srv *http.Server
}

// fatal is what a path ends in that crashes the leaves that run it.
const fatal = "fatal"

func newFleet(t *testing.T) *fleet {
	f := &fleet{t: t, third: map[string]time.Time{}, ends: map[string]int{}, late: map[string]map[string]bool{}}
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
	l.id = fmt.Sprintf("i-%d", l.f.deals.Add(1))
	id := l.id
	l.srv = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { l.serve(w, r, id) })}
	go func(srv *http.Server) { _ = srv.Serve(lis) }(l.srv)
}

// crash ends the leaf at once and starts it again after crashDown.
func (l *fleetLeaf) crash(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.id != id {
		return
	}
	l.id = ""
	_ = l.srv.Close()
	time.AfterFunc(crashDown, func() {
		for {
			lis, err := net.Listen("tcp", l.addr)
			if err == nil {
				l.start(lis)
				return
			}
			time.Sleep(crashDown / 10)
		}
	})
}

func (l *fleetLeaf) serve(w http.ResponseWriter, r *http.Request, id string) {
	w.Header().Set(crashDialect.RequestID, r.Header.Get(crashDialect.RequestID))
	if r.Header.Get(crashDialect.LeafID) != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if strings.HasSuffix(r.URL.Path, fatal) {
		l.f.reached(r)
		time.Sleep(5 * time.Millisecond)
		l.f.ended(r.URL.Path)
		l.crash(id)
		panic(http.ErrAbortHandler)
	}
	time.Sleep(2 * time.Millisecond)
	w.Header().Set(crashDialect.Signature, fmt.Sprintf("s%d", l.f.deals.Add(1)))
	_, _ = fmt.Fprintf(w, "%016d", l.f.deals.Add(1))
}

// reached counts an attempt that reaches a leaf after everybody has had time to know of it.
func (f *fleet) reached(r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	path := r.URL.Path
	if third, ok := f.third[path]; ok && time.Since(third) > knownWithin {
		if f.late[path] == nil {
			f.late[path] = map[string]bool{}
		}
		f.late[path][r.Header.Get(crashDialect.RequestID)] = true
	}
}

func (f *fleet) ended(path string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ends[path]++; f.ends[path] == 3 {
		f.third[path] = time.Now()
	}
}

func (f *fleet) endsOf(path string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ends[path]
}

func (f *fleet) checkRetries(path string) {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.t.Logf("%s: %d leaves ended, %d attempts reached leaves later than %v after the third", path, f.ends[path], len(f.late[path]), knownWithin)
	if n := len(f.late[path]); n > mostRetries {
		f.t.Errorf("%s: %d attempts reached leaves later than %v after three had ended under it, at most %d may", path, n, knownWithin, mostRetries)
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

// crashSome crashes the leaves that pick chooses.
func (f *fleet) crashSome(pick func(*fleetLeaf) bool) {
	for _, l := range f.leaves {
		l.mu.Lock()
		id := l.id
		l.mu.Unlock()
		if id != "" && pick(l) {
			l.crash(id)
		}
	}
}
