package admit

import (
	"time"

	"pearmoor/internal/settings"
	"pearmoor/internal/vm"
)

// makePlace reports whether the queue can take w. In a full one w takes the
// place of the weakest, if that is weaker: a flood of ordinary requests would
// otherwise keep urgent ones out, and homes would each drop other queries.
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

// noteQueue keeps since when the queue has not been empty.
func (g *gate) noteQueue(now vm.Instant) {
	switch {
	case g.queue.len() == 0:
		g.standing = 0
	case g.standing == 0:
		g.standing, g.stalled = now, g.set.stalls.until(now)
	}
}

// stood returns for how long the queue has not been empty, less the stalls of the process.
func (g *gate) stood(now vm.Instant) time.Duration {
	if g.standing == 0 {
		return 0
	}
	return now.Sub(g.standing) - (g.set.stalls.until(now) - g.stalled)
}

// overloaded reports whether the queue has stood for several times as long as
// w can wait.
func (g *gate) overloaded(now vm.Instant, w *waiter) bool {
	return g.standing != 0 && w.deadline != never && g.stood(now) >= overloadAfter*w.deadline.Sub(now)
}

// overloadAfter is how many times as long as a request can wait a queue must
// have stood to count as overload and not as a burst, which is worth waiting out.
const overloadAfter = 4

// admitMargin is how many times its expected wait a request must be able to
// wait when it comes to an overloaded queue. There waits turn out longer than
// expected, because urgent requests come after it or others run longer, and
// without a margin much of what was let in would be refused after it had waited
// most of its time.
var admitMargin = [2]float64{settings.Ordinary: 2, settings.Urgent: 1.5}

// shed refuses one waiter if there is one that can't end by its deadline, and
// reports whether it did. What can't end even if it were next is refused
// itself; else the weakest up to it, which makes every home drop the same queries.
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
