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
const maxChanges = 64

var (
	leavesGauge           = metrics.GetOrRegisterGauge("discovery.leaves", metrics.DefaultRegistry)
	readingsCounter       = metrics.GetOrRegisterCounter("discovery.readings", metrics.DefaultRegistry)
	failedReadingsCounter = metrics.GetOrRegisterCounter("discovery.readings.failed", metrics.DefaultRegistry)
	// unreadableEntriesCounter counts unreadable entries, each once while it is listed.
	unreadableEntriesCounter = metrics.GetOrRegisterCounter("discovery.entries.unreadable", metrics.DefaultRegistry)
)

// LeafCache holds the newest snapshot of the leaf list, its age, and the most recent
// changes. It is safe for concurrent use.
type LeafCache struct {
	clock vm.Clock

	mu           sync.Mutex
	reported     *Snapshot // as read or received
	current      *Snapshot // reported, corrected by the latest run of each leaf; the same pointer if nothing was corrected
	runs         latestRuns
	readerRun    uint64 // identifies the daemon that read the list, and since when
	version      uint64 // of the reader's list
	readAt       vm.Instant
	hasList      bool   // a list was read or received
	ownRun       uint64 // readerRun of this daemon's own readings; 0: none yet
	changes      []change
	changed      chan struct{}
	unresponsive []string // sorted names of daemons that the reader has not heard from recently
}

// change records the ids that differ between two versions. A watching daemon may
// receive several versions at once.
type change struct {
	fromVersion uint64
	toVersion   uint64
	ids         map[string]bool // ids added, changed or removed
}

// NewLeafCache returns an empty cache. A nil clock means vm.Now.
func NewLeafCache(clock vm.Clock) *LeafCache {
	if clock == nil {
		clock = vm.Now
	}
	empty := newSnapshot(nil)
	return &LeafCache{clock: clock, reported: empty, current: empty, runs: make(latestRuns), changed: make(chan struct{})}
}

// Snapshot returns the newest snapshot; it is never nil.
func (c *LeafCache) Snapshot() *Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

// HasList reports whether a list has been read or received.
func (c *LeafCache) HasList() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hasList
}

// Age returns the time since the newest reading began.
func (c *LeafCache) Age() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ageLocked()
}

func (c *LeafCache) ageLocked() time.Duration {
	if !c.hasList {
		return unknownAge
	}
	return c.clock().Sub(c.readAt)
}

// unknownAge is the age of the list while no list is known.
const unknownAge = time.Hour

// readingTolerance is the largest difference between the computed start times of the
// same reading: ages are sent in whole milliseconds and replies take time to arrive.
const readingTolerance = vm.Instant(20 * time.Millisecond)

// Changed returns a channel that is closed when the leaves or the unresponsive
// daemons change.
func (c *LeafCache) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// ApplyReading installs a list that this daemon read from the Source. startedAt is
// the instant before the first call to the Source.
func (c *LeafCache) ApplyReading(list []ListedLeaf, startedAt vm.Instant) {
	list = dedupeByID(list)
	leaves := make([]*Leaf, 0, len(list))
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock()
	for _, entry := range list {
		l := &Leaf{
			ID: entry.ID, StartMs: entry.StartMs, Service: entry.Service, Addr: entry.Addr, Domain: entry.Domain,
			Slots: entry.Slots, Draining: entry.Draining, WarmAt: warmAt(now, entry.WarmIn),
		}
		leaves = append(leaves, c.reuseUnchanged(l, now))
	}
	if c.readerRun == 0 || !c.readByThisDaemon() {
		// The versions so far were another daemon's and can't be continued.
		c.readerRun, c.changes = rand.Uint64()|1, nil
		c.ownRun = c.readerRun
	}
	c.reported = newSnapshot(leaves)
	next := c.runs.resolveAll(c.reported, c.current, now)
	if changedIDs := diff(c.current, next, now); len(changedIDs) > 0 || !c.hasList {
		c.version++
		c.appendChange(change{c.version - 1, c.version, changedIDs})
		c.installLocked(next, "read")
	}
	c.readAt, c.hasList = startedAt, true
}

