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

// The leaf has one slot here and a service time of 10 ms. Ten requests with a
// deadline of 115 ms are queued, and the eleventh has 118 ms but would end after
// 120 ms. It must be refused immediately, with a retry time, instead of waiting
// until its deadline.
func TestRefusesImmediatelyWhenDeadlineCannotBeMet(t *testing.T) {
	w := newTestGates()
	w.Configure(leafA, Limits{Slots: 1, MaxQueue: 64})
	w.learnServiceTime(t, 10*ms)
	if _, ok := w.TryAcquire(leafA); !ok {
		t.Fatal("first permit was not granted")
	}
	var queued []*waiter
	for range 10 {
		_, x, _ := w.request(115*ms, settings.Ordinary)
		if x == nil {
			t.Fatal("a request that meets its deadline was not queued")
		}
		queued = append(queued, x)
	}
	before := w.now
	_, x, _ := w.request(118*ms, settings.Ordinary)
	r, ok := x.outcome()
	if !ok || w.now != before {
		t.Fatal("request was not refused immediately")
	}
	e := requireRefusal(t, r.err)
	if e.Reason != contract.ReasonOverload || e.RetryAfter < 2 {
		t.Fatalf("refused with reason %s, retry after %d ms", e.Reason, e.RetryAfter)
	}
	for i, x := range queued {
		if r, ok := x.outcome(); ok {
			t.Fatalf("request %d, which meets its deadline, ended with %v", i, r.err)
		}
	}
	// A query with a higher ShedRank stays: all home daemons shed the lowest rank.
	_, x, _ = w.requestAny(118*ms, PermitRequest{ShedRank: 1}, leafA)
	if _, ok := x.outcome(); ok {
		t.Fatal("a query was shed before one of lower rank")
	}
	if w.gateOf(leafA).queue.len() != len(queued) {
		t.Fatal("no query of lower rank was shed")
	}
}

// A leaf hangs while it holds this daemon's only permit, and a request waits with a
// deadline of 200 ms. The expected remaining time grows with the time the permit is
// overdue, so the waiter must be refused about halfway to its deadline, while the
// caller still has time to go elsewhere.
func TestRefusesWaitersOfHungLeafBeforeDeadline(t *testing.T) {
	w := newTestGates()
	w.Configure(leafA, Limits{Slots: 1, MaxQueue: 64})
	w.learnServiceTime(t, 10*ms)
	w.TryAcquire(leafA)
	_, x, _ := w.request(200*ms, settings.Ordinary)
	w.advance(150 * ms)
	r, ok := x.outcome()
	if !ok {
		t.Fatal("still waiting 50 ms before the deadline, behind a permit overdue by 140 ms")
	}
	requireRefusal(t, r.err)
}

// The share shrinks while requests are in flight. The daemon must withhold new
// permits without cancelling requests, and must not report that it is within the
// smaller share before it is.
func TestSmallerShareWithholdsPermits(t *testing.T) {
	Convey("With two in flight, the share goes from 2 to 1", t, func() {
		w := newTestGates()
		w.Configure(leafA, Limits{Slots: 2, MaxQueue: 4})
		a, _ := w.TryAcquire(leafA)
		b, _ := w.TryAcquire(leafA)
		w.Configure(leafA, Limits{Slots: 1, MaxQueue: 4})
		So(w.WithinLimits(), ShouldBeFalse)
		So(a.Check(), ShouldBeNil)
		_, x, _ := w.request(time.Second, settings.Urgent)
		a.Done(Answered, 0)
		So(w.WithinLimits(), ShouldBeTrue)
		_, granted := x.outcome()
		So(granted, ShouldBeFalse)
		b.Done(Answered, 0)
		r, granted := x.outcome()
		So(granted, ShouldBeTrue)
		So(r.permit, ShouldNotBeNil)
		Convey("and to 0: waiting requests are refused, and the gate is removed once it is unused", func() {
			_, y, _ := w.request(time.Second, settings.Urgent)
			w.Configure(leafA, Limits{})
			r2, ended := y.outcome()
			So(ended, ShouldBeTrue)
			So(errors.Is(r2.err, ErrNoShare), ShouldBeTrue)
			So(w.gateOf(leafA), ShouldNotBeNil)
			r.permit.Release()
			So(w.gateOf(leafA), ShouldBeNil)
			So(w.WithinLimits(), ShouldBeTrue)
		})
	})
}

// A daemon is paused while it holds a permit. Its lease expires, another daemon is
// given the slot, and the first daemon gets a new lease before it writes the
// request. The old permit must stay invalid, or the leaf gets one request too many.
func TestPermitStaysInvalidAfterLeaseLapse(t *testing.T) {
	Convey("A permit granted before the lease expired stays invalid", t, func() {
		w := newTestGates()
		w.SetLeaseEnd(w.now.Add(6 * time.Second))
		w.Configure(leafA, Limits{Slots: 2, MaxQueue: 4})
		p, ok := w.TryAcquire(leafA)
		So(ok, ShouldBeTrue)
		w.now = w.now.Add(30 * time.Second)
		So(contract.VerdictOf(p.Check()), ShouldEqual, contract.NotRun)
		_, ok = w.TryAcquire(leafA)
		So(ok, ShouldBeFalse)
		w.SetLeaseEnd(w.now.Add(6 * time.Second))
		So(errors.Is(p.Check(), ErrLeaseExpired), ShouldBeTrue)
		Convey("while a permit granted under the new lease stays valid across renewals in time", func() {
			q, ok := w.TryAcquire(leafA)
			So(ok, ShouldBeTrue)
			w.advance(5 * time.Second)
			w.SetLeaseEnd(w.now.Add(6 * time.Second))
			w.advance(5 * time.Second)
			So(q.Check(), ShouldBeNil)
		})
	})
}

