package peer

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"
)

// dialTimeout bounds connecting and the TLS handshake together.
const dialTimeout = time.Second

// connectRetryDelay is the time after which another connect is started in parallel to the
// pending ones; it doubles with each, up to maxConnectRetryDelay. The kernel retransmits a
// lost SYN only after a second, and a SYN to a VM that is still starting is lost.
const (
	connectRetryDelay    = 50 * time.Millisecond
	maxConnectRetryDelay = 200 * time.Millisecond
)

// softCancelGrace is how long the write of a cancelled request may take to finish. A
// request that is cut off in the middle would cost the connection.
const softCancelGrace = 5 * time.Millisecond

// maxMessageSize bounds one message, in bytes. The largest is a snapshot of the settings
// tree, a few megabytes at 23,000 leaves.
const maxMessageSize = 64 << 20

// NotSentError is the error of a call that failed before any byte of it left this process.
// The other side has not run it, and it may be sent to another address.
type NotSentError struct {
	Addr  string
	Cause error
}

// Error implements error.
func (e *NotSentError) Error() string {
	return fmt.Sprintf("peer: call to %s not sent: %v", e.Addr, e.Cause)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// NotSent reports whether err proves that the call never left this process.
func NotSent(err error) bool {
	var e *NotSentError
	return errors.As(err, &e)
}

func dial(ctx context.Context, addr string, conf *tls.Config, trusted bool) (*drpcconn.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if conf == nil && !trusted {
		if err := requireLoopback(addr); err != nil {
			return nil, err
		}
	}
	raw, err := connect(ctx, addr)
	if err != nil {
		return nil, err
	}
	conn, err := handshake(ctx, raw, addr, conf)
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: managerOptions()}), nil
}

// connect returns the first connection to be established of several attempts, and closes
// the others.
func connect(ctx context.Context, addr string) (net.Conn, error) {
	type result struct {
		conn net.Conn
		err  error
	}
	results := make(chan result)
	done := make(chan struct{})
	defer close(done)
	attempt := func() {
		var d net.Dialer
		conn, err := d.DialContext(ctx, "tcp", addr)
		select {
		case results <- result{conn, err}:
		case <-done:
			if err == nil {
				_ = conn.Close()
			}
		}
	}
	delay := connectRetryDelay
	timer := time.NewTimer(delay)
	defer timer.Stop()
	go attempt()
	for pending := 1; ; {
		select {
		case r := <-results:
			if pending--; r.err == nil || pending == 0 {
				return r.conn, r.err
			}
		case <-timer.C:
			pending++
			go attempt()
			delay = min(2*delay, maxConnectRetryDelay)
			timer.Reset(delay)
		}
	}
}

func handshake(ctx context.Context, raw net.Conn, addr string, conf *tls.Config) (net.Conn, error) {
	if err := peerTimeouts.apply(raw); err != nil {
		return nil, err
	}
	if conf == nil {
		return raw, nil
	}
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, err
	}
	conf = conf.Clone()
	conf.ServerName = host
	conn := tls.Client(raw, conf)
	if err := conn.HandshakeContext(ctx); err != nil {
		return nil, errors.Wrap(err, "TLS handshake")
	}
	if err := conn.ConnectionState().PeerCertificates[0].VerifyHostname(host); err != nil {
		return nil, errors.Wrap(err, "server certificate")
	}
	return conn, nil
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader:          drpcwire.ReaderOptions{MaximumBufferSize: maxMessageSize},
		SoftCancel:      true,
		SoftCancelGrace: softCancelGrace,
	}
}
