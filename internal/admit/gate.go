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
	gates *Gates
	leaf  string

	mu               sync.Mutex
	limits           Limits
	inFlight         []*Permit // permits granted and not yet released
	overLimit        bool      // len(inFlight) exceeds the share
	draining         bool      // the leaf is shutting down
	queue            queue
	nonEmptySince    vm.Instant    // start of the period without an empty queue; 0: the queue is empty
	stallsAtNonEmpty time.Duration // stall time of the process up to nonEmptySince
	serviceTime      ewma          // how long permits are held
	health           health
	loadReport       loadReport
	timer            stopper
	timerAt          vm.Instant
}

// noDeadline is the deadline of a request whose context has none.
const noDeadline = vm.Instant(math.MaxInt64)

// configure sets the limits and reports whether the gate can be removed.
func (g *gate) configure(l Limits) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limits = l
	g.updateOverLimit()
	g.dispatch(g.gates.clock())
	return l.Slots <= 0 && len(g.inFlight) == 0
}

func (g *gate) setDraining(draining bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = draining
	g.dispatch(g.gates.clock())
}

func (g *gate) sinceLastReply() (time.Duration, bool) {
	now := g.gates.clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.health.lastReply == 0 {
		return 0, false
	}
	return now.Sub(g.health.lastReply), true
}

func (g *gate) unused() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limits.Slots <= 0 && len(g.inFlight) == 0
}

func (g *gate) updateOverLimit() {
	over := len(g.inFlight) > g.limits.Slots
	if over == g.overLimit {
		return
	}
	g.overLimit = over
	if over {
		g.gates.gatesOverLimit.Add(1)
	} else {
		g.gates.gatesOverLimit.Add(-1)
	}
}

// tryStart returns a permit if one is free, no request is queued, and a request
// that starts now is expected to end by deadline. Otherwise it returns nil.
func (g *gate) tryStart(now, deadline vm.Instant) *Permit {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.draining || now >= g.gates.lease.end() || g.queue.len() > 0 || !g.canStart(now) {
		return nil
	}
	if !meetsDeadline(now, 0, g.serviceTime.mean, deadline) {
		return nil
	}
	return g.grant(now)
}

// enqueue adds w to the queue or refuses it.
func (g *gate) enqueue(now vm.Instant, w *waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := g.closedError(now); err != nil {
		w.refuse(err)
		return
	}
	g.queue.prune()
	if !g.makeRoom(now, w) {
		refusedFull.Inc(1)
		w.refuse(errOverload(g.expectedWait(now, g.queue.ahead()), ErrQueueFull))
		return
	}
	g.queue.push(w)
	for g.shed(now, w) {
	}
	g.dispatch(now)
}

// removeWaiter removes a waiter that was claimed elsewhere or has given up.
func (g *gate) removeWaiter(w *waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.remove(w)
	if g.queue.len() == 0 {
		g.nonEmptySince = 0
	}
}

// bootDeadline converts ctx's deadline to the boot-time clock.
func bootDeadline(ctx context.Context, now vm.Instant) vm.Instant {
	d, ok := ctx.Deadline()
	if !ok {
		return noDeadline
	}
	return now.Add(time.Until(d))
}

// meetsDeadline reports whether a request that waits and then runs for the mean
// service time ends by its deadline.
func meetsDeadline(now vm.Instant, wait, serviceTime time.Duration, deadline vm.Instant) bool {
	return now.Add(wait+serviceTime) <= deadline
}

