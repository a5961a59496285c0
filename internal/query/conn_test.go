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
func (tier *testTier) Conn(_ context.Context, addr string) (drpc.Conn, error) {
	return &fakeConn{tier: tier, addr: addr}, nil
}

// fakeConn calls a daemon directly. It copies the messages as if they were sent over DRPC.
type fakeConn struct {
	drpc.Conn
	tier *testTier
	addr string
}

func (c *fakeConn) Close() error { return nil }

func (c *fakeConn) Invoke(ctx context.Context, rpc string, _ drpc.Encoding, in, out drpc.Message) error {
	c.tier.mu.Lock()
	d := c.tier.daemons[c.addr]
	c.tier.mu.Unlock()
	if d.isCrashed() {
		return &peer.NotSentError{Addr: c.addr, Cause: errors.New("connection refused")}
	}
	if d.unreachable.Load() {
		<-ctx.Done()
		return &peer.NotSentError{Addr: c.addr, Cause: ctx.Err()}
	}
	time.Sleep(networkDelay)
	done := make(chan error, 1)
	go func() { done <- d.handle(ctx, rpc, clone(in), out) }()
	select {
	case err := <-done:
		time.Sleep(networkDelay)
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

func (d *testDaemon) handle(ctx context.Context, rpc string, in proto.Message, out drpc.Message) error {
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

func (d *testDaemon) isCrashed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.crashed
}