// SetUnresponsive sets the sorted names of the daemons that the reader has not heard
// from recently.
func (c *LeafCache) SetUnresponsive(names []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setUnresponsiveLocked(names)
}

func (c *LeafCache) setUnresponsiveLocked(names []string) {
	if slices.Equal(c.unresponsive, names) {
		return
	}
	klog.Infof("discovery: quiet daemons %v, before %v", names, c.unresponsive)
	c.unresponsive = slices.Clone(names)
	close(c.changed)
	c.changed = make(chan struct{})
}

// Unresponsive returns the daemons that the reader has not heard from recently.
func (c *LeafCache) Unresponsive() map[string]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]bool, len(c.unresponsive))
	for _, name := range c.unresponsive {
		out[name] = true
	}
	return out
}

func namesDigest(names []string) uint64 {
	h := xxhash.New()
	for _, n := range names {
		_, _ = h.WriteString(n)
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

// installLocked replaces the current snapshot and notifies watchers; b.mu must be held.
func (c *LeafCache) installLocked(next *Snapshot, source string) {
	added, removed := 0, 0
	for _, l := range next.leaves {
		if _, ok := c.current.byID[l.ID]; !ok {
			added++
		}
	}
	for _, l := range c.current.leaves {
		if _, ok := next.byID[l.ID]; !ok {
			removed++
		}
	}
	draining := 0
	for _, l := range next.leaves {
		if l.Draining {
			draining++
		}
	}
	klog.Infof("discovery: list %s version=%d leaves=%d added=%d gone=%d draining=%d", source, c.version, len(next.leaves), added, removed, draining)
	c.current = next
	leavesGauge.Update(int64(len(next.leaves)))
	close(c.changed)
	c.changed = make(chan struct{})
}

// diff returns the ids of the leaves added, changed or removed between old and next.
func diff(old, next *Snapshot, now vm.Instant) map[string]bool {
	ids := make(map[string]bool)
	for _, l := range next.leaves {
		if o, ok := old.byID[l.ID]; !ok || o != l && !o.equalState(l, now) {
			ids[l.ID] = true
		}
	}
	for _, l := range old.leaves {
		if _, ok := next.byID[l.ID]; !ok {
			ids[l.ID] = true
		}
	}
	return ids
}

// replyIDs returns every id in a reply. This includes a leaf that was added and removed
// between the two versions, because a watcher of this daemon may hold a version in between.
func replyIDs(r *wire.LeavesReply) map[string]bool {
	out := make(map[string]bool, len(r.Entries)+len(r.Removed))
	for _, e := range r.Entries {
		out[e.Id] = true
	}
	for _, id := range r.Removed {
		out[id] = true
	}
	return out
}

func (c *LeafCache) appendChange(ch change) {
	c.changes = append(c.changes, ch)
	if len(c.changes) > maxChanges {
		c.changes = c.changes[1:]
	}
}

// newRequest returns a request for the changes since the cached list.
func (c *LeafCache) newRequest(wait time.Duration) *wire.LeavesRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &wire.LeavesRequest{
		Run: c.readerRun, Version: c.version, Digest: c.reported.digest, Quiet: namesDigest(c.unresponsive),
		WaitMs: uint32(wait.Milliseconds()),
	}
}

// newReply returns the reply to a watcher's request.
func (c *LeafCache) newReply(req *wire.LeavesRequest) *wire.LeavesReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := &wire.LeavesReply{Run: c.readerRun, Version: c.version, AgeMs: uint32(c.ageLocked().Milliseconds()), Quiet: c.unresponsive}
	out.Leaves = uint32(len(c.current.leaves))
	if !c.hasList || req.CountOnly || req.Run == c.readerRun && req.Version == c.version && req.Digest == c.current.digest {
		return out
	}
	now := c.clock()
	ids, ok := c.changedSince(req)
	if !ok && req.Digest == c.current.digest {
		// The same leaves from another reading; the digest does not cover their warm-up.
		ids, ok = c.warmingUp(now), true
	}
	if !ok {
		out.Whole = true
		for _, l := range c.current.leaves {
			out.Entries = append(out.Entries, toWire(l, now))
		}
		return out
	}
	for id := range ids {
		if l, exists := c.current.byID[id]; exists {
			out.Entries = append(out.Entries, toWire(l, now))
		} else {
			out.Removed = append(out.Removed, id)
		}
	}
	return out
}

