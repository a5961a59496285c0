package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sys/unix"

	"pearmoor/internal/link/wire"
)

// Guards against calls that wait for a lost VM. The VM fails silently and the first dial
// to it times out. The calls after it must fail at once, so that callers turn to the other
// home, and one of them must detect when the VM is back.
func TestFailedDialFailsCallsFast(t *testing.T) {
	Convey("After a failed dial", t, func() {
		ctx := context.Background()
		var h health
		before := time.Now()
		So(h.allow(before), ShouldBeNil)
		h.recordDial(ctx, before, errors.New("timed out"))
		So(h.allow(before), ShouldNotBeNil)

		later := time.Now().Add(2 * dialBackoff)
		So(h.allow(later), ShouldBeNil)    // the probe
		So(h.allow(later), ShouldNotBeNil) // other calls during the probe

		Convey("a failed probe starts another pause", func() {
			before := time.Now()
			h.recordDial(ctx, before, errors.New("timed out"))
			So(h.allow(before), ShouldNotBeNil)
		})
		Convey("a successful probe allows all dials", func() {
			h.recordDial(ctx, before, nil)
			So(h.allow(later), ShouldBeNil)
			So(h.allow(later), ShouldBeNil)
		})
		Convey("a probe whose caller gave up early lets the next caller probe", func() {
			gone, cancel := context.WithCancel(ctx)
			cancel()
			h.recordDial(gone, time.Now().Add(time.Hour), gone.Err())
			So(h.allow(later), ShouldBeNil)
		})
	})
	Convey("A dial ended by its caller's short deadline does not count as a failure of the address", t, func() {
		var h health
		gone, cancel := context.WithCancel(context.Background())
		cancel()
		now := time.Now()
		h.recordDial(gone, now.Add(time.Hour), gone.Err()) // the dial took no time
		So(h.allow(now), ShouldBeNil)
		h.recordDial(gone, now.Add(-slowDialThreshold), gone.Err())
		So(h.allow(now), ShouldNotBeNil)
	})
}

// Guards against addresses that stay excluded after a failure. An address refuses
// connects, then a daemon starts there, and calls must succeed again with the same pool.
func TestAddressIsUsedAgainAfterRecovery(t *testing.T) {
	Convey("A pool calls an address that is available again", t, func() {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		addr := lis.Addr().String()
		So(lis.Close(), ShouldBeNil)
		pool := NewPool(nil)
		defer pool.Close()
		_, err = readIdentity(pool, addr)
		So(NotSent(err), ShouldBeTrue)

		s := startServerAt(t, addr, &controlServer{}, nil)
		defer func() { So(s.stop(), ShouldBeNil) }()
		end := time.Now().Add(testWait)
		for err != nil && time.Now().Before(end) {
			time.Sleep(dialBackoff / 10)
			_, err = readIdentity(pool, addr)
		}
		So(err, ShouldBeNil)
	})
}

// Guards against connections that stay open for a quarter of an hour after the link was
// cut without a reset. Only the kernel can detect this, and only with these socket
// options.
func TestSocketTimeouts(t *testing.T) {
	Convey("Both ends of a connection have the socket timeouts", t, func() {
		client, server := connPair(t)
		So(peerTimeouts.apply(client), ShouldBeNil)
		for conn, p := range map[net.Conn]socketTimeouts{client: peerTimeouts, server: callerTimeouts} {
			So(socketOption(t, conn, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT), ShouldEqual, p.UserTimeout.Milliseconds())
			So(socketOption(t, conn, unix.SOL_SOCKET, unix.SO_KEEPALIVE), ShouldEqual, 1)
			So(socketOption(t, conn, unix.IPPROTO_TCP, unix.TCP_KEEPIDLE), ShouldEqual, p.Idle.Seconds())
			So(socketOption(t, conn, unix.IPPROTO_TCP, unix.TCP_KEEPINTVL), ShouldEqual, p.Interval.Seconds())
		}
	})

	// The other process hangs: its kernel still acknowledges, but the process reads
	// nothing. Keep-alives are answered, so only the user timeout ends the write.
	Convey("The kernel ends a write that makes no progress", t, func() {
		client, _ := connPair(t)
		p := socketTimeouts{Idle: time.Hour, Interval: time.Hour, UserTimeout: 200 * time.Millisecond}
		So(p.apply(client), ShouldBeNil)
		So(client.SetWriteDeadline(time.Now().Add(testWait)), ShouldBeNil)
		chunk := make([]byte, 1<<20)
		var err error
		for err == nil {
			_, err = client.Write(chunk)
		}
		So(errors.Is(err, unix.ETIMEDOUT), ShouldBeTrue)
	})
}

