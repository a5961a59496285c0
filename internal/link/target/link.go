package target

import (
	"bufio"
	"context"
	"io"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sys/unix"

	"pearmoor/internal/link/linger"
)

const (
	// dialTimeout bounds a connect. A VM that has lost power does not answer, and
	// a connect to a leaf in the next failure domain takes a few milliseconds.
	dialTimeout = 900 * time.Millisecond
	// readBuffer holds the head and the body of most replies of a shard.
	readBuffer = 2 << 10
	// A connection that was cut without a word looks open. The user timeout ends
	// it while sent bytes stay unacknowledged, keep-alives while it is idle.
	userTimeout       = 3 * time.Second
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// idleLimit closes a connection that has not been used for this long when the
	// leaf says nothing of its own limit.
	idleLimit = 25 * time.Second
	// endLimit bounds the wait for a leaf to close its end of a connection that is not
	// used any more: as long as a link that carries nothing is borne with.
	endLimit = userTimeout
	// idleMargin is kept to a limit that a leaf has stated: it closes by its own
	// clock, and what is sent meanwhile is lost.
	idleMargin = 1200 * time.Millisecond
	// probeTimeout bounds the connect that tells a leaf that has ended from one that has
	// only lost a connection.
	probeTimeout = 50 * time.Millisecond
)

var (
	connsOpened = metrics.GetOrRegisterCounter("target.connections.opened", metrics.DefaultRegistry)
	connsFailed = metrics.GetOrRegisterCounter("target.connections.failed", metrics.DefaultRegistry)
	connsBusy   = metrics.GetOrRegisterCounter("target.connections.busy", metrics.DefaultRegistry)
	connsStale  = metrics.GetOrRegisterCounter("target.connections.stale", metrics.DefaultRegistry)
	connsOpen   = metrics.GetOrRegisterGauge("target.connections.open", metrics.DefaultRegistry)
	openCount   struct {
		sync.Mutex
		n int64
	}
)

func countOpen(d int64) {
	openCount.Lock()
	openCount.n += d
	connsOpen.Update(openCount.n)
	openCount.Unlock()
}

// ErrBusy says that this daemon's share of the leaf's connections is in use.
var ErrBusy = errors.New("target: the daemon's share of the leaf's connections is in use")

// errClosed says that the leaf has left.
var errClosed = errors.New("target: the leaf has left")

// Link holds the connections to one leaf. It is safe for concurrent use.
type Link struct {
	id, addr string

	mu     sync.Mutex
	limit  int
	open   int // being dialled, idle or in use
	idle   []*conn
	busy   map[*conn]struct{} // in use
	queue  []chan grant       // calls that wait for a connection, the first first
	closed bool
	over   bool // another incarnation has taken the leaf's place

	dialing     int
	dialed      chan struct{} // closed when a connect has ended
	connectedAt time.Time     // when the last connect succeeded
	refusedAt   time.Time     // when the last connect was refused
}

// grant is what a call that waits for a connection is given.
type grant struct {
	conn *conn // nil: a place to dial
}

// NewLink returns a link to the leaf of that id and address that opens at most
// limit connections.
func NewLink(id, addr string, limit int) *Link {
	return &Link{id: id, addr: addr, limit: limit, busy: make(map[*conn]struct{}), dialed: make(chan struct{})}
}

// SetLimit changes how many connections may be open; those above it are closed
// when they are next idle.
func (l *Link) SetLimit(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = n
}

// Close closes idle connections now and the others when their exchange is over.
func (l *Link) Close() {
	l.mu.Lock()
	l.closed = true
	idle := l.idle
	l.idle = nil
	for _, w := range l.queue {
		close(w)
	}
	l.queue = nil
	l.mu.Unlock()
	for _, c := range idle {
		l.drop(c)
	}
}