// warmingUp returns the ids of the leaves that are warming up.
func (c *LeafCache) warmingUp(now vm.Instant) map[string]bool {
	ids := make(map[string]bool)
	for _, l := range c.current.leaves {
		if l.WarmingUp(now) {
			ids[l.ID] = true
		}
	}
	return ids
}

// changedSince returns the ids changed after the version in req, and false if that
// version is no longer known.
func (c *LeafCache) changedSince(req *wire.LeavesRequest) (map[string]bool, bool) {
	if req.Run != c.readerRun || req.Version > c.version || len(c.changes) == 0 || req.Version < c.changes[0].fromVersion {
		return nil, false
	}
	ids := make(map[string]bool)
	for _, ch := range c.changes {
		if ch.toVersion > req.Version {
			for id := range ch.ids {
				ids[id] = true
			}
		}
	}
	return ids, true
}

// applyReply merges a reply into the cache and returns true, unless its reading is older than
// the cached one.
func (c *LeafCache) applyReply(r *wire.LeavesReply) bool {
	if r.Run == 0 {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock()
	// The reading is at least as old as it was when the reply was written.
	readAt := now.Add(-time.Duration(r.AgeMs) * time.Millisecond)
	if c.hasList && readAt < c.readAt-readingTolerance {
		return false
	}
	readAt = max(readAt, c.readAt)
	c.setUnresponsiveLocked(r.Quiet)
	switch {
	case r.Whole:
		c.reported = newSnapshot(c.decodeEntries(r.Entries, now))
	case len(r.Entries)+len(r.Removed) > 0:
		c.reported = newSnapshot(c.applyDelta(r, now))
	}
	next := c.runs.resolveAll(c.reported, c.current, now)
	changedIDs := diff(c.current, next, now)
	oldVersion := c.version
	hasChanges := len(r.Entries)+len(r.Removed) > 0
	if c.readerRun != r.Run || r.Whole || r.Version > oldVersion && !hasChanges {
		// The difference is relative to another reader's list, or a leaf was added and
		// removed in between. It is not the change from one version to the next.
		c.changes = nil
	} else if r.Version > oldVersion {
		c.appendChange(change{oldVersion, r.Version, replyIDs(r)})
	}
	c.readerRun, c.version, c.readAt = r.Run, r.Version, readAt
	if len(changedIDs) > 0 || !c.hasList {
		c.installLocked(next, "received")
	}
	c.hasList = true
	return true
}

func (c *LeafCache) decodeEntries(entries []*wire.LeafEntry, now vm.Instant) []*Leaf {
	out := make([]*Leaf, 0, len(entries))
	for _, e := range entries {
		out = append(out, c.reuseUnchanged(fromWire(e, now), now))
	}
	return out
}

// reuseUnchanged returns the cached leaf if it equals l, otherwise l.
func (c *LeafCache) reuseUnchanged(l *Leaf, now vm.Instant) *Leaf {
	if old, ok := c.reported.byID[l.ID]; ok && old.equalState(l, now) {
		return old
	}
	return l
}

func (c *LeafCache) applyDelta(r *wire.LeavesReply, now vm.Instant) []*Leaf {
	replaced := replyIDs(r)
	out := c.decodeEntries(r.Entries, now)
	for _, l := range c.reported.leaves {
		if !replaced[l.ID] {
			out = append(out, l)
		}
	}
	return out
}

// readByThisDaemon reports whether this daemon read the newest list itself.
func (c *LeafCache) readByThisDaemon() bool { return c.ownRun != 0 && c.readerRun == c.ownRun }
