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
	// probeTimeout bounds the connect that tells a leaf that has ended from one that has
	// only lost a connection.
	probeTimeout = 50 * time.Millisecond
	// A connection that is cut without a word looks open. Keep-alives find out
	// when it is idle, the user timeout when sent bytes stay unacknowledged.
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	userTimeout       = 6 * time.Second
	// endLimit bounds the wait for a leaf to close its end.
	endLimit = 2 * time.Second
)

// wire is a connection to a leaf, or the place in its pool of one that is not
// open yet. It calls a hook before the first byte of an
// exchange and counts itself out of its pool when it is closed.
type wire struct {
	net.Conn
	pool      *pool
	exact     bool                     // plain TCP: a write of 0 bytes sent nothing
	first     atomic.Pointer[exchange] // armed until the first write of an exchange
	half      atomic.Bool              // the write side is shut
	ended     atomic.Bool              // the leaf has closed its end, or the connection is broken
	dropped   atomic.Bool              // the leaf's end is not waited for
	closeOnce sync.Once
	endOnce   sync.Once
}

var errHalfClosed = errors.New("the connection is being closed")

// Write sends b. The exchange's checks run right before its first byte.
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

// Read reads into b and notes the end.
func (w *wire) Read(b []byte) (int, error) {
	n, err := w.Conn.Read(b)
	if err != nil {
		w.ended.Store(true)
	}
	return n, err
}

// Close ends the connection and gives its place in the pool back when the leaf has
// closed its end as well.
func (w *wire) Close() error {
	if w.Conn == nil || w.ended.Load() || w.dropped.Load() {
		return w.drop()
	}
	w.half.Store(true)
	w.endOnce.Do(func() { linger.Close(w.Conn, endLimit, func() { _ = w.drop() }) })
	return nil
}

// drop closes the connection whatever the leaf does.
func (w *wire) drop() error {
	w.dropped.Store(true)
	var err error
	if w.Conn != nil {
		err = w.Conn.Close()
	}
	w.closeOnce.Do(func() { w.pool.closed(w) })
	return err
}

// closeWrite tells the leaf that the caller has gone while the way back stays
// open. A leaf that honours cancellation stops, and the end of the stream then
// proves that it has; one that does not answers in full.
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

// dialLeaf opens a connection, with TLS if conf is not nil.
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
