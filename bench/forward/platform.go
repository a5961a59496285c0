package main

import (
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"pearmoor/internal/load"
	"pearmoor/platform/standin"
)

const (
	listLag   = time.Second // delay until a change of the leaves shows in the list
	listPage  = 20          // rows
	region    = "valley"
	host      = "forward.example"
	seriesGap = 500 * time.Millisecond
)

var domains = []string{"hall-1", "hall-2", "hall-3"}

// simulatedPlatform simulates the platform around the tier: the leaves and the leaf list.
type platformSide struct {
	seed     uint64
	began    time.Time
	nextLeaf atomic.Int64
	stamps   atomic.Int64
	server   *http.Server
	addr     string

	mu       sync.Mutex
	leaves   []*leaf
	shown    [][]standin.Leaf // recent states of the leaf list, newest last
	shownAt  []time.Time
	arrivals map[string]int // by service and request id
	extra    int
	firsts   int
	series   map[*leaf]*load.LeafSeries
}

func newPlatformSide(seed uint64) (*platformSide, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &platformSide{
		seed: seed, began: time.Now(), addr: lis.Addr().String(),
		arrivals: make(map[string]int), series: make(map[*leaf]*load.LeafSeries),
	}
	mux := http.NewServeMux()
	mux.HandleFunc(standin.ListPath, p.serveList)
	p.server = &http.Server{Handler: mux}
	go func() { _ = p.server.Serve(lis) }()
	return p, nil
}

func (p *platformSide) add(l *leaf) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaves = append(p.leaves, l)
	p.series[l] = &load.LeafSeries{Name: l.id, Service: l.service, Slots: leafSlots}
}

// removeLeaf stops a leaf. The list still shows it for listLag.
func (p *platformSide) drop(l *leaf) {
	p.mu.Lock()
	p.leaves = slices.DeleteFunc(p.leaves, func(o *leaf) bool { return o == l })
	p.mu.Unlock()
	l.end()
}

// of returns the leaves of a service that are well.
func (p *platformSide) of(service string) []*leaf {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*leaf
	for _, l := range p.leaves {
		if l.service == service && !l.leaving.Load() {
			out = append(out, l)
		}
	}
	return out
}

// countSend counts a request at a leaf. A further one with the same id for the same service counts as extra.
func (p *platformSide) arrived(service, id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := service + " " + id
	p.arrivals[key]++
	if p.arrivals[key] > 1 {
		p.extra++
	} else {
		p.firsts++
	}
}

// update records the state of the leaf list and the leaves' requests in flight
// periodically until done is closed.
func (p *platformSide) watch(done <-chan struct{}) {
	ticker := time.NewTicker(listLag / 10)
	defer ticker.Stop()
	sampled := time.Now()
	for {
		p.snapshot()
		if time.Since(sampled) >= seriesGap {
			sampled = time.Now()
			p.sample()
		}
		select {
		case <-done:
			return
		case <-ticker.C:
		}
	}
}

func (p *platformSide) snapshot() {
	p.mu.Lock()
	defer p.mu.Unlock()
	rows := make([]standin.Leaf, len(p.leaves))
	for i, l := range p.leaves {
		rows[i] = l.row()
	}
	p.shown, p.shownAt = append(p.shown, rows), append(p.shownAt, time.Now())
	for len(p.shownAt) > 1 && time.Since(p.shownAt[1]) > listLag {
		p.shown, p.shownAt = p.shown[1:], p.shownAt[1:]
	}
}

func (p *platformSide) sample() {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := time.Since(p.began).Seconds()
	for _, l := range p.leaves {
		s := p.series[l]
		s.Most, s.At = append(s.Most, int(l.most.Swap(l.running.Load()+l.waiting.Load()))), append(s.At, at)
	}
}

// serveList serves a page of the leaf list as it was listLag ago.
func (p *platformSide) serveList(w http.ResponseWriter, r *http.Request) {
	from := 0
	if token := standin.PageToken(r.URL.Query()); token != "" {
		var err error
		if from, err = strconv.Atoi(token); err != nil || from < 0 {
			http.Error(w, "no such page", http.StatusBadRequest)
			return
		}
	}
	p.mu.Lock()
	var rows []standin.Leaf
	if len(p.shown) > 0 {
		rows = p.shown[0]
	}
	p.mu.Unlock()
	from = min(from, len(rows))
	to, next := min(from+listPage, len(rows)), ""
	if to < len(rows) {
		next = strconv.Itoa(to)
	}
	text, err := standin.Page(rows[from:to], next)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(text)
}

func (p *platformSide) close() {
	p.mu.Lock()
	leaves := p.leaves
	p.mu.Unlock()
	for _, l := range leaves {
		l.end()
	}
	_ = p.server.Close()
}
