package admit

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"pearmoor/internal/contract"
	"pearmoor/internal/settings"
	"pearmoor/internal/vm"
)

// A caller under overload sees its refusal at once, with when to come back. The
// leaf has one slot here and takes 10 ms; ten requests wait, each with 115 ms;
// the eleventh has 118 ms. It would end after 120 ms, which is known when it
// comes, so it must not be held until its deadline to find out.
func TestRefusesAtOnceWhatCannotFit(t *testing.T) {
	w := newWorld()
	w.Configure(leafA, Limits{Slots: 1, Queue: 64})
	w.teach(t, 10*ms)
	if _, ok := w.TryAcquire(leafA); !ok {
		t.Fatal("no first permit")
	}
	var queued []*waiter
	for range 10 {
		_, x, _ := w.ask(115*ms, settings.Ordinary)
		if x == nil {
			t.Fatal("one that fits was not queued")
		}
		queued = append(queued, x)
	}
	before := w.now
	_, x, _ := w.ask(118*ms, settings.Ordinary)
	r, ok := x.ended()
	if !ok || w.now != before {
		t.Fatal("it was not refused at once")
	}
	e := refusalOf(t, r.err)
	if e.Reason != contract.ReasonOverload || e.RetryAfter < 2 {
		t.Fatalf("refused with reason %s, retry after %d ms", e.Reason, e.RetryAfter)
	}
	for i, x := range queued {
		if r, ok := x.ended(); ok {
			t.Fatalf("number %d, which fits, ended with %v", i, r.err)
		}
	}
	// One of a query that ranks higher stays: all homes shed the lowest.
	_, x, _ = w.askAny(118*ms, Ask{Order: 1}, leafA)
	if _, ok := x.ended(); ok {
		t.Fatal("a query was shed before one of lower order")
	}
	if w.get(leafA).queue.len() != len(queued) {
		t.Fatal("none was shed in its place")
	}
}

// A leaf hangs with this daemon's only permit, while one waits with 200 ms. The
// longer the permit is overdue, the longer it is expected to stay out, so the
// waiter is refused about halfway to its deadline, while it can still be told
// elsewhere, and not at the deadline.
func TestRefusesWaitersOfHungLeafBeforeTheirDeadline(t *testing.T) {
	w := newWorld()
	w.Configure(leafA, Limits{Slots: 1, Queue: 64})
	w.teach(t, 10*ms)
	w.TryAcquire(leafA)
	_, x, _ := w.ask(200*ms, settings.Ordinary)
	w.advance(150 * ms)
	r, ok := x.ended()
	if !ok {
		t.Fatal("still waiting 50 ms before the deadline, behind a permit overdue by 140 ms")
	}
	refusalOf(t, r.err)
}

// Shares shrink while requests are in flight: a daemon must withhold, not
// cancel, and must not say that it respects the smaller share before it does.
func TestShrinkingWithholds(t *testing.T) {
	Convey("With two in flight, the share goes from 2 to 1", t, func() {
		w := newWorld()
		w.Configure(leafA, Limits{Slots: 2, Queue: 4})
		a, _ := w.TryAcquire(leafA)
		b, _ := w.TryAcquire(leafA)
		w.Configure(leafA, Limits{Slots: 1, Queue: 4})
		So(w.Respected(), ShouldBeFalse)
		So(a.Check(), ShouldBeNil)
		_, x, _ := w.ask(time.Second, settings.Urgent)
		a.Done(Answered, 0)
		So(w.Respected(), ShouldBeTrue)
		_, granted := x.ended()
		So(granted, ShouldBeFalse)
		b.Done(Answered, 0)
		r, granted := x.ended()
		So(granted, ShouldBeTrue)
		So(r.permit, ShouldNotBeNil)
		Convey("and to 0: what waits is refused, and the gate is forgotten once empty", func() {
			_, y, _ := w.ask(time.Second, settings.Urgent)
			w.Configure(leafA, Limits{})
			r2, ended := y.ended()
			So(ended, ShouldBeTrue)
			So(errors.Is(r2.err, ErrNoShare), ShouldBeTrue)
			So(w.get(leafA), ShouldNotBeNil)
			r.permit.Release()
			So(w.get(leafA), ShouldBeNil)
			So(w.Respected(), ShouldBeTrue)
		})
	})
}

// The daemon is paused holding a permit. Its lease runs out, another daemon is
// given the slot, the first resumes and gets a new lease before it goes on to
// write. Its old permit must not pass, else the leaf has one too many.
func TestPermitFromBeforeALapseStaysVoid(t *testing.T) {
	Convey("A permit from before the lease lapsed", t, func() {
		w := newWorld()
		w.Fence(w.now.Add(6 * time.Second))
		w.Configure(leafA, Limits{Slots: 2, Queue: 4})
		p, ok := w.TryAcquire(leafA)
		So(ok, ShouldBeTrue)
		w.now = w.now.Add(30 * time.Second)
		So(contract.VerdictOf(p.Check()), ShouldEqual, contract.NotRun)
		_, ok = w.TryAcquire(leafA)
		So(ok, ShouldBeFalse)
		w.Fence(w.now.Add(6 * time.Second))
		So(errors.Is(p.Check(), ErrUnconfirmed), ShouldBeTrue)
		Convey("while one from after it, and one whose lease was renewed in time, pass", func() {
			q, ok := w.TryAcquire(leafA)
			So(ok, ShouldBeTrue)
			w.advance(5 * time.Second)
			w.Fence(w.now.Add(6 * time.Second))
			w.advance(5 * time.Second)
			So(q.Check(), ShouldBeNil)
		})
	})
}

