package discovery

import (
	"cmp"
	"context"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"pearmoor/internal/link/wire"
	"pearmoor/internal/vm"
)

// Leaf is one run of a target, from its start to its end. It is immutable.
type Leaf struct {
	ID       string
	StartMs  int64 // start time in ms since 1970 by the clock of its VM; 0: not stated
	Service  string
	Addr     string     // host:port
	Domain   string     // failure domain
	Slots    int        // maximum number of concurrent requests; 0: unknown
	Draining bool       // it is shutting down and takes no new work
	WarmAt   vm.Instant // end of the warm-up; 0: it was warm when it was listed
}

// RunID identifies one run of a leaf. A leaf that restarts keeps its id but is another
// run, and nothing learned about the earlier run applies to it.
type RunID struct {
	ID      string
	StartMs int64
}

// RunID returns the identity of the leaf's run.
func (l *Leaf) RunID() RunID { return RunID{l.ID, l.StartMs} }

// Fingerprint returns a hash of the leaf's run and service. Messages between daemons
// that refer to many leaves use it as a short identifier.
func (l *Leaf) Fingerprint() uint64 {
	h := xxhash.New()
	var buf [8]byte
	binary.LittleEndian.PutUint64(buf[:], uint64(l.StartMs))
	_, _ = h.Write(buf[:])
	_, _ = h.WriteString(l.ID)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(l.Service)
	return h.Sum64()
}

// WarmingUp reports whether the leaf is still slow after its start.
func (l *Leaf) WarmingUp(now vm.Instant) bool { return now < l.WarmAt }

// warmUpTolerance is the largest difference between the ends of the same warm-up, as computed
// from two listings. Each listing may be older than it says by the lag of the list.
const warmUpTolerance = time.Second

// equalState reports whether l and other are equal. Ends of a warm-up that differ by less than
// warmUpTolerance count as equal.
func (l *Leaf) equalState(other *Leaf, now vm.Instant) bool {
	difference := l.warmUpLeft(now) - other.warmUpLeft(now)
	return l.RunID() == other.RunID() && l.Service == other.Service && l.Addr == other.Addr &&
		l.Domain == other.Domain && l.Slots == other.Slots && l.Draining == other.Draining &&
		max(difference, -difference) <= warmUpTolerance
}

// warmUpLeft returns the remaining warm-up time.
func (l *Leaf) warmUpLeft(now vm.Instant) time.Duration { return max(0, l.WarmAt.Sub(now)) }

// warmAt returns the end of a warm-up with the given remaining time, 0 if there is none.
func warmAt(now vm.Instant, left time.Duration) vm.Instant {
	if left <= 0 {
		return 0
	}
	return now.Add(left)
}

// ListedLeaf is a leaf as a Source lists it.
type ListedLeaf struct {
	ID       string
	StartMs  int64 // ms since 1970; 0: not stated
	Service  string
	Addr     string
	Domain   string
	Slots    int
	Draining bool
	WarmIn   time.Duration
}

// UnreadableEntry is a list entry that does not describe a valid leaf.
type UnreadableEntry struct {
	ID  string // may be empty if it can't be read either
	Err error
}

// Listing is the result of one reading of a Source.
type Listing struct {
	Leaves     []ListedLeaf
	Unreadable []UnreadableEntry
}

// Source lists all leaves.
type Source interface {
	// List reads the whole list, or returns an error if any part can't be read. An
	// entry that can't be decoded is no such error: it is returned in
	// Listing.Unreadable and does not affect the other entries.
	List(ctx context.Context) (Listing, error)
}

// Snapshot is the set of leaves at one reading. It is immutable.
type Snapshot struct {
	leaves        []*Leaf // sorted by id
	byID          map[string]*Leaf
	byFingerprint map[uint64]*Leaf
	byService     map[string][]*Leaf
	digest        uint64
}

func newSnapshot(leaves []*Leaf) *Snapshot {
	slices.SortFunc(leaves, func(a, b *Leaf) int { return cmp.Compare(a.ID, b.ID) })
	s := &Snapshot{
		leaves: leaves, byID: make(map[string]*Leaf, len(leaves)),
		byFingerprint: make(map[uint64]*Leaf, len(leaves)),
		byService:     make(map[string][]*Leaf),
	}
	h := xxhash.New()
	var buf [8]byte
	for _, l := range leaves {
		s.byID[l.ID] = l
		s.byFingerprint[l.Fingerprint()] = l
		s.byService[l.Service] = append(s.byService[l.Service], l)
		for _, t := range [...]string{l.ID, l.Service, l.Addr, l.Domain} {
			_, _ = h.WriteString(t)
			_, _ = h.Write([]byte{0})
		}
		binary.LittleEndian.PutUint64(buf[:], uint64(l.StartMs))
		_, _ = h.Write(buf[:])
		_, _ = h.Write([]byte{byte(l.Slots), byte(l.Slots >> 8), boolByte(l.Draining)})
	}
	s.digest = h.Sum64()
	return s
}

func boolByte(b bool) byte {
	if b {
		return 1
	}
	return 0
}

// ForService returns the leaves of a service, including draining ones. The caller must
// not modify the slice.
func (s *Snapshot) ForService(service string) []*Leaf { return s.byService[service] }

// Find returns the leaf with the given id.
func (s *Snapshot) Find(id string) (*Leaf, bool) {
	l, ok := s.byID[id]
	return l, ok
}

// FindByFingerprint returns the leaf with the given fingerprint.
func (s *Snapshot) FindByFingerprint(mark uint64) (*Leaf, bool) {
	l, ok := s.byFingerprint[mark]
	return l, ok
}

// All returns every leaf, sorted by id. The caller must not modify the slice.
func (s *Snapshot) All() []*Leaf { return s.leaves }

func toWire(l *Leaf, now vm.Instant) *wire.LeafEntry {
	return &wire.LeafEntry{
		Id: l.ID, Service: l.Service, Addr: l.Addr, Domain: l.Domain,
		Slots: uint32(l.Slots), Draining: l.Draining, Born: l.StartMs,
		ColdMs: uint32(l.warmUpLeft(now).Milliseconds()),
	}
}

func fromWire(e *wire.LeafEntry, now vm.Instant) *Leaf {
	return &Leaf{
		ID: e.Id, Service: e.Service, Addr: e.Addr, Domain: e.Domain,
		Slots: int(e.Slots), Draining: e.Draining, StartMs: e.Born,
		WarmAt: warmAt(now, time.Duration(e.ColdMs)*time.Millisecond),
	}
}
