package admit

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pearmoor/internal/settings"
	"pearmoor/internal/vm"
)

// A request that may go to either of two leaves, each with one slot here, waits in
// both queues. It must get the slot that is freed first, whichever leaf had the
// shorter expected wait when the request arrived.
func TestAcquireAnyTakesFirstFreedLeaf(t *testing.T) {
	Convey("With both leaves in use", t, func() {
		w := newTestGates()
		for _, leaf := range testLeaves {
			w.Configure(leaf, Limits{Slots: 1, MaxQueue: 8})
		}
		a, _ := w.TryAcquire(testLeaves[0])
		b, _ := w.TryAcquire(testLeaves[1])
		_, x, _ := w.requestAny(time.Second, PermitRequest{}, testLeaves...)
		_, y, _ := w.requestAny(time.Second, PermitRequest{}, testLeaves...)
		Convey("the first permit released goes to the first waiter", func() {
			b.Done(Answered, 0)
			r, ok := x.outcome()
			So(ok, ShouldBeTrue)
			So(r.permit.gate.leaf, ShouldEqual, testLeaves[1])
			_, ok = y.outcome()
			So(ok, ShouldBeFalse)
			a.Done(Answered, 0)
			r, ok = y.outcome()
			So(ok, ShouldBeTrue)
			So(r.permit.gate.leaf, ShouldEqual, testLeaves[0])
			So(w.Load(testLeaves[0]).Waiting+w.Load(testLeaves[1]).Waiting, ShouldBeLessThanOrEqualTo, 1)
		})
		Convey("a draining leaf does not end the wait for the other leaf", func() {
			w.SetDraining(testLeaves[0], true)
			_, ok := x.outcome()
			So(ok, ShouldBeFalse)
			w.SetDraining(testLeaves[1], true)
			r, ok := x.outcome()
			So(ok, ShouldBeTrue)
			So(requireRefusal(t, r.err).RetryAfter, ShouldBeGreaterThan, 0)
		})
		Convey("a hedge is granted before first attempts that arrived earlier", func() {
			_, h, _ := w.requestAny(time.Minute, PermitRequest{Hedge: true}, testLeaves[0])
			a.Done(Answered, 0)
			_, ok := h.outcome()
			So(ok, ShouldBeTrue)
			_, ok = x.outcome()
			So(ok, ShouldBeFalse)
		})
	})
}

// A waiter in two queues must count as half a waiter in each. If each queue counted
// it in full, the expected wait would double and requests would be refused at half
// of the real capacity.
func TestExpectedWaitCountsSharedWaitersOnce(t *testing.T) {
	w := newTestGates()
	for _, leaf := range testLeaves {
		w.Configure(leaf, Limits{Slots: 1, MaxQueue: 64})
		p, _ := w.TryAcquire(leaf)
		w.advance(10 * ms)
		p.Done(Answered, 0)
		w.TryAcquire(leaf)
	}
	for i := range 10 {
		// Two slots with a service time of 10 ms: the last of ten starts after about 50 ms.
		_, x, _ := w.requestAny(70*ms, PermitRequest{}, testLeaves...)
		if r, ended := x.outcome(); ended {
			t.Fatalf("request %d, which meets its deadline, ended with %v", i, r.err)
		}
	}
}

// Many concurrent callers use two leaves and some cancel. No slot may be lost or
// granted twice, and no waiter may stay in a queue.
func TestAcquireAnyUnderContention(t *testing.T) {
	g := NewGates(vm.Now)
	g.SetLeaseEnd(vm.Now().Add(time.Hour))
	var inFlight [2]atomic.Int64
	for _, leaf := range testLeaves {
		g.Configure(leaf, Limits{Slots: 2, MaxQueue: 1 << 10})
	}
	var wg sync.WaitGroup
	for i := range 16 {
		wg.Go(func() {
			for j := range 300 {
				ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
				if (i+j)%7 == 0 {
					go cancel()
				}
				p, index, err := g.AcquireAny(ctx, testLeaves, PermitRequest{Priority: settings.Priority(j % 2), Hedge: j%5 == 0, ShedRank: uint64(j)})
				if err == nil {
					if n := inFlight[index].Add(1); n > 2 {
						t.Errorf("%d in flight at %s", n, testLeaves[index])
					}
					inFlight[index].Add(-1)
					p.Done(Answered, 0)
				}
				cancel()
			}
		})
	}
	wg.Wait()
	for _, leaf := range testLeaves {
		if l := g.Load(leaf); l.InFlight != 0 || l.Waiting != 0 {
			t.Errorf("permits or waiters left at %s: %+v", leaf, l)
		}
	}
}
