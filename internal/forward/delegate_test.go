package forward

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"
	"storj.io/drpc/drpcmux"

	"pearmoor/internal/discovery"
	"pearmoor/internal/link/peer"
	"pearmoor/internal/link/target"
	"pearmoor/internal/link/wire"
	"pearmoor/internal/route"
	"pearmoor/internal/vm"
)

// fakePeers is a PeerDaemons with one daemon for delegated sends.
type oneNear struct {
	addr      string
	runners   []string // empty if gathers are not handed over
	pool      *peer.Pool
	asked     atomic.Int32
	failed    atomic.Int32
	suspected atomic.Int32
}

func (n *oneNear) Daemon(string) string { n.asked.Add(1); return n.addr }

func (n *oneNear) Runner(asked []string) string {
	for _, addr := range n.runners {
		if !slices.Contains(asked, addr) {
			return addr
		}
	}
	return ""
}

func (n *oneNear) Handover(ctx context.Context, addr string) (wire.DRPCGather_HandoverClient, error) {
	conn, err := n.pool.Conn(ctx, addr)
	if err != nil {
		return nil, err
	}
	return wire.NewDRPCGatherClient(conn).Handover(ctx)
}

func (n *oneNear) Scatter(ctx context.Context, addr string) (wire.DRPCGather_ScatterClient, error) {
	conn, err := n.pool.Conn(ctx, addr)
	if err != nil {
		return nil, err
	}
	return wire.NewDRPCGatherClient(conn).Scatter(ctx)
}

func (n *oneNear) Ended(_ string, err error) {
	if err != nil {
		n.failed.Add(1)
	}
}

func (n *oneNear) Suspect(string) { n.suspected.Add(1) }

// twoDaemonFixture is a local daemon that serves callers and a remote daemon in the failure
// domain of all leaves.
type twoDaemons struct {
	*world
	near   *oneNear
	helper *Engine
	stop   func() // stops the server of the remote daemon
}

const awayShards = 8

// newTwoDaemonFixture returns a fixture with every leaf of the route in the failure domain of
// the remote daemon.
func newTwoDaemons(t *testing.T, rt route.Route, leaves map[string][]*fakeLeaf) *twoDaemons {
	t.Helper()
	w := newWorld(t, rt, leaves)
	book := w.engine.cfg.Book
	var list []discovery.Listed
	for _, l := range book.Snapshot().All() {
		list = append(list, discovery.Listed{ID: l.ID, Service: l.Service, Addr: l.Addr, Domain: "there", Slots: l.Slots})
	}
	book.Take(list, vm.Monotonic())
	cfg := w.engine.cfg
	cfg.Board = NewBoard(vm.Monotonic, "there")
	helper := New(cfg)
	helper.Install(w.engine.Table(), 1)
	mux := drpcmux.New()
	if err := wire.DRPCRegisterGather(mux, helper.Scatterer()); err != nil {
		t.Fatal(err)
	}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = peer.ServeTrusted(ctx, lis, mux) }()
	var once sync.Once
	stop := func() { once.Do(func() { cancel(); <-done }) }
	t.Cleanup(stop)
	pool := peer.NewTrustedPool()
	t.Cleanup(func() { _ = pool.Close() })
	near := &oneNear{addr: lis.Addr().String(), pool: pool}
	w.engine.cfg.Near = near
	return &twoDaemons{world: w, near: near, helper: helper, stop: stop}
}

// remoteRoute returns a gather route over remoteShards shards and two leaves for each of them,
// with the scripts that newScript returns.
func awayRoute(t *testing.T, make func(shard, copy int) script) (route.Route, map[string][]*fakeLeaf) {
	rt, leaves := gatherOver(t, awayShards, make)
	rt.LeastCoverage, rt.Top = 0.5, 5
	return rt, leaves
}

func wholePart(shard, _ int) script {
	return answers(record(fmt.Sprint("a", shard)) + record(fmt.Sprint("c", shard)))
}

func total(leaves map[string][]*fakeLeaf) int {
	n := 0
	for _, list := range leaves {
		for _, l := range list {
			n += len(l.requests())
		}
	}
	return n
}

