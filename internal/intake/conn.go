package intake

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// phase is what a connection is doing.
type phase uint8

const (
	running     phase = iota // a request is being run
	readingHead              // idle, or a head has begun
	readingBody
	writing // an answer, or a part of it
)

// waits reports whether the connection waits for its client.
func (p phase) waits() bool { return p != running }

func (p phase) String() string {
	return [...]string{"running", "reading head", "reading body", "writing"}[p]
}

const (
	// headSlack is what net/http reads beyond the limit on a head.
	headSlack = 4 << 10
	// refusalTimeout bounds the write of a refusal to a client that reads nothing.
	refusalTimeout = 10 * time.Millisecond

	tooLongRefusal = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	noRoomRefusal  = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.5\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

var errHeadTooLong = errors.New("intake: the head of a request is longer than the limit")

// Conn is the connection of a client. One goroutine at a time reads.
type Conn struct {
	*net.TCPConn
	intake *Intake
	port   *Port

	headBytes int   // read of the current head
	refusal   error // why no more is read; nil: more is
	lastRead  int64 // memory of what was read last, which may be a part of the next head

	// Guarded by Intake.mu.
	phase    phase
	since    time.Time // when the connection began to wait for its client
	held     int64     // bytes
	reserved int64     // of held, for the current request
}

// Read implements net.Conn. The bytes of a head are held until its request ends.
func (c *Conn) Read(p []byte) (int, error) {
	if c.refusal != nil {
		return 0, c.refusal // net/http reads on after an error in a line
	}
	n, err := c.TCPConn.Read(p)
	if n == 0 {
		return n, err
	}
	c.lastRead = int64(n + lineBytes*bytes.Count(p[:n], []byte{'\n'}))
	isHead, fault := c.reserveHead(c.lastRead)
	if !isHead {
		return n, err
	}
	if c.headBytes += n; c.headBytes > c.port.HeadBytes()+headSlack {
		refusedHeads.Inc(1)
		fault = errHeadTooLong
	}
	if fault != nil {
		c.refusal = c.refuseHead(fault)
		return 0, c.refusal
	}
	return n, err
}

// reserveHead reserves n bytes if the connection reads a head.
func (c *Conn) reserveHead(n int64) (isHead bool, err error) {
	c.intake.mu.Lock()
	defer c.intake.mu.Unlock()
	if c.phase != readingHead {
		return false, nil
	}
	if c.headBytes == 0 {
		c.since = time.Now()
	}
	return true, c.intake.reserve(c, n)
}

// refuseHead answers a request whose head is not read on. net/http then closes the connection.
func (c *Conn) refuseHead(cause error) error {
	text := noRoomRefusal
	if errors.Is(cause, errHeadTooLong) && (c.port.MayDeny == nil || c.port.MayDeny()) {
		text = tooLongRefusal
	}
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = io.WriteString(c.TCPConn, text) // the client may not read it
	return &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: cause}
}

// Write implements net.Conn. What the client doesn't read counts as held.
func (c *Conn) Write(p []byte) (int, error) {
	c.intake.mu.Lock()
	before := c.setPhase(writing)
	c.intake.force(c, int64(len(p)))
	c.intake.mu.Unlock()
	n, err := c.TCPConn.Write(p)
	c.intake.mu.Lock()
	c.intake.release(c, int64(len(p)))
	c.setPhase(before)
	c.intake.mu.Unlock()
	return n, err
}

// ReadFrom implements io.ReaderFrom, so that net/http copies an answer by Write.
func (c *Conn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.leave()
	return c.TCPConn.Close()
}

// leave gives up all that the connection holds.
func (c *Conn) leave() {
	c.intake.mu.Lock()
	defer c.intake.mu.Unlock()
	c.intake.remove(c)
}

// setPhase changes the phase and returns the one before. The caller holds Intake.mu.
func (c *Conn) setPhase(p phase) phase {
	before := c.phase
	c.phase, c.since = p, time.Now()
	return before
}

// setState follows the states of http.Server.
func (c *Conn) setState(state http.ConnState) {
	switch state {
	case http.StateActive:
		c.intake.mu.Lock()
		c.setPhase(running)
		c.intake.mu.Unlock()
	case http.StateIdle:
		c.endRequest()
	case http.StateHijacked, http.StateClosed:
		c.leave()
	}
}

// endRequest gives up what the request held, but for what was read last: net/http keeps the part
// of it that belongs to the next request.
func (c *Conn) endRequest() {
	c.intake.mu.Lock()
	defer c.intake.mu.Unlock()
	c.intake.release(c, c.reserved)
	c.reserved = c.lastRead
	c.headBytes, c.lastRead = 0, 0
	c.setPhase(readingHead)
	c.intake.force(c, c.reserved)
}

// HandlerDone records that the handler of the current request has returned: what is left waits for
// the client, the last part of the answer or the rest of a body that nobody has read.
func (c *Conn) HandlerDone() {
	if c == nil {
		return
	}
	c.intake.mu.Lock()
	defer c.intake.mu.Unlock()
	c.setPhase(writing)
}

// Body returns a reader of a body that is kept in memory. Each byte of it counts as cost bytes.
// While it is read the connection waits for its client.
func (c *Conn) Body(r io.Reader, cost int64) io.Reader {
	if c == nil {
		return r
	}
	return &bodyReader{conn: c, source: r, cost: cost}
}

type bodyReader struct {
	conn   *Conn
	source io.Reader
	cost   int64
}

func (r *bodyReader) Read(p []byte) (int, error) {
	c := r.conn
	if c.port.BodyTimeout != nil {
		_ = c.SetReadDeadline(time.Now().Add(c.port.BodyTimeout()))
		defer func() { _ = c.SetReadDeadline(time.Time{}) }()
	}
	c.intake.mu.Lock()
	before := c.setPhase(readingBody)
	c.intake.mu.Unlock()
	n, err := r.source.Read(p)
	c.intake.mu.Lock()
	defer c.intake.mu.Unlock()
	c.setPhase(before)
	if n > 0 {
		if fault := c.intake.reserve(c, int64(n)*r.cost); fault != nil {
			return n, fault
		}
	}
	return n, err
}
