package discovery

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"

	"pearmoor/internal/link/wire"
	"pearmoor/internal/vm"
)

// maxChanges is the number of list changes kept, so that a watcher that was
// disconnected for a short time receives the changes and not the whole list.
const keptSteps = 64

var (
	leavesGauge = metrics.GetOrRegisterGauge("discovery.leaves", metrics.DefaultRegistry)
	readsMeter  = metrics.GetOrRegisterCounter("discovery.readings", metrics.DefaultRegistry)
	readsFailed = metrics.GetOrRegisterCounter("discovery.readings.failed", metrics.DefaultRegistry)
	// unreadableEntriesCounter counts unreadable entries, each once while it is listed.
	entriesUnreadable = metrics.GetOrRegisterCounter("discovery.entries.unreadable", metrics.DefaultRegistry)
)

// LeafCache holds the newest snapshot of the leaf list, its age, and the most recent
// changes. It is safe for concurrent use.
type Book struct {
	clock vm.Clock

	mu      sync.Mutex
	told    *Snapshot // as read or received
	snap    *Snapshot // reported, corrected by the latest run of each leaf; the same pointer if nothing was corrected
	lives   lives
	run     uint64 // identifies the daemon that read the list, and since when
	version uint64 // of the reader's list
	readAt  vm.Instant
	known   bool   // a list was read or received
	own     uint64 // readerRun of this daemon's own readings; 0: none yet
	steps   []step
	changed chan struct{}
	quiet   []string // sorted names of daemons that the reader has not heard from recently
}

// change records the ids that differ between two versions. A watching daemon may
// receive several versions at once.
type step struct {
	from    uint64
	version uint64
	touched map[string]bool // ids added, changed or removed
}

// NewLeafCache returns an empty cache. A nil clock means vm.Now.
func NewBook(clock vm.Clock) *Book {
	if clock == nil {
		clock = vm.Now
	}
	none := newSnapshot(nil)
	return &Book{clock: clock, told: none, snap: none, lives: make(lives), changed: make(chan struct{})}
}

// Snapshot returns the newest snapshot; it is never nil.
func (b *Book) Snapshot() *Snapshot {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.snap
}

// HasList reports whether a list has been read or received.
func (b *Book) Known() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.known
}

// Age returns the time since the newest reading began.
func (b *Book) Age() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.age()
}

func (b *Book) age() time.Duration {
	if !b.known {
		return forever
	}
	return b.clock().Sub(b.readAt)
}

// unknownAge is the age of the list while no list is known.
const forever = time.Hour

// readingTolerance is the largest difference between the computed start times of the
// same reading: ages are sent in whole milliseconds and replies take time to arrive.
const equalReading = vm.Instant(20 * time.Millisecond)

// Changed returns a channel that is closed when the leaves or the unresponsive
// daemons change.
func (b *Book) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

// ApplyReading installs a list that this daemon read from the Source. startedAt is
// the instant before the first call to the Source.
func (b *Book) Take(list []Listed, began vm.Instant) {
	list = onePerID(list)
	leaves := make([]*Leaf, 0, len(list))
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock()
	for _, in := range list {
		l := &Leaf{
			ID: in.ID, Born: in.Born, Service: in.Service, Addr: in.Addr, Domain: in.Domain,
			Slots: in.Slots, Draining: in.Draining, WarmAt: now.Add(in.WarmIn),
		}
		leaves = append(leaves, b.unchanged(l))
	}
	if b.run == 0 || !b.reading() {
		// The versions so far were another daemon's and can't be continued.
		b.run, b.steps = rand.Uint64()|1, nil
		b.own = b.run
	}
	b.told = newSnapshot(leaves)
	next := b.lives.latest(b.told, b.snap, now)
	if touched := difference(b.snap, next); len(touched) > 0 || !b.known {
		b.version++
		b.keep(step{b.version - 1, b.version, touched})
		b.put(next, "read")
	}
	b.readAt, b.known = began, true
}

// SetUnresponsive sets the sorted names of the daemons that the reader has not heard
// from recently.
func (b *Book) SetQuiet(names []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.setQuiet(names)
}

func (b *Book) setQuiet(names []string) {
	if slices.Equal(b.quiet, names) {
		return
	}
	klog.Infof("discovery: quiet daemons %v, before %v", names, b.quiet)
	b.quiet = slices.Clone(names)
	close(b.changed)
	b.changed = make(chan struct{})
}

// Unresponsive returns the daemons that the reader has not heard from recently.
func (b *Book) Quiet() map[string]bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]bool, len(b.quiet))
	for _, name := range b.quiet {
		out[name] = true
	}
	return out
}

