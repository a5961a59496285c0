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
	flying   []*Permit // permits granted and not yet released
	over     bool      // len(inFlight) exceeds the share
	draining bool      // the leaf is shutting down
	queue    queue
	standing vm.Instant    // start of the period without an empty queue; 0: the queue is empty
	stalled  time.Duration // stall time of the process up to nonEmptySince
	service  ewma          // how long permits are held
	health   health
	hint     hint
	timer    stopper
	timerAt  vm.Instant
}

// noDeadline is the deadline of a request whose context has none.
const never = vm.Instant(math.MaxInt64)

// configure sets the limits and reports whether the gate can be removed.
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

// tryStart returns a permit if one is free, no request is queued, and a request
// that starts now is expected to end by deadline. Otherwise it returns nil.
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

// enqueue adds w to the queue or refuses it.
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

// removeWaiter removes a waiter that was claimed elsewhere or has given up.
func (g *gate) drop(w *waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.remove(w)
	if g.queue.len() == 0 {
		g.standing = 0
	}
}

// bootDeadline converts ctx's deadline to the boot-time clock.
func deadlineOf(ctx context.Context, now vm.Instant) vm.Instant {
	d, ok := ctx.Deadline()
	if !ok {
		return never
	}
	return now.Add(time.Until(d))
}

// meetsDeadline reports whether a request that waits and then runs for the mean
// service time ends by its deadline.
func fits(now vm.Instant, wait, service time.Duration, deadline vm.Instant) bool {
	return now.Add(wait+service) <= deadline
}

// closedError returns the refusal if the gate admits no request at all, nil if it is open.
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

// tryAcquire returns no permit while the leaf is failing: the probe that tests for
// recovery must be a first attempt and not a hedge.
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

// recordOutcome updates the service time estimate and the leaf's health. For an
// attempt that ended without a reply, the time held is only a lower bound of the
// service time, so it may raise the mean but not lower it.
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

// recordLowerBound adds held to the estimate if it exceeds the mean service time.
func (g *gate) censored(held time.Duration) {
	if g.service.mean > 0 && held > g.service.mean {
		g.service.add(held)
	}
}

// dispatch refuses the waiters whose expected wait no longer meets their deadline
// and grants permits to the others while requests may start.
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

// armTimer sets the timer for the next change that no event reports: a backoff or
// pause ends, an expected permit was not released, a waiter's latest start time
// passes, or the lease ends. A timer that is already set for an earlier time is
// kept; when it fires, dispatch sets the next one.
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
				break // the first waiter after the hedges has the earliest deadline
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

// minTimerDelay prevents a busy loop when the timer's clock runs ahead of the
// boot-time clock.
const minTimer = 100 * time.Microsecond

// onTimer dispatches when the timer fires. Timers of a paused process fire late and
// together, so dispatch decides by the clock and not by which timer fired.
func (g *gate) poll() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.timer = nil
	g.dispatch(g.set.clock())
}
