package policy

import (
	"math/rand/v2"
	"time"

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
	// costSpread makes leaves of equal cost take turns, whatever their order.
	costSpread = 0.1
)

// Standing is what one daemon has learned of one leaf. The zero value knows nothing.
type Standing struct {
	inFlight int
	oldest   []vm.Instant // starts of the requests in flight
	heard    vm.Instant   // last reply of any kind
	pace     float64      // reply time as a multiple of the service's usual; 0: unknown
	failing  float64      // share of the last requests that failed
	failures int          // in a row
	restTill vm.Instant
	goneTill vm.Instant // another leaf has its address; until then it is not asked at all
	load     Load
	loadAt   vm.Instant
}

// Outcome is how a request at a leaf ended, for what is learned of the leaf.
type Outcome uint8

// The outcomes.
const (
	Replied    Outcome = iota // with success
	Rejected                  // it did not run the request: full, or leaving
	Failed                    // it failed, or nothing came back
	Unlearned                 // says nothing of the leaf
	Overdue                   // given up after a usual reply time or more
	Misbehaved                // a reply to something else, or one that broke off
)

// Ended is the end of a request at a leaf.
type Ended struct {
	Outcome Outcome
	Took    time.Duration // at the leaf
	Usual   time.Duration // how long the service usually takes; 0: not known
	Heard   bool          // a reply of any kind has come
	Load    *Load         // what that says of the leaf's load; nil: nothing
}

// InFlight returns how many requests are under way there.
func (s *Standing) InFlight() int { return s.inFlight }

// Begin counts a request as in flight.
func (s *Standing) Begin(now vm.Instant) {
	s.inFlight++
	s.oldest = append(s.oldest, now)
}

// End counts a request out that was counted in at began, and learns from its end.
func (s *Standing) End(now, began vm.Instant, e Ended, rng *rand.Rand) {
	s.inFlight--
	for i, at := range s.oldest {
		if at == began {
			s.oldest = append(s.oldest[:i], s.oldest[i+1:]...)
			break
		}
	}
	if e.Heard {
		s.heard = now
	}
	if e.Load != nil {
		s.load, s.loadAt = *e.Load, now
	}
	s.learn(now, e, rng)
}

func (s *Standing) learn(now vm.Instant, e Ended, rng *rand.Rand) {
	switch e.Outcome {
	case Replied:
		s.failures = 0
		s.failing -= s.failing * failWeight
		s.learnPace(e.Took, e.Usual)
	case Overdue:
		s.learnPace(e.Took, e.Usual)
		s.fail(now, rng)
	case Rejected:
		// Most are of a leaf that is full, which its load tells; one that rejects
		// without load is passed over like one that fails.
		s.failing += (1 - s.failing) * failWeight
		if s.load.Slots > 0 {
			s.load.Waiting = max(s.load.Waiting, s.load.Slots)
			s.loadAt = now
		}
	case Failed, Misbehaved:
		s.fail(now, rng)
	}
}

func (s *Standing) fail(now vm.Instant, rng *rand.Rand) {
	s.failing += (1 - s.failing) * failWeight
	s.failures++
	if s.failures >= restAfter {
		s.rest(now, rng)
	}
}

// rest passes the leaf over for a while, longer with each failure in a row.
func (s *Standing) rest(now vm.Instant, rng *rand.Rand) {
	d := min(restFirst<<min(s.failures-restAfter, 8), restLongest)
	s.restTill = now.Add(d/2 + time.Duration(rng.Int64N(int64(d/2)+1)))
}

// paceMost bounds one sample, so that one pause does not make a leaf look slow for
// many requests to come.
const paceMost = 6

func (s *Standing) learnPace(took, usual time.Duration) {
	if usual <= 0 {
		return
	}
	x := min(float64(took)/float64(usual), paceMost)
	if s.pace == 0 {
		s.pace = 1
	}
	s.pace += (x - s.pace) * paceWeight
}

// Unreachable notes that the leaf could not be connected to. Nothing was sent, so
// one failure is enough to pass it over.
func (s *Standing) Unreachable(now vm.Instant, rng *rand.Rand) {
	s.failures = max(s.failures+1, restAfter)
	s.rest(now, rng)
}

// Misplaced notes that another leaf answers at the leaf's address.
func (s *Standing) Misplaced(now vm.Instant) { s.goneTill = now.Add(misplacedFor) }

// Candidate is a leaf that a request may go to.
type Candidate struct {
	Standing *Standing // nil: nothing is known of it
	Near     bool      // in the daemon's own failure domain
	Cold     bool      // still slow after its start
	Slots    int       // requests it runs at once; 0: unknown
}

// Choose returns the place of the best candidate for a request that usually takes that
// long: one that has its address, and that does not rest if another one is there. It
// returns -1 when there is none.
func Choose(list []Candidate, now vm.Instant, usual time.Duration, rng *rand.Rand) int {
	best, resting := -1, -1
	bestCost := 0.0
	var restEnds vm.Instant
	for i := range list {
		c := &list[i]
		if s := c.Standing; s != nil {
			if now < s.goneTill {
				continue
			}
			if now < s.restTill {
				if resting < 0 || s.restTill < restEnds {
					resting, restEnds = i, s.restTill
				}
				continue
			}
		}
		cost := c.cost(now, usual) * (1 - costSpread/2 + costSpread*rng.Float64())
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	if best < 0 {
		return resting
	}
	return best
}

func (c *Candidate) cost(now vm.Instant, usual time.Duration) float64 {
	cost := 1.0
	if !c.Near {
		cost *= remoteCost
	}
	if c.Cold {
		cost *= coldCost
	}
	s := c.Standing
	if s == nil {
		return cost
	}
	if s.pace > 0 {
		cost *= max(s.pace, 0.2)
	}
	cost *= 1 + failCost*s.failing
	slots := float64(max(c.Slots, s.load.Slots, 1))
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
func (s *Standing) silent(now vm.Instant, usual time.Duration) bool {
	if len(s.oldest) == 0 || usual <= 0 {
		return false
	}
	since := max(s.oldest[0], s.heard)
	return now.Sub(since) > time.Duration(silentAfter*float64(usual))
}
