package forward

import (
	"math/rand/v2"
	"sync"
	"time"

	"pearmoor/internal/discovery"
	"pearmoor/internal/link/target"
	"pearmoor/internal/vm"
)

// What a leaf is expected to cost is a multiple of what its service usually takes.
const (
	paceWeight = 0.15 // of a new reply in the learned pace
	failWeight = 0.2  // of a new outcome in the learned failure rate
	failCost   = 8.0  // multiple at a failure rate of 1
	coldCost   = 2.0  // while the leaf warms up
	silentCost = 8.0  // while an earlier request there is overdue
	// remoteCost is the preference for leaves in the daemon's own failure domain:
	// links between domains cost money by the byte. 1.8 in place of 1.3 lowered the
	// bytes between domains by 12% on a quiet day of 69 VMs.
	remoteCost = 1.8
	loadCost   = 1.0 // for each request running or waiting per slot
	// loadAge is how long a leaf's word on its load is believed: a request takes
	// some ten milliseconds, so an older one describes other requests.
	loadAge = 100 * time.Millisecond
	// silentAfter is how many usual reply times a leaf may be silent before it is
	// passed over; a pause lasts for ten.
	silentAfter = 2.5
	// restFirst and restLongest bound how long a leaf that failed several times in
	// a row is passed over; doubled with each failure more.
	restFirst   = 150 * time.Millisecond
	restLongest = 3 * time.Second
	restAfter   = 2 // failures in a row
	// misplacedFor is how long a leaf is not asked once another one has answered at its
	// address: longer than the list takes to show that it is gone. Asked again every 0.15
	// to 3 s until then, eight such leaves brought one service, whose leaves had their
	// addresses, 50 arrivals in 10 s that its budget for extra sends knows nothing of.
	misplacedFor = 10 * time.Second
)

// Board holds what has been learned of each leaf. It is safe for concurrent use.
type Board struct {
	clock  vm.Clock
	domain string

	mu     sync.Mutex
	leaves map[discovery.Life]*standing
}

// NewBoard returns an empty board of a daemon in that failure domain.
func NewBoard(clock vm.Clock, domain string) *Board {
	return &Board{clock: clock, domain: domain, leaves: make(map[discovery.Life]*standing)}
}

// standing is what is known of one leaf.
type standing struct {
	link *target.Link

	inFlight int
	oldest   []vm.Instant // starts of the requests in flight
	heard    vm.Instant   // last reply of any kind
	pace     float64      // reply time as a multiple of the service's usual; 0: unknown
	failing  float64      // share of the last requests that failed
	failures int          // in a row
	restTill vm.Instant
	goneTill vm.Instant // another leaf has its address; until then it is not asked at all
	load     target.Load
	loadAt   vm.Instant
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
	s := b.of(life)
	s.inFlight++
	s.oldest = append(s.oldest, now)
	return now
}

// outcome is how a request at a leaf ended, for what is learned of the leaf.
type outcome uint8

const (
	replied    outcome = iota // with success
	rejected                  // it did not run the request: full, or leaving
	failed                    // it failed, or nothing came back
	unlearned                 // says nothing of the leaf
	overdue                   // given up after a usual reply time or more
	misbehaved                // a reply to something else, or one that broke off
)

// End counts a request out that took so long at the leaf. usual is how long the service
// usually takes; it may be 0 while that is not known.
func (b *Board) End(life discovery.Life, began vm.Instant, took time.Duration, out outcome, usual time.Duration, reply *target.Reply) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.leaves[life]
	if s == nil {
		return // it has left, or started again
	}
	now := b.clock()
	s.inFlight--
	for i, at := range s.oldest {
		if at == began {
			s.oldest = append(s.oldest[:i], s.oldest[i+1:]...)
			break
		}
	}
	if reply != nil {
		s.heard = now
		if reply.HasLoad {
			s.load, s.loadAt = reply.Load, now
		}
	}
	s.learn(out, now, took, usual)
}

