package forward

import (
	"testing"
	"time"

	"pearmoor/internal/discovery"
	"pearmoor/internal/link/target"
	"pearmoor/internal/vm"
)

type boardRig struct {
	now   vm.Instant
	board *Board
	a, b  *discovery.Leaf
}

func newBoardRig() *boardRig {
	r := &boardRig{now: 1}
	r.board = NewBoard(func() vm.Instant { return r.now }, "here")
	r.a = &discovery.Leaf{ID: "a", Service: "s", Domain: "here", Slots: 2}
	r.b = &discovery.Leaf{ID: "b", Service: "s", Domain: "here", Slots: 2}
	return r
}

const usualTime = 20 * time.Millisecond

// share returns how many of 100 choices fall on a.
func (r *boardRig) share() int {
	n := 0
	for range 100 {
		if r.board.Choose([]*discovery.Leaf{r.a, r.b}, nil, usualTime) == r.a {
			n++
		}
	}
	return n
}

func (r *boardRig) exchange(l *discovery.Leaf, took time.Duration, out outcome, reply *target.Reply) {
	began := r.board.Begin(l.Life())
	r.now = r.now.Add(took)
	r.board.End(l.Life(), began, took, out, usualTime, reply)
}

func TestChoiceTakesTurns(t *testing.T) {
	if n := newBoardRig().share(); n < 20 || n > 80 {
		t.Errorf("%d of 100 choices fall on one of two equal leaves", n)
	}
}

func TestChoicePrefersOwnDomain(t *testing.T) {
	r := newBoardRig()
	r.b.Domain = "there"
	if n := r.share(); n != 100 {
		t.Errorf("%d of 100 choices stay in the own domain", n)
	}
}

// A leaf answers three times slower than the other: first tries go elsewhere, also
// when the slow one is in the own domain.
func TestChoiceLeavesSlowLeaf(t *testing.T) {
	r := newBoardRig()
	r.b.Domain = "there"
	for range 20 {
		r.exchange(r.a, 3*usualTime, replied, &target.Reply{})
		r.exchange(r.b, usualTime, replied, &target.Reply{})
	}
	if n := r.share(); n != 0 {
		t.Errorf("%d of 100 choices fall on the slow leaf", n)
	}
}

// A leaf has paused: a request there is overdue and nothing was heard since. It is
// passed over until it is heard again, at the cost of no extra send.
func TestChoicePassesSilentLeaf(t *testing.T) {
	r := newBoardRig()
	began := r.board.Begin(r.a.Life())
	r.now = r.now.Add(3 * usualTime)
	if n := r.share(); n != 0 {
		t.Errorf("%d of 100 choices fall on the silent leaf", n)
	}
	r.board.End(r.a.Life(), began, 3*usualTime, replied, usualTime, &target.Reply{})
	r.now = r.now.Add(time.Second)
	for range 30 {
		r.exchange(r.a, usualTime, replied, &target.Reply{})
		r.exchange(r.b, usualTime, replied, &target.Reply{})
	}
	if n := r.share(); n < 10 {
		t.Errorf("%d of 100 choices fall on the leaf that answers again", n)
	}
}

// A leaf sheds a good part of its requests while its load and its health look well.
func TestChoiceLeavesSheddingLeaf(t *testing.T) {
	r := newBoardRig()
	for i := range 20 {
		out := replied
		if i%2 == 0 {
			out = rejected
		}
		r.exchange(r.a, usualTime, out, &target.Reply{HasLoad: true, Load: target.Load{Slots: 2}})
		r.exchange(r.b, usualTime, replied, &target.Reply{HasLoad: true, Load: target.Load{Slots: 2}})
	}
	r.now = r.now.Add(time.Second)
	if n := r.share(); n > 5 {
		t.Errorf("%d of 100 choices fall on the leaf that sheds", n)
	}
}

// A leaf that can't be reached rests, longer each time, and is still asked when no
// other is there: it may be back.
func TestChoiceRestsUnreachableLeaf(t *testing.T) {
	r := newBoardRig()
	r.board.Unreachable(r.a.Life())
	if n := r.share(); n != 0 {
		t.Errorf("%d of 100 choices fall on the leaf that can't be reached", n)
	}
	if got := r.board.Choose([]*discovery.Leaf{r.a}, nil, usualTime); got != r.a {
		t.Errorf("the only leaf is not asked")
	}
	for range 12 {
		r.board.Unreachable(r.a.Life())
	}
	r.now = r.now.Add(restLongest)
	if n := r.share(); n == 0 {
		t.Errorf("it is never asked again")
	}
}

func TestChoiceNeverTakesLeavingLeaf(t *testing.T) {
	r := newBoardRig()
	r.a.Draining = true
	if n := r.share(); n != 0 {
		t.Errorf("%d of 100 choices fall on the leaf that leaves", n)
	}
	if got := r.board.Choose([]*discovery.Leaf{r.a}, nil, usualTime); got != nil {
		t.Errorf("the leaving leaf is taken where no other is there")
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
	var w waits
	for range 5 {
		w.passed(time.Second)
	}
	w.passed(5 * time.Second)
	if got := w.passed(time.Second); got != 0 {
		t.Errorf("%v of a first attempt's time was gone", got)
	}
	if got := w.passed(700 * time.Millisecond); got != 300*time.Millisecond {
		t.Errorf("%v of a second attempt's time was gone", got)
	}
	for range 300 {
		w.passed(4 * time.Second)
	}
	if got := w.passed(3 * time.Second); got != time.Second {
		t.Errorf("%v after the route's callers wait longer", got)
	}
}

// A leaf has ended and another service's leaf answers at its address, while the list
// still shows it. Every request sent there is an arrival at that other service, which
// may be close to its limit of extra ones; callers are served by the other leaf, or
// told that there is none.
func TestChoiceNeverTakesMisplacedLeaf(t *testing.T) {
	r := newBoardRig()
	r.board.Misplaced(r.a.Life())
	if n := r.share(); n != 0 {
		t.Errorf("%d of 100 go to the leaf that has lost its address", n)
	}
	if l := r.board.Choose([]*discovery.Leaf{r.a}, nil, usualTime); l != nil {
		t.Errorf("%s is asked as the only one there", l.ID)
	}
	r.now = r.now.Add(misplacedFor)
	if l := r.board.Choose([]*discovery.Leaf{r.a}, nil, usualTime); l != r.a {
		t.Error("it is not asked again when the list has had time to change")
	}
}

// A leaf crashes and starts again under its id. What was learned of the life before is
// over: the new one gets requests at once, although the old one was slow, failing,
// silent, and held to have lost its address.
func TestNewLifeIsJudgedAnew(t *testing.T) {
	r := newBoardRig()
	for range 20 {
		r.exchange(r.a, 6*usualTime, failed, nil)
		r.exchange(r.b, usualTime, replied, &target.Reply{})
	}
	r.board.Misplaced(r.a.Life())
	began := r.board.Begin(r.a.Life())
	before := r.a.Life()
	r.a = &discovery.Leaf{ID: "a", Born: 7, Service: "s", Domain: "here", Slots: 2}
	if n := r.share(); n < 20 {
		t.Errorf("%d of 100 choices fall on the leaf that has started again", n)
	}
	r.board.End(before, began, usualTime, failed, usualTime, nil) // ends in the life before
	if n := r.share(); n < 20 {
		t.Errorf("%d of 100 after a failure of the life before", n)
	}
}
