package control

import (
	"context"
	"net"
	"testing"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"pearmoor/internal/link/wire"
	"pearmoor/internal/quorum"
	"pearmoor/internal/quorum/quorumpb"
)

// takesMessages notes the sizes of what is delivered.
type takesMessages struct {
	wire.DRPCQuorumServer // nil: nothing else is called
	sizes                 chan int
}

func (s takesMessages) Deliver(_ context.Context, in *wire.QuorumMessage) (*wire.QuorumAck, error) {
	for _, b := range in.Payloads {
		s.sizes <- len(b)
	}
	return &wire.QuorumAck{}, nil
}

// slowPipe carries one connection with nothing in between that would keep what is sent
// when the sender goes away, as the kernel of one machine does.
type slowPipe struct {
	net.Conn
	rate int // bytes a second that are read
}

func (c slowPipe) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b[:min(len(b), 16<<10)])
	time.Sleep(time.Duration(n) * time.Second / time.Duration(c.rate))
	return n, err
}

// slowConns connects to one server, whatever the address.
type slowConns struct {
	mux  drpc.Handler
	rate int
}

// Conn implements relay.Conns.
func (c slowConns) Conn(ctx context.Context, _ string) (drpc.Conn, error) {
	here, there := net.Pipe()
	go func() { _ = drpcserver.New(c.mux).ServeOne(context.WithoutCancel(ctx), slowPipe{there, c.rate}) }()
	return drpcconn.New(here), nil
}

// startLinks runs the links of a control VM to one other, whose connections take so many
// bytes a second each, and returns the sizes of the messages that come.
func startLinks(t *testing.T, rate int) (*transport, <-chan int) {
	t.Helper()
	to, mux := takesMessages{sizes: make(chan int, 8)}, drpcmux.New()
	if err := wire.DRPCRegisterQuorum(mux, to); err != nil {
		t.Fatal(err)
	}
	links := newTransport(&Config{ID: 1, PeerAddr: "127.0.0.1:1", Conns: slowConns{mux, rate}, Voters: map[uint64]string{2: "127.0.0.1:2"}})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { links.run(ctx); close(ended) }()
	t.Cleanup(func() { cancel(); <-ended })
	return links, to.sizes
}

func longEntry(size int) *quorum.Message {
	return &quorum.Message{From: 1, To: 2, Kind: quorumpb.Kind_APPEND, Entries: []*quorum.Entry{{Index: 1, Data: make([]byte, size)}}}
}

// An operator adds thousands of routes at once. The change is one entry of the log, and a
// control VM's link carries it in 3 s. Were the call ended before, for what it carries, the
// leader would send the entry again, and every later one after it, to be ended again: that
// VM falls behind for good, and with a second one like it nothing is acknowledged any more.
func TestLongMessageIsDeliveredOverANarrowLink(t *testing.T) {
	t.Parallel()
	const size, rate = 1_200_000, 400_000
	links, sizes := startLinks(t, rate)
	began := time.Now()
	links.send([]*quorum.Message{longEntry(size)})
	select {
	case got := <-sizes:
		if got < size {
			t.Errorf("delivered: %d bytes of %d", got, size)
		}
	case <-time.After(4 * size / rate * time.Second):
		t.Errorf("not delivered in %v", time.Since(began))
	}
}

// An operator adds thousands of routes at once, and is told that the outcome is not known:
// the leader has given up its place while it sent the change. Its heartbeats waited behind
// the long entry, to all members at once, so that it heard none of them for an election time.
//
// Evidence: role=follower of the leader 0.6 s after an order of 0.58 MB came in, on links of
// 70 Mbit/s, with no turn of any control VM that stood still before.
func TestHeartbeatsDoNotWaitBehindALongEntry(t *testing.T) {
	t.Parallel()
	const size, rate = 1_200_000, 400_000
	const electionTime = 500 * time.Millisecond
	links, sizes := startLinks(t, rate)
	links.send([]*quorum.Message{longEntry(size)})
	for n := range 5 {
		began := time.Now()
		links.send([]*quorum.Message{{From: 1, To: 2, Kind: quorumpb.Kind_HEARTBEAT, Round: uint64(n)}})
		select {
		case got := <-sizes:
			if got >= size {
				t.Fatalf("the entry came before heartbeat %d", n)
			}
		case <-time.After(electionTime):
			t.Errorf("heartbeat %d not delivered in %v", n, time.Since(began))
		}
	}
}
