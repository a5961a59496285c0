package policy

import (
	"math/rand/v2"
	"testing"
	"time"

	"pearmoor/internal/vm"
)

// choiceFixture chooses between two leaves, a and b, with statistics.
type choiceFixture struct {
	now  vm.Instant
	rng  *rand.Rand
	a, b Candidate
}

func newChoiceFixture() *choiceFixture {
	return &choiceFixture{
		now: 1, rng: rand.New(rand.NewPCG(1, 1)),
		a: Candidate{Stats: &LeafStats{}, SameDomain: true, Slots: 2},
		b: Candidate{Stats: &LeafStats{}, SameDomain: true, Slots: 2},
	}
}

const medianLatency = 20 * time.Millisecond

// countA returns how many of 100 choices select a.
func (r *choiceFixture) countA() int {
	n := 0
	for range 100 {
		if Choose([]Candidate{r.a, r.b}, r.now, medianLatency, r.rng) == 0 {
			n++
		}
	}
	return n
}

// choosesOnlyLeaf reports whether a is chosen when it is the only candidate.
func (r *choiceFixture) choosesOnlyLeaf() bool {
	return Choose([]Candidate{r.a}, r.now, medianLatency, r.rng) == 0
}

func (r *choiceFixture) completeRequest(c Candidate, elapsed time.Duration, outcome Outcome, load *Load) {
	began := r.now
	c.Stats.Begin(began)
	r.now = r.now.Add(elapsed)
	c.Stats.End(r.now, began, RequestResult{Outcome: outcome, Elapsed: elapsed, MedianLatency: medianLatency, ReplyReceived: true, Load: load}, r.rng)
}

func TestChooseAlternatesBetweenEqualLeaves(t *testing.T) {
	if n := newChoiceFixture().countA(); n < 20 || n > 80 {
		t.Errorf("%d of 100 choices select one of two equal leaves", n)
	}
}

func TestChoosePrefersOwnDomain(t *testing.T) {
	r := newChoiceFixture()
	r.b.SameDomain = false
	if n := r.countA(); n != 100 {
		t.Errorf("%d of 100 choices select the leaf in the daemon's own domain", n)
	}
}

// A leaf that answers three times slower than the other must not get first attempts, even if
// it is the only one in the daemon's own failure domain.
func TestChooseAvoidsSlowLeaf(t *testing.T) {
	r := newChoiceFixture()
	r.b.SameDomain = false
	for range 20 {
		r.completeRequest(r.a, 3*medianLatency, Replied, nil)
		r.completeRequest(r.b, medianLatency, Replied, nil)
	}
	if n := r.countA(); n != 0 {
		t.Errorf("%d of 100 choices select the slow leaf", n)
	}
}

// A paused leaf has an overdue request and has sent nothing since. It must be avoided,
// without any extra send, until it replies again.
func TestChooseAvoidsUnresponsiveLeaf(t *testing.T) {
	r := newChoiceFixture()
	began := r.now
	r.a.Stats.Begin(began)
	r.now = r.now.Add(3 * medianLatency)
	if n := r.countA(); n != 0 {
		t.Errorf("%d of 100 choices select the unresponsive leaf", n)
	}
	r.a.Stats.End(r.now, began, RequestResult{Outcome: Replied, Elapsed: 3 * medianLatency, MedianLatency: medianLatency, ReplyReceived: true}, r.rng)
	r.now = r.now.Add(time.Second)
	for range 30 {
		r.completeRequest(r.a, medianLatency, Replied, nil)
		r.completeRequest(r.b, medianLatency, Replied, nil)
	}
	if n := r.countA(); n < 10 {
		t.Errorf("%d of 100 choices select the leaf that answers again", n)
	}
}

// A leaf that sheds half of its requests must be avoided although it reports little load.
func TestChooseAvoidsSheddingLeaf(t *testing.T) {
	r := newChoiceFixture()
	for i := range 20 {
		outcome := Replied
		if i%2 == 0 {
			outcome = Rejected
		}
		r.completeRequest(r.a, medianLatency, outcome, &Load{Slots: 2})
		r.completeRequest(r.b, medianLatency, Replied, &Load{Slots: 2})
	}
	r.now = r.now.Add(time.Second)
	if n := r.countA(); n > 5 {
		t.Errorf("%d of 100 choices select the leaf that sheds load", n)
	}
}

// An unreachable leaf is avoided for longer with each failure, but is still chosen when it
// is the only one, because it may be reachable again.
func TestChooseBacksOffFromUnreachableLeaf(t *testing.T) {
	r := newChoiceFixture()
	r.a.Stats.Unreachable(r.now, r.rng)
	if n := r.countA(); n != 0 {
		t.Errorf("%d of 100 choices select the unreachable leaf", n)
	}
	if !r.choosesOnlyLeaf() {
		t.Errorf("the only leaf is not chosen")
	}
	for range 12 {
		r.a.Stats.Unreachable(r.now, r.rng)
	}
	r.now = r.now.Add(maxBackoff)
	if n := r.countA(); n == 0 {
		t.Errorf("the unreachable leaf is never chosen again")
	}
}

// The estimates must converge to the reply times: the late threshold is the time that one in
// ten replies exceeds.
func TestLatencyEstimatorConverges(t *testing.T) {
	var p LatencyEstimator
	for i := range 2000 {
		d := 10 * time.Millisecond
		if i%10 == 0 {
			d = 40 * time.Millisecond
		}
		if i%50 == 0 {
			d = 150 * time.Millisecond
		}
		p.Observe(d + time.Duration(i%7)*time.Millisecond)
	}
	late, ok := p.LateThreshold()
	if median := p.Median(); median < 10*time.Millisecond || median > 16*time.Millisecond {
		t.Errorf("median %v", median)
	}
	if !ok || late < 13*time.Millisecond || late > 60*time.Millisecond {
		t.Errorf("late threshold %v", late)
	}
}

// Callers of a route state a timeout of 1000 ms on the first attempt and the time that is
// left on a retry. A few requests with a longer timeout must not make all others look like
// retries.
func TestCallerTimeoutsDetectRetries(t *testing.T) {
	var w CallerTimeouts
	for range 5 {
		w.Elapsed(time.Second)
	}
	w.Elapsed(5 * time.Second)
	if got := w.Elapsed(time.Second); got != 0 {
		t.Errorf("%v elapsed before a first attempt", got)
	}
	if got := w.Elapsed(700 * time.Millisecond); got != 300*time.Millisecond {
		t.Errorf("%v elapsed before a second attempt", got)
	}
	for range 300 {
		w.Elapsed(4 * time.Second)
	}
	if got := w.Elapsed(3 * time.Second); got != time.Second {
		t.Errorf("%v elapsed after the route's usual timeout has grown", got)
	}
}

// A leaf has exited and a leaf of another service answers at its address while service
// discovery still lists it. A request sent there counts against the other service, which may
// be close to its limit of extra sends. The request must go to another leaf or fail for lack
// of one.
func TestChooseSkipsMisplacedLeaf(t *testing.T) {
	r := newChoiceFixture()
	r.a.Stats.Misplaced(r.now)
	if n := r.countA(); n != 0 {
		t.Errorf("%d of 100 choices select the leaf whose address was taken over", n)
	}
	if r.choosesOnlyLeaf() {
		t.Error("the misplaced leaf is chosen when it is the only one")
	}
	r.now = r.now.Add(misplacedPeriod)
	if !r.choosesOnlyLeaf() {
		t.Error("the leaf is not chosen again after misplacedPeriod")
	}
}