// closedError returns the refusal if the gate admits no request at all, nil if it is open.
func (g *gate) closedError(now vm.Instant) *contract.Error {
	if now >= g.gates.lease.end() {
		refusedLeaseExpired.Inc(1)
		return errLeaseExpired()
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
	now := g.gates.clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.draining || now >= g.gates.lease.end() || g.health.failing() {
		return nil, false
	}
	if g.queue.len() > 0 || !g.canStart(now) {
		return nil, false
	}
	return g.grant(now), true
}

func (g *gate) grant(now vm.Instant) *Permit {
	p := &Permit{gate: g, leaseGeneration: g.gates.lease.generation.Load(), granted: now, stallsAtGrant: g.gates.stalls.totalAt(now)}
	g.inFlight = append(g.inFlight, p)
	g.health.recordStart(now, g.startInterval(now))
	grantedCount.Inc(1)
	return p
}

func (g *gate) release(p *Permit, o Outcome, retryAfter time.Duration) {
	now := g.gates.clock()
	g.mu.Lock()
	if i := slices.Index(g.inFlight, p); i >= 0 {
		g.inFlight = slices.Delete(g.inFlight, i, i+1)
	}
	g.recordOutcome(now, o, p.held(now), retryAfter)
	g.updateOverLimit()
	g.dispatch(now)
	unused := g.limits.Slots <= 0 && len(g.inFlight) == 0
	g.mu.Unlock()
	if unused {
		g.gates.removeIfUnused(g)
	}
}

// recordOutcome updates the service time estimate and the leaf's health. For an
// attempt that ended without a reply, the time held is only a lower bound of the
// service time, so it may raise the mean but not lower it.
func (g *gate) recordOutcome(now vm.Instant, o Outcome, held, retryAfter time.Duration) {
	switch o {
	case Answered:
		g.serviceTime.add(held)
		g.health.recordReply(now, g.limits.Ramp)
	case Declined:
		g.health.recordReply(now, g.limits.Ramp)
	case Refused:
		g.health.recordRefusal(now, retryAfter)
	case Failed:
		g.health.recordFailure(now)
		g.recordLowerBound(held)
	case Cancelled:
		g.recordLowerBound(held)
	}
}

// recordLowerBound adds held to the estimate if it exceeds the mean service time.
func (g *gate) recordLowerBound(held time.Duration) {
	if g.serviceTime.mean > 0 && held > g.serviceTime.mean {
		g.serviceTime.add(held)
	}
}

// dispatch refuses the waiters whose expected wait no longer meets their deadline
// and grants permits to the others while requests may start.
func (g *gate) dispatch(now vm.Instant) {
	g.queue.prune()
	if g.queue.len() == 0 {
		g.nonEmptySince = 0
		return
	}
	if err := g.closedError(now); err != nil {
		for g.queue.len() > 0 {
			g.queue.pop().refuse(err)
		}
		g.nonEmptySince = 0
		return
	}
	for g.shed(now, nil) {
	}
	for g.queue.len() > 0 && g.canStart(now) {
		if w := g.queue.pop(); w.claim() {
			w.result <- grant{permit: g.grant(now)}
		}
	}
	g.updateNonEmptySince(now)
	g.armTimer(now)
}

// armTimer sets the timer for the next change that no event reports: a backoff or
// pause ends, an expected permit was not released, a waiter's latest start time
// passes, or the lease ends. A timer that is already set for an earlier time is
// kept; when it fires, dispatch sets the next one.
func (g *gate) armTimer(now vm.Instant) {
	if g.queue.len() == 0 {
		return
	}
	at := g.gates.lease.end()
	if d := g.health.blockedFor(now); d > 0 {
		at = min(at, now.Add(d))
	}
	if d := g.recheckIn(now); d > 0 {
		at = min(at, now.Add(d))
	}
	for _, c := range g.queue.byPriority {
		for _, w := range c {
			if w.deadline != noDeadline {
				at = min(at, w.deadline.Add(1-g.serviceTime.mean))
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
	g.timer = g.gates.after(max(at.Sub(now), minTimerDelay), g.onTimer)
}

// minTimerDelay prevents a busy loop when the timer's clock runs ahead of the
// boot-time clock.
const minTimerDelay = 100 * time.Microsecond

// onTimer dispatches when the timer fires. Timers of a paused process fire late and
// together, so dispatch decides by the clock and not by which timer fired.
func (g *gate) onTimer() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.timer = nil
	g.dispatch(g.gates.clock())
}
