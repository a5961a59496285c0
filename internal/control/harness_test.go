package control

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"testing"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcmux"

	"pearmoor/internal/link/peer"
	"pearmoor/internal/link/wire"
)

const (
	waitTimeout  = 60 * time.Second // upper limit of each wait in these tests
	pollInterval = 5 * time.Millisecond
)

// testVM is a control VM that serves on a loopback port.
type testVM struct {
	t          testing.TB
	cfg        Config
	node       *Node
	conns      *blockableConns
	cancel     context.CancelFunc
	runDone    chan struct{}  // closed when Run has returned
	background sync.WaitGroup // Run and Serve; Serve returns after connections are drained
	err        error
}

// blockableConns is a connection pool whose connections can be blocked by address. A call
// to a blocked address neither succeeds nor is refused until its context is done.
type blockableConns struct {
	*peer.Pool
	mu      sync.Mutex
	blocked map[string]bool
}

func (c *blockableConns) setBlocked(addr string, blocked bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blocked[addr] = blocked
}

// Conn implements relay.Conns.
func (c *blockableConns) Conn(ctx context.Context, addr string) (drpc.Conn, error) {
	c.mu.Lock()
	blocked := c.blocked[addr]
	c.mu.Unlock()
	if blocked {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return c.Pool.Conn(ctx, addr)
}

func listen(t testing.TB, addr string) net.Listener {
	t.Helper()
	lis, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	return lis
}

// startVM opens a control VM, runs it and serves on lis.
func startVM(t testing.TB, cfg Config, lis net.Listener) *testVM {
	t.Helper()
	return startVMWith(t, cfg, lis, nil)
}

func startVMWith(t testing.TB, cfg Config, lis net.Listener, serverTLS *tls.Config) *testVM {
	t.Helper()
	pool := &blockableConns{Pool: peer.NewPool(nil), blocked: make(map[string]bool)}
	cfg.Conns, cfg.PeerAddr = pool, lis.Addr().String()
	n, err := Open(cfg)
	if err != nil {
		t.Fatal(err)
	}
	mux := drpcmux.New()
	if err := n.Register(mux); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	v := &testVM{t: t, cfg: cfg, node: n, conns: pool, cancel: cancel, runDone: make(chan struct{})}
	v.background.Go(func() {
		v.err = n.Run(ctx)
		_ = pool.Close()
		close(v.runDone)
	})
	v.background.Go(func() { _ = peer.Serve(ctx, lis, mux, serverTLS) })
	t.Cleanup(func() {
		v.cancel()
		v.background.Wait()
	})
	return v
}

// stop stops the VM. Its server may still be closing idle connections when stop returns.
func (v *testVM) stop() {
	v.cancel()
	<-v.runDone
}

// restart stops the VM and starts it again with the same data folder and address.
func (v *testVM) restart() *testVM {
	v.t.Helper()
	v.stop()
	var lis net.Listener
	eventually(v.t, "the address is free", func() (ok bool) {
		var err error
		lis, err = net.Listen("tcp", v.cfg.PeerAddr)
		return err == nil
	})
	return startVM(v.t, v.cfg, lis)
}

// eventually waits until ok returns true and fails the test after waitTimeout.
func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if ok() {
			return
		}
	}
	t.Fatalf("condition not met within %v: %s", waitTimeout, what)
}

func (v *testVM) isLeader() bool { return v.node.leadership.Load().confirmed(v.node.cfg.Clock()) }

func (v *testVM) firstRecord() uint64 {
	v.node.mu.RLock()
	defer v.node.mu.RUnlock()
	return v.node.state.FirstRecord()
}

func (v *testVM) digest() uint64 {
	v.node.mu.RLock()
	defer v.node.mu.RUnlock()
	return v.node.state.Tree().Digest()
}

// client is a connection of an operator or a daemon to one control VM.
type client struct {
	t    testing.TB
	pool *peer.Pool
	conn drpc.Conn
}

func dialVM(t testing.TB, v *testVM) *client {
	t.Helper()
	return dialWith(t, v, nil)
}

func dialWith(t testing.TB, v *testVM, clientTLS *tls.Config) *client {
	t.Helper()
	pool := peer.NewPool(clientTLS)
	conn, err := pool.Conn(context.Background(), v.cfg.PeerAddr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = pool.Close() })
	return &client{t: t, pool: pool, conn: conn}
}

func (c *client) close() { _ = c.pool.Close() }

func (c *client) control() wire.DRPCControlClient { return wire.NewDRPCControlClient(c.conn) }

func (c *client) spread() wire.DRPCSpreadClient { return wire.NewDRPCSpreadClient(c.conn) }

// change sends a change with one edit of the tree's root.
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

func callCtx(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	t.Cleanup(cancel)
	return ctx
}
