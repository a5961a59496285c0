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
type LeafTracker struct {
	clock  vm.Clock
	domain string

	mu     sync.Mutex
	rng    *rand.Rand
	leaves map[discovery.RunID]*leafState
}

// NewLeafTracker returns an empty tracker for a daemon in the given failure domain.
func NewLeafTracker(clock vm.Clock, domain string) *LeafTracker {
	return &LeafTracker{clock: clock, domain: domain, leaves: make(map[discovery.RunID]*leafState), rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
}

// leafState is the observed health of one leaf and the link to it.
type leafState struct {
	policy.LeafStats
	link      *target.Link
	lostAt    vm.Instant // when no connection could be established last; 0: never
	coldSends policy.ColdSends
}

// Link returns the link to a leaf. If there is none yet, it creates the link with the
// connection limit from limit. The link calls check before it writes a request.
func (t *LeafTracker) Link(l *discovery.Leaf, limit func(*discovery.Leaf) int, check func(*discovery.Leaf) error) *target.Link {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(l.RunID())
	if s.link == nil {
		s.link = target.NewLink(l.ID, l.Addr, limit(l))
		s.link.SetSendCheck(func() error { return check(l) })
	}
	return s.link
}

// state returns the state of a leaf and creates it if needed. The caller holds t.mu.
func (t *LeafTracker) state(life discovery.RunID) *leafState {
	s := t.leaves[life]
	if s == nil {
		s = &leafState{}
		t.leaves[life] = s
	}
	return s
}

// Reconcile drops the state of leaves that are not in the snapshot, closes their links, and
// closes idle connections of the remaining links. Requests in flight at a leaf that was
// removed are allowed to finish. Requests in flight at a leaf that has restarted are aborted,
// since the process that received them no longer exists.
func (t *LeafTracker) Reconcile(snap *discovery.Snapshot) {
	var current, removed, restarted []*target.Link
	t.mu.Lock()
	for life, s := range t.leaves {
		leaf, ok := snap.Find(life.ID)
		if ok && leaf.RunID() == life {
			if s.link != nil {
				current = append(current, s.link)
			}
			continue
		}
		delete(t.leaves, life)
		switch {
		case s.link == nil:
		case ok:
			restarted = append(restarted, s.link)
		default:
			removed = append(removed, s.link)
		}
	}
	t.mu.Unlock()
	for _, l := range removed {
		l.Close()
	}
	for _, l := range restarted {
		l.Abort()
	}
	now := time.Now()
	for _, l := range current {
		l.CloseExpired(now)
	}
}

// SetConnectionLimits updates the connection limit of every link.
func (t *LeafTracker) SetConnectionLimits(snap *discovery.Snapshot, limit func(*discovery.Leaf) int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for life, s := range t.leaves {
		if l, ok := snap.Find(life.ID); ok && s.link != nil {
			s.link.SetMaxConns(limit(l))
		}
	}
}

// EndAbandoned ends the exchanges with all leaves whose replies are no longer needed.
func (t *LeafTracker) EndAbandoned() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.leaves {
		if s.link != nil {
			s.link.EndAbandoned()
		}
	}
}

// Begin counts a request as in flight and returns its start time.
func (t *LeafTracker) Begin(life discovery.RunID) vm.Instant {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock()
	t.state(life).Begin(now)
	return now
}

// End removes a request that started at began from the requests in flight and updates the
// health of the leaf from its outcome.
func (t *LeafTracker) End(life discovery.RunID, began vm.Instant, e policy.RequestResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.leaves[life]; s != nil { // otherwise the leaf was removed or has restarted
		s.End(t.clock(), began, e, t.rng)
	}
}

// MarkUnreachable records that a connection to the leaf could not be established.
func (t *LeafTracker) MarkUnreachable(life discovery.RunID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, now := t.state(life), t.clock()
	s.lostAt = now
	s.Unreachable(now, t.rng)
}

// lostWithin reports whether no connection to the leaf could be established at some time within
// d before now.
func (t *LeafTracker) lostWithin(life discovery.RunID, now vm.Instant, d time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.leaves[life]
	return s != nil && s.lostAt != 0 && now.Sub(s.lostAt) < d
}

// coldSendAvailable reports whether the share allows a send to the leaf now.
func (t *LeafTracker) coldSendAvailable(life discovery.RunID, share policy.ColdShare) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state(life).coldSends.Available(share, t.clock())
}

// takeColdSend records a send to the leaf if the share allows it.
func (t *LeafTracker) takeColdSend(life discovery.RunID, share policy.ColdShare) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state(life).coldSends.Take(share, t.clock())
}

// MarkMisplaced records that another leaf answers at the leaf's address.
func (t *LeafTracker) MarkMisplaced(life discovery.RunID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state(life).Misplaced(t.clock())
}

// stackCandidates is the number of leaves of a service up to which Choose does not allocate
// memory.
const stackCandidates = 8

// Choose returns the best leaf of list, according to policy.Choose, for a request that usually
// takes the given time. It skips leaves that are in tried or draining, and returns nil if no
// leaf remains.
func (t *LeafTracker) Choose(list []*discovery.Leaf, tried []*discovery.Leaf, usual time.Duration) *discovery.Leaf {
	var leafBuf [stackCandidates]*discovery.Leaf
	var candidateBuf [stackCandidates]policy.Candidate
	eligible, candidates := leafBuf[:0], candidateBuf[:0]
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock()
	for _, l := range list {
		if l.Draining || containsLeaf(tried, l) {
			continue
		}
		c := policy.Candidate{SameDomain: l.Domain == t.domain, WarmingUp: l.WarmingUp(now), Slots: l.Slots}
		if s := t.leaves[l.RunID()]; s != nil {
			c.Stats = &s.LeafStats
		}
		eligible, candidates = append(eligible, l), append(candidates, c)
	}
	if i := policy.Choose(candidates, now, usual, t.rng); i >= 0 {
		return eligible[i]
	}
	return nil
}

func containsLeaf(list []*discovery.Leaf, l *discovery.Leaf) bool {
	for _, x := range list {
		if x.RunID() == l.RunID() {
			return true
		}
	}
	return false
}
