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

// keptSteps is how many changes of the list are kept, so that a watcher that was
// away for a moment is sent what changed and not the whole list.
const keptSteps = 64

var (
	leavesGauge = metrics.GetOrRegisterGauge("discovery.leaves", metrics.DefaultRegistry)
	readsMeter  = metrics.GetOrRegisterCounter("discovery.readings", metrics.DefaultRegistry)
	readsFailed = metrics.GetOrRegisterCounter("discovery.readings.failed", metrics.DefaultRegistry)
	// entriesUnreadable counts entries that named no leaf, each once while it is listed.
	entriesUnreadable = metrics.GetOrRegisterCounter("discovery.entries.unreadable", metrics.DefaultRegistry)
)

// Book holds the newest snapshot, how old it is, and the last changes. It is safe
// for concurrent use.
type Book struct {
	clock vm.Clock

	mu      sync.Mutex
	told    *Snapshot // as it was read or received
	snap    *Snapshot // told with the latest life of each leaf; the same object if they don't differ
	lives   lives
	run     uint64 // of the reader
	version uint64 // of the reader's list
	readAt  vm.Instant
	known   bool   // a list was read or received
	own     uint64 // run of this daemon when it reads; 0: it never has
	steps   []step
	changed chan struct{}
	quiet   []string // sorted names of daemons that the reader has not heard for a while
}

// step is what turned one version into a later one. A daemon that watches may have
// been sent several versions at once.
type step struct {
	from    uint64
	version uint64
	touched map[string]bool // ids added, changed or removed
}

// NewBook returns an empty book. clock nil is vm.Now.
func NewBook(clock vm.Clock) *Book {
	if clock == nil {
		clock = vm.Now
	}
	none := newSnapshot(nil)
	return &Book{clock: clock, told: none, snap: none, lives: make(lives), changed: make(chan struct{})}
}

// Snapshot returns the newest leaves; it is never nil.
func (b *Book) Snapshot() *Snapshot {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.snap
}

// Known reports whether a list was ever read or received.
func (b *Book) Known() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.known
}

// Age returns how long ago the newest reading began.
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

const forever = time.Hour

// equalReading is within which two ages tell of one reading: they are whole
// milliseconds, and the replies took their time.
const equalReading = vm.Instant(20 * time.Millisecond)

// Changed returns a channel that is closed when the leaves change.
func (b *Book) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

// Take puts a list that this daemon has read itself in place. began is the instant
// before its first call.
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
		// Another daemon's versions went before; the steps kept are in its count.
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

// SetQuiet names the daemons that the reader has not heard for a while, sorted.
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

// Quiet returns the daemons that the reader has not heard for a while.
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

// put installs the leaves; the lock is held.
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

// named returns every id in a reply: also one that came and went between the two
// versions, which a daemon that has one in between still holds.
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

// request asks for what is new since the list held.
func (b *Book) request(wait time.Duration) *wire.LeavesRequest {
	b.mu.Lock()
	defer b.mu.Unlock()
	return &wire.LeavesRequest{
		Run: b.run, Version: b.version, Digest: b.told.digest, Quiet: quietDigest(b.quiet),
		WaitMs: uint32(wait.Milliseconds()),
	}
}

// reply answers a watcher.
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

// since returns the ids touched after the version that req holds, and false when
// that is not known any more.
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

// receive joins a reply to the book, unless it tells of an older reading than the
// one held.
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
		// What is different now is different from another reader's list, or a leaf
		// came and went in between: it is not what turned one version into the next.
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

// unchanged returns the leaf held before where it is the same as l.
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

// reading reports whether the newest list is one that this daemon read itself.
func (b *Book) reading() bool { return b.own != 0 && b.run == b.own }
