package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"pearmoor/internal/contract"
)

const (
	testService = "hall/desk/svc"
	waitTimeout = 10 * time.Second
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func startTestLeaf(t *testing.T, configure func(*Behavior)) *Leaf {
	t.Helper()
	b := DefaultBehavior()
	b.Latency = 0
	configure(&b)
	l, err := StartLeaf(LeafConfig{
		Name:     "leaf-1",
		Indexes:  []contract.LeafIndex{{Service: testService, Version: 1, Shards: 2, HeldShards: []uint32{0, 1}}},
		Behavior: b,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

func newClient(t *testing.T) *http.Client {
	tr := &http.Transport{MaxIdleConnsPerHost: 64}
	t.Cleanup(tr.CloseIdleConnections)
	return &http.Client{Transport: tr}
}

func request(id string, deadline time.Duration) *contract.LeafRequest {
	return &contract.LeafRequest{
		ID: id, Attempt: 1, Service: testService, Shard: 1, IndexVersion: 1,
		DeadlineMS: deadline.Milliseconds(), Repeatable: true, Body: json.RawMessage(`{}`),
	}
}

// send returns the status, the reply (empty unless the status is 200), and the error of the
// transport or of decoding the reply.
func send(ctx context.Context, c *http.Client, l *Leaf, q *contract.LeafRequest) (int, *contract.LeafReply, error) {
	body, _ := json.Marshal(q)
	r, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+l.Addr()+contract.LeafQueryPath, bytes.NewReader(body))
	resp, err := c.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	var reply contract.LeafReply
	if resp.StatusCode == http.StatusOK {
		err = json.NewDecoder(resp.Body).Decode(&reply)
	}
	return resp.StatusCode, &reply, err
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("timed out waiting for: %s", what)
}

// Six requests reach a leaf with two slots and a queue of two. Two run, two wait and two
// are refused without running. The in-flight peak must include a refused request:
// otherwise it would hide a sender that exceeds the limits of the leaf.
func TestLeafCountsRunningQueuedAndRefused(t *testing.T) {
	l := startTestLeaf(t, func(b *Behavior) { b.Slots, b.Queue, b.HangShare = 2, 2, 1 })
	c := newClient(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Go(func() { _, _, _ = send(ctx, c, l, request(fmt.Sprint("held-", i), time.Minute)) })
	}
	waitFor(t, "two running and two queued", func() bool { return l.Stats(false).InFlight == 4 })
	for i := range 2 {
		status, _, err := send(ctx, c, l, request(fmt.Sprint("refused-", i), time.Minute))
		if err != nil || status != http.StatusServiceUnavailable {
			t.Fatalf("status %d, error %v", status, err)
		}
		if n := l.Runs(testService, fmt.Sprint("refused-", i), 1); n != 0 {
			t.Fatalf("a refused request ran %d times", n)
		}
	}
	st := l.Stats(true)
	if st.PeakInFlight != 5 || st.QueueRefused != 2 || st.WindowInFlight != 5 {
		t.Fatalf("stats %+v", st)
	}
	cancel()
	wg.Wait()
	waitFor(t, "slots free after the callers left", func() bool { return l.Stats(false).InFlight == 0 })
	if st := l.Stats(true); st.WindowInFlight > 4 || st.PeakInFlight != 5 {
		t.Fatalf("stats %+v", st)
	}
}

// A request waits in the queue behind one that never ends until its deadline passes. It
// must be refused and must not run.
func TestLeafRefusesRequestsExpiredInQueue(t *testing.T) {
	l := startTestLeaf(t, func(b *Behavior) { b.Slots, b.HangShare = 1, 1 })
	c := newClient(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { _, _, _ = send(ctx, c, l, request("holder", time.Minute)) })
	waitFor(t, "the holder running", func() bool { return l.Stats(false).InFlight == 1 })
	status, _, err := send(ctx, c, l, request("late", 20*time.Millisecond))
	if err != nil || status != http.StatusServiceUnavailable || l.Runs(testService, "late", 1) != 0 {
		t.Fatalf("status %d, error %v, runs %d", status, err, l.Runs(testService, "late", 1))
	}
	cancel()
	wg.Wait()
}

// An index version is retired while a request for it runs. The reply must still have all
// hits of the shard in that version: otherwise the tier would seem to lose hits.
func TestLeafAnswersFromVersionOnArrival(t *testing.T) {
	l := startTestLeaf(t, func(b *Behavior) { b.Latency = Duration(50 * time.Millisecond) })
	c := newClient(t)
	type result struct {
		reply *contract.LeafReply
		err   error
	}
	done := make(chan result)
	go func() {
		_, reply, err := send(context.Background(), c, l, request("a", time.Minute))
		done <- result{reply, err}
	}()
	waitFor(t, "the request running", func() bool { return l.Stats(false).InFlight == 1 })
	l.Retire(testService, 1)
	got := <-done
	if got.err != nil {
		t.Fatal(got.err)
	}
	want := Hits(testService, 1, Origin{Version: 1, Shards: 2, Documents: DefaultDocuments})
	if len(got.reply.Hits) != len(want) {
		t.Fatalf("%d hits, want %d", len(got.reply.Hits), len(want))
	}
}

// A sender opens one connection more than the leaf accepts. The leaf must close it and
// count it, so that a test can detect a tier that exceeds the connection limit.
func TestLeafCapsConnections(t *testing.T) {
	l := startTestLeaf(t, func(b *Behavior) { b.Connections = 2 })
	var open []net.Conn
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", l.Addr())
		if err != nil {
			t.Fatal(err)
		}
		open = append(open, conn)
		return conn
	}
	dial()
	dial()
	waitFor(t, "two open", func() bool { return l.Stats(false).Open == 2 })
	third := dial()
	_ = third.SetReadDeadline(time.Now().Add(waitTimeout))
	if _, err := third.Read(make([]byte, 1)); err == nil {
		t.Fatal("the third connection was served")
	}
	st := l.Stats(false)
	if st.PeakOpen != 3 || st.ConnectionsRefused != 1 || st.Opened != 2 {
		t.Fatalf("stats %+v", st)
	}
	for _, conn := range open {
		_ = conn.Close()
	}
	waitFor(t, "none open", func() bool { return l.Stats(false).Open == 0 })
}

func TestLeafFaults(t *testing.T) {
	Convey("A leaf follows its behavior", t, func() {
		l := startTestLeaf(t, func(*Behavior) {})
		c := newClient(t)
		ctx := context.Background()
		set := func(patch string) {
			b, err := l.Behavior().Update([]byte(patch))
			So(err, ShouldBeNil)
			So(l.SetBehavior(b), ShouldBeNil)
		}
		ask := func(id string) (int, *contract.LeafReply, error) {
			return send(ctx, c, l, request(id, time.Minute))
		}
		Convey("healthy", func() {
			status, reply, err := ask("a")
			So(err, ShouldBeNil)
			So(status, ShouldEqual, http.StatusOK)
			So(reply.Matches(request("a", time.Minute)), ShouldBeTrue)
			So(l.Runs(testService, "a", 1), ShouldEqual, 1)
		})
		Convey("draining refuses without running", func() {
			set(`{"draining":true}`)
			status, _, err := ask("a")
			So(err, ShouldBeNil)
			So(status, ShouldEqual, http.StatusServiceUnavailable)
			So(l.Runs(testService, "a", 1), ShouldEqual, 0)
			So(l.status(l.Behavior()).State, ShouldEqual, contract.LeafDraining)
		})
		Convey("a version it does not hold is 409", func() {
			q := request("a", time.Minute)
			q.IndexVersion = 7
			status, _, err := send(ctx, c, l, q)
			So(err, ShouldBeNil)
			So(status, ShouldEqual, http.StatusConflict)
		})
		Convey("a reset after running is no reply, and one run", func() {
			set(`{"reset_share":1}`)
			_, _, err := ask("a")
			So(err, ShouldNotBeNil)
			So(l.Runs(testService, "a", 1), ShouldEqual, 1)
		})
		Convey("a crossed reply carries another request's identity", func() {
			_, _, _ = ask("first")
			set(`{"cross_share":1}`)
			_, reply, err := ask("second")
			So(err, ShouldBeNil)
			So(reply.ID, ShouldEqual, "first")
		})
		Convey("a wrong version is stated in the reply", func() {
			set(`{"wrong_version_share":1}`)
			_, reply, err := ask("a")
			So(err, ShouldBeNil)
			So(reply.IndexVersion, ShouldEqual, 2)
		})
		Convey("the reported load can differ from the actual load", func() {
			set(`{"report_inflight":99}`)
			So(l.status(l.Behavior()).InFlight, ShouldEqual, 99)
		})
		Convey("down and up keep the address", func() {
			addr := l.Addr()
			So(l.Down(), ShouldBeNil)
			_, _, err := ask("a")
			So(err, ShouldNotBeNil)
			So(l.Up(), ShouldBeNil)
			So(l.Addr(), ShouldEqual, addr)
			status, _, err := ask("b")
			So(err, ShouldBeNil)
			So(status, ShouldEqual, http.StatusOK)
		})
	})
}

// For every version and number of shards, each document must be in exactly one shard:
// otherwise lost and duplicated hits could be caused by the stand-in instead of the tier.
func TestShardsPartitionDocuments(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := Origin{
			Version:   rapid.Uint64().Draw(t, "version"),
			Shards:    rapid.Uint32Range(1, 64).Draw(t, "shards"),
			Documents: rapid.IntRange(0, 200).Draw(t, "documents"),
		}
		seen := map[string]bool{}
		for s := range o.Shards {
			for _, h := range Hits(testService, s, o) {
				if seen[h.ID] {
					t.Fatalf("%s is in two shards", h.ID)
				}
				seen[h.ID] = true
			}
		}
		if len(seen) != o.Documents {
			t.Fatalf("the shards hold %d documents of %d", len(seen), o.Documents)
		}
	})
}

func TestEveryShardHasTwoHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 9).Draw(t, "leaves")
		shards := rapid.Uint32Range(1, 40).Draw(t, "shards")
		holders := make(map[uint32]int)
		for i := range n {
			for _, s := range HeldShards(i, n, shards) {
				holders[s]++
			}
		}
		for s := range shards {
			if holders[s] != 2 {
				t.Fatalf("shard %d of %d has %d holders of %d leaves", s, shards, holders[s], n)
			}
		}
	})
}

func TestPlatformListAppliesLag(t *testing.T) {
	now := time.Unix(1000, 0)
	p := NewPlatform(func() time.Time { return now })
	p.SetLag(time.Minute)
	p.SetVMs([]contract.PlatformVM{{Name: "a"}})
	now = now.Add(59 * time.Second)
	if got := p.VMs(); len(got) != 0 {
		t.Fatalf("visible before the lag has passed: %v", got)
	}
	now = now.Add(time.Second)
	if got := p.VMs(); len(got) != 1 {
		t.Fatalf("not visible after the lag: %v", got)
	}
}