// If all leaves are in another failure domain, every send is delegated to the daemon there.
// The answer holds the greatest records of all parts and lists each part once.
func TestGatherThroughDaemonNearTheLeaves(t *testing.T) {
	rt, leaves := awayRoute(t, wholePart)
	// On a busy machine, late replies could cause hedges or an answer with missing parts,
	// which are not under test here.
	rt.Attempts, rt.TargetLatency, rt.Timeout = 1, 0, 20*time.Second
	w := newTwoDaemons(t, rt, leaves)
	resp, text := w.do(t, http.MethodGet, "/x?y=1", "")
	want := ""
	for _, s := range []string{"c7", "c6", "c5", "c4", "c3"} {
		want += record(s)
	}
	if resp.StatusCode != 200 || text != want || resp.Header.Get("Missing") != "0" {
		t.Errorf("status %d, missing %s, %q", resp.StatusCode, resp.Header.Get("Missing"), text)
	}
	parts := strings.Split(resp.Header.Get("Parts"), ", ")
	seen := map[string]bool{}
	for _, p := range parts {
		seen[p] = true
	}
	if len(seen) != awayShards {
		t.Errorf("parts %v", parts)
	}
	if n := total(leaves); n != awayShards {
		t.Errorf("%d requests reached leaves", n)
	}
	if len(w.board.leaves) == 0 || w.near.asked.Load() != 1 {
		t.Errorf("%d calls to DelegateAddr, want 1", w.near.asked.Load())
	}
	for _, s := range w.board.leaves {
		if s.link != nil || s.InFlight() != 0 {
			t.Error("a request was sent directly or still counts as in flight")
		}
	}
}

// Guards against missing parts when the remote daemon is unreachable: nothing was sent, so
// every part must be requested directly.
func TestUnreachableDaemonNearTheLeaves(t *testing.T) {
	rt, leaves := awayRoute(t, wholePart)
	w := newTwoDaemons(t, rt, leaves)
	w.stop()
	resp, _ := w.do(t, http.MethodGet, "/", "")
	if resp.StatusCode != 200 || resp.Header.Get("Missing") != "0" {
		t.Errorf("status %d, missing %s", resp.StatusCode, resp.Header.Get("Missing"))
	}
	if w.near.failed.Load() == 0 {
		t.Error("the failed call was not reported")
	}
}

// Guards against a late or incomplete answer when the remote daemon is frozen: it accepts the
// connection and does not reply. The parts must be requested from the leaves directly.
func TestSilentDaemonNearTheLeaves(t *testing.T) {
	rt, leaves := awayRoute(t, wholePart)
	w := newTwoDaemons(t, rt, leaves)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer lis.Close()
	w.near.addr = lis.Addr().String() // the kernel accepts connections
	began := time.Now()
	resp, _ := w.do(t, http.MethodGet, "/", "")
	if resp.StatusCode != 200 || resp.Header.Get("Missing") != "0" {
		t.Errorf("status %d, missing %s", resp.StatusCode, resp.Header.Get("Missing"))
	}
	if took := time.Since(began); took > rt.TargetLatency {
		t.Errorf("took %v, want at most the target latency", took)
	}
	if w.near.suspected.Load() != 1 {
		t.Errorf("reported as overdue %d times, want 1", w.near.suspected.Load())
	}
}

// Guards against missing parts when the remote daemon stops while the leaves are working. The
// delegated sends may have run; since the route is repeatable, they are sent again to other
// leaves.
func TestDaemonNearTheLeavesEnds(t *testing.T) {
	var w *twoDaemons
	var reached atomic.Int32
	rt, leaves := awayRoute(t, func(shard, copy int) script {
		return func(l *fakeLeaf, c net.Conn, req asked) bool {
			if reached.Add(1) <= awayShards {
				return silent(l, c, req)
			}
			return wholePart(shard, copy)(l, c, req)
		}
	})
	w = newTwoDaemons(t, rt, leaves)
	go func() {
		for reached.Load() < awayShards {
			time.Sleep(time.Millisecond)
		}
		w.stop()
	}()
	resp, _ := w.do(t, http.MethodGet, "/", "")
	if resp.StatusCode != 200 || resp.Header.Get("Missing") != "0" {
		t.Errorf("status %d, missing %s", resp.StatusCode, resp.Header.Get("Missing"))
	}
	for name, list := range leaves {
		for _, l := range list {
			if n := len(l.requests()); n > 1 {
				t.Errorf("a leaf of %s got %d sends of one request, want at most 1", name, n)
			}
		}
	}
}

