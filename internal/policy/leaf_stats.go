package policy

import (
	"math/rand/v2"
	"time"

	"pearmoor/internal/vm"
)

// The cost of a leaf is a multiple of the usual reply time of its service.
const (
	slowdownWeight   = 0.15 // weight of a new reply in the slowdown average
	failureWeight    = 0.2  // weight of a new outcome in the failure rate
	failureCost      = 8.0  // added multiple at a failure rate of 1
	coldCost         = 2.0  // multiple while the leaf warms up
	unresponsiveCost = 8.0  // multiple while an earlier request to the leaf is overdue
	// remoteCost is the multiple for leaves outside the daemon's own failure domain, because
	// traffic between domains is billed by the byte. In a tier of 69 VMs at low load, 1.8
	// instead of 1.3 reduced the bytes between domains by 12%.
	remoteCost = 1.8
	loadCost   = 1.0 // added for each running or waiting request per slot
	// loadMaxAge is how long a load reported by a leaf is used. A request takes about ten
	// milliseconds, so an older report describes other requests.
	loadMaxAge = 100 * time.Millisecond
	// unresponsiveAfter is the number of median reply times without any reply after which a
	// leaf counts as unresponsive. A typical pause of a leaf lasts ten.
	unresponsiveAfter = 2.5
	// minBackoff and maxBackoff bound the time for which a leaf is avoided after consecutive
	// failures. The time doubles with each further failure.
	minBackoff           = 150 * time.Millisecond
	maxBackoff           = 3 * time.Second
	backoffAfterFailures = 2 // consecutive failures
	// misplacedPeriod is how long a leaf is skipped after another leaf has answered at its
	// address. It is longer than service discovery takes to remove the leaf. When eight such
	// leaves were retried every 0.15 to 3 s instead, the service that had taken over their
	// addresses received 50 requests in 10 s that its budget for extra sends did not account
	// for.
	misplacedPeriod = 10 * time.Second
	// costJitter is the relative range of the random factor on each cost. It spreads
	// requests over leaves of equal cost, whatever their order.
	costJitter = 0.1
)

// LeafStats is what a daemon has observed of one leaf. Its zero value has no observations.
type LeafStats struct {
	inFlight            int
	startTimes          []vm.Instant // start times of the requests in flight, oldest first
	lastReply           vm.Instant   // time of the last reply of any kind
	slowdown            float64      // average reply time as a multiple of the service's median; 0: unknown
	failureRate         float64      // moving average, 0 to 1
	consecutiveFailures int
	backoffUntil        vm.Instant // avoided until then if there is an alternative
	misplacedUntil      vm.Instant // another leaf has its address; never chosen until then
	load                Load
	loadAt              vm.Instant // when load was reported
}

// Outcome classifies the end of a request to a leaf for LeafStats.
type Outcome uint8

// The outcomes.
const (
	Replied      Outcome = iota // success
	Rejected                    // the leaf did not run the request because it is full or shutting down
	Failed                      // the leaf failed, or no reply came
	Inconclusive                // tells nothing about the leaf
	Overdue                     // given up after at least a median reply time
	InvalidReply                // a reply to another request, or a truncated one
)

// RequestResult describes the end of a request to a leaf.
type RequestResult struct {
	Outcome       Outcome
	Elapsed       time.Duration // time at the leaf
	MedianLatency time.Duration // median reply time of the service; 0: unknown
	ReplyReceived bool          // a reply of any kind was received
	Load          *Load         // load stated in the reply; nil: none
}

// InFlight returns the number of requests in flight to the leaf.
func (s *LeafStats) InFlight() int { return s.inFlight }

// Begin counts a request as in flight.
func (s *LeafStats) Begin(now vm.Instant) {
	s.inFlight++
	s.startTimes = append(s.startTimes, now)
}

// End removes the request that began at began from those in flight and updates the
// statistics with its result.
func (s *LeafStats) End(now, began vm.Instant, result RequestResult, rng *rand.Rand) {
	s.inFlight--
	for i, at := range s.startTimes {
		if at == began {
			s.startTimes = append(s.startTimes[:i], s.startTimes[i+1:]...)
			break
		}
	}
	if result.ReplyReceived {
		s.lastReply = now
	}
	if result.Load != nil {
		s.load, s.loadAt = *result.Load, now
	}
	s.recordResult(now, result, rng)
}

func (s *LeafStats) recordResult(now vm.Instant, result RequestResult, rng *rand.Rand) {
	switch result.Outcome {
	case Replied:
		s.consecutiveFailures = 0
		s.failureRate -= s.failureRate * failureWeight
		s.recordDuration(result.Elapsed, result.MedianLatency)
	case Overdue:
		s.recordDuration(result.Elapsed, result.MedianLatency)
		s.recordFailure(now, rng)
	case Rejected:
		// Most rejections come from a leaf that is full, which its load shows. A leaf that
		// rejects requests without reporting load is avoided like one that fails.
		s.failureRate += (1 - s.failureRate) * failureWeight
		if s.load.Slots > 0 {
			s.load.Waiting = max(s.load.Waiting, s.load.Slots)
			s.loadAt = now
		}
	case Failed, InvalidReply:
		s.recordFailure(now, rng)
	}
}

