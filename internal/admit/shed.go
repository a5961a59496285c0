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
func (g *gate) makeRoom(now vm.Instant, w *waiter) bool {
	if g.queue.len() < g.limits.MaxQueue {
		return true
	}
	candidate := g.queue.shedCandidate()
	if candidate == nil || !candidate.shedBefore(w) {
		return false
	}
	g.queue.remove(candidate)
	refusedFull.Inc(1)
	candidate.refuse(errOverload(g.expectedWait(now, g.queue.ahead()), ErrQueueFull))
	return true
}

// updateNonEmptySince records when the queue stopped being empty.
func (g *gate) updateNonEmptySince(now vm.Instant) {
	switch {
	case g.queue.len() == 0:
		g.nonEmptySince = 0
	case g.nonEmptySince == 0:
		g.nonEmptySince, g.stallsAtNonEmpty = now, g.gates.stalls.totalAt(now)
	}
}

// nonEmptyFor returns how long the queue has been non-empty, not counting the time for which
// the process was stalled.
func (g *gate) nonEmptyFor(now vm.Instant) time.Duration {
	if g.nonEmptySince == 0 {
		return 0
	}
	return now.Sub(g.nonEmptySince) - (g.gates.stalls.totalAt(now) - g.stallsAtNonEmpty)
}

// overloaded reports whether the queue has been non-empty for overloadFactor times as
// long as w can wait.
func (g *gate) overloaded(now vm.Instant, w *waiter) bool {
	return g.nonEmptySince != 0 && w.deadline != noDeadline && g.nonEmptyFor(now) >= overloadFactor*w.deadline.Sub(now)
}

// overloadFactor distinguishes overload from a burst, which is worth queueing for: a
// queue is overloaded if it has been non-empty for this multiple of the time that a
// request can wait.
const overloadFactor = 4

// overloadWaitMargin is the multiple of the expected wait that a request must be able
// to wait when it arrives at an overloaded queue. Waits there exceed the estimate,
// because urgent requests arrive later or other requests run longer. Without the
// margin many queued requests would be refused after most of their time had passed.
var overloadWaitMargin = [2]float64{settings.Ordinary: 2, settings.Urgent: 1.5}

// shed refuses one waiter if any can't meet its deadline, and reports whether it did.
// A waiter that could not meet its deadline even if it were next is refused itself.
// Otherwise the shed candidate among the waiters up to it is refused, so that all
// home daemons drop the same queries.
func (g *gate) shed(now vm.Instant, arriving *waiter) bool {
	var victim *waiter
	var retryAfter time.Duration
	var candidate *waiter
	minWait := g.expectedWait(now, 0)
	g.queue.each(func(w *waiter, ahead float64) bool {
		if candidate == nil || !candidate.shedBefore(w) {
			candidate = w
		}
		wait := g.expectedWait(now, ahead)
		required := wait
		if w == arriving && g.overloaded(now, w) {
			required = time.Duration(float64(wait) * overloadWaitMargin[w.Priority])
		}
		if meetsDeadline(now, required, g.serviceTime.mean, w.deadline) {
			return true
		}
		victim, retryAfter = candidate, now.Add(wait+g.serviceTime.mean).Sub(w.deadline)
		if !meetsDeadline(now, minWait, g.serviceTime.mean, w.deadline) {
			victim = w
		}
		return false
	})
	if victim == nil {
		return false
	}
	g.queue.remove(victim)
	refusedDeadline.Inc(1)
	victim.refuse(errOverload(retryAfter, ErrDeadlineTooShort))
	return true
}