// Guards against duplicate records when a leaf behind the remote daemon is slow. The other
// parts are returned when they are due, the slow shard is hedged to its other leaf, and only
// one of its two parts may be in the answer.
func TestStragglerBehindDaemonNearTheLeaves(t *testing.T) {
	rt, leaves := awayRoute(t, func(shard, copy int) script {
		if shard != 2 {
			return wholePart(shard, copy)
		}
		var first atomic.Bool
		return func(l *fakeLeaf, c net.Conn, req asked) bool {
			if first.CompareAndSwap(false, true) && copy == 0 {
				time.Sleep(150 * time.Millisecond)
			}
			return answers(record("z2")+record("y2"))(l, c, req)
		}
	})
	w := newTwoDaemons(t, rt, leaves)
	for range 6 {
		resp, text := w.do(t, http.MethodGet, "/", "")
		if resp.Header.Get("Missing") != "0" {
			t.Fatalf("%s parts missing, want 0", resp.Header.Get("Missing"))
		}
		if n := strings.Count(text, record("z2")); n != 1 {
			t.Fatalf("the records of one part are in the answer %d times, want 1", n)
		}
	}
}

// Guards against invalid parts in an answer of delegated sends: an error, a reply to another
// request, and two parts with the same signature. Merged parts with a duplicate signature are
// discarded together. The answer lists no part twice and holds only records of listed parts.
func TestOddPartsThroughDaemonNearTheLeaves(t *testing.T) {
	rt, leaves := awayRoute(t, func(shard, copy int) script {
		switch shard {
		case 0:
			return func(_ *fakeLeaf, c net.Conn, req asked) bool { return reply(c, req, 500, record("zz"), stamp()) }
		case 1:
			return func(_ *fakeLeaf, c net.Conn, req asked) bool {
				req.header["Request-Id"] = "another"
				return reply(c, req, 200, record("zz"), stamp())
			}
		case 2, 3:
			return func(_ *fakeLeaf, c net.Conn, req asked) bool {
				return reply(c, req, 200, record("y"), "Signature: same")
			}
		}
		return wholePart(shard, copy)
	})
	w := newTwoDaemons(t, rt, leaves)
	resp, text := w.do(t, http.MethodGet, "/", "")
	parts := strings.Split(resp.Header.Get("Parts"), ", ")
	seen := map[string]bool{}
	for _, p := range parts {
		if seen[p] {
			t.Errorf("%s is listed twice in %v", p, parts)
		}
		seen[p] = true
	}
	if strings.Contains(text, "zz") || strings.Count(text, record("y")) > 1 {
		t.Errorf("the answer holds %q", text)
	}
	if resp.StatusCode != 200 || len(parts) != awayShards-3 || resp.Header.Get("Missing") != "3" {
		t.Errorf("status %d, %d parts, missing %s", resp.StatusCode, len(parts), resp.Header.Get("Missing"))
	}
}

// Guards against missing records after parts are discarded. A later reply of the remote daemon
// leaves out records that are not among the greatest together with the first parts. If the
// first parts are discarded, the later part is incomplete and must be requested again.
func TestWhatBuildsOnSpoiledPartsIsNotUsed(t *testing.T) {
	first := &partSet{records: []byte(record("c"))}
	later := &partSet{records: []byte(record("b")), before: first}
	other := &partSet{records: []byte(record("a"))}
	w := newWorld(t, route.Route{Shards: []string{"s0", "s1", "s2"}, Top: 2, Attempts: 1}, nil)
	a := w.engine.active.Load()
	r := w.engine.newRun(a, a.table.Entries()[0], &Request{ID: "id", Arrived: time.Now()})
	for i, set := range []*partSet{first, later, other} {
		r.shards[i] = shard{service: r.shards[i].service, done: true, set: set, stamp: fmt.Sprint(i), runs: 1}
	}
	r.have = 3
	r.spoil(first)
	if r.shards[0].done || r.shards[1].done || !r.shards[2].done || r.have != 1 {
		t.Errorf("done: %v, %v and %v; %d parts, want false, false and true; 1 part", r.shards[0].done, r.shards[1].done, r.shards[2].done, r.have)
	}
	res := result{reply: &target.Reply{Status: 200, Stamp: "new"}, set: &partSet{before: later}}
	if r.accept(&r.shards[1], &res) {
		t.Error("a part that depends on discarded parts is accepted")
	}
}

