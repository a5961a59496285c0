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
	leafSlots        = 2
	leafQueue        = 8
	leafConns        = 28
	connSetupTime    = 6 * time.Millisecond // a new connection occupies a slot for this time
	pauseInterval    = 3600 * time.Millisecond
	pauseDuration    = 150 * time.Millisecond
	workFactorSpread = 0.33
	workSigma        = 0.35 // sigma of the lognormal distribution of work time
	warmUpTime       = 2 * time.Second
	warmUpFactor     = 3.0
)

var dialect = platform.Dialect()

// fault is a fault that is injected into a leaf.
type fault int32

const (
	noFault         fault = iota
	unresponsive          // accepts connections but never replies
	rejectsRequests       // rejects half of the requests
	losesAnswers          // runs requests but loses a tenth of the answers
	repeatsAnswers        // sends a tenth of the answers twice
	slow                  // takes four times as long for each request
)

// leaf is a simulated leaf. A leaf that is started again gets a new id.
type leaf struct {
	p           *simulatedPlatform
	id          string
	service     string
	domain      string
	lis         net.Listener
	server      *http.Server
	workFactor  float64
	pauseOffset time.Duration // of the pauses, so that leaves do not pause together
	slots       chan struct{}
	waiting     atomic.Int32
	running     atomic.Int32
	maxInFlight atomic.Int32 // most running and waiting requests since the last sample
	connsOpened atomic.Int64
	openConns   atomic.Int32
	fault       atomic.Int32
	leaving     atomic.Bool
	coldUntil   atomic.Int64 // end of the warm-up, ns since 1970

	mu        sync.Mutex
	rng       *rand.Rand
	coldSends []time.Time // within the last second
}

// startLeaf starts a leaf at addr, or on a free port if addr is empty. A cold leaf is
// slower during warmUpTime.
func (p *simulatedPlatform) startLeaf(service, addr string, cold bool) (*leaf, error) {
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	lis, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	number := p.nextLeaf.Add(1)
	rng := rand.New(rand.NewPCG(p.seed, uint64(number)))
	l := &leaf{
		p: p, id: fmt.Sprintf("i-%d", number), service: service, domain: domains[int(number)%len(domains)], lis: lis, rng: rng,
		workFactor: 1 + workFactorSpread*(2*rng.Float64()-1), pauseOffset: time.Duration(rng.Int64N(int64(pauseInterval))),
		slots: make(chan struct{}, leafSlots),
	}
	if cold {
		l.chill()
	}
	l.server = &http.Server{Handler: l, ConnState: l.connState}
	go func() { _ = l.server.Serve(lis) }()
	p.addLeaf(l)
	return l, nil
}

// chill makes the leaf cold for warmUpTime.
func (l *leaf) chill() { l.coldUntil.Store(time.Now().Add(warmUpTime).UnixNano()) }

// warmUpLeft returns how much longer the leaf is cold.
func (l *leaf) warmUpLeft() time.Duration {
	return max(0, time.Until(time.Unix(0, l.coldUntil.Load())))
}

// countColdSend returns how many requests the leaf received in the second before now while it
// was cold, this one included; 0 if it is warm.
func (l *leaf) countColdSend(now time.Time) int {
	if l.warmUpLeft() == 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.coldSends) > 0 && now.Sub(l.coldSends[0]) > time.Second {
		l.coldSends = l.coldSends[1:]
	}
	l.coldSends = append(l.coldSends, now)
	return len(l.coldSends)
}

