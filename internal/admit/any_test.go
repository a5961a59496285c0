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

// A request may go to either of two replicas, each with one slot here. It waits
// for both, and takes the one that comes free first, not the one that looked
// better when it came.
func TestWaitsForWhicheverReplicaFreesFirst(t *testing.T) {
	Convey("With both replicas in use", t, func() {
		w := newWorld()
		for _, leaf := range leaves {
			w.Configure(leaf, Limits{Slots: 1, Queue: 8})
		}
		a, _ := w.TryAcquire(leaves[0])
		b, _ := w.TryAcquire(leaves[1])
		_, x, _ := w.askAny(time.Second, Ask{}, leaves...)
		_, y, _ := w.askAny(time.Second, Ask{}, leaves...)
		Convey("the first to come back serves the first waiter", func() {
			b.Done(Answered, 0)
			r, ok := x.ended()
			So(ok, ShouldBeTrue)
			So(r.permit.gate.leaf, ShouldEqual, leaves[1])
			_, ok = y.ended()
			So(ok, ShouldBeFalse)
			a.Done(Answered, 0)
			r, ok = y.ended()
			So(ok, ShouldBeTrue)
			So(r.permit.gate.leaf, ShouldEqual, leaves[0])
			So(w.Load(leaves[0]).Waiting+w.Load(leaves[1]).Waiting, ShouldBeLessThanOrEqualTo, 1)
		})
		Convey("one that drains does not end the wait for the other", func() {
			w.Drain(leaves[0], true)
			_, ok := x.ended()
			So(ok, ShouldBeFalse)
			w.Drain(leaves[1], true)
			r, ok := x.ended()
			So(ok, ShouldBeTrue)
			So(refusalOf(t, r.err).RetryAfter, ShouldBeGreaterThan, 0)
		})
		Convey("a hedge goes before first attempts that came earlier", func() {
			_, h, _ := w.askAny(time.Minute, Ask{Hedge: true}, leaves[0])
			a.Done(Answered, 0)
			_, ok := h.ended()
			So(ok, ShouldBeTrue)
			_, ok = x.ended()
			So(ok, ShouldBeFalse)
		})
	})
}

// Waiters in two queues are counted once in the expected wait. If each queue
// counted them whole, requests would be refused at half the real capacity.
func TestWaitersOfTwoQueuesCountOnce(t *testing.T) {
	w := newWorld()
	for _, leaf := range leaves {
		w.Configure(leaf, Limits{Slots: 1, Queue: 64})
		p, _ := w.TryAcquire(leaf)
		w.advance(10 * ms)
		p.Done(Answered, 0)
		w.TryAcquire(leaf)
	}
	for i := range 10 {
		// Two slots, 10 ms each: the last of ten starts after about 50 ms.
		_, x, _ := w.askAny(70*ms, Ask{}, leaves...)
		if r, ended := x.ended(); ended {
			t.Fatalf("number %d, which fits, ended with %v", i, r.err)
		}
	}
}

// Many callers over two leaves at once, some hanging up: no slot is lost, none
// is given twice, and nobody is forgotten in a queue.
func TestAcquireAnyUnderContention(t *testing.T) {
	g := NewGates(vm.Now)
	g.Fence(vm.Now().Add(time.Hour))
	var inFlight [2]atomic.Int64
	for _, leaf := range leaves {
		g.Configure(leaf, Limits{Slots: 2, Queue: 1 << 10})
	}
	var wg sync.WaitGroup
	for i := range 16 {
		wg.Go(func() {
			for j := range 300 {
				ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
				if (i+j)%7 == 0 {
					go cancel()
				}
				p, at, err := g.AcquireAny(ctx, leaves, Ask{Priority: settings.Priority(j % 2), Hedge: j%5 == 0, Order: uint64(j)})
				if err == nil {
					if n := inFlight[at].Add(1); n > 2 {
						t.Errorf("%d in flight at %s", n, leaves[at])
					}
					inFlight[at].Add(-1)
					p.Done(Answered, 0)
				}
				cancel()
			}
		})
	}
	wg.Wait()
	for _, leaf := range leaves {
		if l := g.Load(leaf); l.InFlight != 0 || l.Waiting != 0 {
			t.Errorf("left over at %s: %+v", leaf, l)
		}
	}
}