// Parts arrive in several replies of one daemon, each with only the records that are among
// the greatest so far. The merged replies must equal the result of merging all parts at once.
func TestRecordsToldInSeveralReplies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := rapid.IntRange(0, 6).Draw(t, "k")
		all, told, merged := top{k: k}, top{k: k}, top{k: k}
		for range rapid.IntRange(1, 5).Draw(t, "replies") {
			batch := top{k: k}
			for _, name := range rapid.SliceOfN(rapid.StringMatching("[a-d]"), 0, 8).Draw(t, "records") {
				all.add([]byte(record(name)))
				batch.add([]byte(record(name)))
			}
			told.add(batch.bytes())
			merged.add(batch.atLeast(told).bytes())
		}
		if !bytes.Equal(merged.bytes(), all.bytes()) {
			t.Fatalf("merged replies %q, merged at once %q", merged.bytes(), all.bytes())
		}
	})
}

// Guards against leaves that keep working on delegated sends after the caller has left.
func TestCallerLeavesDaemonNearTheLeaves(t *testing.T) {
	var gone, reached atomic.Int32
	rt, leaves := awayRoute(t, func(int, int) script {
		return func(l *fakeLeaf, c net.Conn, req asked) bool {
			reached.Add(1)
			silent(l, c, req)
			gone.Add(1)
			return false
		}
	})
	rt.TargetLatency = 0 // no hedges before the caller leaves
	w := newTwoDaemons(t, rt, leaves)
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, w.url+"/", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Request-Id", "leaver")
	go func() {
		for reached.Load() < awayShards {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	if resp, err := http.DefaultClient.Do(req); err == nil {
		resp.Body.Close()
	}
	for end := time.Now().Add(5 * time.Second); gone.Load() < reached.Load(); {
		if time.Now().After(end) {
			t.Fatalf("%d of %d leaves still have the request", reached.Load()-gone.Load(), reached.Load())
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against delegated sends to the wrong leaf. A daemon that does not know the leaf, or
// knows a process of it with another start time or service, sends nothing and reports the send
// as not run, so that it can be retried elsewhere.
func TestScattererSendsOnlyToTheLeafThatIsMeant(t *testing.T) {
	rt, leaves := awayRoute(t, wholePart)
	w := newTwoDaemons(t, rt, leaves)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	stream, err := w.near.Scatter(ctx, w.near.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Close()
	req := &wire.ScatterRequest{Id: "id", Method: "GET", Head: []byte("GET / HTTP/1.1\r\nHost: h\r\n"), LeftUs: 1e6, Top: 3, Sends: []*wire.PartSend{
		{Leaf: (&discovery.Leaf{ID: "nobody", Service: "s0"}).Mark()},
		{Leaf: (&discovery.Leaf{ID: "i-s1-0", Service: "s1", Born: 7}).Mark()},
		{Leaf: (&discovery.Leaf{ID: "i-s1-0", Service: "s2"}).Mark()},
	}}
	if err := stream.Send(req); err != nil {
		t.Fatal(err)
	}
	ends := 0
	for ends < len(req.Sends) {
		r, err := stream.Recv()
		if err != nil {
			t.Fatal(err)
		}
		for _, e := range r.Ends {
			ends++
			if e.Status != 0 || e.Verdict != 1 || e.Stamp != "" {
				t.Errorf("send %d: %v", e.Send, e)
			}
		}
	}
	if n := total(leaves); n != 0 {
		t.Errorf("%d requests reached leaves", n)
	}
}
