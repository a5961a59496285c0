package policy

import (
	"math/rand/v2"
	"testing"
	"time"

	"pearmoor/internal/vm"
)

// choiceFixture chooses between two leaves, a and b, with statistics.
type choiceRig struct {
	now  vm.Instant
	rng  *rand.Rand
	a, b Candidate
}

func newChoiceRig() *choiceRig {
	return &choiceRig{
		now: 1, rng: rand.New(rand.NewPCG(1, 1)),
		a: Candidate{Standing: &Standing{}, Near: true, Slots: 2},
		b: Candidate{Standing: &Standing{}, Near: true, Slots: 2},
	}
}

const usualTime = 20 * time.Millisecond

// countA returns how many of 100 choices select a.
func (r *choiceRig) share() int {
	n := 0
	for range 100 {
		if Choose([]Candidate{r.a, r.b}, r.now, usualTime, r.rng) == 0 {
			n++
		}
	}
	return n
}

// choosesOnlyLeaf reports whether a is chosen when it is the only candidate.
func (r *choiceRig) alone() bool { return Choose([]Candidate{r.a}, r.now, usualTime, r.rng) == 0 }

func (r *choiceRig) exchange(c Candidate, took time.Duration, out Outcome, load *Load) {
	began := r.now
	c.Standing.Begin(began)
	r.now = r.now.Add(took)
	c.Standing.End(r.now, began, Ended{Outcome: out, Took: took, Usual: usualTime, Heard: true, Load: load}, r.rng)
}

func TestChoiceTakesTurns(t *testing.T) {
	if n := newChoiceRig().share(); n < 20 || n > 80 {
		t.Errorf("%d of 100 choices select one of two equal leaves", n)
	}
}

func TestChoicePrefersOwnDomain(t *testing.T) {
	r := newChoiceRig()
	r.b.Near = false
	if n := r.share(); n != 100 {
		t.Errorf("%d of 100 choices stay in the own domain", n)
	}
}

// A leaf that answers three times slower than the other must not get first attempts, even if
// it is the only one in the daemon's own failure domain.
func TestChoiceLeavesSlowLeaf(t *testing.T) {
	r := newChoiceRig()
	r.b.Near = false
	for range 20 {
		r.exchange(r.a, 3*usualTime, Replied, nil)
		r.exchange(r.b, usualTime, Replied, nil)
	}
	if n := r.share(); n != 0 {
		t.Errorf("%d of 100 choices select the slow leaf", n)
	}
}

// A paused leaf has an overdue request and has sent nothing since. It must be avoided,
// without any extra send, until it replies again.
func TestChoicePassesSilentLeaf(t *testing.T) {
	r := newChoiceRig()
	began := r.now
	r.a.Standing.Begin(began)
	r.now = r.now.Add(3 * usualTime)
	if n := r.share(); n != 0 {
		t.Errorf("%d of 100 choices select the unresponsive leaf", n)
	}
	r.a.Standing.End(r.now, began, Ended{Outcome: Replied, Took: 3 * usualTime, Usual: usualTime, Heard: true}, r.rng)
	r.now = r.now.Add(time.Second)
	for range 30 {
		r.exchange(r.a, usualTime, Replied, nil)
		r.exchange(r.b, usualTime, Replied, nil)
	}
	if n := r.share(); n < 10 {
		t.Errorf("%d of 100 choices select the leaf that answers again", n)
	}
}

// A leaf that sheds half of its requests must be avoided although it reports little load.
func TestChoiceLeavesSheddingLeaf(t *testing.T) {
	r := newChoiceRig()
	for i := range 20 {
		out := Replied
		if i%2 == 0 {
			out = Rejected
		}
		r.exchange(r.a, usualTime, out, &Load{Slots: 2})
		r.exchange(r.b, usualTime, Replied, &Load{Slots: 2})
	}
	r.now = r.now.Add(time.Second)
	if n := r.share(); n > 5 {
		t.Errorf("%d of 100 choices select the leaf that sheds load", n)
	}
}

// An unreachable leaf is avoided for longer with each failure, but is still chosen when it
// is the only one, because it may be reachable again.
func TestChoiceRestsUnreachableLeaf(t *testing.T) {
	r := newChoiceRig()
	r.a.Standing.Unreachable(r.now, r.rng)
	if n := r.share(); n != 0 {
		t.Errorf("%d of 100 choices select the unreachable leaf", n)
	}
	if !r.alone() {
		t.Errorf("the only leaf is not chosen")
	}
	for range 12 {
		r.a.Standing.Unreachable(r.now, r.rng)
	}
	r.now = r.now.Add(restLongest)
	if n := r.share(); n == 0 {
		t.Errorf("the unreachable leaf is never chosen again")
	}
}

// The estimates must converge to the reply times: the late threshold is the time that one in
// ten replies exceeds.
func TestPaceLearns(t *testing.T) {
	var p Pace
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
	late, ok := p.Late()
	if usual := p.Usual(); usual < 10*time.Millisecond || usual > 16*time.Millisecond {
		t.Errorf("median %v", usual)
	}
	if !ok || late < 13*time.Millisecond || late > 60*time.Millisecond {
		t.Errorf("late threshold %v", late)
	}
}

// Callers of a route state a timeout of 1000 ms on the first attempt and the time that is
// left on a retry. A few requests with a longer timeout must not make all others look like
// retries.
func TestWaitsTellSecondAttempts(t *testing.T) {
	var w Waits
	for range 5 {
		w.Passed(time.Second)
	}
	w.Passed(5 * time.Second)
	if got := w.Passed(time.Second); got != 0 {
		t.Errorf("%v elapsed before a first attempt", got)
	}
	if got := w.Passed(700 * time.Millisecond); got != 300*time.Millisecond {
		t.Errorf("%v elapsed before a second attempt", got)
	}
	for range 300 {
		w.Passed(4 * time.Second)
	}
	if got := w.Passed(3 * time.Second); got != time.Second {
		t.Errorf("%v elapsed after the route's usual timeout has grown", got)
	}
}

// A leaf has exited and a leaf of another service answers at its address while service
// discovery still lists it. A request sent there counts against the other service, which may
// be close to its limit of extra sends. The request must go to another leaf or fail for lack
// of one.
func TestChoiceNeverTakesMisplacedLeaf(t *testing.T) {
	r := newChoiceRig()
	r.a.Standing.Misplaced(r.now)
	if n := r.share(); n != 0 {
		t.Errorf("%d of 100 choices select the leaf whose address was taken over", n)
	}
	if r.alone() {
		t.Error("the misplaced leaf is chosen when it is the only one")
	}
	r.now = r.now.Add(misplacedFor)
	if !r.alone() {
		t.Error("the leaf is not chosen again after misplacedPeriod")
	}
}