// Abort closes all connections of a leaf whose place another incarnation has taken.
// Exchanges under way end as ones that may have run.
func (l *Link) Abort() {
	l.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.over = true
	for c := range l.busy {
		_ = c.Close() // its exchange sees the end and gives the place back
	}
}

// CloseIdle closes connections that have been idle for as long as they may be.
func (l *Link) CloseIdle(now time.Time) {
	l.mu.Lock()
	var old []*conn
	l.idle = slices.DeleteFunc(l.idle, func(c *conn) bool {
		if now.After(c.until) {
			old = append(old, c)
			return true
		}
		return false
	})
	l.mu.Unlock()
	for _, c := range old {
		l.drop(c)
	}
}

// conn is an open connection; whoever took it from the link owns it.
type conn struct {
	net.Conn
	raw    syscall.RawConn
	reader *bufio.Reader
	used   bool // has carried a whole exchange
	ended  bool // the leaf has closed its end, or the connection is broken
	idleAt time.Time
	until  time.Time // not to be used after it
	limit  time.Duration
}

// Read implements io.Reader and notes the end.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil && !isTimeout(err) {
		c.ended = true
	}
	return n, err
}

// take returns a warm connection that looks sound and has been idle for at most
// maxIdle (0: any time), or a new one. While this daemon's share of the leaf's
// connections is in use it waits for one for at most wait.
func (l *Link) take(call *Call, deadline time.Time, maxIdle, wait time.Duration) (*conn, error) {
	for {
		c, err := l.takeIdle(maxIdle)
		if errors.Is(err, ErrBusy) && wait > 0 {
			began := time.Now()
			c, err = l.await(call, min(wait, time.Until(deadline)))
			wait -= time.Since(began)
		}
		if err != nil {
			return nil, err
		}
		if c == nil {
			ctx, cancel := context.WithDeadline(context.Background(), deadline)
			call.setCancel(cancel)
			c, err = l.dial(ctx)
			call.setCancel(nil)
			cancel()
			if err == nil {
				err = l.engage(c)
			}
			return c, err
		}
		if c.sound() {
			return c, l.engage(c)
		}
		connsStale.Inc(1)
		l.drop(c)
	}
}

// mostWaiting bounds the calls that wait for a connection to one leaf: more would not
// get one within a reply time or two.
const mostWaiting = 16

// await waits for a connection or a place to dial; nil and no error is a place.
//
// Refused at once where the share is in use, calls that come at one moment, as after a
// restart of everything, find every place taken by connections that are being opened,
// and try again all together a moment later.
func (l *Link) await(call *Call, wait time.Duration) (*conn, error) {
	w := make(chan grant, 1)
	l.mu.Lock()
	if l.closed || len(l.queue) >= mostWaiting {
		l.mu.Unlock()
		return nil, ErrBusy
	}
	l.queue = append(l.queue, w)
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	call.setCancel(cancel)
	defer call.setCancel(nil)
	select {
	case g, ok := <-w:
		if !ok {
			return nil, errClosed
		}
		return g.conn, nil
	case <-ctx.Done():
	}
	l.mu.Lock()
	at := slices.Index(l.queue, w)
	if at >= 0 {
		l.queue = slices.Delete(l.queue, at, at+1)
	}
	l.mu.Unlock()
	if at < 0 {
		if g, ok := <-w; ok { // granted at the last moment
			return g.conn, nil
		}
		return nil, errClosed
	}
	connsBusy.Inc(1)
	return nil, ErrBusy
}

// hand gives what has become free to the first call that waits; it is false when none
// does. The lock is held.
func (l *Link) hand(g grant) bool {
	if len(l.queue) == 0 || l.closed || l.open > l.limit {
		return false
	}
	w := l.queue[0]
	l.queue = slices.Delete(l.queue, 0, 1)
	w <- g
	return true
}

// free gives the place of a connection back.
func (l *Link) free() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.hand(grant{}) {
		l.open--
	}
}

