package discovery

import (
	"context"
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pearmoor/internal/vm"
)

func born(n int, at int64) Listed {
	l := listed(n, false)
	l.Born = at
	return l
}

func held(b *Book, id string) int64 {
	l, ok := b.Snapshot().Find(id)
	if !ok {
		return -1
	}
	return l.Born
}

// A leaf starts again, and a page that is behind still shows its earlier life: requests
// would go where nobody is, and what was learned of the new life would be lost. The
// later life stays; when it leaves, the earlier one doesn't come back for it.
func TestEarlierLifeDoesNotComeBack(t *testing.T) {
	now := vm.Instant(time.Hour)
	b := NewBook(func() vm.Instant { return now })
	read := func(list ...Listed) {
		now = now.Add(time.Second)
		b.Take(list, now)
	}
	read(born(1, 100))
	first, _ := b.Snapshot().Find("i-1")
	read(born(1, 200))
	if second, _ := b.Snapshot().Find("i-1"); second == first || second.Born != 200 {
		t.Fatalf("the leaf that has started again is %+v", second)
	}
	read(born(1, 100))
	if got := held(b, "i-1"); got != 200 {
		t.Errorf("a page that is behind brings back life %d", got)
	}
	read()
	read(born(1, 100))
	if got := held(b, "i-1"); got != -1 {
		t.Errorf("life %d came back after the later one had left", got)
	}
}

// An entry that does not state its life is served as it always was, also in turn with
// pages that state it: each change of mind would forget what was learned of the leaf.
func TestEntryWithoutLife(t *testing.T) {
	b := NewBook(nil)
	b.Take([]Listed{listed(1, false)}, vm.Now())
	if got := held(b, "i-1"); got != 0 {
		t.Fatalf("born %d", got)
	}
	b.Take([]Listed{born(1, 100)}, vm.Now())
	first, _ := b.Snapshot().Find("i-1")
	b.Take([]Listed{listed(1, false)}, vm.Now())
	if second, _ := b.Snapshot().Find("i-1"); second != first {
		t.Errorf("became %+v", second)
	}
	b.Take([]Listed{listed(1, true)}, vm.Now())
	if l, _ := b.Snapshot().Find("i-1"); !l.Draining || l.Born != 100 {
		t.Errorf("a leaf that leaves is %+v", l)
	}
}

// A VM's clock was set back before its leaf started again, so that the later life
// states an earlier start. It must not be left out for good.
func TestLifeAfterClockWasSetBack(t *testing.T) {
	now := vm.Instant(time.Hour)
	b := NewBook(func() vm.Instant { return now })
	b.Take([]Listed{born(1, 12_000)}, now)
	for range 12 {
		now = now.Add(time.Second)
		b.Take([]Listed{born(1, 1_000)}, now)
	}
	if got := held(b, "i-1"); got != 1_000 {
		t.Errorf("life %d after the list has named only life 1000 for 12 s", got)
	}
}

// Two entries of one reading name one id: the later life counts, in either order, and
// of one life the later page.
func TestTwoEntriesOfOneID(t *testing.T) {
	for _, list := range [][]Listed{{born(1, 100), born(1, 200)}, {born(1, 200), born(1, 100)}} {
		b := NewBook(nil)
		b.Take(list, vm.Now())
		if got := held(b, "i-1"); got != 200 || len(b.Snapshot().All()) != 1 {
			t.Errorf("life %d, %d leaves", got, len(b.Snapshot().All()))
		}
	}
	b := NewBook(nil)
	b.Take([]Listed{listed(1, false), listed(1, true)}, vm.Now())
	if l, _ := b.Snapshot().Find("i-1"); !l.Draining {
		t.Error("the earlier page counts")
	}
}

// Two daemons hold different lives of one id. The one with the later life keeps it, and
// their exchange comes to rest: a reply that always tells of a difference would come at
// once each time, thousands of times a second.
func TestDifferentLivesComeToRest(t *testing.T) {
	now := vm.Instant(time.Hour)
	clock := func() vm.Instant { return now }
	behind, watcher := NewBook(clock), NewBook(clock)
	watcher.Take([]Listed{born(1, 200), born(2, 50)}, now)
	now = now.Add(time.Second)
	behind.Take([]Listed{born(1, 100), born(2, 50)}, now)
	watcher.receive(behind.reply(watcher.request(0)))
	if got := held(watcher, "i-1"); got != 200 {
		t.Errorf("the watcher holds life %d", got)
	}
	if r := behind.reply(watcher.request(0)); len(r.Entries)+len(r.Removed) > 0 || r.Whole {
		t.Errorf("told again: %v", r)
	}
	now = now.Add(time.Second)
	behind.Take([]Listed{born(1, 200), born(2, 50)}, now)
	watcher.receive(behind.reply(watcher.request(0)))
	if a, b := held(watcher, "i-1"), held(behind, "i-1"); a != 200 || b != 200 {
		t.Errorf("lives %d and %d", a, b)
	}
}

// Whatever pages come in whatever order within the time that lists are behind, the
// latest life that was listed is never followed by an earlier one, and a watcher never
// falls behind one that it has held.
func TestLivesNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := vm.Instant(time.Hour)
		clock := func() vm.Instant { return now }
		books := []*Book{NewBook(clock), NewBook(clock)}
		var most [2]int64
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(50 * time.Millisecond)
			i := rapid.IntRange(0, 1).Draw(t, "book")
			if rapid.Bool().Draw(t, "reads") {
				var list []Listed
				for range rapid.IntRange(0, 3).Draw(t, "entries") {
					list = append(list, born(1, int64(rapid.IntRange(0, 5).Draw(t, "born"))))
				}
				books[i].Take(list, now)
			} else {
				books[i].receive(books[1-i].reply(books[i].request(0)))
			}
			if got := held(books[i], "i-1"); got >= 0 {
				if got < most[i] {
					t.Fatalf("book %d went from life %d to %d", i, most[i], got)
				}
				most[i] = got
			}
		}
	})
}

type oddSource struct{ listing Listing }

func (s oddSource) List(context.Context) (Listing, error) { return s.listing, nil }

// Other writers' entries stand in the list for good: each is counted and told once, and
// the leaves beside them are used.
func TestUnreadableEntriesAreToldOnce(t *testing.T) {
	f := NewFinder(Config{Source: oddSource{Listing{
		Leaves:     []Listed{listed(1, false)},
		Unreadable: []Unreadable{{ID: "x", Fault: errors.New("state is odd")}, {Fault: errors.New("no object")}},
	}}, Every: time.Second}, NewBook(nil))
	before := entriesUnreadable.Count()
	for range 3 {
		f.readOnce(context.Background(), vm.Now())
	}
	if n := entriesUnreadable.Count() - before; n != 2 {
		t.Errorf("%d counted", n)
	}
	if got := len(f.book.Snapshot().All()); got != 1 {
		t.Errorf("%d leaves", got)
	}
}
