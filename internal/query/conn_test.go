package query

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc"

	"pearmoor/internal/link/peer"
	"pearmoor/internal/link/wire"
)

// Conn implements relay.Conns.
func (w *world) Conn(_ context.Context, addr string) (drpc.Conn, error) {
	return &worldConn{w: w, addr: addr}, nil
}

// fakeConn calls a daemon directly. It copies the messages as if they were sent over DRPC.
type worldConn struct {
	drpc.Conn
	w    *world
	addr string
}

func (c *worldConn) Close() error { return nil }

func (c *worldConn) Invoke(ctx context.Context, rpc string, _ drpc.Encoding, in, out drpc.Message) error {
	c.w.mu.Lock()
	d := c.w.daemons[c.addr]
	c.w.mu.Unlock()
	if d.isCrashed() {
		return &peer.NotSentError{Addr: c.addr, Cause: errors.New("connection refused")}
	}
	if d.unreachable.Load() {
		<-ctx.Done()
		return &peer.NotSentError{Addr: c.addr, Cause: ctx.Err()}
	}
	time.Sleep(oneWay)
	done := make(chan error, 1)
	go func() { done <- d.handle(ctx, rpc, clone(in), out) }()
	select {
	case err := <-done:
		time.Sleep(oneWay)
		if d.isCrashed() {
			return errors.New("connection reset")
		}
		return err
	case <-ctx.Done():
		<-done
		return ctx.Err()
	}
}

func clone(m drpc.Message) proto.Message { return proto.Clone(m.(proto.Message)) }

func (d *daemon) handle(ctx context.Context, rpc string, in proto.Message, out drpc.Message) error {
	var reply proto.Message
	var err error
	switch req := in.(type) {
	case *wire.SubQuery:
		reply, err = d.engine.Home().Query(ctx, req)
	case *wire.DescribeRequest:
		reply, err = d.engine.Home().Describe(ctx, req)
	case *wire.KeyedQuery:
		reply, err = d.engine.Home().Keyed(ctx, req)
	default:
		return errors.Newf("unknown call %s", rpc)
	}
	if err == nil {
		proto.Merge(out.(proto.Message), reply)
	}
	return err
}

func (d *daemon) isCrashed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.crashed
}
