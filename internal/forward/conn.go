package forward

import (
	"context"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"pearmoor/internal/decision"
)

// arrivedWait is how long a read of bytes that arrived already may take.
const arrivedWait = time.Millisecond

var (
	unanswered  = metrics.GetOrRegisterCounter("forward.closed_unanswered", metrics.DefaultRegistry)
	undelivered = metrics.GetOrRegisterCounter("forward.undelivered", metrics.DefaultRegistry)
)

// callerConn is a caller's connection that knows which request is under way on it and
// why it ended, so that a connection closed without an answer leaves a trace.
type callerConn struct {
	*net.TCPConn
	log *decision.Log

	mu      sync.Mutex
	id      string // of the request under way; empty: none
	began   time.Time
	written int   // bytes of its answer
	failure error // first of the connection
	closed  bool

	idleSince time.Time // zero: a request is under way, or none was yet
	expired   bool      // idle for too long: the next read that finds nothing ends it
}

// callerListener wraps the connections that it accepts.
type callerListener struct {
	net.Listener
	log *decision.Log
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c, nil
	}
	return &callerConn{TCPConn: tcp, log: l.log}, nil
}

type connKey struct{}

func withCallerConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connOf returns the connection of a request's context, nil where it is not wrapped.
func connOf(ctx context.Context) *callerConn {
	c, _ := ctx.Value(connKey{}).(*callerConn)
	return c
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if c.takeExpired() {
		switch {
		case n > 0 && err == nil:
			err = c.TCPConn.SetReadDeadline(time.Time{}) // expired just behind it
		case errors.Is(err, os.ErrDeadlineExceeded):
			n, err = c.readArrived(p)
		}
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) { // net/http ends its own reads so
		c.failed("read", err)
	}
	return n, err
}

// takeExpired reports whether the connection was idle for too long when a read returned.
func (c *callerConn) takeExpired() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	expired := c.expired
	c.idleSince, c.expired = time.Time{}, false
	return expired
}

// readArrived reads what arrived before the connection expired, or fails with
// os.ErrDeadlineExceeded. A process that was without processor finds the expiry and the
// request at the same moment.
func (c *callerConn) readArrived(p []byte) (int, error) {
	if err := c.TCPConn.SetReadDeadline(time.Now().Add(arrivedWait)); err != nil {
		return 0, err
	}
	n, err := c.TCPConn.Read(p)
	if err != nil {
		return n, err
	}
	return n, c.TCPConn.SetReadDeadline(time.Time{})
}

// setIdle notes that no request is under way, or that one is.
func (c *callerConn) setIdle(idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleSince, c.expired = time.Time{}, false
	if idle {
		c.idleSince = time.Now()
	}
}

// expire ends the wait for a next request if the connection has been idle for longer
// than limit. The goroutine that reads the connection closes it, and only if no byte of
// a request is there: closed from here, it could hold a request that was read already.
func (c *callerConn) expire(now time.Time, limit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idleSince.IsZero() || c.expired || now.Sub(c.idleSince) <= limit {
		return
	}
	c.expired = true
	_ = c.TCPConn.SetReadDeadline(now) // fails on a closed connection only
}

// Write implements net.Conn.
func (c *callerConn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	c.mu.Lock()
	c.written += n
	id, written := c.id, c.written
	c.mu.Unlock()
	if err != nil && c.failed("write", err) {
		undelivered.Inc(1)
		c.log.Line("caller", "answer not delivered").Str("id", id).Str("from", c.RemoteAddr().String()).
			Int("written", int64(written)).Err(err).End()
	}
	return n, err
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.closing()
	return c.TCPConn.Close()
}

// failed notes the first failure and reports whether this is it.
func (c *callerConn) failed(op string, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := c.failure == nil
	if first {
		c.failure = errors.Wrap(err, op)
	}
	return first
}

// begin notes that a request is under way.
func (c *callerConn) begin(id string, at time.Time) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.id, c.began, c.written = id, at, 0
}

// cause returns why the connection has ended, nil while nothing failed on it.
func (c *callerConn) cause() error {
	if c == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failure
}

// closing logs a connection that is closed before any byte of an answer.
func (c *callerConn) closing() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	if c.id == "" || c.written > 0 {
		return
	}
	unanswered.Inc(1)
	c.log.Line("caller", "closed without an answer").Str("id", c.id).Str("from", c.RemoteAddr().String()).
		Ms("took", time.Since(c.began)).Err(c.failure).End()
}
