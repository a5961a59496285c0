package forward

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"pearmoor/internal/decision"
	"pearmoor/internal/intake"
)

// bufferedReadTimeout bounds a read of bytes that are already in the receive buffer.
const bufferedReadTimeout = time.Millisecond

var (
	closedUnanswered   = metrics.GetOrRegisterCounter("forward.closed_unanswered", metrics.DefaultRegistry)
	undeliveredAnswers = metrics.GetOrRegisterCounter("forward.undelivered", metrics.DefaultRegistry)
)

// callerConn is a connection from a caller. It records the current request and the first
// I/O error, so that a connection closed without an answer can be logged with its cause.
type callerConn struct {
	*intake.Conn
	log *decision.Log

	mu           sync.Mutex
	requestID    string // id of the current request; empty if there is none
	requestStart time.Time
	written      int   // bytes of the answer to the current request
	firstErr     error // first I/O error on the connection
	closed       bool

	idleSince time.Time // zero while a request is in progress and before the first one
	expired   bool      // idle for too long; the next read ends the connection unless data has arrived
}

// callerListener wraps the connections of an intake in callerConn.
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
	conn, ok := c.(*intake.Conn)
	if !ok {
		return c, nil
	}
	return &callerConn{Conn: conn, log: l.log}, nil
}

type callerConnKey struct{}

func withCallerConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, c)
}

// callerConnFrom returns the caller connection from the context of a request, nil if it is
// not a callerConn.
func callerConnFrom(ctx context.Context) *callerConn {
	c, _ := ctx.Value(callerConnKey{}).(*callerConn)
	return c
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.clearExpired() {
		switch {
		case n > 0 && err == nil:
			err = c.TCPConn.SetReadDeadline(time.Time{}) // the deadline passed just after the data arrived
		case errors.Is(err, os.ErrDeadlineExceeded):
			n, err = c.readBuffered(p)
		}
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) { // net/http uses deadlines to interrupt its own reads
		c.recordFailure("read", err)
	}
	return n, err
}

// clearExpired clears the idle state and reports whether the connection had expired.
func (c *callerConn) clearExpired() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	expired := c.expired
	c.idleSince, c.expired = time.Time{}, false
	return expired
}

// readBuffered reads data that arrived before the connection expired. It returns
// os.ErrDeadlineExceeded if there is none. After a CPU stall, a process can find that the
// connection has expired although a request is already in the receive buffer.
func (c *callerConn) readBuffered(p []byte) (int, error) {
	if err := c.TCPConn.SetReadDeadline(time.Now().Add(bufferedReadTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if err != nil {
		return n, err
	}
	return n, c.TCPConn.SetReadDeadline(time.Time{})
}

// setIdle records whether the connection is idle, that is, has no request in progress.
func (c *callerConn) setIdle(idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleSince, c.expired = time.Time{}, false
	if idle {
		c.idleSince = time.Now()
	}
}

// expire ends the wait for the next request if the connection has been idle for longer
// than limit. It only sets the read deadline. The reading goroutine closes the connection,
// and only if no byte of a request has arrived: a close from here could lose a request that
// has already been read.
func (c *callerConn) expire(now time.Time, limit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idleSince.IsZero() || c.expired || now.Sub(c.idleSince) <= limit {
		return
	}
	c.expired = true
	_ = c.TCPConn.SetReadDeadline(now) // fails only if the connection is closed
}

// Write implements net.Conn.
func (c *callerConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	c.written += n
	id, written := c.requestID, c.written
	c.mu.Unlock()
	if err != nil && c.recordFailure("write", err) {
		undeliveredAnswers.Inc(1)
		c.log.Line("caller", "answer not delivered").Str("id", id).Str("from", c.RemoteAddr().String()).
			Int("written", int64(written)).Err(err).End()
	}
	return n, err
}

// breakOff prepares the connection to be closed in the middle of an answer, of which sent bytes were
// passed on. It is reset: where an answer has no length, its end would look like any other.
func (c *callerConn) breakOff(sent int64, cause error) {
	if c == nil {
		return
	}
	_ = c.SetLinger(0) // fails only if the connection is closed
	c.mu.Lock()
	id := c.requestID
	c.mu.Unlock()
	c.log.Line("caller", "answer broke off").Str("id", id).Str("from", c.RemoteAddr().String()).Int("sent", sent).Err(cause).End()
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.logUnanswered()
	return c.Conn.Close()
}

// ReadFrom implements io.ReaderFrom, so that net/http copies an answer by Write.
func (c *callerConn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}

// Intake returns the connection as its intake has it.
func (c *callerConn) Intake() *intake.Conn {
	if c == nil {
		return nil
	}
	return c.Conn
}

// recordFailure stores the first I/O error and reports whether err is the first one.
func (c *callerConn) recordFailure(op string, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := c.firstErr == nil
	if first {
		c.firstErr = errors.Wrap(err, op)
	}
	return first
}

// beginRequest records the start of a request.
func (c *callerConn) beginRequest(id string, start time.Time) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestID, c.requestStart, c.written = id, start, 0
}

// cause returns the first I/O error on the connection, nil if there was none.
func (c *callerConn) cause() error {
	if c == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.firstErr
}

// logUnanswered logs a connection that is closed during a request before any byte of the
// answer was written.
func (c *callerConn) logUnanswered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	if c.requestID == "" || c.written > 0 {
		return
	}
	closedUnanswered.Inc(1)
	c.log.Line("caller", "closed without an answer").Str("id", c.requestID).Str("from", c.RemoteAddr().String()).
		Ms("took", time.Since(c.requestStart)).Err(c.firstErr).End()
}
