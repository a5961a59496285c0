package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"
	"storj.io/drpc"

	"pearmoor/internal/vm"
)

const (
	// handshakeTimeout bounds how long an unauthenticated client may hold a connection.
	handshakeTimeout = 3 * time.Second
	// drainGrace is how long idle connections stay open after the server begins to stop. A
	// call that was already on its way then arrives in this time and is answered.
	drainGrace = 300 * time.Millisecond
	// acceptRetryDelay is the pause after a failed accept, so that a process without free
	// file descriptors does not loop at full speed.
	acceptRetryDelay = 50 * time.Millisecond
)

// Serve serves calls on lis until ctx ends. It then stops accepting, waits for the calls
// in flight without a time limit, and returns nil. With a nil tlsConf it serves plain
// text, which it refuses on a non-loopback address.
func Serve(ctx context.Context, lis net.Listener, mux drpc.Handler, tlsConf *tls.Config) error {
	if tlsConf == nil {
		if err := requireLoopback(lis.Addr().String()); err != nil {
			_ = lis.Close()
			return err
		}
	}
	return serve(ctx, lis, mux, tlsConf)
}

// ServeTrusted is like Serve with plain text on any address. See NewTrustedPool.
func ServeTrusted(ctx context.Context, lis net.Listener, mux drpc.Handler) error {
	return serve(ctx, lis, mux, nil)
}

func serve(ctx context.Context, lis net.Listener, mux drpc.Handler, tlsConf *tls.Config) error {
	s := &server{mux: mux, conf: tlsConf, conns: make(map[*serverConn]struct{})}
	stop := context.AfterFunc(ctx, func() { _ = lis.Close() })
	defer stop()
	err := s.accept(ctx, lis)
	s.drain()
	return err
}

type server struct {
	mux  drpc.Handler
	conf *tls.Config
	wg   sync.WaitGroup

	mu       sync.Mutex
	draining bool
	conns    map[*serverConn]struct{}
}

func (s *server) accept(ctx context.Context, lis net.Listener) error {
	for {
		raw, err := lis.Accept()
		switch {
		case err == nil:
			s.wg.Add(1)
			go s.serveConn(raw)
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return errors.Wrap(err, "peer: accept")
		default:
			klog.Warningf("peer: accept: %v", err)
			vm.Sleep(ctx, acceptRetryDelay)
		}
	}
}

func (s *server) serveConn(raw net.Conn) {
	defer s.wg.Done()
	c, err := s.secureConn(raw)
	if err != nil {
		_ = raw.Close()
		klog.Warningf("peer: connection from %s refused: %v", raw.RemoteAddr(), err)
		return
	}
	if s.track(c) {
		c.serve(s.mux)
	}
	c.close()
	s.untrack(c)
}

// secureConn sets the socket timeouts, runs the TLS handshake if TLS is configured and
// determines the client's identity.
func (s *server) secureConn(raw net.Conn) (*serverConn, error) {
	if err := peerTimeouts.apply(raw); err != nil {
		return nil, err
	}
	if s.conf == nil {
		return newServerConn(raw, nil), nil
	}
	conn := tls.Server(raw, s.conf)
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	if err := conn.HandshakeContext(ctx); err != nil {
		return nil, err
	}
	id, err := identityFromState(conn.ConnectionState())
	if err != nil {
		return nil, err
	}
	return newServerConn(conn, &id), nil
}

func (s *server) track(c *serverConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

func (s *server) untrack(c *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

func (s *server) drain() {
	time.Sleep(drainGrace)
	s.mu.Lock()
	s.draining = true
	busy := 0
	for c := range s.conns {
		if c.stop() {
			busy++
		}
	}
	s.mu.Unlock()
	if busy > 0 {
		klog.Infof("peer: waiting for %d calls in flight", busy)
	}
	s.wg.Wait()
}