// What waits when the lease runs out is refused then, not at its deadline.
func TestWaitersAreRefusedWhenTheLeaseRunsOut(t *testing.T) {
	w := newWorld()
	w.Fence(w.now.Add(time.Second))
	w.Configure(leafA, Limits{Slots: 1, Queue: 4})
	w.TryAcquire(leafA)
	_, x, _ := w.ask(time.Minute, settings.Ordinary)
	w.advance(time.Second)
	r, ok := x.ended()
	if !ok || !errors.Is(r.err, ErrUnconfirmed) {
		t.Fatalf("ended %v with %v", ok, r.err)
	}
}

// A leaf says that it leaves: nothing new may start, neither what comes nor
// what already waits, while what is in flight goes on.
func TestDrainingLeafTakesNothingNew(t *testing.T) {
	Convey("A draining leaf", t, func() {
		w := newWorld()
		w.Configure(leafA, Limits{Slots: 1, Queue: 4})
		p, _ := w.TryAcquire(leafA)
		_, x, _ := w.ask(time.Second, settings.Urgent)
		w.Drain(leafA, true)
		r, ok := x.ended()
		So(ok, ShouldBeTrue)
		So(errors.Is(r.err, ErrDraining), ShouldBeTrue)
		So(p.Check(), ShouldBeNil)
		p.Done(Answered, 0)
		_, ok = w.TryAcquire(leafA)
		So(ok, ShouldBeFalse)
		Convey("stays shut when its share goes and comes back", func() {
			w.Configure(leafA, Limits{})
			w.Configure(leafA, Limits{Slots: 1, Queue: 4})
			_, ok = w.TryAcquire(leafA)
			So(ok, ShouldBeFalse)
			w.Drain(leafA, false)
			_, ok = w.TryAcquire(leafA)
			So(ok, ShouldBeTrue)
		})
	})
}

// A flood of ordinary requests fills the queue. An urgent one takes the place
// of the last of them, which is told so at once.
func TestUrgentTakesAPlaceInAFullQueue(t *testing.T) {
	w := newWorld()
	w.Configure(leafA, Limits{Slots: 1, Queue: 2})
	p, _ := w.TryAcquire(leafA)
	w.ask(time.Second, settings.Ordinary)
	_, last, _ := w.ask(time.Minute, settings.Ordinary)
	_, third, _ := w.ask(time.Second, settings.Ordinary)
	if r, ok := third.ended(); !ok || !errors.Is(r.err, ErrQueueFull) {
		t.Fatalf("a third ordinary request: ended %v, %v", ok, r.err)
	}
	_, urgent, err := w.ask(time.Second, settings.Urgent)
	if err != nil {
		t.Fatal(err)
	}
	if r, ok := last.ended(); !ok || !errors.Is(r.err, ErrQueueFull) {
		t.Fatalf("the last ordinary request: ended %v, %v", ok, r.err)
	}
	p.Done(Answered, 0)
	if r, ok := urgent.ended(); !ok || r.permit == nil {
		t.Fatal("the urgent request was not next")
	}
}

// A caller hangs up while it waits, at the moment its permit comes. The permit
// must go to the next, or the leaf's slot would be lost to this daemon for good.
func TestCallerLeavingLosesNoPermit(t *testing.T) {
	g := NewGates(vm.Now)
	g.Fence(vm.Now().Add(time.Hour))
	g.Configure(leafA, Limits{Slots: 1, Queue: 8})
	for range 2000 {
		p, err := g.Acquire(context.Background(), leafA, settings.Urgent)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			if q, err := g.Acquire(ctx, leafA, settings.Urgent); err == nil {
				q.Release()
			}
		}()
		go cancel()
		p.Release()
		<-done
	}
	if l := g.Load(leafA); l.InFlight != 0 || l.Waiting != 0 {
		t.Fatalf("left over: %+v", l)
	}
}

// A queue has stood for five seconds: it is overload, not a burst. A request
// that would just fit when it comes is likely to be pushed back, so it is told
// at once and not after it has waited; the same request in a burst is let wait.
func TestOverloadLeavesAMargin(t *testing.T) {
	Convey("Fourteen wait for a slot of 10 ms, and one comes with 305 ms", t, func() {
		w := newWorld()
		w.Configure(leafA, Limits{Slots: 1, Queue: 64})
		w.teach(t, 10*ms)
		w.TryAcquire(leafA)
		for range 14 {
			w.ask(300*ms, settings.Ordinary)
		}
		gt := w.get(leafA)
		So(gt.queue.len(), ShouldEqual, 14)
		Convey("in a burst it waits", func() {
			_, x, _ := w.ask(305*ms, settings.Ordinary)
			_, ended := x.ended()
			So(ended, ShouldBeFalse)
		})
		Convey("in a queue that has stood for long it is refused at once", func() {
			gt.standing = w.now.Add(-5 * time.Second)
			_, x, _ := w.ask(305*ms, settings.Ordinary)
			r, ended := x.ended()
			So(ended, ShouldBeTrue)
			So(refusalOf(t, r.err).RetryAfter, ShouldBeGreaterThan, 0)
			So(gt.queue.len(), ShouldEqual, 14)
		})
	})
}