// engage counts a connection as in use, unless the leaf has left meanwhile.
func (l *Link) engage(c *conn) error {
	l.mu.Lock()
	closed := l.closed
	if !closed {
		l.busy[c] = struct{}{}
	}
	l.mu.Unlock()
	if closed {
		l.drop(c)
		return errClosed
	}
	return nil
}

// takeIdle returns nil when the caller may dial: its place is counted.
func (l *Link) takeIdle(maxIdle time.Duration) (*conn, error) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, errClosed
	}
	if last := len(l.idle) - 1; last >= 0 {
		c := l.idle[last] // the last used
		if fresh := maxIdle == 0 || now.Sub(c.idleAt) <= maxIdle; fresh || l.open >= l.limit {
			l.idle[last] = nil
			l.idle = l.idle[:last]
			return c, nil
		}
	}
	if l.open >= l.limit {
		return nil, ErrBusy
	}
	l.open++
	return nil, nil
}

// put gives a connection back after a whole exchange.
func (l *Link) put(c *conn) {
	c.used = true
	l.keep(c)
}

// keep makes a sound connection idle.
func (l *Link) keep(c *conn) {
	c.idleAt = time.Now()
	c.until = c.idleAt.Add(c.limit)
	l.mu.Lock()
	delete(l.busy, c)
	if l.closed || l.open > l.limit {
		l.mu.Unlock()
		l.drop(c)
		return
	}
	if !l.hand(grant{c}) {
		l.idle = append(l.idle, c)
	}
	l.mu.Unlock()
}

// drop ends a connection and gives its place back when the leaf has closed its end.
func (l *Link) drop(c *conn) {
	l.mu.Lock()
	delete(l.busy, c)
	l.mu.Unlock()
	if c.ended {
		_ = c.Close()
		l.ended()
		return
	}
	linger.Close(c.Conn, endLimit, l.ended)
}

// ended counts a connection out.
func (l *Link) ended() {
	countOpen(-1)
	l.free()
}

var dialer = net.Dialer{
	Timeout: dialTimeout,
	KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	},
	Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		ctrl := c.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
		})
		return errors.CombineErrors(ctrl, err)
	},
}

func (l *Link) dial(ctx context.Context) (*conn, error) {
	l.mu.Lock()
	l.dialing++
	l.mu.Unlock()
	raw, err := dialer.DialContext(ctx, "tcp", l.addr)
	l.connectEnded(err)
	if err != nil {
		connsFailed.Inc(1)
		l.free()
		return nil, err
	}
	connsOpened.Inc(1)
	countOpen(1)
	c := &conn{Conn: raw, limit: idleLimit}
	c.reader = bufio.NewReaderSize(c, readBuffer)
	if tcp, ok := raw.(*net.TCPConn); ok {
		if c.raw, err = tcp.SyscallConn(); err != nil {
			l.drop(c)
			return nil, err
		}
	}
	return c, nil
}

// sound reports whether an idle connection may be used: it is open, and nothing
// has arrived on it. What has arrived belongs to no request; taken for the reply
// of the next one, it would be another caller's answer.
func (c *conn) sound() bool {
	if c.reader.Buffered() > 0 || time.Now().After(c.until) {
		return false
	}
	if c.raw == nil {
		return true
	}
	quiet := false
	err := c.raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
		c.ended = !quiet && n <= 0
		return true
	})
	return err == nil && quiet
}

// Rest is the part of a reply's body that is still to be read.
type Rest struct {
	body  io.ReadCloser
	after func(whole bool)
	once  sync.Once
}

// Read implements io.Reader. An error other than io.EOF says that the reply is
// not whole.
func (r *Rest) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	if err != nil {
		r.end(err == io.EOF)
	}
	return n, err
}

// Close ends the exchange; a body that was not read to its end costs the
// connection.
func (r *Rest) Close() { r.end(false) }

func (r *Rest) end(whole bool) { r.once.Do(func() { r.after(whole) }) }
