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
	refusalCheckTimeout = 50 * time.Millisecond
	// A connection that is lost without a FIN or RST looks open. Keep-alives detect that
	// while it is idle, the TCP user timeout while sent bytes are unacknowledged.
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	tcpUserTimeout    = 6 * time.Second
	// peerCloseTimeout bounds the wait for a leaf to close its side of a connection.
	peerCloseTimeout = 2 * time.Second
)

// trackedConn is a connection to a leaf; Conn is nil until it has been dialled. It runs the
// checks of an exchange before the first byte of its request, and reports to its pool when it
// is closed.
type trackedConn struct {
	net.Conn
	pool        *pool
	plainTCP    bool                     // no TLS: a failed write that reports 0 bytes sent nothing
	firstWrite  atomic.Pointer[exchange] // exchange whose first write is still to come
	writeClosed atomic.Bool              // the write side is shut down
	peerClosed  atomic.Bool              // a read failed: the leaf has closed its side or the connection is broken
	closedNow   atomic.Bool              // closed without waiting for the leaf
	allowance   atomic.Int64             // bytes that may still be read until the next request
	releaseOnce sync.Once
	lingerOnce  sync.Once
}

var errWriteClosed = errors.New("the connection is being closed")

// Write implements net.Conn. It calls beforeFirstWrite before the first byte of an exchange.
func (w *trackedConn) Write(b []byte) (int, error) {
	if w.writeClosed.Load() {
		return 0, errWriteClosed
	}
	x := w.firstWrite.Swap(nil)
	if x == nil {
		return w.Conn.Write(b)
	}
	if err := x.beforeFirstWrite(); err != nil {
		return 0, err
	}
	n, err := w.Conn.Write(b)
	if n == 0 && err != nil && w.plainTCP {
		x.state.Store(stateUnsent)
	}
	return n, err
}

// expectReply allows a reply to the next request whose body has up to limit bytes.
func (w *trackedConn) expectReply(limit int64) {
	w.allowance.Store(maxHeadBytes + maxBodyEncodings*limit)
}

// Read implements net.Conn. It reads no more than the allowance. Any error of the connection marks
// it as closed by the peer.
func (w *trackedConn) Read(b []byte) (int, error) {
	left := w.allowance.Load()
	if left <= 0 {
		return 0, errReplyTooLong
	}
	n, err := w.Conn.Read(b[:min(int64(len(b)), left)])
	w.allowance.Add(-int64(n))
	if err != nil {
		w.peerClosed.Store(true)
	}
	return n, err
}

// Close shuts down the connection. It counts as open in the pool until the leaf has closed its
// side as well, for at most peerCloseTimeout.
func (w *trackedConn) Close() error {
	if w.Conn == nil || w.peerClosed.Load() || w.closedNow.Load() {
		return w.closeNow()
	}
	w.writeClosed.Store(true)
	w.lingerOnce.Do(func() { linger.Close(w.Conn, peerCloseTimeout, func() { _ = w.closeNow() }) })
	return nil
}

// closeNow closes the connection without waiting for the leaf.
func (w *trackedConn) closeNow() error {
	w.closedNow.Store(true)
	var err error
	if w.Conn != nil {
		err = w.Conn.Close()
	}
	w.releaseOnce.Do(func() { w.pool.connClosed(w) })
	return err
}

// closeWrite shuts down the write side, which signals cancellation to the leaf, and keeps the
// read side open. A leaf that honours cancellation stops and closes the connection, which
// proves that it has stopped; one that does not sends a complete reply.
func (w *trackedConn) closeWrite() {
	if !w.writeClosed.CompareAndSwap(false, true) {
		return
	}
	if c, ok := w.Conn.(interface{ CloseWrite() error }); ok && c.CloseWrite() == nil {
		return
	}
	_ = w.closeNow()
}

var dialer = net.Dialer{
	Timeout: dialTimeout,
	KeepAliveConfig: net.KeepAliveConfig{
		Enable:   true,
		Idle:     keepAliveIdle,
		Interval: keepAliveInterval,
		Count:    keepAliveCount,
	},
	Control: setTCPUserTimeout,
}

func setTCPUserTimeout(_, _ string, c syscall.RawConn) error {
	var err error
	ctrl := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
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
