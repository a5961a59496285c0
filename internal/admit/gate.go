package admit

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"pearmoor/internal/contract"
	"pearmoor/internal/vm"
)

// gate admits requests to one leaf.
type gate struct {
	set  *Gates
	leaf string

	mu       sync.Mutex
	limits   Limits
	flying   []*Permit // permits out
	over     bool      // more are out than the share allows
	draining bool      // the leaf is leaving
	queue    queue
	standing vm.Instant    // since when the queue has not been empty; 0: it is
	stalled  time.Duration // stalls of the process before that
	service  ewma          // how long a permit is held
	health   health
	hint     hint
	timer    stopper
	timerAt  vm.Instant
}

// never is the deadline of a request that has none.
const never = vm.Instant(math.MaxInt64)

// configure applies l and reports whether the gate may be forgotten.
func (g *gate) configure(l Limits) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limits = l
	g.markOver()
	g.dispatch(g.set.clock())
	return l.Slots <= 0 && len(g.flying) == 0
}

func (g *gate) setDraining(on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = on
	g.dispatch(g.set.clock())
}

func (g *gate) answered() (time.Duration, bool) {
	now := g.set.clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.health.lastAnswer == 0 {
		return 0, false
	}
	return now.Sub(g.health.lastAnswer), true
}

func (g *gate) idle() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limits.Slots <= 0 && len(g.flying) == 0
}

func (g *gate) markOver() {
	over := len(g.flying) > g.limits.Slots
	if over == g.over {
		return
	}
	g.over = over
	if over {
		g.set.over.Add(1)
	} else {
		g.set.over.Add(-1)
	}
}

// start returns a permit if one is free now, nobody waits for it, and a request
// that starts now can end by deadline.
func (g *gate) start(now, deadline vm.Instant) *Permit {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.draining || now >= g.set.fence.end() || g.queue.len() > 0 || !g.room(now) {
		return nil
	}
	if !fits(now, 0, g.service.mean, deadline) {
		return nil
	}
	return g.grant(now)
}

// enqueue lets w wait here, or refuses it.
func (g *gate) enqueue(now vm.Instant, w *waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := g.closed(now); err != nil {
		w.refuse(err)
		return
	}
	g.queue.prune()
	if !g.makePlace(now, w) {
		refusedFull.Inc(1)
		w.refuse(errOverload(g.wait(now, g.queue.ahead()), ErrQueueFull))
		return
	}
	g.queue.push(w)
	for g.shed(now, w) {
	}
	g.dispatch(now)
}

// drop takes out a waiter that has ended elsewhere.
func (g *gate) drop(w *waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.remove(w)
	if g.queue.len() == 0 {
		g.standing = 0
	}
}

// deadlineOf converts ctx's deadline to the boot-time clock.
func deadlineOf(ctx context.Context, now vm.Instant) vm.Instant {
	d, ok := ctx.Deadline()
	if !ok {
		return never
	}
	return now.Add(time.Until(d))
}

// fits reports whether a request that waits and then runs ends by its deadline.
func fits(now vm.Instant, wait, service time.Duration, deadline vm.Instant) bool {
	return now.Add(wait+service) <= deadline
}

// closed returns why nothing at all is let through, or nil.
func (g *gate) closed(now vm.Instant) *contract.Error {
	if now >= g.set.fence.end() {
		refusedUnconfirmed.Inc(1)
		return errUnconfirmed()
	}
	if g.limits.Slots <= 0 {
		refusedNoShare.Inc(1)
		return errNoShare()
	}
	if g.draining {
		refusedDraining.Inc(1)
		return errDraining()
	}
	return nil
}

// tryAcquire leaves a failing leaf alone: a hedge is not the request to find
// out whether it has recovered.
func (g *gate) tryAcquire() (*Permit, bool) {
	now := g.set.clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.draining || now >= g.set.fence.end() || g.health.failing() {
		return nil, false
	}
	if g.queue.len() > 0 || !g.room(now) {
		return nil, false
	}
	return g.grant(now), true
}

func (g *gate) grant(now vm.Instant) *Permit {
	p := &Permit{gate: g, gen: g.set.fence.gen.Load(), granted: now, stalled: g.set.stalls.until(now)}
	g.flying = append(g.flying, p)
	g.health.started(now, g.period(now))
	granted.Inc(1)
	return p
}

func (g *gate) release(p *Permit, o Outcome, retryAfter time.Duration) {
	now := g.set.clock()
	g.mu.Lock()
	if at := slices.Index(g.flying, p); at >= 0 {
		g.flying = slices.Delete(g.flying, at, at+1)
	}
	g.learn(now, o, p.held(now), retryAfter)
	g.markOver()
	g.dispatch(now)
	forget := g.limits.Slots <= 0 && len(g.flying) == 0
	g.mu.Unlock()
	if forget {
		g.set.forget(g)
	}
}

// learn updates the estimate and the health. What ended otherwise than by a
// reply is known to take at least as long as it did, so it only raises the mean.
func (g *gate) learn(now vm.Instant, o Outcome, held, retryAfter time.Duration) {
	switch o {
	case Answered:
		g.service.add(held)
		g.health.answered(now, g.limits.Ramp)
	case Declined:
		g.health.answered(now, g.limits.Ramp)
	case Refused:
		g.health.refused(now, retryAfter)
	case Failed:
		g.health.failed(now)
		g.censored(held)
	case Cancelled:
		g.censored(held)
	}
}

func (g *gate) censored(held time.Duration) {
	if g.service.mean > 0 && held > g.service.mean {
		g.service.add(held)
	}
}

// dispatch refuses waiters whose expected wait has come not to fit, and grants
// to the others as far as there is room.
func (g *gate) dispatch(now vm.Instant) {
	g.queue.prune()
	if g.queue.len() == 0 {
		g.standing = 0
		return
	}
	if err := g.closed(now); err != nil {
		for g.queue.len() > 0 {
			g.queue.pop().refuse(err)
		}
		g.standing = 0
		return
	}
	for g.shed(now, nil) {
	}
	for g.queue.len() > 0 && g.room(now) {
		if w := g.queue.pop(); w.claim() {
			w.result <- grant{permit: g.grant(now)}
		}
	}
	g.noteQueue(now)
	g.arm(now)
}

// arm sets the timer for the next moment at which something changes without an
// event: a block ends, a permit that was expected back has not come, a waiter's
// latest start passes, the lease ends. A timer that is set for earlier stays;
// it finds nothing to do and sets the next.
func (g *gate) arm(now vm.Instant) {
	if g.queue.len() == 0 {
		return
	}
	at := g.set.fence.end()
	if d := g.health.blocked(now); d > 0 {
		at = min(at, now.Add(d))
	}
	if d := g.recheckIn(now); d > 0 {
		at = min(at, now.Add(d))
	}
	for _, c := range g.queue.class {
		for _, w := range c {
			if w.deadline != never {
				at = min(at, w.deadline.Add(1-g.service.mean))
			}
			if !w.Hedge {
				break // the first after the hedges has the earliest deadline
			}
		}
	}
	if g.timer != nil {
		if g.timerAt <= at {
			return
		}
		g.timer.Stop()
	}
	g.timerAt = at
	g.timer = g.set.after(max(at.Sub(now), minTimer), g.poll)
}

// minTimer keeps a timer that the wall and the boot-time clock see differently
// from spinning.
const minTimer = 100 * time.Microsecond

// poll looks at the gate again when its timer fires. Timers of a paused process
// fire late and together, so what to do is decided by the clock alone.
func (g *gate) poll() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.timer = nil
	g.dispatch(g.set.clock())
}