func quietDigest(names []string) uint64 {
	h := xxhash.New()
	for _, n := range names {
		_, _ = h.WriteString(n)
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

// installLocked replaces the current snapshot and notifies watchers; b.mu must be held.
func (b *Book) put(next *Snapshot, how string) {
	added, gone := 0, 0
	for _, l := range next.leaves {
		if _, ok := b.snap.byID[l.ID]; !ok {
			added++
		}
	}
	for _, l := range b.snap.leaves {
		if _, ok := next.byID[l.ID]; !ok {
			gone++
		}
	}
	draining := 0
	for _, l := range next.leaves {
		if l.Draining {
			draining++
		}
	}
	klog.Infof("discovery: list %s version=%d leaves=%d added=%d gone=%d draining=%d", how, b.version, len(next.leaves), added, gone, draining)
	b.snap = next
	leavesGauge.Update(int64(len(next.leaves)))
	close(b.changed)
	b.changed = make(chan struct{})
}

// diff returns the ids of the leaves added, changed or removed between old and next.
func difference(old, next *Snapshot) map[string]bool {
	touched := make(map[string]bool)
	for _, l := range next.leaves {
		if o, ok := old.byID[l.ID]; !ok || o != l && !o.same(l) {
			touched[l.ID] = true
		}
	}
	for _, l := range old.leaves {
		if _, ok := next.byID[l.ID]; !ok {
			touched[l.ID] = true
		}
	}
	return touched
}

// replyIDs returns every id in a reply. This includes a leaf that was added and removed
// between the two versions, because a watcher of this daemon may hold a version in between.
func named(r *wire.LeavesReply) map[string]bool {
	out := make(map[string]bool, len(r.Entries)+len(r.Removed))
	for _, e := range r.Entries {
		out[e.Id] = true
	}
	for _, id := range r.Removed {
		out[id] = true
	}
	return out
}

func (b *Book) keep(s step) {
	b.steps = append(b.steps, s)
	if len(b.steps) > keptSteps {
		b.steps = b.steps[1:]
	}
}

// newRequest returns a request for the changes since the cached list.
func (b *Book) request(wait time.Duration) *wire.LeavesRequest {
	b.mu.Lock()
	defer b.mu.Unlock()
	return &wire.LeavesRequest{
		Run: b.run, Version: b.version, Digest: b.told.digest, Quiet: quietDigest(b.quiet),
		WaitMs: uint32(wait.Milliseconds()),
	}
}

// newReply returns the reply to a watcher's request.
func (b *Book) reply(req *wire.LeavesRequest) *wire.LeavesReply {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := &wire.LeavesReply{Run: b.run, Version: b.version, AgeMs: uint32(b.age().Milliseconds()), Quiet: b.quiet}
	out.Leaves = uint32(len(b.snap.leaves))
	if !b.known || req.CountOnly || req.Digest == b.snap.digest {
		return out
	}
	now := b.clock()
	touched, ok := b.since(req)
	if !ok {
		out.Whole = true
		for _, l := range b.snap.leaves {
			out.Entries = append(out.Entries, toWire(l, now))
		}
		return out
	}
	for id := range touched {
		if l, there := b.snap.byID[id]; there {
			out.Entries = append(out.Entries, toWire(l, now))
		} else {
			out.Removed = append(out.Removed, id)
		}
	}
	return out
}

// changedSince returns the ids changed after the version in req, and false if that
// version is no longer known.
func (b *Book) since(req *wire.LeavesRequest) (map[string]bool, bool) {
	if req.Run != b.run || req.Version > b.version || len(b.steps) == 0 || req.Version < b.steps[0].from {
		return nil, false
	}
	touched := make(map[string]bool)
	for _, s := range b.steps {
		if s.version > req.Version {
			for id := range s.touched {
				touched[id] = true
			}
		}
	}
	return touched, true
}

// applyReply merges a reply into the cache, unless its reading is older than the cached one.
func (b *Book) receive(r *wire.LeavesReply) {
	if r.Run == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock()
	// The reading is at least as old as it was when the reply was written.
	readAt := now.Add(-time.Duration(r.AgeMs) * time.Millisecond)
	if b.known && readAt < b.readAt-equalReading {
		return
	}
	readAt = max(readAt, b.readAt)
	b.setQuiet(r.Quiet)
	switch {
	case r.Whole:
		b.told = newSnapshot(b.reuse(r.Entries, now))
	case len(r.Entries)+len(r.Removed) > 0:
		b.told = newSnapshot(b.patched(r, now))
	}
	next := b.lives.latest(b.told, b.snap, now)
	touched := difference(b.snap, next)
	from := b.version
	told := len(r.Entries)+len(r.Removed) > 0
	if b.run != r.Run || r.Whole || r.Version > from && !told {
		// The difference is relative to another reader's list, or a leaf was added and
		// removed in between. It is not the change from one version to the next.
		b.steps = nil
	} else if r.Version > from {
		b.keep(step{from, r.Version, named(r)})
	}
	b.run, b.version, b.readAt = r.Run, r.Version, readAt
	if len(touched) > 0 || !b.known {
		b.put(next, "received")
	}
	b.known = true
}

func (b *Book) reuse(entries []*wire.LeafEntry, now vm.Instant) []*Leaf {
	out := make([]*Leaf, 0, len(entries))
	for _, e := range entries {
		out = append(out, b.unchanged(fromWire(e, now)))
	}
	return out
}

// reuseUnchanged returns the cached leaf if it equals l, otherwise l.
func (b *Book) unchanged(l *Leaf) *Leaf {
	if old, ok := b.told.byID[l.ID]; ok && old.same(l) {
		return old
	}
	return l
}

func (b *Book) patched(r *wire.LeavesReply, now vm.Instant) []*Leaf {
	replaced := named(r)
	out := b.reuse(r.Entries, now)
	for _, l := range b.told.leaves {
		if !replaced[l.ID] {
			out = append(out, l)
		}
	}
	return out
}

// readByThisDaemon reports whether this daemon read the newest list itself.
func (b *Book) reading() bool { return b.own != 0 && b.run == b.own }
