package standin

import (
	"net"
	"sync"
	"time"
)

// limitedListener accepts connections up to the limit of the behavior and closes further
// ones at once, as a leaf without free connections does.
type limitedListener struct {
	net.Listener
	behavior func() Behavior
	conns    *connCount
}

// connCount counts connections. It outlives a listener, so that the counts continue after
// the leaf was down.
type connCount struct {
	mu      sync.Mutex
	open    int
	peak    int // highest number of open connections so far, including one that was then refused
	opened  uint64
	refused uint64
}

func (c *connCount) tryAcquire(limit int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peak = max(c.peak, c.open+1)
	if limit > 0 && c.open >= limit {
		c.refused++
		return false
	}
	c.open++
	c.opened++
	return true
}

func (c *connCount) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open--
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		b := l.behavior()
		if !l.conns.tryAcquire(b.Connections) {
			_ = c.Close()
			continue
		}
		ready := time.Now().Add(time.Duration(b.ConnectCost))
		return &countedConn{Conn: c, conns: l.conns, ready: ready}, nil
	}
}

// countedConn is a connection that is counted until it is closed. Its first read waits for
// Behavior.ConnectCost.
type countedConn struct {
	net.Conn
	conns     *connCount
	ready     time.Time
	closeOnce sync.Once
	delayOnce sync.Once
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	c.delayOnce.Do(func() { time.Sleep(time.Until(c.ready)) })
	return c.Conn.Read(p)
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.closeOnce.Do(c.conns.release)
	return c.Conn.Close()
}

// reset closes the connection with a TCP reset.
func (c *countedConn) reset() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
