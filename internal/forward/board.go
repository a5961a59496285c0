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

// Board holds what has been learned of each leaf. It is safe for concurrent use.
type Board struct {
	clock  vm.Clock
	domain string

	mu     sync.Mutex
	rng    *rand.Rand
	leaves map[discovery.Life]*standing
}

// NewBoard returns an empty board of a daemon in that failure domain.
func NewBoard(clock vm.Clock, domain string) *Board {
	return &Board{clock: clock, domain: domain, leaves: make(map[discovery.Life]*standing), rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
}

// standing is what is known of one leaf.
type standing struct {
	policy.Standing
	link *target.Link
}

// Link returns the link to a leaf, made if need be with its limit.
func (b *Board) Link(l *discovery.Leaf, limit func(*discovery.Leaf) int) *target.Link {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.of(l.Life())
	if s.link == nil {
		s.link = target.NewLink(l.ID, l.Addr, limit(l))
	}
	return s.link
}

func (b *Board) of(life discovery.Life) *standing {
	s := b.leaves[life]
	if s == nil {
		s = &standing{}
		b.leaves[life] = s
	}
	return s
}

// Keep forgets the leaves that are not in the snapshot and closes their links, and
// closes connections that have been idle for long. Requests in flight at a leaf that
// has left end as they will; those at the earlier life of one that has started again
// end now, since nobody is there to answer them.
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

// SetLimits gives every link its limit.
func (b *Board) SetLimits(snap *discovery.Snapshot, limit func(*discovery.Leaf) int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for life, s := range b.leaves {
		if l, ok := snap.Find(life.ID); ok && s.link != nil {
			s.link.SetLimit(limit(l))
		}
	}
}

// Begin counts a request as in flight and returns its start.
func (b *Board) Begin(life discovery.Life) vm.Instant {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock()
	b.of(life).Begin(now)
	return now
}

// End counts a request out that began then, and learns from its end.
func (b *Board) End(life discovery.Life, began vm.Instant, e policy.Ended) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.leaves[life]; s != nil { // else it has left, or started again
		s.End(b.clock(), began, e, b.rng)
	}
}

// Unreachable notes that a leaf could not be connected to.
func (b *Board) Unreachable(life discovery.Life) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(life).Unreachable(b.clock(), b.rng)
}

// Misplaced notes that another leaf answers at a leaf's address.
func (b *Board) Misplaced(life discovery.Life) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(life).Misplaced(b.clock())
}

// usualCopies is how many leaves of a service a choice among them needs no memory for.
const usualCopies = 8

// Choose returns the best leaf of list for a request that usually takes that long:
// one that is neither in tried nor leaving, by policy.Choose. It returns nil when there
// is none.
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
