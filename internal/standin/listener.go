package standin

import (
	"net"
	"sync"
	"time"
)

// cappedListener accepts up to a number of connections and closes the rest at
// once, as a target that has run out of them does.
type cappedListener struct {
	net.Listener
	behavior func() Behavior
	conns    *connCount
}

// connCount outlives a listener, so that a leaf that was down and came back
// goes on counting.
type connCount struct {
	mu      sync.Mutex
	open    int
	peak    int // most open at once, with the refused one counted in
	opened  uint64
	refused uint64
}

func (c *connCount) admit(limit int) bool {
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

func (c *connCount) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open--
}

// Accept implements net.Listener.
func (l *cappedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		b := l.behavior()
		if !l.conns.admit(b.Connections) {
			_ = c.Close()
			continue
		}
		ready := time.Now().Add(time.Duration(b.ConnectCost))
		return &countedConn{Conn: c, conns: l.conns, ready: ready}, nil
	}
}

// countedConn makes its first read wait for the connect cost.
type countedConn struct {
	net.Conn
	conns *connCount
	ready time.Time
	once  sync.Once
	wait  sync.Once
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	c.wait.Do(func() { time.Sleep(time.Until(c.ready)) })
	return c.Conn.Read(p)
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.once.Do(c.conns.leave)
	return c.Conn.Close()
}

// reset closes the connection with a TCP reset.
func (c *countedConn) reset() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