func (s *LeafStats) recordFailure(now vm.Instant, rng *rand.Rand) {
	s.failureRate += (1 - s.failureRate) * failureWeight
	s.consecutiveFailures++
	if s.consecutiveFailures >= backoffAfterFailures {
		s.backOff(now, rng)
	}
}

// backOff avoids the leaf for a while, longer with each consecutive failure. The time is
// randomized.
func (s *LeafStats) backOff(now vm.Instant, rng *rand.Rand) {
	d := min(minBackoff<<min(s.consecutiveFailures-backoffAfterFailures, 8), maxBackoff)
	s.backoffUntil = now.Add(d/2 + time.Duration(rng.Int64N(int64(d/2)+1)))
}

// maxSlowdownSample bounds a single sample, so that one pause does not make a leaf look slow
// for many requests.
const maxSlowdownSample = 6

func (s *LeafStats) recordDuration(elapsed, medianLatency time.Duration) {
	if medianLatency <= 0 {
		return
	}
	x := min(float64(elapsed)/float64(medianLatency), maxSlowdownSample)
	if s.slowdown == 0 {
		s.slowdown = 1
	}
	s.slowdown += (x - s.slowdown) * slowdownWeight
}

// Unreachable records that no connection to the leaf could be opened. Nothing was sent, so a
// single failure is enough to back off.
func (s *LeafStats) Unreachable(now vm.Instant, rng *rand.Rand) {
	s.consecutiveFailures = max(s.consecutiveFailures+1, backoffAfterFailures)
	s.backOff(now, rng)
}

// Misplaced records that another leaf answers at the leaf's address.
func (s *LeafStats) Misplaced(now vm.Instant) { s.misplacedUntil = now.Add(misplacedPeriod) }

// Candidate is a leaf that a request may be sent to.
type Candidate struct {
	Stats      *LeafStats // nil: nothing is known about it
	SameDomain bool       // in the daemon's own failure domain
	WarmingUp  bool       // still slow after its start
	Slots      int        // requests it processes at once; 0: unknown
}

// Choose returns the index of the candidate of least cost, or -1 if there is none. Leaves
// whose address belongs to another leaf are never chosen; leaves in back-off are chosen only
// if there is no other. medianLatency is the usual reply time of the request.
func Choose(candidates []Candidate, now vm.Instant, medianLatency time.Duration, rng *rand.Rand) int {
	best, inBackoff := -1, -1
	bestCost := 0.0
	var backoffEnds vm.Instant
	for i := range candidates {
		c := &candidates[i]
		if s := c.Stats; s != nil {
			if now < s.misplacedUntil {
				continue
			}
			if now < s.backoffUntil {
				if inBackoff < 0 || s.backoffUntil < backoffEnds {
					inBackoff, backoffEnds = i, s.backoffUntil
				}
				continue
			}
		}
		cost := c.cost(now, medianLatency) * (1 - costJitter/2 + costJitter*rng.Float64())
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	if best < 0 {
		return inBackoff
	}
	return best
}

func (c *Candidate) cost(now vm.Instant, medianLatency time.Duration) float64 {
	cost := 1.0
	if !c.SameDomain {
		cost *= remoteCost
	}
	if c.WarmingUp {
		cost *= coldCost
	}
	s := c.Stats
	if s == nil {
		return cost
	}
	if s.slowdown > 0 {
		cost *= max(s.slowdown, 0.2)
	}
	cost *= 1 + failureCost*s.failureRate
	slots := float64(max(c.Slots, s.load.Slots, 1))
	busy := float64(s.inFlight)
	if now.Sub(s.loadAt) < loadMaxAge {
		busy = max(busy, float64(s.load.Running+s.load.Waiting))
		if s.load.Slowdown > 0 {
			cost *= s.load.Slowdown
		}
	}
	cost *= 1 + loadCost*busy/slots
	if s.unresponsive(now, medianLatency) {
		cost *= unresponsiveCost
	}
	return cost
}

// unresponsive reports whether a request to the leaf is overdue and no reply of any kind has
// come since it was sent.
func (s *LeafStats) unresponsive(now vm.Instant, medianLatency time.Duration) bool {
	if len(s.startTimes) == 0 || medianLatency <= 0 {
		return false
	}
	since := max(s.startTimes[0], s.lastReply)
	return now.Sub(since) > time.Duration(unresponsiveAfter*float64(medianLatency))
}
