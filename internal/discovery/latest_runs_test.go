package discovery

import (
	"context"
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pearmoor/internal/vm"
)

func newListedRun(n int, startMs int64) ListedLeaf {
	l := newListed(n, false)
	l.StartMs = startMs
	return l
}

func cachedStart(cache *LeafCache, id string) int64 {
	l, ok := cache.Snapshot().Find(id)
	if !ok {
		return -1
	}
	return l.StartMs
}

// A leaf restarts, and an outdated page still lists its earlier run. Requests would be
// sent to a process that has ended, and what was learned about the new run would be
// lost. The later run must stay, and the earlier one must not replace it after it ends.
func TestEarlierRunNotRestored(t *testing.T) {
	now := vm.Instant(time.Hour)
	cache := NewLeafCache(func() vm.Instant { return now })
	read := func(list ...ListedLeaf) {
		now = now.Add(time.Second)
		cache.ApplyReading(list, now)
	}
	read(newListedRun(1, 100))
	first, _ := cache.Snapshot().Find("i-1")
	read(newListedRun(1, 200))
	if second, _ := cache.Snapshot().Find("i-1"); second == first || second.StartMs != 200 {
		t.Fatalf("restarted leaf is %+v", second)
	}
	read(newListedRun(1, 100))
	if got := cachedStart(cache, "i-1"); got != 200 {
		t.Errorf("an outdated page changed the run to %d, want 200", got)
	}
	read()
	read(newListedRun(1, 100))
	if got := cachedStart(cache, "i-1"); got != -1 {
		t.Errorf("run %d was restored after the later run had ended", got)
	}
}

// An entry without a start time must be accepted, also if it alternates with pages that
// state one. If each switch changed the run, what was learned about the leaf would be lost.
func TestEntryWithoutStartTime(t *testing.T) {
	cache := NewLeafCache(nil)
	cache.ApplyReading([]ListedLeaf{newListed(1, false)}, vm.Now())
	if got := cachedStart(cache, "i-1"); got != 0 {
		t.Fatalf("start time %d, want 0", got)
	}
	cache.ApplyReading([]ListedLeaf{newListedRun(1, 100)}, vm.Now())
	first, _ := cache.Snapshot().Find("i-1")
	cache.ApplyReading([]ListedLeaf{newListed(1, false)}, vm.Now())
	if second, _ := cache.Snapshot().Find("i-1"); second != first {
		t.Errorf("leaf was replaced by %+v", second)
	}
	cache.ApplyReading([]ListedLeaf{newListed(1, true)}, vm.Now())
	if l, _ := cache.Snapshot().Find("i-1"); !l.Draining || l.StartMs != 100 {
		t.Errorf("draining leaf is %+v", l)
	}
}

// A VM's clock was set back before its leaf restarted, so the later run states an earlier
// start. The run must not be left out permanently.
func TestRunAcceptedAfterClockSetBack(t *testing.T) {
	now := vm.Instant(time.Hour)
	cache := NewLeafCache(func() vm.Instant { return now })
	cache.ApplyReading([]ListedLeaf{newListedRun(1, 12_000)}, now)
	for range 12 {
		now = now.Add(time.Second)
		cache.ApplyReading([]ListedLeaf{newListedRun(1, 1_000)}, now)
	}
	if got := cachedStart(cache, "i-1"); got != 1_000 {
		t.Errorf("run is %d after 12 s of lists with only run 1000", got)
	}
}

// Two entries of one reading have the same id. The later run must be used in either
// order, and of the same run the last entry.
func TestDuplicateIDKeepsLatestRun(t *testing.T) {
	for _, list := range [][]ListedLeaf{{newListedRun(1, 100), newListedRun(1, 200)}, {newListedRun(1, 200), newListedRun(1, 100)}} {
		cache := NewLeafCache(nil)
		cache.ApplyReading(list, vm.Now())
		if got := cachedStart(cache, "i-1"); got != 200 || len(cache.Snapshot().All()) != 1 {
			t.Errorf("run %d, %d leaves", got, len(cache.Snapshot().All()))
		}
	}
	cache := NewLeafCache(nil)
	cache.ApplyReading([]ListedLeaf{newListed(1, false), newListed(1, true)}, vm.Now())
	if l, _ := cache.Snapshot().Find("i-1"); !l.Draining {
		t.Error("the entry of the earlier page was used")
	}
}

