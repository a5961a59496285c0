package peer

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"
)

// A connection whose other side vanished without a reset looks open to both
// ends. Keep-alives find it while nothing is being sent; the user timeout finds
// it while sent bytes stay unacknowledged, which keep-alives do not probe.
const (
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	userTimeout       = 4 * time.Second
)

func watchSocket(conn net.Conn) error {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	keepAlive := net.KeepAliveConfig{
		Enable:   true,
		Idle:     keepAliveIdle,
		Interval: keepAliveInterval,
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
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	return errors.Wrap(errors.CombineErrors(err, setErr), "peer: set user timeout")
}

// requireLoopback refuses plain text on an address that other machines reach.
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

// Watch returns lis with keep-alives and a user timeout on every connection it
// accepts.
func Watch(lis net.Listener) net.Listener { return watchedListener{lis} }

type watchedListener struct{ net.Listener }

// Accept implements net.Listener.
func (l watchedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if err := watchSocket(conn); err != nil {
		klog.Warningf("%v", err) // it serves without the probes
	}
	return conn, nil
}
