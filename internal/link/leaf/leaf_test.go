package leaf

import (
	"context"
	"encoding/json"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pearmoor/internal/admit"
	"pearmoor/internal/contract"
	"pearmoor/internal/settings"
	"pearmoor/internal/vm"
)

// testTimeout bounds the wait for events that normally happen immediately.
const testTimeout = 20 * time.Second

// fakeLeaf is a leaf that counts the requests and connections that it receives.
type fakeLeaf struct {
	*httptest.Server
	runs          atomic.Int64 // requests whose handler was started
	inFlight      atomic.Int64
	maxInFlight   atomic.Int64 // maximum of inFlight
	connsAccepted atomic.Int64 // connections accepted
	connsOpen     atomic.Int64
	maxConnsOpen  atomic.Int64 // maximum of connsOpen
	// closeDelay is how long the leaf takes to close its side of a connection.
	closeDelay time.Duration

	mu            sync.Mutex
	handle        func(w http.ResponseWriter, r *http.Request, q *contract.LeafRequest)
	status        contract.LeafStatus
	statusHandler http.HandlerFunc // if set, serves the status endpoint instead of status
}

func newFakeLeaf(t testing.TB) *fakeLeaf {
	f := newFakeLeafUnstarted()
	f.Start()
	t.Cleanup(f.Close)
	return f
}

func newFakeLeafUnstarted() *fakeLeaf {
	f := &fakeLeaf{handle: writeReply}
	f.status = contract.LeafStatus{Name: "a", State: contract.LeafServing, Slots: 2}
	mux := http.NewServeMux()
	mux.HandleFunc(contract.LeafQueryPath, f.serveQuery)
	mux.HandleFunc(contract.LeafStatusPath, f.serveStatus)
	f.Server = httptest.NewUnstartedServer(mux)
	f.Listener = &leafListener{f.Listener, f}
	return f
}

// storeMax sets maximum to n if n is larger.
func storeMax(maximum *atomic.Int64, n int64) {
	for m := maximum.Load(); n > m && !maximum.CompareAndSwap(m, n); m = maximum.Load() {
	}
}

// leafListener counts the connections whose server side is open. http.Server.ConnState is not
// used because it runs after the connection is closed, so it would still count connections
// that callers have already seen closed.
type leafListener struct {
	net.Listener
	f *fakeLeaf
}

// Accept implements net.Listener.
func (l *leafListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.f.connsAccepted.Add(1)
	storeMax(&l.f.maxConnsOpen, l.f.connsOpen.Add(1))
	return &leafConn{TCPConn: c.(*net.TCPConn), f: l.f}, nil
}

type leafConn struct {
	*net.TCPConn
	f    *fakeLeaf
	once sync.Once
}

// Close implements net.Conn.
func (c *leafConn) Close() error {
	c.once.Do(func() {
		time.Sleep(c.f.closeDelay)
		c.f.connsOpen.Add(-1)
	})
	return c.TCPConn.Close()
}

func (f *fakeLeaf) serveQuery(w http.ResponseWriter, r *http.Request) {
	var q contract.LeafRequest
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	// net/http detects a closed connection only after the request body was read completely.
	_, _ = io.Copy(io.Discard, r.Body)
	f.runs.Add(1)
	storeMax(&f.maxInFlight, f.inFlight.Add(1))
	defer f.inFlight.Add(-1)
	f.mu.Lock()
	h := f.handle
	f.mu.Unlock()
	h(w, r, &q)
}

func (f *fakeLeaf) serveStatus(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	st, h := f.status, f.statusHandler
	f.mu.Unlock()
	if h != nil {
		h(w, r)
		return
	}
	json.NewEncoder(w).Encode(st)
}

// update runs change with f.mu held.
func (f *fakeLeaf) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func replyTo(q *contract.LeafRequest) contract.LeafReply {
	return contract.LeafReply{
		ID: q.ID, Attempt: q.Attempt, Service: q.Service, Shard: q.Shard, IndexVersion: q.IndexVersion,
		Hits: []contract.Hit{{ID: "h", Score: 1}},
	}
}

func writeReply(w http.ResponseWriter, _ *http.Request, q *contract.LeafRequest) {
	json.NewEncoder(w).Encode(replyTo(q))
}

func (f *fakeLeaf) leaf() settings.Leaf {
	return settings.Leaf{Name: "a", Addr: f.Listener.Addr().String(), Domain: "lalitpur-hall"}
}

// discardLogger keeps the server's messages on faults that a test causes out of the output.
func discardLogger() *log.Logger { return log.New(io.Discard, "", 0) }

// fixture is a sender and its gates, configured for one leaf.
type fixture struct {
	sender *Sender
	gates  *admit.Gates
	leaf   settings.Leaf
}

func newFixture(t testing.TB, leaf settings.Leaf, slots int, config ConnConfig) *fixture {
	r := &fixture{sender: NewSender(Config{}), gates: admit.NewGates(vm.Now), leaf: leaf}
	r.gates.Configure(leaf.Addr, admit.Limits{Slots: slots, MaxQueue: 16})
	r.gates.SetLeaseEnd(vm.Now().Add(time.Hour))
	r.sender.Configure(leaf, config)
	t.Cleanup(r.sender.Close)
	return r
}

func request(id string) *contract.LeafRequest {
	return &contract.LeafRequest{ID: id, Attempt: 1, Service: "/s", Shard: 3, IndexVersion: 7, Body: json.RawMessage(`{"q":"<pension>"}`)}
}

func (r *fixture) send(ctx context.Context, t testing.TB, id string) (*contract.LeafReply, error) {
	p, err := r.gates.Acquire(ctx, r.leaf.Addr, settings.Urgent)
	if err != nil {
		return nil, err
	}
	return r.sender.Send(ctx, r.leaf, request(id), p)
}

func contextWithTimeout(t testing.TB, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

// eventually waits until cond is true and fails the test after testTimeout.
func eventually(t testing.TB, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if cond() {
			return
		}
	}
	t.Fatalf("condition not met within %v: %s", testTimeout, what)
}
