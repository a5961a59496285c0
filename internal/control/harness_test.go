package control

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcmux"

	"pearmoor/internal/link/peer"
	"pearmoor/internal/link/wire"
)

const patience = 20 * time.Second // upper limit of every wait in these tests

// testVM is a control VM that answers on a loopback port.
type testVM struct {
	t      *testing.T
	cfg    Config
	node   *Node
	cancel context.CancelFunc
	done   sync.WaitGroup
	err    error
}

func listen(t *testing.T, addr string) net.Listener {
	t.Helper()
	lis, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	return lis
}

// startVM opens and runs a control VM on lis.
func startVM(t *testing.T, cfg Config, lis net.Listener) *testVM {
	t.Helper()
	pool := peer.NewPool(nil)
	cfg.Conns, cfg.PeerAddr, cfg.Tick = pool, lis.Addr().String(), 20*time.Millisecond
	n, err := Open(cfg)
	if err != nil {
		t.Fatal(err)
	}
	mux := drpcmux.New()
	if err := n.Register(mux); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	v := &testVM{t: t, cfg: cfg, node: n, cancel: cancel}
	v.done.Go(func() { v.err = n.Run(ctx) })
	v.done.Go(func() { _ = peer.Serve(ctx, lis, mux, nil) })
	v.done.Go(func() { <-ctx.Done(); _ = pool.Close() })
	t.Cleanup(v.stop)
	return v
}

func (v *testVM) stop() {
	v.cancel()
	v.done.Wait()
}

// restart runs the VM again on the same folder and address.
func (v *testVM) restart() *testVM {
	v.t.Helper()
	v.stop()
	return startVM(v.t, v.cfg, listen(v.t, v.cfg.PeerAddr))
}

// eventually waits until ok holds.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("not within %v: %s", patience, what)
}

func (v *testVM) leads() bool { return v.node.lead.Load().confirmed(v.node.cfg.Clock()) }

// client is an operator or a daemon that talks to one control VM.
type client struct {
	t    *testing.T
	pool *peer.Pool
	conn drpc.Conn
}

func dialVM(t *testing.T, v *testVM) *client {
	t.Helper()
	pool := peer.NewPool(nil)
	conn, err := pool.Conn(context.Background(), v.cfg.PeerAddr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = pool.Close() })
	return &client{t: t, pool: pool, conn: conn}
}

func (c *client) control() wire.DRPCControlClient { return wire.NewDRPCControlClient(c.conn) }

func (c *client) spread() wire.DRPCSpreadClient { return wire.NewDRPCSpreadClient(c.conn) }

// change sends one edit of the root.
func (c *client) change(id string, base uint64, name, value string) *wire.ChangeReply {
	c.t.Helper()
	r, err := c.control().Change(callCtx(c.t), changeRequest(id, base, name, value))
	if err != nil {
		c.t.Fatal(err)
	}
	return r
}

func changeRequest(id string, base uint64, name, value string) *wire.ChangeRequest {
	return &wire.ChangeRequest{
		ChangeId: id, BaseVersion: base, Reason: "test", Operator: "asha",
		Edits: []*wire.Edit{{Path: "/", Name: name, Value: value}},
	}
}

func callCtx(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	t.Cleanup(cancel)
	return ctx
}
