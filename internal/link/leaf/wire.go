package leaf

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"pearmoor/internal/link/linger"
)

const (
	dialTimeout = 2 * time.Second
	// refusalCheckTimeout bounds the dial that tells a leaf whose process has ended from one
	// that has only lost a connection.
	probeTimeout = 50 * time.Millisecond
	// A connection that is lost without a FIN or RST looks open. Keep-alives detect that
	// while it is idle, the TCP user timeout while sent bytes are unacknowledged.
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	userTimeout       = 6 * time.Second
	// peerCloseTimeout bounds the wait for a leaf to close its side of a connection.
	endLimit = 2 * time.Second
)

// trackedConn is a connection to a leaf; Conn is nil until it has been dialled. It runs the
// checks of an exchange before the first byte of its request, and reports to its pool when it
// is closed.
type wire struct {
	net.Conn
	pool      *pool
	exact     bool                     // no TLS: a failed write that reports 0 bytes sent nothing
	first     atomic.Pointer[exchange] // exchange whose first write is still to come
	half      atomic.Bool              // the write side is shut down
	ended     atomic.Bool              // a read failed: the leaf has closed its side or the connection is broken
	dropped   atomic.Bool              // closed without waiting for the leaf
	closeOnce sync.Once
	endOnce   sync.Once
}

var errHalfClosed = errors.New("the connection is being closed")

// Write implements net.Conn. It calls beforeFirstWrite before the first byte of an exchange.
func (w *wire) Write(b []byte) (int, error) {
	if w.half.Load() {
		return 0, errHalfClosed
	}
	x := w.first.Swap(nil)
	if x == nil {
		return w.Conn.Write(b)
	}
	if err := x.begin(); err != nil {
		return 0, err
	}
	n, err := w.Conn.Write(b)
	if n == 0 && err != nil && w.exact {
		x.state.Store(unsent)
	}
	return n, err
}

// Read implements net.Conn. Any error marks the connection as closed by the peer.
func (w *wire) Read(b []byte) (int, error) {
	n, err := w.Conn.Read(b)
	if err != nil {
		w.ended.Store(true)
	}
	return n, err
}

// Close shuts down the connection. It counts as open in the pool until the leaf has closed its
// side as well, for at most peerCloseTimeout.
func (w *wire) Close() error {
	if w.Conn == nil || w.ended.Load() || w.dropped.Load() {
		return w.drop()
	}
	w.half.Store(true)
	w.endOnce.Do(func() { linger.Close(w.Conn, endLimit, func() { _ = w.drop() }) })
	return nil
}

// closeNow closes the connection without waiting for the leaf.
func (w *wire) drop() error {
	w.dropped.Store(true)
	var err error
	if w.Conn != nil {
		err = w.Conn.Close()
	}
	w.closeOnce.Do(func() { w.pool.closed(w) })
	return err
}

// closeWrite shuts down the write side, which signals cancellation to the leaf, and keeps the
// read side open. A leaf that honours cancellation stops and closes the connection, which
// proves that it has stopped; one that does not sends a complete reply.
func (w *wire) closeWrite() {
	if !w.half.CompareAndSwap(false, true) {
		return
	}
	if c, ok := w.Conn.(interface{ CloseWrite() error }); ok && c.CloseWrite() == nil {
		return
	}
	_ = w.drop()
}

var dialer = net.Dialer{
	Timeout: dialTimeout,
	KeepAliveConfig: net.KeepAliveConfig{
		Enable:   true,
		Idle:     keepAliveIdle,
		Interval: keepAliveInterval,
		Count:    keepAliveCount,
	},
	Control: setUserTimeout,
}

func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var err error
	ctrl := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	return errors.CombineErrors(ctrl, err)
}

// dialLeaf opens a connection to addr, with TLS if conf is not nil.
func dialLeaf(ctx context.Context, addr string, conf *tls.Config) (net.Conn, error) {
	raw, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil || conf == nil {
		return raw, err
	}
	conf = conf.Clone()
	conf.NextProtos = []string{"http/1.1"}
	if conf.ServerName == "" {
		conf.ServerName, _, _ = net.SplitHostPort(addr)
	}
	c := tls.Client(raw, conf)
	if err := c.HandshakeContext(ctx); err != nil {
		raw.Close()
		return nil, err
	}
	return c, nil
}
