package peer

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"pearmoor/internal/link/wire"
)

// powerCycleProxy forwards connections to a server. When epoch changes, it simulates a VM
// that has lost power and restarted: open connections become silent, data sent on one is
// answered with a reset, and new connections are forwarded.
type powerCycleProxy struct {
	lis    net.Listener
	server string
	epoch  atomic.Int64
}

func newPowerCycleProxy(t *testing.T, server string) *powerCycleProxy {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	p := &powerCycleProxy{lis: lis, server: server}
	go func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			go p.forward(c.(*net.TCPConn), p.epoch.Load())
		}
	}()
	return p
}

func (p *powerCycleProxy) forward(client *net.TCPConn, epoch int64) {
	server, err := net.Dial("tcp", p.server)
	if err != nil {
		_ = client.Close()
		return
	}
	go func() {
		buf := make([]byte, 4096)
		for {
			n, err := server.Read(buf)
			if err != nil {
				return
			}
			_, _ = client.Write(buf[:n])
		}
	}()
	buf := make([]byte, 4096)
	for {
		n, err := client.Read(buf)
		if err != nil {
			_ = server.Close()
			return
		}
		if p.epoch.Load() != epoch {
			_ = client.SetLinger(0)
			_ = client.Close()
			_ = server.Close()
			return
		}
		_, _ = server.Write(buf[:n])
	}
}

// Guards against one failed call for each lost connection. A control VM loses power and
// restarts while a daemon has four idle connections to it. The call that uses the first of
// them fails; the next call must succeed. Otherwise the daemon receives changes only after
// four failed calls and the pauses between them.
func TestLostConnectionsFailOneCall(t *testing.T) {
	const conns = 4
	c := &controlServer{entered: make(chan struct{}), hold: make(chan struct{})}
	s := startServer(t, c, nil)
	defer func() { _ = s.stop() }()
	p := newPowerCycleProxy(t, s.addr)
	pool := NewPool(nil)
	defer pool.Close()
	addr := p.lis.Addr().String()
	ended := make(chan error, conns)
	for range conns {
		go func() {
			conn, err := pool.Conn(context.Background(), addr)
			if err == nil {
				_, err = wire.NewDRPCControlClient(conn).Status(context.Background(), &wire.StatusRequest{})
			}
			ended <- err
		}()
		<-c.entered
	}
	close(c.hold)
	for range conns {
		if err := <-ended; err != nil {
			t.Fatal(err)
		}
	}
	p.epoch.Add(1)
	if _, err := readIdentity(pool, addr); err == nil {
		t.Error("a call on a lost connection succeeded")
	}
	time.Sleep(10 * time.Millisecond)
	if _, err := readIdentity(pool, addr); err != nil {
		t.Errorf("the next call: %v", err)
	}
}
