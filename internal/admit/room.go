package admit

import (
	"math"
	"time"

	"pearmoor/internal/vm"
)

// canStart reports whether one more request may start now.
func (g *gate) room(now vm.Instant) bool {
	return len(g.flying) < g.limit(now) && g.health.blocked(now) == 0
}

// limit returns the maximum number of requests in flight now: the share, less during
// a slow start, and at most one while the leaf is failing.
func (g *gate) limit(now vm.Instant) int {
	if g.health.failing() {
		return min(1, g.limits.Slots)
	}
	f := g.health.fraction(now, g.limits.Ramp)
	return int(math.Ceil(f * float64(g.limits.Slots)))
}

// startInterval returns the mean time between starts at full utilization.
func (g *gate) period(now vm.Instant) time.Duration {
	f := g.health.fraction(now, g.limits.Ramp)
	rate := f * float64(max(g.limits.Slots, 1))
	return time.Duration(float64(g.service.mean) / rate)
}

// expectedWait returns the expected wait of a request with ahead others before it.
func (g *gate) wait(now vm.Instant, ahead float64) time.Duration {
	free := g.freeIn(now)
	return max(free, g.health.blocked(now)) + time.Duration(ahead*float64(g.period(now)))
}

// nextRelease returns the expected time until a permit is available, 0 if one is free.
func (g *gate) freeIn(now vm.Instant) time.Duration {
	if len(g.flying) < g.limit(now) || len(g.flying) == 0 {
		return 0
	}
	least := g.service.residual(g.flying[0].held(now))
	for _, p := range g.flying[1:] {
		least = min(least, g.service.residual(p.held(now)))
	}
	return least
}

// overdueRechecks is how many times the waiters are checked again before the expected
// remaining time of an overdue permit doubles.
const overdueSteps = 4

// recheckIn returns the time until the waiters should be checked again, for the
// release of a permit or a step of a slow start; 0 if neither is expected.
func (g *gate) recheckIn(now vm.Instant) time.Duration {
	free := g.freeIn(now)
	if free > g.service.mean {
		free = max(free/overdueSteps, minTimer)
	}
	step := g.nextStep(now)
	if free == 0 || step == 0 {
		return max(free, step)
	}
	return min(free, step)
}

// nextRampStep returns the time until a slow start allows one more request in
// flight; 0 if no step is pending.
func (g *gate) nextStep(now vm.Instant) time.Duration {
	limit := g.limit(now)
	if !g.health.ramping || limit >= g.limits.Slots {
		return 0
	}
	part := float64(limit) / float64(g.limits.Slots)
	at := g.health.rampFrom.Add(time.Duration(part * float64(g.limits.Ramp)))
	return max(minTimer, at.Sub(now)+1)
}
