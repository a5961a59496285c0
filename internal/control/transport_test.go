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
	"pearmoor/internal/vm"
)

// deliveryRecorder records the sizes of delivered messages.
type deliveryRecorder struct {
	wire.DRPCQuorumServer // nil: no other method is called
	sizes                 chan int
}

func (s deliveryRecorder) Deliver(_ context.Context, in *wire.QuorumMessage) (*wire.QuorumAck, error) {
	for _, b := range in.Payloads {
		s.sizes <- len(b)
	}
	return &wire.QuorumAck{}, nil
}

// slowConn limits the read rate of a connection. It wraps a net.Pipe, which has no buffer:
// a TCP connection on one machine would deliver data that the kernel has buffered even
// after the sender has closed the connection.
type slowConn struct {
	net.Conn
	rate int // bytes read per second
}

func (c slowConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b[:min(len(b), 16<<10)])
	time.Sleep(time.Duration(n) * time.Second / time.Duration(c.rate))
	return n, err
}

// slowConns connects to one server, regardless of the address.
type slowConns struct {
	mux  drpc.Handler
	rate int
}

// Conn implements relay.Conns.
func (c slowConns) Conn(ctx context.Context, _ string) (drpc.Conn, error) {
	local, remote := net.Pipe()
	go func() { _ = drpcserver.New(c.mux).ServeOne(context.WithoutCancel(ctx), slowConn{remote, c.rate}) }()
	return drpcconn.New(local), nil
}

// startTransport runs a transport with one peer whose connections read rate bytes per
// second each. It returns the transport and a channel of the sizes of delivered messages.
func startTransport(t *testing.T, rate int) (*transport, <-chan int) {
	t.Helper()
	recorder, mux := deliveryRecorder{sizes: make(chan int, 8)}, drpcmux.New()
	if err := wire.DRPCRegisterQuorum(mux, recorder); err != nil {
		t.Fatal(err)
	}
	tr := newTransport(&Config{ID: 1, PeerAddr: "127.0.0.1:1", Conns: slowConns{mux, rate}, Voters: map[uint64]string{2: "127.0.0.1:2"}}, func() vm.GroupID { return "" })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { tr.run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return tr, recorder.sizes
}

func largeAppend(size int) *quorum.Message {
	return &quorum.Message{From: 1, To: 2, Kind: quorumpb.Kind_APPEND, Entries: []*quorum.Entry{{Index: 1, Data: make([]byte, size)}}}
}

// A change that adds thousands of routes is one large log entry, which a slow link carries
// in 3 s. With a time limit that does not grow with the size, the call would time out on
// every attempt and block all later entries: the member falls behind for good, and with two
// such members of three no change is acknowledged any more.
func TestLargeMessageDeliveredOverSlowLink(t *testing.T) {
	t.Parallel()
	const size, rate = 1_200_000, 400_000
	tr, sizes := startTransport(t, rate)
	start := time.Now()
	tr.send([]*quorum.Message{largeAppend(size)})
	select {
	case got := <-sizes:
		if got < size {
			t.Errorf("delivered %d of %d bytes", got, size)
		}
	case <-time.After(4 * size / rate * time.Second):
		t.Errorf("message not delivered within %v", time.Since(start))
	}
}

// A leader that sends a large entry to all members must not step down. If heartbeats were
// queued behind the entry, the leader would hear from no member for an election timeout and
// the outcome of the change would be unknown to the operator. This happened with an entry of
// 0.58 MB on links of 70 Mbit/s: the leader stepped down 0.6 s after it received the change,
// although no control VM had a slow turn.
func TestHeartbeatsNotQueuedBehindLargeEntry(t *testing.T) {
	t.Parallel()
	const size, rate = 1_200_000, 400_000
	const electionTimeout = 500 * time.Millisecond
	tr, sizes := startTransport(t, rate)
	tr.send([]*quorum.Message{largeAppend(size)})
	for n := range 5 {
		start := time.Now()
		tr.send([]*quorum.Message{{From: 1, To: 2, Kind: quorumpb.Kind_HEARTBEAT, Round: uint64(n)}})
		select {
		case got := <-sizes:
			if got >= size {
				t.Fatalf("entry delivered before heartbeat %d", n)
			}
		case <-time.After(electionTimeout):
			t.Errorf("heartbeat %d not delivered within %v", n, time.Since(start))
		}
	}
}

// Guards against a leader that is elected again and does not lead for seconds, because the entries of
// its earlier term come first on a narrow link.
func TestMessagesOfEarlierTermsAreDropped(t *testing.T) {
	l := &peerLink{bulk: newSendQueue(), urgent: newSendQueue()}
	for range 3 {
		l.enqueue(&quorum.Message{Term: 4, Kind: quorumpb.Kind_APPEND})
	}
	l.enqueue(&quorum.Message{Term: 5, Kind: quorumpb.Kind_APPEND})
	l.enqueue(&quorum.Message{Term: 5, Kind: quorumpb.Kind_APPEND})
	if q := l.bulk.messages; len(q) != 2 || q[0].Term != 5 {
		t.Errorf("%d messages queued, the first of term %d; want 2 of term 5", len(q), q[0].Term)
	}
}