// Waiters must be refused when the lease expires, not at their own deadlines.
func TestWaitersRefusedWhenLeaseExpires(t *testing.T) {
	w := newTestGates()
	w.SetLeaseEnd(w.now.Add(time.Second))
	w.Configure(leafA, Limits{Slots: 1, MaxQueue: 4})
	w.TryAcquire(leafA)
	_, x, _ := w.request(time.Minute, settings.Ordinary)
	w.advance(time.Second)
	r, ok := x.outcome()
	if !ok || !errors.Is(r.err, ErrLeaseExpired) {
		t.Fatalf("ended: %v, error %v", ok, r.err)
	}
}

// A leaf reports that it is draining. No new or queued request may start, and
// requests in flight must continue.
func TestDrainingLeafStartsNoRequests(t *testing.T) {
	Convey("A draining leaf", t, func() {
		w := newTestGates()
		w.Configure(leafA, Limits{Slots: 1, MaxQueue: 4})
		p, _ := w.TryAcquire(leafA)
		_, x, _ := w.request(time.Second, settings.Urgent)
		w.SetDraining(leafA, true)
		r, ok := x.outcome()
		So(ok, ShouldBeTrue)
		So(errors.Is(r.err, ErrDraining), ShouldBeTrue)
		So(p.Check(), ShouldBeNil)
		p.Done(Answered, 0)
		_, ok = w.TryAcquire(leafA)
		So(ok, ShouldBeFalse)
		Convey("stays closed when its share is removed and restored", func() {
			w.Configure(leafA, Limits{})
			w.Configure(leafA, Limits{Slots: 1, MaxQueue: 4})
			_, ok = w.TryAcquire(leafA)
			So(ok, ShouldBeFalse)
			w.SetDraining(leafA, false)
			_, ok = w.TryAcquire(leafA)
			So(ok, ShouldBeTrue)
		})
	})
}

// Ordinary requests fill the queue. An urgent request must displace the one with
// the latest deadline, which is refused immediately.
func TestUrgentDisplacesOrdinaryInFullQueue(t *testing.T) {
	w := newTestGates()
	w.Configure(leafA, Limits{Slots: 1, MaxQueue: 2})
	p, _ := w.TryAcquire(leafA)
	w.request(time.Second, settings.Ordinary)
	_, last, _ := w.request(time.Minute, settings.Ordinary)
	_, third, _ := w.request(time.Second, settings.Ordinary)
	if r, ok := third.outcome(); !ok || !errors.Is(r.err, ErrQueueFull) {
		t.Fatalf("third ordinary request: ended %v, error %v", ok, r.err)
	}
	_, urgent, err := w.request(time.Second, settings.Urgent)
	if err != nil {
		t.Fatal(err)
	}
	if r, ok := last.outcome(); !ok || !errors.Is(r.err, ErrQueueFull) {
		t.Fatalf("ordinary request with the latest deadline: ended %v, error %v", ok, r.err)
	}
	p.Done(Answered, 0)
	if r, ok := urgent.outcome(); !ok || r.permit == nil {
		t.Fatal("the urgent request was not granted next")
	}
}

// A caller cancels while its permit is being granted. The permit must go to the
// next waiter, or this daemon loses the slot permanently.
func TestCancelledWaitLosesNoPermit(t *testing.T) {
	g := NewGates(vm.Now)
	g.SetLeaseEnd(vm.Now().Add(time.Hour))
	g.Configure(leafA, Limits{Slots: 1, MaxQueue: 8})
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
		t.Fatalf("permits or waiters left: %+v", l)
	}
}

// The queue has not been empty for five seconds, which is overload and not a burst.
// A request that would just meet its deadline is likely to be delayed further, so it
// must be refused on arrival. In a burst the same request must be queued.
func TestOverloadedQueueRequiresDeadlineMargin(t *testing.T) {
	Convey("Fourteen requests are queued for a slot with a service time of 10 ms, and one arrives with a deadline of 305 ms", t, func() {
		w := newTestGates()
		w.Configure(leafA, Limits{Slots: 1, MaxQueue: 64})
		w.learnServiceTime(t, 10*ms)
		w.TryAcquire(leafA)
		for range 14 {
			w.request(300*ms, settings.Ordinary)
		}
		gt := w.gateOf(leafA)
		So(gt.queue.len(), ShouldEqual, 14)
		Convey("in a burst it is queued", func() {
			_, x, _ := w.request(305*ms, settings.Ordinary)
			_, ended := x.outcome()
			So(ended, ShouldBeFalse)
		})
		Convey("in a queue that has been non-empty for long it is refused immediately", func() {
			gt.nonEmptySince = w.now.Add(-5 * time.Second)
			_, x, _ := w.request(305*ms, settings.Ordinary)
			r, ended := x.outcome()
			So(ended, ShouldBeTrue)
			So(requireRefusal(t, r.err).RetryAfter, ShouldBeGreaterThan, 0)
			So(gt.queue.len(), ShouldEqual, 14)
		})
	})
}
