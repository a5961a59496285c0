package target

import (
	"bufio"
	"context"
	"net"
	"slices"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// maxExchanges is the number of exchanges after which a connection is replaced. It bounds the ids
// that a connection remembers.
const maxExchanges = 512

// idHash is the hash of a request's id. Two ids with the same hash are taken for the same.
type idHash uint32

func hashID(id string) idHash { return idHash(xxhash.Sum64String(id)) }

// conn is an open connection. It belongs to the call that took it from the link.
type conn struct {
	net.Conn
	rawConn     syscall.RawConn
	reader      *bufio.Reader
	carried     []idHash // ids of the requests that were written to it; at most maxExchanges
	reused      bool     // has carried a complete exchange
	carriedHEAD bool     // has carried a HEAD request, whose replies state the length of a body that they don't have
	outOfStep   bool     // the leaf has sent an extra reply; the connection is closed after its exchange
	peerClosed  bool     // the leaf has closed its side or the connection is broken
	idleSince   time.Time
	expiresAt   time.Time // end of the idle timeout
	idleTimeout time.Duration
	allowance   int64     // bytes that may still be read in this part of the exchange
	closeAt     time.Time // end of the extra time of an abandoned exchange, else zero; guarded by Link.mu
}

// hasCarried reports whether a request with the id may have been written to the connection. A
// leaf may send an extra reply to that request at any later time.
func (c *conn) hasCarried(id idHash) bool { return slices.Contains(c.carried, id) }

// isExhausted reports whether the connection may carry no further exchange.
func (c *conn) isExhausted() bool { return len(c.carried) >= maxExchanges }

// Read implements io.Reader. It reads no more than the allowance. Any error but a timeout or
// errReplyTooLong marks the connection as closed by the peer.
func (c *conn) Read(b []byte) (int, error) {
	if c.allowance <= 0 {
		return 0, errReplyTooLong
	}
	n, err := c.Conn.Read(b[:min(int64(len(b)), c.allowance)])
	c.allowance -= int64(n)
	if err != nil && !isTimeout(err) {
		c.peerClosed = true
	}
	return n, err
}

var dialer = net.Dialer{
	Timeout: dialTimeout,
	KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	},
	Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		ctrl := c.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
		})
		return errors.CombineErrors(ctrl, err)
	},
}

// dial opens a connection that is already counted in openConns.
func (l *Link) dial(ctx context.Context) (*conn, error) {
	l.mu.Lock()
	l.dialing++
	l.mu.Unlock()
	raw, err := dialer.DialContext(ctx, "tcp", l.addr)
	l.dialFinished(err)
	if err != nil {
		connsFailed.Inc(1)
		l.releaseSlot()
		return nil, err
	}
	addOpenConns(1)
	c := &conn{Conn: raw, idleTimeout: maxIdleTime}
	c.reader = bufio.NewReaderSize(c, readBufferSize)
	if tcp, ok := raw.(*net.TCPConn); ok {
		if c.rawConn, err = tcp.SyscallConn(); err != nil {
			l.closeConn(c, closedAfterFailure)
			return nil, err
		}
	}
	return c, nil
}

// usable reports whether an idle connection is still open and no data has arrived on it. Such
// data belongs to no pending request: read as the reply to the next request, it would give a
// caller the answer to another one's request.
func (c *conn) usable() bool {
	if c.reader.Buffered() > 0 || time.Now().After(c.expiresAt) {
		return false
	}
	if c.rawConn == nil {
		return true
	}
	empty := false
	err := c.rawConn.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = err == unix.EAGAIN
		c.peerClosed = !empty && n <= 0
		return true
	})
	return err == nil && empty
}
