package forward

import (
	"math/rand/v2"
	"sync"
	"time"

	"pearmoor/internal/discovery"
	"pearmoor/internal/link/target"
	"pearmoor/internal/policy"
	"pearmoor/internal/vm"
)

// LeafTracker records the observed health of each leaf and holds the connections to it.
// It is safe for concurrent use.
type Board struct {
	clock  vm.Clock
	domain string

	mu     sync.Mutex
	rng    *rand.Rand
	leaves map[discovery.Life]*standing
}

// NewLeafTracker returns an empty tracker for a daemon in the given failure domain.
func NewBoard(clock vm.Clock, domain string) *Board {
	return &Board{clock: clock, domain: domain, leaves: make(map[discovery.Life]*standing), rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
}

// leafState is the observed health of one leaf and the link to it.
type standing struct {
	policy.Standing
	link *target.Link
}

// Link returns the link to a leaf. It creates the link with the connection limit from
// limit if there is none yet.
func (b *Board) Link(l *discovery.Leaf, limit func(*discovery.Leaf) int) *target.Link {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.of(l.Life())
	if s.link == nil {
		s.link = target.NewLink(l.ID, l.Addr, limit(l))
	}
	return s.link
}

// state returns the state of a leaf and creates it if needed. The caller holds t.mu.
func (b *Board) of(life discovery.Life) *standing {
	s := b.leaves[life]
	if s == nil {
		s = &standing{}
		b.leaves[life] = s
	}
	return s
}

// Reconcile drops the state of leaves that are not in the snapshot, closes their links, and
// closes idle connections of the remaining links. Requests in flight at a leaf that was
// removed are allowed to finish. Requests in flight at a leaf that has restarted are aborted,
// since the process that received them no longer exists.
func (b *Board) Keep(snap *discovery.Snapshot) {
	var links, left, over []*target.Link
	b.mu.Lock()
	for life, s := range b.leaves {
		now, ok := snap.Find(life.ID)
		if ok && now.Life() == life {
			if s.link != nil {
				links = append(links, s.link)
			}
			continue
		}
		delete(b.leaves, life)
		switch {
		case s.link == nil:
		case ok:
			over = append(over, s.link)
		default:
			left = append(left, s.link)
		}
	}
	b.mu.Unlock()
	for _, l := range left {
		l.Close()
	}
	for _, l := range over {
		l.Abort()
	}
	now := time.Now()
	for _, l := range links {
		l.CloseIdle(now)
	}
}

// SetConnectionLimits updates the connection limit of every link.
func (b *Board) SetLimits(snap *discovery.Snapshot, limit func(*discovery.Leaf) int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for life, s := range b.leaves {
		if l, ok := snap.Find(life.ID); ok && s.link != nil {
			s.link.SetLimit(limit(l))
		}
	}
}

// Begin counts a request as in flight and returns its start time.
func (b *Board) Begin(life discovery.Life) vm.Instant {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock()
	b.of(life).Begin(now)
	return now
}

// End removes a request that started at began from the requests in flight and updates the
// health of the leaf from its outcome.
func (b *Board) End(life discovery.Life, began vm.Instant, e policy.Ended) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.leaves[life]; s != nil { // otherwise the leaf was removed or has restarted
		s.End(b.clock(), began, e, b.rng)
	}
}

// MarkUnreachable records that a connection to the leaf could not be established.
func (b *Board) Unreachable(life discovery.Life) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(life).Unreachable(b.clock(), b.rng)
}

// MarkMisplaced records that another leaf answers at the leaf's address.
func (b *Board) Misplaced(life discovery.Life) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(life).Misplaced(b.clock())
}

// stackCandidates is the number of leaves of a service up to which Choose does not allocate
// memory.
const usualCopies = 8

// Choose returns the best leaf of list, according to policy.Choose, for a request that usually
// takes the given time. It skips leaves that are in tried or draining, and returns nil if no
// leaf remains.
func (b *Board) Choose(list []*discovery.Leaf, tried []*discovery.Leaf, usual time.Duration) *discovery.Leaf {
	var leaves [usualCopies]*discovery.Leaf
	var known [usualCopies]policy.Candidate
	from, of := leaves[:0], known[:0]
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock()
	for _, l := range list {
		if l.Draining || contains(tried, l) {
			continue
		}
		c := policy.Candidate{Near: l.Domain == b.domain, Cold: l.Cold(now), Slots: l.Slots}
		if s := b.leaves[l.Life()]; s != nil {
			c.Standing = &s.Standing
		}
		from, of = append(from, l), append(of, c)
	}
	if i := policy.Choose(of, now, usual, b.rng); i >= 0 {
		return from[i]
	}
	return nil
}

func contains(list []*discovery.Leaf, l *discovery.Leaf) bool {
	for _, x := range list {
		if x.Life() == l.Life() {
			return true
		}
	}
	return false
}