func (l *leaf) connState(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		l.connsOpened.Add(1)
		if l.openConns.Add(1) > leafConns {
			_ = c.Close()
			return
		}
		l.slots <- struct{}{} // opening a connection occupies a slot for connSetupTime
		time.Sleep(connSetupTime)
		<-l.slots
	case http.StateClosed, http.StateHijacked:
		l.openConns.Add(-1)
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
	l.p.countSend(l.service, id)
	l.p.evacuation.observe(l, time.Now())
	mode := fault(l.fault.Load())
	if mode == unresponsive {
		<-r.Context().Done()
		return
	}
	if int(l.waiting.Add(1)) > leafQueue || mode == rejectsRequests && l.chance(0.5) {
		l.waiting.Add(-1)
		l.reject(w)
		return
	}
	l.recordInFlight()
	select {
	case l.slots <- struct{}{}:
		l.waiting.Add(-1)
	case <-r.Context().Done():
		l.waiting.Add(-1)
		return
	}
	l.running.Add(1)
	l.recordInFlight()
	done := l.doWork(r)
	l.running.Add(-1)
	<-l.slots
	if done {
		l.writeAnswer(w, id, mode)
	}
}

func (l *leaf) reject(w http.ResponseWriter) {
	w.Header().Set(dialect.NotRun, "full")
	w.Header().Set(dialect.Load, l.loadHeader())
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (l *leaf) loadHeader() string {
	return fmt.Sprintf("%d,%d,%d", l.running.Load(), l.waiting.Load(), leafSlots)
}

// recordInFlight updates the maximum of running and waiting requests.
func (l *leaf) recordInFlight() {
	now := l.running.Load() + l.waiting.Load()
	for highest := l.maxInFlight.Load(); now > highest && !l.maxInFlight.CompareAndSwap(highest, now); highest = l.maxInFlight.Load() {
	}
}

func (l *leaf) chance(share float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.Float64() < share
}

// doWork waits for the work time of the request. It returns false if the sender disconnected first.
func (l *leaf) doWork(r *http.Request) bool {
	l.mu.Lock()
	factor := math.Exp(workSigma*l.rng.NormFloat64()) * l.workFactor
	l.mu.Unlock()
	if l.warmUpLeft() > 0 {
		factor *= warmUpFactor
	}
	if fault(l.fault.Load()) == slow {
		factor *= 4
	}
	end := time.Now().Add(time.Duration(factor * float64(meanWorkOf(r.URL.Path))))
	end = end.Add(l.pauseLeft(end))
	select {
	case <-time.After(time.Until(end)):
		return true
	case <-r.Context().Done():
		return false
	}
}

// pauseLeft returns how much of a pause is left at the given time.
func (l *leaf) pauseLeft(at time.Time) time.Duration {
	sinceStart := (at.Sub(l.p.startedAt) + l.pauseOffset) % pauseInterval
	return max(0, pauseDuration-sinceStart)
}

func (l *leaf) writeAnswer(w http.ResponseWriter, id string, mode fault) {
	signature := strings.Join([]string{l.service, id, strconv.FormatInt(l.p.signatureCount.Add(1), 10)}, "/")
	body := standin.PartialAnswer(l.service, id)
	switch {
	case mode == losesAnswers && l.chance(0.1):
		l.writeRaw(w, nil)
	case mode == repeatsAnswers && l.chance(0.1):
		raw := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", dialect.RequestID, id, dialect.Signature, signature, len(body), body)
		l.writeRaw(w, []string{raw, raw})
	default:
		w.Header().Set(dialect.Signature, signature)
		w.Header().Set(dialect.Load, l.loadHeader())
		_, _ = io.WriteString(w, body)
	}
}

// writeRaw writes raw HTTP responses 10 ms apart and closes the connection.
func (l *leaf) writeRaw(w http.ResponseWriter, answers []string) {
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
func (l *leaf) stop() { _ = l.server.Close() }

func (l *leaf) listEntry() standin.Leaf {
	state := standin.Ready
	if l.leaving.Load() {
		state = standin.Draining
	}
	return standin.Leaf{ID: l.id, Service: l.service, Addr: l.lis.Addr().String(), Domain: l.domain, Slots: leafSlots, State: state, WarmInMS: int(l.warmUpLeft().Milliseconds())}
}
