package relay

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc"

	"pearmoor/internal/link/wire"
)

// testNetwork carries Sync calls between daemons in this process. Each address can be
// cut off silently, or paused so that its messages are delayed.
type testNetwork struct {
	mu          sync.Mutex
	rng         *rand.Rand
	servers     map[string]wire.DRPCSpreadServer
	cut         map[string]bool          // calls to and from the address hang
	between     map[[2]string]bool       // calls from the first to the second address hang
	paused      map[string]chan struct{} // nothing passes until the channel is closed
	calls       map[string]int
	delay       time.Duration // maximum one-way delay
	lateReplies bool          // also deliver replies after the caller's deadline
}

func newTestNetwork(seed uint64) *testNetwork {
	return &testNetwork{
		rng:     rand.New(rand.NewPCG(seed, seed)),
		servers: make(map[string]wire.DRPCSpreadServer),
		cut:     make(map[string]bool),
		between: make(map[[2]string]bool),
		paused:  make(map[string]chan struct{}),
		calls:   make(map[string]int),
	}
}

func (f *testNetwork) serve(addr string, s wire.DRPCSpreadServer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.servers[addr] = s
}

func (f *testNetwork) setCut(addr string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[addr] = cut
}

func (f *testNetwork) cutBetween(from, to string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.between[[2]string{from, to}] = cut
}

func (f *testNetwork) pause(addr string) (resume func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	ch := make(chan struct{})
	f.paused[addr] = ch
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.paused, addr)
		close(ch)
	}
}

func (f *testNetwork) callsTo(addr string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls[addr]
}

// from returns the connections of the daemon at addr.
func (f *testNetwork) from(addr string) Conns { return testDialer{network: f, from: addr} }

type testDialer struct {
	network *testNetwork
	from    string
}

func (d testDialer) Conn(_ context.Context, addr string) (drpc.Conn, error) {
	return &testConn{testDialer: d, to: addr}, nil
}

type testConn struct {
	testDialer
	to string
}

func (l *testConn) Close() error            { return nil }
func (l *testConn) Closed() <-chan struct{} { return nil }

func (l *testConn) NewStream(context.Context, string, drpc.Encoding) (drpc.Stream, error) {
	return nil, errors.New("streams are not supported")
}

func (l *testConn) Invoke(ctx context.Context, _ string, _ drpc.Encoding, in, out drpc.Message) error {
	s, late, err := l.open(ctx)
	if err != nil {
		return err
	}
	if late {
		ctx = context.WithoutCancel(ctx)
	}
	if err := l.deliver(ctx); err != nil {
		return err
	}
	reply, err := s.Sync(ctx, proto.Clone(in.(proto.Message)).(*wire.SyncRequest))
	if err != nil {
		return err
	}
	if err := l.deliver(ctx); err != nil {
		return err
	}
	proto.Merge(out.(proto.Message), reply)
	return nil
}

func (l *testConn) open(ctx context.Context) (wire.DRPCSpreadServer, bool, error) {
	f := l.network
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls[l.to]++
	s, ok := f.servers[l.to]
	if !ok {
		return nil, false, errors.Newf("connection refused by %s", l.to)
	}
	return s, f.lateReplies && f.rng.IntN(2) == 0, ctx.Err()
}

// deliver simulates the transit of one message between the two ends.
func (l *testConn) deliver(ctx context.Context) error {
	f := l.network
	f.mu.Lock()
	var delay time.Duration
	if f.delay > 0 {
		delay = time.Duration(f.rng.Int64N(int64(f.delay)))
	}
	f.mu.Unlock()
	time.Sleep(delay)
	for _, end := range []string{l.from, l.to} {
		f.mu.Lock()
		held, cut := f.paused[end], f.cut[end] || f.between[[2]string{l.from, l.to}]
		f.mu.Unlock()
		if cut {
			// A message on a cut connection is lost; the call ends at the caller's
			// deadline.
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(time.Minute):
				return errors.New("connection lost")
			}
		}
		if held != nil {
			<-held
		}
	}
	return nil
}