func (s *standing) learn(out outcome, now vm.Instant, took, usual time.Duration) {
	switch out {
	case replied:
		s.failures = 0
		s.failing -= s.failing * failWeight
		s.learnPace(took, usual)
	case overdue:
		s.learnPace(took, usual)
		s.fail(now)
	case rejected:
		// Most are of a leaf that is full, which its load tells; one that rejects
		// without load is passed over like one that fails.
		s.failing += (1 - s.failing) * failWeight
		if s.load.Slots > 0 {
			s.load.Waiting = max(s.load.Waiting, s.load.Slots)
			s.loadAt = now
		}
	case failed, misbehaved:
		s.fail(now)
	}
}

func (s *standing) fail(now vm.Instant) {
	s.failing += (1 - s.failing) * failWeight
	s.failures++
	if s.failures >= restAfter {
		s.rest(now)
	}
}

// rest passes the leaf over for a while, longer with each failure in a row.
func (s *standing) rest(now vm.Instant) {
	d := min(restFirst<<min(s.failures-restAfter, 8), restLongest)
	s.restTill = now.Add(d/2 + rand.N(d/2+1))
}

// paceMost bounds one sample, so that one pause does not make a leaf look slow for
// many requests to come.
const paceMost = 6

func (s *standing) learnPace(took, usual time.Duration) {
	if usual <= 0 {
		return
	}
	x := min(float64(took)/float64(usual), paceMost)
	if s.pace == 0 {
		s.pace = 1
	}
	s.pace += (x - s.pace) * paceWeight
}

// Unreachable notes that a leaf could not be connected to. Nothing was sent, so
// one failure is enough to pass it over.
func (b *Board) Unreachable(life discovery.Life) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.of(life)
	s.failures = max(s.failures+1, restAfter)
	s.rest(b.clock())
}

// Misplaced notes that another leaf answers at a leaf's address.
func (b *Board) Misplaced(life discovery.Life) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(life).goneTill = b.clock().Add(misplacedFor)
}

// Choose returns the best leaf of list for a request that usually takes that long:
// one that is not in tried, not leaving, not known to have lost its address to
// another, and not passed over if another is there.
// It returns nil when there is none.
func (b *Board) Choose(list []*discovery.Leaf, tried []*discovery.Leaf, usual time.Duration) *discovery.Leaf {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock()
	var best, resting *discovery.Leaf
	bestCost := 0.0
	var restEnds vm.Instant
	for _, l := range list {
		if l.Draining || contains(tried, l) {
			continue
		}
		s := b.leaves[l.Life()]
		if s != nil && now < s.goneTill {
			continue
		}
		if s != nil && now < s.restTill {
			if resting == nil || s.restTill < restEnds {
				resting, restEnds = l, s.restTill
			}
			continue
		}
		cost := b.cost(l, s, now, usual) * (0.95 + 0.1*rand.Float64())
		if best == nil || cost < bestCost {
			best, bestCost = l, cost
		}
	}
	if best == nil {
		return resting
	}
	return best
}

func (b *Board) cost(l *discovery.Leaf, s *standing, now vm.Instant, usual time.Duration) float64 {
	cost := 1.0
	if l.Domain != b.domain {
		cost *= remoteCost
	}
	if l.Cold(now) {
		cost *= coldCost
	}
	if s == nil {
		return cost
	}
	if s.pace > 0 {
		cost *= max(s.pace, 0.2)
	}
	cost *= 1 + failCost*s.failing
	slots := float64(max(l.Slots, s.load.Slots, 1))
	busy := float64(s.inFlight)
	if now.Sub(s.loadAt) < loadAge {
		busy = max(busy, float64(s.load.Running+s.load.Waiting))
		if s.load.Pace > 0 {
			cost *= s.load.Pace
		}
	}
	cost *= 1 + loadCost*busy/slots
	if s.silent(now, usual) {
		cost *= silentCost
	}
	return cost
}

// silent reports whether a request there is overdue with no reply of any kind
// since it was sent.
func (s *standing) silent(now vm.Instant, usual time.Duration) bool {
	if len(s.oldest) == 0 || usual <= 0 {
		return false
	}
	since := max(s.oldest[0], s.heard)
	return now.Sub(since) > time.Duration(silentAfter*float64(usual))
}

func contains(list []*discovery.Leaf, l *discovery.Leaf) bool {
	for _, x := range list {
		if x.Life() == l.Life() {
			return true
		}
	}
	return false
}
