package target

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"pearmoor/internal/link/linger"
)

const (
	// dialTimeout bounds a dial. A VM that has lost power does not respond at all, while a
	// dial to a leaf in another failure domain takes a few milliseconds.
	dialTimeout = 900 * time.Millisecond
	// minDialEvidence is how long a dial must have taken, when it is abandoned, to say that the
	// leaf can't be reached. A dial takes a few milliseconds, more where the VM has no CPU.
	minDialEvidence = 20 * time.Millisecond
	// readBufferSize in bytes fits the headers and body of most replies of a shard.
	readBufferSize = 2 << 10
	// A connection that is lost without a FIN or RST looks open. The TCP user timeout ends it
	// while sent bytes are unacknowledged, keep-alives while it is idle.
	tcpUserTimeout    = 3 * time.Second
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// maxIdleTime is how long a connection may be idle before it is closed. A leaf may set a
	// shorter time by its Keep-Alive header.
	maxIdleTime = 25 * time.Second
	// peerCloseTimeout bounds the wait for a leaf to close its side of a connection that is no
	// longer used. It equals the time after which the kernel gives up on an unresponsive peer.
	peerCloseTimeout = tcpUserTimeout
	// idleTimeoutMargin is subtracted from an idle timeout that a leaf announces. The leaf
	// measures the timeout itself, and a request that is sent while it closes the connection
	// is lost.
	idleTimeoutMargin = 1200 * time.Millisecond
	// refusalCheckTimeout bounds the dial that tells a leaf whose process has ended from one
	// that has only lost a connection.
	refusalCheckTimeout = 50 * time.Millisecond
)

// ErrConnLimit is returned when all connections of this daemon's share of the leaf's are in use.
var ErrConnLimit = errors.New("target: the daemon's share of the leaf's connections is in use")

// errClosed is returned after Close or Abort.
var errClosed = errors.New("target: the leaf has left")

// Link holds the connections to one leaf. It is safe for concurrent use.
type Link struct {
	id, addr string

	mu        sync.Mutex
	maxConns  int
	openConns int     // being dialled, idle, in use, or closing until the leaf has closed its side
	idle      []*conn // most recently used last
	inUse     map[*conn]struct{}
	waiters   []waiter // calls that wait for a connection, in order of arrival
	closed    bool
	replaced  bool // set by Abort: another process has taken the leaf's place

	closedFor []closeCause // why connections were closed that no new one has replaced, oldest first

	dialing       int           // dials in progress
	dialDone      chan struct{} // closed and replaced when a dial finishes
	lastConnected time.Time     // when a dial last succeeded
	lastRefused   time.Time     // when a dial was last refused

	sendCheck func() error // nil: none
}

// waiter is a call that waits for a connection.
type waiter struct {
	id    idHash
	grant chan grant // capacity 1; closed when the link is closed
}

// grant is what a call that waits for a connection receives.
type grant struct {
	conn *conn // nil: the call may dial; its connection is already counted
}

// NewLink returns a link to the leaf with the given id and address that opens at most maxConns
// connections.
func NewLink(id, addr string, maxConns int) *Link {
	return &Link{id: id, addr: addr, maxConns: maxConns, inUse: make(map[*conn]struct{}), dialDone: make(chan struct{})}
}

// SetSendCheck sets a function that is called right before a request is written. If it returns
// an error, the request is not sent. It must be set before the link is used.
func (l *Link) SetSendCheck(check func() error) { l.sendCheck = check }

// SetMaxConns changes how many connections may be open. Connections above the limit are closed
// after their current exchange.
func (l *Link) SetMaxConns(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.maxConns = n
}

// Close closes idle connections and those of abandoned exchanges at once, others after their
// exchange.
func (l *Link) Close() {
	l.mu.Lock()
	l.closed = true
	idle := l.idle
	l.idle = nil
	for _, w := range l.waiters {
		close(w.grant)
	}
	l.waiters = nil
	l.endAbandoned()
	l.mu.Unlock()
	for _, c := range idle {
		l.closeConn(c, closedSurplus)
	}
}

