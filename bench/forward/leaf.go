package main

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"pearmoor/platform"
	"pearmoor/platform/standin"
)

// Properties of the simulated leaves: two slots and a short queue, periodic pauses as in
// garbage collection, and a work time that differs by up to a third either way.
const (
	leafSlots   = 2
	leafQueue   = 8
	leafConns   = 28
	connectCost = 6 * time.Millisecond // a new connection occupies a slot for this time
	pauseEvery  = 3600 * time.Millisecond
	pauseFor    = 150 * time.Millisecond
	speedSpread = 0.33
	workSpread  = 0.35 // sigma of the lognormal distribution of work time
	coldFor     = 2 * time.Second
	coldFactor  = 3.0
)

var dialect = platform.Dialect()

// fault is a fault that is injected into a leaf.
type fault int32

const (
	sound   fault = iota
	dark          // accepts connections but never replies
	sheds         // rejects half of the requests
	loses         // runs requests but loses a tenth of the answers
	repeats       // sends a tenth of the answers twice
	slow          // takes four times as long for each request
)

// leaf is a simulated leaf. A leaf that is started again gets a new id.
type leaf struct {
	p       *platformSide
	id      string
	service string
	domain  string
	lis     net.Listener
	server  *http.Server
	speed   float64
	started time.Time
	offset  time.Duration // of the pauses, so that leaves do not pause together
	slots   chan struct{}
	waiting atomic.Int32
	running atomic.Int32
	most    atomic.Int32 // most running and waiting requests since the last sample
	opened  atomic.Int64
	open    atomic.Int32
	fault   atomic.Int32
	leaving atomic.Bool
	cold    bool

	mu  sync.Mutex
	rng *rand.Rand
}

// startLeaf starts a leaf at addr, or on a free port if addr is empty. A cold leaf is
// slower during warmUpTime.
func (p *platformSide) startLeaf(service, addr string, cold bool) (*leaf, error) {
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	lis, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	n := p.nextLeaf.Add(1)
	rng := rand.New(rand.NewPCG(p.seed, uint64(n)))
	l := &leaf{
		p: p, id: fmt.Sprintf("i-%d", n), service: service, domain: domains[int(n)%len(domains)], lis: lis, rng: rng,
		speed: 1 + speedSpread*(2*rng.Float64()-1), started: time.Now(), offset: time.Duration(rng.Int64N(int64(pauseEvery))),
		slots: make(chan struct{}, leafSlots), cold: cold,
	}
	l.server = &http.Server{Handler: l, ConnState: l.connState}
	go func() { _ = l.server.Serve(lis) }()
	p.add(l)
	return l, nil
}

func (l *leaf) connState(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		l.opened.Add(1)
		if l.open.Add(1) > leafConns {
			_ = c.Close()
			return
		}
		l.slots <- struct{}{} // opening a connection occupies a slot for connSetupTime
		time.Sleep(connectCost)
		<-l.slots
	case http.StateClosed, http.StateHijacked:
		l.open.Add(-1)
	}
}

// ServeHTTP handles one request from the tier.
func (l *leaf) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(dialect.RequestID)
	if r.Header.Get(dialect.LeafID) != l.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set(dialect.RequestID, id)
	l.p.arrived(l.service, id)
	behave := fault(l.fault.Load())
	if behave == dark {
		<-r.Context().Done()
		return
	}
	if int(l.waiting.Add(1)) > leafQueue || behave == sheds && l.chance(0.5) {
		l.waiting.Add(-1)
		l.refuse(w)
		return
	}
	l.note()
	select {
	case l.slots <- struct{}{}:
		l.waiting.Add(-1)
	case <-r.Context().Done():
		l.waiting.Add(-1)
		return
	}
	l.running.Add(1)
	l.note()
	done := l.work(r)
	l.running.Add(-1)
	<-l.slots
	if done {
		l.answer(w, id, behave)
	}
}

func (l *leaf) refuse(w http.ResponseWriter) {
	w.Header().Set(dialect.NotRun, "full")
	w.Header().Set(dialect.Load, l.load())
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (l *leaf) load() string {
	return fmt.Sprintf("%d,%d,%d", l.running.Load(), l.waiting.Load(), leafSlots)
}

// recordInFlight updates the maximum of running and waiting requests.
func (l *leaf) note() {
	now := l.running.Load() + l.waiting.Load()
	for was := l.most.Load(); now > was && !l.most.CompareAndSwap(was, now); was = l.most.Load() {
	}
}

func (l *leaf) chance(share float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.Float64() < share
}

// doWork waits for the work time of the request. It returns false if the sender disconnected first.
func (l *leaf) work(r *http.Request) bool {
	l.mu.Lock()
	factor := math.Exp(workSpread*l.rng.NormFloat64()) * l.speed
	l.mu.Unlock()
	if l.cold && time.Since(l.started) < coldFor {
		factor *= coldFactor
	}
	if fault(l.fault.Load()) == slow {
		factor *= 4
	}
	end := time.Now().Add(time.Duration(factor * float64(workOf(r.URL.Path))))
	end = end.Add(l.pausedAt(end))
	select {
	case <-time.After(time.Until(end)):
		return true
	case <-r.Context().Done():
		return false
	}
}

// pauseLeft returns how much of a pause is left at the given time.
func (l *leaf) pausedAt(at time.Time) time.Duration {
	into := (at.Sub(l.p.began) + l.offset) % pauseEvery
	return max(0, pauseFor-into)
}

func (l *leaf) answer(w http.ResponseWriter, id string, behave fault) {
	stamp := strings.Join([]string{l.service, id, strconv.FormatInt(l.p.stamps.Add(1), 10)}, "/")
	text := standin.Part(l.service, id)
	switch {
	case behave == loses && l.chance(0.1):
		l.hijack(w, nil)
	case behave == repeats && l.chance(0.1):
		one := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", dialect.RequestID, id, dialect.Signature, stamp, len(text), text)
		l.hijack(w, []string{one, one})
	default:
		w.Header().Set(dialect.Signature, stamp)
		w.Header().Set(dialect.Load, l.load())
		_, _ = io.WriteString(w, text)
	}
}

// writeRaw writes raw HTTP responses 10 ms apart and closes the connection.
func (l *leaf) hijack(w http.ResponseWriter, answers []string) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	for _, a := range answers {
		_, _ = io.WriteString(c, a)
		time.Sleep(10 * time.Millisecond)
	}
}

// stop closes the leaf's server, so that its address can be reused.
func (l *leaf) end() { _ = l.server.Close() }

func (l *leaf) row() standin.Leaf {
	state, warm := standin.Ready, 0
	if l.leaving.Load() {
		state = standin.Leaving
	}
	if l.cold {
		warm = int(max(0, coldFor-time.Since(l.started)).Milliseconds())
	}
	return standin.Leaf{ID: l.id, Service: l.service, Addr: l.lis.Addr().String(), Domain: l.domain, Slots: leafSlots, State: state, WarmInMS: warm}
}
