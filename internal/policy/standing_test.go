package policy

import (
	"math/rand/v2"
	"testing"
	"time"

	"pearmoor/internal/vm"
)

// choiceRig is a choice between two leaves of which something is learned.
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

// share returns how many of 100 choices fall on a.
func (r *choiceRig) share() int {
	n := 0
	for range 100 {
		if Choose([]Candidate{r.a, r.b}, r.now, usualTime, r.rng) == 0 {
			n++
		}
	}
	return n
}

// alone reports whether a is taken where no other is there.
func (r *choiceRig) alone() bool { return Choose([]Candidate{r.a}, r.now, usualTime, r.rng) == 0 }

func (r *choiceRig) exchange(c Candidate, took time.Duration, out Outcome, load *Load) {
	began := r.now
	c.Standing.Begin(began)
	r.now = r.now.Add(took)
	c.Standing.End(r.now, began, Ended{Outcome: out, Took: took, Usual: usualTime, Heard: true, Load: load}, r.rng)
}

func TestChoiceTakesTurns(t *testing.T) {
	if n := newChoiceRig().share(); n < 20 || n > 80 {
		t.Errorf("%d of 100 choices fall on one of two equal leaves", n)
	}
}

func TestChoicePrefersOwnDomain(t *testing.T) {
	r := newChoiceRig()
	r.b.Near = false
	if n := r.share(); n != 100 {
		t.Errorf("%d of 100 choices stay in the own domain", n)
	}
}

// A leaf answers three times slower than the other: first tries go elsewhere, also
// when the slow one is in the own domain.
func TestChoiceLeavesSlowLeaf(t *testing.T) {
	r := newChoiceRig()
	r.b.Near = false
	for range 20 {
		r.exchange(r.a, 3*usualTime, Replied, nil)
		r.exchange(r.b, usualTime, Replied, nil)
	}
	if n := r.share(); n != 0 {
		t.Errorf("%d of 100 choices fall on the slow leaf", n)
	}
}

// A leaf has paused: a request there is overdue and nothing was heard since. It is
// passed over until it is heard again, at the cost of no extra send.
func TestChoicePassesSilentLeaf(t *testing.T) {
	r := newChoiceRig()
	began := r.now
	r.a.Standing.Begin(began)
	r.now = r.now.Add(3 * usualTime)
	if n := r.share(); n != 0 {
		t.Errorf("%d of 100 choices fall on the silent leaf", n)
	}
	r.a.Standing.End(r.now, began, Ended{Outcome: Replied, Took: 3 * usualTime, Usual: usualTime, Heard: true}, r.rng)
	r.now = r.now.Add(time.Second)
	for range 30 {
		r.exchange(r.a, usualTime, Replied, nil)
		r.exchange(r.b, usualTime, Replied, nil)
	}
	if n := r.share(); n < 10 {
		t.Errorf("%d of 100 choices fall on the leaf that answers again", n)
	}
}

// A leaf sheds a good part of its requests while its load and its health look well.
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
		t.Errorf("%d of 100 choices fall on the leaf that sheds", n)
	}
}

// A leaf that can't be reached rests, longer each time, and is still asked when no
// other is there: it may be back.
func TestChoiceRestsUnreachableLeaf(t *testing.T) {
	r := newChoiceRig()
	r.a.Standing.Unreachable(r.now, r.rng)
	if n := r.share(); n != 0 {
		t.Errorf("%d of 100 choices fall on the leaf that can't be reached", n)
	}
	if !r.alone() {
		t.Errorf("the only leaf is not asked")
	}
	for range 12 {
		r.a.Standing.Unreachable(r.now, r.rng)
	}
	r.now = r.now.Add(restLongest)
	if n := r.share(); n == 0 {
		t.Errorf("it is never asked again")
	}
}

// The learned times follow the leaves, and late is where one in ten replies lies.
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
		t.Errorf("usual %v", usual)
	}
	if !ok || late < 13*time.Millisecond || late > 60*time.Millisecond {
		t.Errorf("late %v", late)
	}
}

// Callers of a route wait 1000 ms when they first ask; one that asks again states
// what is left. A few requests that state more must not make all others look late.
func TestWaitsTellSecondAttempts(t *testing.T) {
	var w Waits
	for range 5 {
		w.Passed(time.Second)
	}
	w.Passed(5 * time.Second)
	if got := w.Passed(time.Second); got != 0 {
		t.Errorf("%v of a first attempt's time was gone", got)
	}
	if got := w.Passed(700 * time.Millisecond); got != 300*time.Millisecond {
		t.Errorf("%v of a second attempt's time was gone", got)
	}
	for range 300 {
		w.Passed(4 * time.Second)
	}
	if got := w.Passed(3 * time.Second); got != time.Second {
		t.Errorf("%v after the route's callers wait longer", got)
	}
}

// A leaf has ended and another service's leaf answers at its address, while the list
// still shows it. Every request sent there is an arrival at that other service, which
// may be close to its limit of extra ones; callers are served by the other leaf, or
// told that there is none.
func TestChoiceNeverTakesMisplacedLeaf(t *testing.T) {
	r := newChoiceRig()
	r.a.Standing.Misplaced(r.now)
	if n := r.share(); n != 0 {
		t.Errorf("%d of 100 go to the leaf that has lost its address", n)
	}
	if r.alone() {
		t.Error("it is asked as the only one there")
	}
	r.now = r.now.Add(misplacedFor)
	if !r.alone() {
		t.Error("it is not asked again when the list has had time to change")
	}
}