// Abort closes all connections to a leaf whose process has been replaced by another one.
// Exchanges in progress fail with the verdict MayHaveRun.
func (l *Link) Abort() {
	l.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.replaced = true
	for c := range l.inUse {
		_ = c.Close() // its exchange then fails and releases the connection
	}
}

// CloseExpired closes the connections that have been idle for longer than their timeout.
func (l *Link) CloseExpired(now time.Time) {
	l.mu.Lock()
	var expired []*conn
	l.idle = slices.DeleteFunc(l.idle, func(c *conn) bool {
		if now.After(c.expiresAt) {
			expired = append(expired, c)
			return true
		}
		return false
	})
	l.mu.Unlock()
	for _, c := range expired {
		l.closeConn(c, closedIdle)
	}
}

// acquire returns an idle connection that is still usable, or a new one, but never one that has
// carried a request with the same id. It prefers a new connection to one that has been idle for
// longer than maxIdle (0: no limit) as long as another may be opened. At the connection limit it
// waits for at most wait.
func (l *Link) acquire(call *Call, id idHash, deadline time.Time, maxIdle, wait time.Duration) (*conn, error) {
	for {
		c, err := l.takeIdleOrReserve(id, maxIdle)
		if errors.Is(err, ErrConnLimit) && wait > 0 {
			start := time.Now()
			c, err = l.waitForConn(call, id, min(wait, time.Until(deadline)))
			wait -= time.Since(start)
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
				err = l.markInUse(c)
			}
			return c, err
		}
		if c.usable() {
			return c, l.markInUse(c)
		}
		connsStale.Inc(1)
		cause := closedByLeaf
		if time.Now().After(c.expiresAt) {
			cause = closedIdle
		}
		l.closeConn(c, cause)
	}
}

// maxWaiters bounds the calls that wait for a connection to one leaf. Calls beyond it would
// not get a connection within one or two response times.
const maxWaiters = 16

// waitForConn waits for a connection or for permission to dial. Without an error, a nil
// connection means that the caller may dial.
//
// Waiting avoids synchronized retries: when many calls arrive at once, as after a full restart,
// all connections are still being dialled. Calls that were rejected then would retry
// simultaneously a moment later.
func (l *Link) waitForConn(call *Call, id idHash, wait time.Duration) (*conn, error) {
	w := waiter{id: id, grant: make(chan grant, 1)}
	l.mu.Lock()
	if l.closed || len(l.waiters) >= maxWaiters {
		l.mu.Unlock()
		return nil, ErrConnLimit
	}
	if at := l.idleFor(id); at >= 0 { // became idle meanwhile
		defer l.mu.Unlock()
		return l.removeIdle(at), nil
	}
	l.waiters = append(l.waiters, w)
	l.hastenAbandoned()
	var replaced *conn
	if len(l.idle) > 0 { // all idle connections have carried the id
		replaced = l.removeIdle(0)
	}
	l.mu.Unlock()
	if replaced != nil {
		l.closeConn(replaced, closedForRepeat)
	}
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	call.setCancel(cancel)
	defer call.setCancel(nil)
	select {
	case g, ok := <-w.grant:
		if !ok {
			return nil, errClosed
		}
		return g.conn, nil
	case <-ctx.Done():
	}
	l.mu.Lock()
	at := slices.Index(l.waiters, w)
	if at >= 0 {
		l.waiters = slices.Delete(l.waiters, at, at+1)
	}
	l.mu.Unlock()
	if at < 0 {
		if g, ok := <-w.grant; ok { // granted at the moment of the timeout
			return g.conn, nil
		}
		return nil, errClosed
	}
	connsBusy.Inc(1)
	return nil, ErrConnLimit
}

