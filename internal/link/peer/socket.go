package peer

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"
)

// socketTimeouts defines how long the kernel keeps a connection whose other side no longer
// answers. Without them such a connection looks open to both ends for a quarter of an
// hour. Keep-alives detect it while nothing is being sent. The user timeout detects it
// while sent bytes stay unacknowledged, when the kernel sends no keep-alives, or while the
// other side's kernel answers but its process reads nothing.
type socketTimeouts struct {
	Idle        time.Duration // before the first keep-alive
	Interval    time.Duration // between keep-alives, of which keepAliveCount may fail
	UserTimeout time.Duration // without progress of sent bytes
}

const keepAliveCount = 3

// A connection between the tier's processes that gets no answer is closed within 5 s. A
// caller may stall for longer, for example on a mobile network, and still receives its
// whole answer.
var (
	peerTimeouts   = socketTimeouts{Idle: 2 * time.Second, Interval: time.Second, UserTimeout: 4 * time.Second}
	callerTimeouts = socketTimeouts{Idle: 15 * time.Second, Interval: 5 * time.Second, UserTimeout: 30 * time.Second}
)

func (p socketTimeouts) apply(conn net.Conn) error {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	keepAlive := net.KeepAliveConfig{
		Enable:   true,
		Idle:     p.Idle,
		Interval: p.Interval,
		Count:    keepAliveCount,
	}
	if err := tcp.SetKeepAliveConfig(keepAlive); err != nil {
		return errors.Wrap(err, "peer: set keep-alive")
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "peer: socket options")
	}
	var setErr error
	err = raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(p.UserTimeout.Milliseconds()))
	})
	return errors.Wrap(errors.CombineErrors(err, setErr), "peer: set user timeout")
}

// requireLoopback returns an error for an address that other machines can reach, where
// plain text is refused.
func requireLoopback(addr string) error {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return errors.Wrapf(err, "peer: address %q", addr)
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return errors.Newf("peer: plain text is refused on %s, which is not a loopback IP address; give certificates or use 127.0.0.1", addr)
	}
	return nil
}

// CallerListener returns a listener that sets keep-alives and a user timeout on every
// connection that lis accepts, long enough for callers on slow networks.
func CallerListener(lis net.Listener) net.Listener { return callerListener{lis, callerTimeouts} }

type callerListener struct {
	net.Listener
	timeouts socketTimeouts
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if err := l.timeouts.apply(conn); err != nil {
		klog.Warningf("%v", err) // the connection works without the timeouts
	}
	return conn, nil
}
