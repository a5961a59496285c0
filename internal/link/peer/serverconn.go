package peer

import (
	"context"
	"net"
	"runtime/debug"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"
	"storj.io/drpc"
	"storj.io/drpc/drpcmanager"
)

// serverConn is the connection of one client and the state of the call on it, if any.
type serverConn struct {
	manager *drpcmanager.Manager
	id      *Identity // nil on plain text

	mu       sync.Mutex
	busy     bool
	stopping bool
}

func newServerConn(conn net.Conn, id *Identity) *serverConn {
	return &serverConn{manager: drpcmanager.NewWithOptions(conn, managerOptions()), id: id}
}

// serve handles one call after the other until the client disconnects or stop is called.
func (c *serverConn) serve(mux drpc.Handler) {
	ctx := context.Background()
	if c.id != nil {
		ctx = context.WithValue(ctx, identityKey{}, *c.id)
	}
	for {
		stream, rpc, err := c.manager.NewServerStream(ctx)
		if err != nil || !c.beginCall() {
			return
		}
		if err := c.handle(mux, stream, rpc); err != nil {
			err = stream.SendError(err)
			if err != nil {
				return
			}
		} else if err := stream.CloseSend(); err != nil {
			return
		}
		if !c.endCall() {
			return
		}
	}
}

func (c *serverConn) handle(mux drpc.Handler, stream drpc.Stream, rpc string) (err error) {
	defer func() {
		if r := recover(); r != nil {
			panics.Inc(1)
			klog.Errorf("peer: %s panicked: %v\n%s", rpc, r, debug.Stack())
			err = errors.Newf("peer: %s failed by a fault of the server", rpc)
		}
	}()
	if c.id == nil {
		return mux.HandleRPC(metadataIdentityStream{stream}, rpc)
	}
	if err := authorize(rpc, *c.id); err != nil {
		denied.Inc(1)
		klog.Warningf("%v", err)
		return err
	}
	return mux.HandleRPC(stream, rpc)
}

// beginCall marks a call as in flight. It returns false if the connection must close
// instead.
func (c *serverConn) beginCall() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopping {
		return false
	}
	c.busy = true
	return true
}

// endCall marks the call as finished. It returns false if the connection must close now.
func (c *serverConn) endCall() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = false
	return !c.stopping
}

// stop closes the connection at once if it is idle, and otherwise after its call. It
// reports whether a call is in flight.
func (c *serverConn) stop() bool {
	c.mu.Lock()
	busy := c.busy
	c.stopping = true
	c.mu.Unlock()
	if !busy {
		c.close()
	}
	return busy
}

func (c *serverConn) close() { _ = c.manager.Close() }

// metadataIdentityStream adds the identity from the call metadata of a plain-text client
// to the context.
type metadataIdentityStream struct{ drpc.Stream }

// Context implements drpc.Stream.
func (s metadataIdentityStream) Context() context.Context {
	ctx := s.Stream.Context()
	if id, ok := identityFromMetadata(ctx); ok {
		return context.WithValue(ctx, identityKey{}, id)
	}
	return ctx
}

var (
	panics = metrics.GetOrRegisterCounter("peer.server.panics", metrics.DefaultRegistry)
	denied = metrics.GetOrRegisterCounter("peer.server.denied", metrics.DefaultRegistry)
)
