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
	listLag        = time.Second // delay until a change of the leaves shows in the list
	listPageSize   = 20          // rows
	region         = "valley"
	host           = "forward.example"
	sampleInterval = 500 * time.Millisecond
)

var domains = []string{"hall-1", "hall-2", "hall-3"}

// simulatedPlatform simulates the platform around the tier: the leaves and the leaf list.
type simulatedPlatform struct {
	seed           uint64
	startedAt      time.Time
	nextLeaf       atomic.Int64
	signatureCount atomic.Int64
	server         *http.Server
	addr           string

	mu         sync.Mutex
	leaves     []*leaf
	listStates [][]standin.Leaf // recent states of the leaf list, newest last
	listTimes  []time.Time
	sends      map[string]int // by service and request id
	extraSends int
	firstSends int
	series     map[*leaf]*load.LeafSeries

	evacuation evacuationStats
}

func newSimulatedPlatform(seed uint64) (*simulatedPlatform, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &simulatedPlatform{
		seed: seed, startedAt: time.Now(), addr: lis.Addr().String(),
		sends: make(map[string]int), series: make(map[*leaf]*load.LeafSeries),
	}
	mux := http.NewServeMux()
	mux.HandleFunc(standin.ListPath, p.serveList)
	p.server = &http.Server{Handler: mux}
	go func() { _ = p.server.Serve(lis) }()
	return p, nil
}

func (p *simulatedPlatform) addLeaf(l *leaf) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaves = append(p.leaves, l)
	p.series[l] = &load.LeafSeries{Name: l.id, Service: l.service, Slots: leafSlots}
}

// removeLeaf stops a leaf. The list still shows it for listLag.
func (p *simulatedPlatform) removeLeaf(l *leaf) {
	p.mu.Lock()
	p.leaves = slices.DeleteFunc(p.leaves, func(o *leaf) bool { return o == l })
	p.mu.Unlock()
	l.stop()
}

// leavesOf returns the leaves of a service that are not leaving.
func (p *simulatedPlatform) leavesOf(service string) []*leaf {
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
func (p *simulatedPlatform) countSend(service, id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := service + " " + id
	p.sends[key]++
	if p.sends[key] > 1 {
		p.extraSends++
	} else {
		p.firstSends++
	}
}

// recordUntil records the state of the leaf list and the leaves' requests in flight
// periodically until done is closed.
func (p *simulatedPlatform) recordUntil(done <-chan struct{}) {
	ticker := time.NewTicker(listLag / 10)
	defer ticker.Stop()
	sampled := time.Now()
	for {
		p.recordList()
		if time.Since(sampled) >= sampleInterval {
			sampled = time.Now()
			p.sampleLeaves()
		}
		select {
		case <-done:
			return
		case <-ticker.C:
		}
	}
}

func (p *simulatedPlatform) recordList() {
	p.mu.Lock()
	defer p.mu.Unlock()
	rows := make([]standin.Leaf, len(p.leaves))
	for i, l := range p.leaves {
		rows[i] = l.listEntry()
	}
	p.listStates, p.listTimes = append(p.listStates, rows), append(p.listTimes, time.Now())
	for len(p.listTimes) > 1 && time.Since(p.listTimes[1]) > listLag {
		p.listStates, p.listTimes = p.listStates[1:], p.listTimes[1:]
	}
}

func (p *simulatedPlatform) sampleLeaves() {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := time.Since(p.startedAt).Seconds()
	for _, l := range p.leaves {
		s := p.series[l]
		s.Peaks, s.EndTimes = append(s.Peaks, int(l.maxInFlight.Swap(l.running.Load()+l.waiting.Load()))), append(s.EndTimes, at)
	}
}

// serveList serves a page of the leaf list as it was listLag ago.
func (p *simulatedPlatform) serveList(w http.ResponseWriter, r *http.Request) {
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
	if len(p.listStates) > 0 {
		rows = p.listStates[0]
	}
	p.mu.Unlock()
	from = min(from, len(rows))
	to, next := min(from+listPageSize, len(rows)), ""
	if to < len(rows) {
		next = strconv.Itoa(to)
	}
	text, err := standin.EncodePage(rows[from:to], next)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(text)
}

func (p *simulatedPlatform) close() {
	p.mu.Lock()
	leaves := p.leaves
	p.mu.Unlock()
	for _, l := range leaves {
		l.stop()
	}
	_ = p.server.Close()
}