// connPair returns the two ends of a connection. The server end comes from CallerListener.
func connPair(t *testing.T) (client, server net.Conn) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer lis.Close()
	accepted := make(chan net.Conn, 1)
	go func() {
		conn, _ := CallerListener(lis).Accept()
		accepted <- conn
	}()
	if client, err = net.Dial("tcp", lis.Addr().String()); err != nil {
		t.Fatal(err)
	}
	server = <-accepted
	t.Cleanup(func() {
		_ = client.Close()
		_ = server.Close()
	})
	return client, server
}

func socketOption(t *testing.T, conn net.Conn, level, name int) int {
	t.Helper()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var value int
	err = raw.Control(func(fd uintptr) { value, _ = unix.GetsockoptInt(int(fd), level, name) })
	if err != nil {
		t.Fatal(err)
	}
	return value
}

// Guards against a pool that grows without bound in a daemon that runs for years while the
// VMs that it calls are replaced.
func TestPoolEvictsUnusedAddresses(t *testing.T) {
	Convey("A pool drops the state of addresses that are no longer called", t, func() {
		pool := NewPool(nil)
		defer pool.Close()
		for _, addr := range []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"} {
			_, err := pool.Conn(context.Background(), addr)
			So(err, ShouldBeNil)
		}
		pool.peers["127.0.0.1:2"].slots <- struct{}{} // a call in flight
		pool.evictUnused(time.Now())
		So(len(pool.peers), ShouldEqual, 3)
		pool.evictUnused(time.Now().Add(2 * forgetAddressAfter))
		So(len(pool.peers), ShouldEqual, 1)
		So(pool.peers, ShouldContainKey, "127.0.0.1:2")
	})
}

// Guards against an unbounded number of connections to an address that answers slowly. A
// call beyond the bound waits for a free connection, and if its deadline passes first, it
// reports that it was not sent.
func TestCallBeyondConnectionBoundIsNotSent(t *testing.T) {
	Convey("Calls beyond the bound are not sent", t, func() {
		c := &controlServer{entered: make(chan struct{}, connsPerAddr), hold: make(chan struct{})}
		s := startServer(t, c, nil)
		pool := NewPool(nil)
		defer pool.Close()
		conn, err := pool.Conn(context.Background(), s.addr)
		So(err, ShouldBeNil)
		client := wire.NewDRPCControlClient(conn)
		done := make(chan error, connsPerAddr)
		for range connsPerAddr {
			go func() {
				_, err := client.Status(context.Background(), &wire.StatusRequest{})
				done <- err
			}()
		}
		for range connsPerAddr {
			<-c.entered
		}
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		defer cancel()
		_, err = client.Read(ctx, &wire.ReadRequest{})
		So(NotSent(err), ShouldBeTrue)
		So(err.Error(), ShouldContainSubstring, "busy")

		close(c.hold)
		for range connsPerAddr {
			So(<-done, ShouldBeNil)
		}
		_, err = readIdentity(pool, s.addr)
		So(err, ShouldBeNil)
		So(s.stop(), ShouldBeNil)
	})
}

// Guards against a server that fails on invalid input. Any program may connect to the peer
// port; bytes that are no drpc call must end only their own connection.
func TestInvalidBytesEndOnlyTheirConnection(t *testing.T) {
	Convey("Invalid bytes end only their own connection", t, func() {
		s := startServer(t, &controlServer{}, nil)
		defer func() { So(s.stop(), ShouldBeNil) }()
		for _, garbage := range []string{"GET / HTTP/1.1\r\n\r\n", "\x16\x03\x01\x02\x00\x01", "\xff\xff\xff\xff\xff\xff\xff\xff"} {
			conn, err := net.Dial("tcp", s.addr)
			So(err, ShouldBeNil)
			_, _ = conn.Write([]byte(garbage))
			_ = conn.(*net.TCPConn).CloseWrite()
			_ = conn.SetReadDeadline(time.Now().Add(testWait))
			_, _ = conn.Read(make([]byte, 64))
			_ = conn.Close()
		}
		pool := NewPool(nil)
		defer pool.Close()
		conn, err := pool.Conn(context.Background(), s.addr)
		So(err, ShouldBeNil)
		_, err = wire.NewDRPCControlClient(conn).Read(context.Background(), &wire.ReadRequest{})
		So(err, ShouldBeNil)
	})
}
