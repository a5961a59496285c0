package admit

import (
	"math"
	"time"

	"pearmoor/internal/vm"
)

// canStart reports whether one more request may start now.
func (g *gate) canStart(now vm.Instant) bool {
	return len(g.inFlight) < g.limit(now) && g.health.blockedFor(now) == 0
}

// limit returns the maximum number of requests in flight now: the share, less during
// a slow start, and at most one while the leaf is failing.
func (g *gate) limit(now vm.Instant) int {
	if g.health.failing() {
		return min(1, g.limits.Slots)
	}
	f := g.health.rateFraction(now, g.limits.Ramp)
	return int(math.Ceil(f * float64(g.limits.Slots)))
}

// startInterval returns the mean time between starts at full utilization.
func (g *gate) startInterval(now vm.Instant) time.Duration {
	f := g.health.rateFraction(now, g.limits.Ramp)
	rate := f * float64(max(g.limits.Slots, 1))
	return time.Duration(float64(g.serviceTime.mean) / rate)
}

// expectedWait returns the expected wait of a request with ahead others before it.
func (g *gate) expectedWait(now vm.Instant, ahead float64) time.Duration {
	free := g.nextRelease(now)
	return max(free, g.health.blockedFor(now)) + time.Duration(ahead*float64(g.startInterval(now)))
}

// nextRelease returns the expected time until a permit is available, 0 if one is free.
func (g *gate) nextRelease(now vm.Instant) time.Duration {
	if len(g.inFlight) < g.limit(now) || len(g.inFlight) == 0 {
		return 0
	}
	shortest := g.serviceTime.residual(g.inFlight[0].held(now))
	for _, p := range g.inFlight[1:] {
		shortest = min(shortest, g.serviceTime.residual(p.held(now)))
	}
	return shortest
}

// overdueRechecks is how many times the waiters are checked again before the expected
// remaining time of an overdue permit doubles.
const overdueRechecks = 4

// recheckIn returns the time until the waiters should be checked again, for the
// release of a permit or a step of a slow start; 0 if neither is expected.
func (g *gate) recheckIn(now vm.Instant) time.Duration {
	free := g.nextRelease(now)
	if free > g.serviceTime.mean {
		free = max(free/overdueRechecks, minTimerDelay)
	}
	step := g.nextRampStep(now)
	if free == 0 || step == 0 {
		return max(free, step)
	}
	return min(free, step)
}

// nextRampStep returns the time until a slow start allows one more request in
// flight; 0 if no step is pending.
func (g *gate) nextRampStep(now vm.Instant) time.Duration {
	limit := g.limit(now)
	if !g.health.ramping || limit >= g.limits.Slots {
		return 0
	}
	fraction := float64(limit) / float64(g.limits.Slots)
	at := g.health.rampStart.Add(time.Duration(fraction * float64(g.limits.Ramp)))
	return max(minTimerDelay, at.Sub(now)+1)
}
