package admit

import (
	"time"

	"pearmoor/internal/settings"
	"pearmoor/internal/vm"
)

// makeRoom reports whether w can be queued. If the queue is full, w displaces the
// shed candidate if the candidate is to be shed before w. Without this, ordinary requests
// could fill the queue and keep urgent ones out, and each home daemon would drop
// different queries.
func (g *gate) makePlace(now vm.Instant, w *waiter) bool {
	if g.queue.len() < g.limits.Queue {
		return true
	}
	low := g.queue.weakest()
	if low == nil || !low.weaker(w) {
		return false
	}
	g.queue.remove(low)
	refusedFull.Inc(1)
	low.refuse(errOverload(g.wait(now, g.queue.ahead()), ErrQueueFull))
	return true
}

// updateNonEmptySince records when the queue stopped being empty.
func (g *gate) noteQueue(now vm.Instant) {
	switch {
	case g.queue.len() == 0:
		g.standing = 0
	case g.standing == 0:
		g.standing, g.stalled = now, g.set.stalls.until(now)
	}
}

// nonEmptyFor returns how long the queue has not been empty, without the stalls of the process.
func (g *gate) stood(now vm.Instant) time.Duration {
	if g.standing == 0 {
		return 0
	}
	return now.Sub(g.standing) - (g.set.stalls.until(now) - g.stalled)
}

// overloaded reports whether the queue has been non-empty for overloadFactor times as
// long as w can wait.
func (g *gate) overloaded(now vm.Instant, w *waiter) bool {
	return g.standing != 0 && w.deadline != never && g.stood(now) >= overloadAfter*w.deadline.Sub(now)
}

// overloadFactor distinguishes overload from a burst, which is worth queueing for: a
// queue is overloaded if it has been non-empty for this multiple of the time that a
// request can wait.
const overloadAfter = 4

// overloadWaitMargin is the multiple of the expected wait that a request must be able
// to wait when it arrives at an overloaded queue. Waits there exceed the estimate,
// because urgent requests arrive later or other requests run longer. Without the
// margin many queued requests would be refused after most of their time had passed.
var admitMargin = [2]float64{settings.Ordinary: 2, settings.Urgent: 1.5}

// shed refuses one waiter if any can't meet its deadline, and reports whether it did.
// A waiter that could not meet its deadline even if it were next is refused itself.
// Otherwise the shed candidate among the waiters up to it is refused, so that all
// home daemons drop the same queries.
func (g *gate) shed(now vm.Instant, fresh *waiter) bool {
	var victim *waiter
	var after time.Duration
	var low *waiter
	soonest := g.wait(now, 0)
	g.queue.each(func(w *waiter, ahead float64) bool {
		if low == nil || !low.weaker(w) {
			low = w
		}
		wait := g.wait(now, ahead)
		need := wait
		if w == fresh && g.overloaded(now, w) {
			need = time.Duration(float64(wait) * admitMargin[w.Priority])
		}
		if fits(now, need, g.service.mean, w.deadline) {
			return true
		}
		victim, after = low, now.Add(wait+g.service.mean).Sub(w.deadline)
		if !fits(now, soonest, g.service.mean, w.deadline) {
			victim = w
		}
		return false
	})
	if victim == nil {
		return false
	}
	g.queue.remove(victim)
	refusedNoFit.Inc(1)
	victim.refuse(errOverload(after, ErrNoFit))
	return true
}