// idleFor returns the index of the most recently used idle connection that has not carried the id,
// or -1. The caller must hold l.mu.
func (l *Link) idleFor(id idHash) int {
	for i, c := range slices.Backward(l.idle) {
		if !c.hasCarried(id) {
			return i
		}
	}
	return -1
}

// removeIdle removes and returns the idle connection at the index. The caller must hold l.mu.
func (l *Link) removeIdle(at int) *conn {
	c := l.idle[at]
	l.idle = slices.Delete(l.idle, at, at+1)
	return c
}

// grantNext passes g to the first waiting call that may use it. It returns false if there is
// none, or if nothing may be granted. The caller must hold l.mu.
func (l *Link) grantNext(g grant) bool {
	if l.closed || l.openConns > l.maxConns {
		return false
	}
	at := slices.IndexFunc(l.waiters, func(w waiter) bool { return g.conn == nil || !g.conn.hasCarried(w.id) })
	if at < 0 {
		return false
	}
	w := l.waiters[at]
	l.waiters = slices.Delete(l.waiters, at, at+1)
	w.grant <- g
	return true
}

// releaseSlot passes the slot of a closed connection to a waiting call or decrements openConns.
func (l *Link) releaseSlot() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.grantNext(grant{}) {
		l.openConns--
	}
}

// markInUse adds c to the connections in use, or closes it if the link was closed meanwhile.
func (l *Link) markInUse(c *conn) error {
	l.mu.Lock()
	closed := l.closed
	if !closed {
		l.inUse[c] = struct{}{}
	}
	l.mu.Unlock()
	if closed {
		l.closeConn(c, closedSurplus)
		return errClosed
	}
	return nil
}

// takeIdleOrReserve returns an idle connection, or nil if the caller may dial: the new
// connection is then already counted.
func (l *Link) takeIdleOrReserve(id idHash, maxIdle time.Duration) (*conn, error) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, errClosed
	}
	if at := l.idleFor(id); at >= 0 {
		c := l.idle[at]
		if fresh := maxIdle == 0 || now.Sub(c.idleSince) <= maxIdle; fresh || l.openConns >= l.maxConns {
			return l.removeIdle(at), nil
		}
		l.recordClosed(closedIdle) // it is too old for this request and stays for others
	}
	if l.openConns >= l.maxConns {
		return nil, ErrConnLimit
	}
	l.openConns++
	return nil, nil
}

// put returns a connection after a complete exchange.
func (l *Link) put(c *conn) {
	c.reused = true
	l.putIdle(c)
}

// putIdle passes a usable connection to a waiting call, adds it to the idle ones, or closes it.
func (l *Link) putIdle(c *conn) {
	c.idleSince = time.Now()
	c.expiresAt = c.idleSince.Add(c.idleTimeout)
	l.mu.Lock()
	delete(l.inUse, c)
	c.closeAt = time.Time{}
	_ = c.SetDeadline(time.Time{}) // that of the exchange; usable fails once it has passed
	cause := closedSurplus
	switch {
	case l.closed || l.openConns > l.maxConns:
	case c.isExhausted():
		cause = closedExhausted
	case l.grantNext(grant{c}):
		l.mu.Unlock()
		return
	case len(l.waiters) > 0: // all of them repeat a request that it has carried
		cause = closedForRepeat
	default:
		l.idle = append(l.idle, c)
		l.mu.Unlock()
		return
	}
	l.mu.Unlock()
	l.closeConn(c, cause)
}

// closeConn closes a connection. It counts as open until the leaf has closed its side, for at
// most peerCloseTimeout.
func (l *Link) closeConn(c *conn, cause closeCause) {
	l.mu.Lock()
	delete(l.inUse, c)
	l.recordClosed(cause)
	l.mu.Unlock()
	if c.peerClosed {
		_ = c.Close()
		l.connClosed()
		return
	}
	linger.Close(c.Conn, peerCloseTimeout, l.connClosed)
}

// connClosed updates the counts after a connection was closed.
func (l *Link) connClosed() {
	addOpenConns(-1)
	l.releaseSlot()
}
