package intake

import (
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"pearmoor/internal/decision"
	"pearmoor/internal/policy"
)

const (
	// connBytes is the memory of a connection without a request.
	connBytes = 12 << 10
	// lineBytes is the memory of a header line besides its text: its place in a map, a slice and
	// two strings.
	lineBytes = 160
	// logInterval bounds the log lines on refused and closed connections.
	logInterval = 100 * time.Millisecond
)

// ErrNoRoom is returned when what a client sends doesn't fit beside what others hold.
var ErrNoRoom = errors.New("intake: clients hold too much memory")

var (
	openConns     = metrics.GetOrRegisterGauge("intake.connections", metrics.DefaultRegistry)
	heldBytes     = metrics.GetOrRegisterGauge("intake.bytes", metrics.DefaultRegistry)
	refusedConns  = metrics.GetOrRegisterCounter("intake.refused.connections", metrics.DefaultRegistry)
	refusedHeads  = metrics.GetOrRegisterCounter("intake.refused.heads", metrics.DefaultRegistry)
	refusedMemory = metrics.GetOrRegisterCounter("intake.refused.memory", metrics.DefaultRegistry)
	evictedConns  = metrics.GetOrRegisterCounter("intake.evicted", metrics.DefaultRegistry)
)

// Intake holds the connections of all clients of a process. It is safe for concurrent use.
type Intake struct {
	limits policy.IntakeLimits
	log    *decision.Log

	mu         sync.Mutex
	conns      map[*Conn]struct{}
	total      int64 // bytes that all clients hold
	lastLogged time.Time
	unlogged   int64 // refused or closed since
}

// New returns an Intake without connections.
func New(limits policy.IntakeLimits, log *decision.Log) *Intake {
	return &Intake{limits: limits, log: log, conns: make(map[*Conn]struct{})}
}

// Port is what holds for the connections of one listener.
type Port struct {
	Name  string
	Share policy.IntakeShare
	// HeadBytes returns the limit on the head of a request.
	HeadBytes func() int
	// MayDeny reports whether a head over the limit may be denied for good; nil: always.
	MayDeny func() bool
	// BodyTimeout returns how long a client may send nothing of a body that is kept in memory.
	BodyTimeout func() time.Duration
}

// Listen returns a listener that accepts the connections of lis as far as they fit.
func (in *Intake) Listen(lis net.Listener, port Port) net.Listener {
	return &listener{Listener: lis, intake: in, port: port}
}

type listener struct {
	net.Listener
	intake *Intake
	port   Port
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := raw.(*net.TCPConn)
		if !ok {
			return raw, nil
		}
		c := &Conn{TCPConn: tcp, intake: l.intake, port: &l.port}
		if l.intake.admit(c) {
			return c, nil
		}
		_ = tcp.Close()
	}
}

// admit adds a connection. It closes others that wait for their clients if there are too many.
func (in *Intake) admit(c *Conn) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	for len(in.conns) >= in.limits.Connections || !in.limits.MayHold(0, connBytes, in.total, c.port.Share) {
		victim := in.pickWaiting(waitsLonger)
		if victim == nil {
			refusedConns.Inc(1)
			in.logRefused(c, "no connection is free")
			return false
		}
		in.evict(victim, "another needs its place")
	}
	c.phase, c.since = readingHead, time.Now()
	in.conns[c] = struct{}{}
	in.add(c, connBytes)
	return true
}

// add changes what c holds. The caller holds mu.
func (in *Intake) add(c *Conn, n int64) {
	c.held += n
	in.total += n
	heldBytes.Update(in.total)
	openConns.Update(int64(len(in.conns)))
}

// remove removes a connection and what it holds. The caller holds mu.
func (in *Intake) remove(c *Conn) {
	if _, ok := in.conns[c]; !ok {
		return
	}
	delete(in.conns, c)
	in.add(c, -c.held)
}

// reserve lets c hold n more bytes, until its request ends, if they fit. The caller holds mu.
func (in *Intake) reserve(c *Conn, n int64) error {
	if _, ok := in.conns[c]; !ok {
		return net.ErrClosed
	}
	for !in.limits.MayHold(c.held-connBytes, n, in.total, c.port.Share) {
		victim := in.pickWaiting(holdsMore)
		if victim == nil || !policy.MayDisplace(c.held-connBytes+n, victim.held-connBytes) {
			refusedMemory.Inc(1)
			in.logRefused(c, "no memory is free")
			return ErrNoRoom
		}
		in.evict(victim, "another needs its memory")
	}
	in.add(c, n)
	c.reserved += n
	return nil
}

// force lets c hold n more bytes. It closes the connections that hold most while they wait for
// their clients until all fits, in the end c itself. The caller holds mu.
func (in *Intake) force(c *Conn, n int64) {
	if _, ok := in.conns[c]; !ok {
		return
	}
	in.add(c, n)
	for in.total > in.limits.Bytes {
		victim := in.pickWaiting(holdsMore)
		if victim == nil {
			return
		}
		in.evict(victim, "clients hold too much memory")
	}
}

// release undoes reserve or force. The caller holds mu.
func (in *Intake) release(c *Conn, n int64) {
	if _, ok := in.conns[c]; ok {
		in.add(c, -n)
	}
}

// pickWaiting returns the connection that comes before all others of those that wait for their
// clients, nil if none waits. The caller holds mu.
func (in *Intake) pickWaiting(before func(a, b *Conn) bool) *Conn {
	var out *Conn
	for c := range in.conns {
		if c.phase.waits() && (out == nil || before(c, out)) {
			out = c
		}
	}
	return out
}

func waitsLonger(a, b *Conn) bool { return a.since.Before(b.since) }

func holdsMore(a, b *Conn) bool { return a.held > b.held }

// evict closes a connection. The caller holds mu.
func (in *Intake) evict(c *Conn, why string) {
	evictedConns.Inc(1)
	in.logRefused(c, why)
	in.remove(c)
	_ = c.SetLinger(0) // what is unsent holds memory of the kernel
	_ = c.TCPConn.Close()
}

// logRefused logs that a connection is refused or closed. The caller holds mu.
func (in *Intake) logRefused(c *Conn, why string) {
	now := time.Now()
	if now.Sub(in.lastLogged) < logInterval {
		in.unlogged++
		return
	}
	in.log.Line("intake", "refused").Str("port", c.port.Name).Str("from", c.RemoteAddr().String()).Str("phase", c.phase.String()).
		Str("why", why).Int("held", c.held).Int("total", in.total).Int("limit", in.limits.Bytes).
		Int("connections", int64(len(in.conns))).Int("unlogged", in.unlogged).End()
	in.lastLogged, in.unlogged = now, 0
}

// ConnState is the http.Server.ConnState of a server with a listener of an Intake.
func ConnState(c net.Conn, state http.ConnState) {
	if conn := From(c); conn != nil {
		conn.setState(state)
	}
}

// From returns the Conn of a connection, nil if it has none.
func From(c net.Conn) *Conn {
	switch c := c.(type) {
	case *Conn:
		return c
	case *tls.Conn:
		return From(c.NetConn())
	case interface{ Intake() *Conn }:
		return c.Intake()
	}
	return nil
}