// Two daemons hold different runs of one id. The daemon with the later run must keep it,
// and their exchange must converge: if each reply reported a difference, the watcher
// would poll without any delay, thousands of times per second.
func TestConflictingRunsConverge(t *testing.T) {
	now := vm.Instant(time.Hour)
	clock := func() vm.Instant { return now }
	outdated, watcher := NewLeafCache(clock), NewLeafCache(clock)
	watcher.ApplyReading([]ListedLeaf{newListedRun(1, 200), newListedRun(2, 50)}, now)
	now = now.Add(time.Second)
	outdated.ApplyReading([]ListedLeaf{newListedRun(1, 100), newListedRun(2, 50)}, now)
	watcher.applyReply(outdated.newReply(watcher.newRequest(0)))
	if got := cachedStart(watcher, "i-1"); got != 200 {
		t.Errorf("watcher has run %d, want 200", got)
	}
	if r := outdated.newReply(watcher.newRequest(0)); len(r.Entries)+len(r.Removed) > 0 || r.Whole {
		t.Errorf("a second reply repeats the difference: %v", r)
	}
	now = now.Add(time.Second)
	outdated.ApplyReading([]ListedLeaf{newListedRun(1, 200), newListedRun(2, 50)}, now)
	watcher.applyReply(outdated.newReply(watcher.newRequest(0)))
	if a, b := cachedStart(watcher, "i-1"), cachedStart(outdated, "i-1"); a != 200 || b != 200 {
		t.Errorf("runs %d and %d, want 200 in both", a, b)
	}
}

// For any order of pages within the lag of the list, an earlier run must never replace a
// later one, neither in a reader nor in a watcher.
func TestRunsNeverRegress(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := vm.Instant(time.Hour)
		clock := func() vm.Instant { return now }
		caches := []*LeafCache{NewLeafCache(clock), NewLeafCache(clock)}
		var latest [2]int64
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(50 * time.Millisecond)
			i := rapid.IntRange(0, 1).Draw(t, "book")
			if rapid.Bool().Draw(t, "reads") {
				var list []ListedLeaf
				for range rapid.IntRange(0, 3).Draw(t, "entries") {
					list = append(list, newListedRun(1, int64(rapid.IntRange(0, 5).Draw(t, "born"))))
				}
				caches[i].ApplyReading(list, now)
			} else {
				caches[i].applyReply(caches[1-i].newReply(caches[i].newRequest(0)))
			}
			if got := cachedStart(caches[i], "i-1"); got >= 0 {
				if got < latest[i] {
					t.Fatalf("cache %d went from run %d to %d", i, latest[i], got)
				}
				latest[i] = got
			}
		}
	})
}

type staticSource struct{ listing Listing }

func (s staticSource) List(context.Context) (Listing, error) { return s.listing, nil }

// Entries written by other systems may stay in the list permanently. Each must be counted
// and logged once, and the valid leaves must be used.
func TestUnreadableEntriesLoggedOnce(t *testing.T) {
	f := NewSyncer(Config{Source: staticSource{Listing{
		Leaves:     []ListedLeaf{newListed(1, false)},
		Unreadable: []UnreadableEntry{{ID: "x", Err: errors.New("invalid state")}, {Err: errors.New("not an object")}},
	}}, ReadInterval: time.Second}, NewLeafCache(nil))
	before := unreadableEntriesCounter.Count()
	for range 3 {
		f.readOnce(context.Background(), vm.Now())
	}
	if n := unreadableEntriesCounter.Count() - before; n != 2 {
		t.Errorf("%d unreadable entries counted, want 2", n)
	}
	if got := len(f.cache.Snapshot().All()); got != 1 {
		t.Errorf("%d leaves, want 1", got)
	}
}
