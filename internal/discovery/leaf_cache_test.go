package discovery

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"reflect"
	"sort"
	"testing"
	"time"

	"k8s.io/klog/v2"
	"pgregory.net/rapid"

	"pearmoor/internal/link/wire"
	"pearmoor/internal/vm"
)

// TestMain fixes rapid's seed so that every run draws the same cases.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "5", "rapid.checks": "200", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	os.Exit(m.Run())
}

func newListed(n int, draining bool) ListedLeaf {
	return ListedLeaf{ID: fmt.Sprintf("i-%d", n), Service: fmt.Sprintf("s%d", n%3), Addr: fmt.Sprintf("10.0.0.%d:80", n%4), Slots: 2, Draining: draining}
}

func drawList(t *rapid.T) []ListedLeaf {
	var out []ListedLeaf
	for n := range 8 {
		switch rapid.IntRange(0, 2).Draw(t, "leaf") {
		case 1:
			out = append(out, newListed(n, false))
		case 2:
			out = append(out, newListed(n, true))
		}
	}
	return out
}

func leafStates(s *Snapshot) []string {
	var out []string
	for _, l := range s.All() {
		out = append(out, fmt.Sprintf("%s %s %s %v", l.ID, l.Service, l.Addr, l.Draining))
	}
	sort.Strings(out)
	return out
}

// A daemon that watches the reader, misses changes, or switches to another reader must
// end with the reader's list. Otherwise a draining leaf would still get new requests.
func TestWatcherConvergesToReaderList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := vm.Instant(time.Hour)
		clock := func() vm.Instant { return now }
		readers := []*LeafCache{NewLeafCache(clock), NewLeafCache(clock)}
		watcher := NewLeafCache(clock)
		from := readers[0]
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(50 * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				from.ApplyReading(drawList(t), now)
			case 1:
				from.SetUnresponsive([]string{fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "quiet"))})
			case 2:
				watcher.applyReply(from.newReply(watcher.newRequest(0)))
			case 3:
				// The new reader starts from the list that it watched.
				next := readers[1]
				if from == next {
					next = readers[0]
				}
				next.applyReply(from.newReply(next.newRequest(0)))
				from = next
			}
		}
		now = now.Add(50 * time.Millisecond)
		from.ApplyReading(drawList(t), now)
		watcher.applyReply(from.newReply(watcher.newRequest(0)))
		if got, want := leafStates(watcher.Snapshot()), leafStates(from.Snapshot()); !reflect.DeepEqual(got, want) {
			t.Fatalf("the watcher has %v, the reader %v", got, want)
		}
		if !reflect.DeepEqual(watcher.Unresponsive(), from.Unresponsive()) {
			t.Fatalf("unresponsive daemons: watcher has %v, reader has %v", watcher.Unresponsive(), from.Unresponsive())
		}
	})
}

// A reply from a daemon that was partitioned has an older reading than the cached one.
// It must not restore a leaf's earlier state.
func TestOlderReadingIgnored(t *testing.T) {
	now := vm.Instant(time.Hour)
	clock := func() vm.Instant { return now }
	stale, fresh, watcher := NewLeafCache(clock), NewLeafCache(clock), NewLeafCache(clock)
	stale.ApplyReading([]ListedLeaf{newListed(1, false)}, now)
	now = now.Add(3 * time.Second)
	fresh.ApplyReading([]ListedLeaf{newListed(1, true)}, now)
	watcher.applyReply(fresh.newReply(watcher.newRequest(0)))
	watcher.applyReply(stale.newReply(&wire.LeavesRequest{}))
	if l, _ := watcher.Snapshot().Find("i-1"); l == nil || !l.Draining {
		t.Errorf("draining leaf is %+v", l)
	}
}

// An unchanged leaf must stay the same object, so that state kept per leaf is not lost.
// A target restarted at the same address under another id is another leaf.
func TestUnchangedLeafKeepsIdentity(t *testing.T) {
	cache := NewLeafCache(nil)
	cache.ApplyReading([]ListedLeaf{newListed(1, false)}, vm.Now())
	first, _ := cache.Snapshot().Find("i-1")
	again := newListed(1, false)
	again.WarmIn = time.Second
	cache.ApplyReading([]ListedLeaf{again}, vm.Now())
	if second, _ := cache.Snapshot().Find("i-1"); second != first {
		t.Error("an unchanged leaf was replaced by another object")
	}
	restarted := newListed(1, false)
	restarted.ID = "i-9"
	cache.ApplyReading([]ListedLeaf{restarted}, vm.Now())
	if _, ok := cache.Snapshot().Find("i-1"); ok {
		t.Error("the leaf of the earlier run is still cached")
	}
}

type failingSource struct{ calls int }

func (s *failingSource) List(context.Context) (Listing, error) {
	s.calls++
	if s.calls > 1 {
		return Listing{}, errors.New("page 2 is not available")
	}
	return Listing{Leaves: []ListedLeaf{newListed(1, false)}}, nil
}

// If the list can't be read completely, the cached list must stay and its age must grow.
func TestFailedReadingKeepsList(t *testing.T) {
	cache := NewLeafCache(nil)
	src := &failingSource{}
	f := NewSyncer(Config{Source: src, ReadInterval: time.Millisecond, IsReader: func() bool { return true }, Unresponsive: func() []string { return nil },
		Upstreams: func() []string { return nil }, ListNeeded: func() bool { return true }, ReadJitter: func() time.Duration { return 0 }}, cache)
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	f.Run(ctx)
	if src.calls < 2 || len(cache.Snapshot().All()) != 1 || cache.Age() < 50*time.Millisecond {
		t.Errorf("%d calls, %d leaves, age %v", src.calls, len(cache.Snapshot().All()), cache.Age())
	}
}

// After a power loss all daemons start together without a list. If each read the list
// itself, the calls to the platform would be used up when the reader needs them: 89
// daemons made 1,246 calls for a list of 14 pages.
func TestStartingDaemonsDoNotAllRead(t *testing.T) {
	src := &failingSource{}
	wanted := false
	f := NewSyncer(Config{Source: src, ReadInterval: time.Millisecond, FallbackAge: 150 * time.Millisecond, IsReader: func() bool { return false },
		Unresponsive: func() []string { return nil }, Upstreams: func() []string { return nil },
		ListNeeded: func() bool { return wanted }, ReadJitter: func() time.Duration { return 0 }}, NewLeafCache(nil))
	run := func(d time.Duration) {
		ctx, cancel := context.WithTimeout(context.Background(), d)
		defer cancel()
		f.Run(ctx)
	}
	run(300 * time.Millisecond)
	if src.calls != 0 {
		t.Errorf("%d readings before the list is needed", src.calls)
	}
	wanted = true
	run(300 * time.Millisecond)
	if src.calls == 0 {
		t.Error("a daemon without upstreams never reads the list itself")
	}
}

// After a full restart a daemon may ask another one that has no list either. The reply
// must come immediately so that it can ask the reader next. If it were held for a second,
// the daemon would refuse its callers for that time although it has the configuration.
func TestDaemonWithoutListRepliesImmediately(t *testing.T) {
	f := NewSyncer(Config{ReadInterval: time.Second}, NewLeafCache(nil))
	began := time.Now()
	reply, err := f.Server().Watch(context.Background(), &wire.LeavesRequest{WaitMs: 1000, Quiet: namesDigest(nil)})
	if err != nil || reply.Run != 0 {
		t.Fatalf("reply %v, error %v", reply, err)
	}
	if took := time.Since(began); took > 500*time.Millisecond {
		t.Errorf("reply was held for %v", took)
	}
}

// After a full restart the VM elected as reader should already have the list, so a
// daemon that may be elected must read at its start. If it read the 14 pages only after
// the election, every caller would wait that much longer.
func TestReaderCandidateReadsAtStart(t *testing.T) {
	src := &failingSource{}
	f := NewSyncer(Config{Source: src, ReadInterval: time.Millisecond, FallbackAge: time.Hour, ReadAtStart: true, IsReader: func() bool { return false },
		Unresponsive: func() []string { return nil }, Upstreams: func() []string { return nil },
		ListNeeded: func() bool { return false }, ReadJitter: func() time.Duration { return 0 }}, NewLeafCache(nil))
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	f.Run(ctx)
	if src.calls != 1 {
		t.Errorf("%d readings, want 1", src.calls)
	}
}

// Guards against a leaf that becomes cold again and stays warm in the lists of the daemons, at
// the reader, at a daemon that watches it, and at one that watches a new reader.
func TestLeafThatBecomesColdAgainIsColdEverywhere(t *testing.T) {
	now := vm.Instant(time.Hour)
	clock := func() vm.Instant { return now }
	reader, other, watcher := NewLeafCache(clock), NewLeafCache(clock), NewLeafCache(clock)
	list := []ListedLeaf{newListed(1, false), newListed(2, false)}
	read := func(c *LeafCache, warmIn time.Duration) {
		now = now.Add(50 * time.Millisecond)
		list[0].WarmIn = warmIn
		c.ApplyReading(list, now)
	}
	check := func(what string, c *LeafCache, want bool) {
		t.Helper()
		if l, _ := c.Snapshot().Find("i-1"); l.WarmingUp(now) != want {
			t.Errorf("%s: leaf is warming up %v, want %v", what, l.WarmingUp(now), want)
		}
	}
	watch := func(from *LeafCache) { watcher.applyReply(from.newReply(watcher.newRequest(0))) }
	read(reader, 0)
	watch(reader)
	read(reader, 3*time.Second)
	watch(reader)
	check("reader", reader, true)
	check("watcher", watcher, true)
	if reply := reader.newReply(watcher.newRequest(0)); len(reply.Entries) > 0 {
		t.Errorf("%d leaves are sent again although nothing changed", len(reply.Entries))
	}
	now = now.Add(4 * time.Second)
	check("watcher after the warm-up", watcher, false)
	read(reader, 0)
	watch(reader)
	read(other, 3*time.Second)
	watch(other)
	check("watcher of a new reader", watcher, true)
	version := reader.version
	for range 5 {
		read(reader, 0)
	}
	if reader.version != version {
		t.Error("readings of warm leaves count as changes")
	}
}
