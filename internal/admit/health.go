package admit

import (
	"time"

	"pearmoor/internal/vm"
)

const (
	failThreshold = 3 // failures in a row that put a leaf into backoff
	backoffBase   = 100 * time.Millisecond
	backoffMax    = 5 * time.Second
	pauseBase     = 20 * time.Millisecond // after a refusal that names no time
	pauseMax      = 10 * time.Second      // a leaf's word can't keep it idle for longer
	rampFloor     = 0.1                   // share of the full rate with which a slow start begins
)

// health is what attempts, not health endpoints, have shown of a leaf.
type health struct {
	failures   int        // in a row
	refusals   int        // in a row, without a time to come back
	retryAt    vm.Instant // end of the backoff
	pauseUntil vm.Instant // end of the pause a refusal asked for
	ramping    bool
	rampFrom   vm.Instant
	nextStart  vm.Instant // pacing during a slow start
	lastAnswer vm.Instant // 0: none yet
}

func (h *health) failing() bool { return h.failures >= failThreshold }

// blocked is how long nothing may start.
func (h *health) blocked(now vm.Instant) time.Duration {
	until := h.pauseUntil
	if h.failing() {
		until = max(until, h.retryAt)
	}
	if h.ramping {
		until = max(until, h.nextStart)
	}
	return max(0, until.Sub(now))
}

func (h *health) answered(now vm.Instant, ramp time.Duration) {
	recovered := h.failing()
	h.failures, h.refusals = 0, 0
	h.lastAnswer = now
	if recovered && ramp > 0 {
		h.beginRamp(now)
	}
}

// refused pauses the leaf for the time it asked for, or for a growing one,
// bounded, with jitter so that its homes do not come back together.
func (h *health) refused(now vm.Instant, retryAfter time.Duration) {
	h.failures = 0
	d := retryAfter
	if d <= 0 {
		d = doubled(pauseBase, h.refusals, pauseMax)
		h.refusals++
	}
	d = jitter(min(d, pauseMax))
	h.pauseUntil = max(h.pauseUntil, now.Add(d))
}

// failed backs off from a leaf that keeps failing. After the backoff one
// request is let through, and its outcome ends the backoff or doubles it.
func (h *health) failed(now vm.Instant) {
	h.failures++
	if h.failing() {
		d := doubled(backoffBase, h.failures-failThreshold, backoffMax)
		h.retryAt = now.Add(jitter(d))
	}
}

// doubled returns base doubled n times, at most limit.
func doubled(base time.Duration, n int, limit time.Duration) time.Duration {
	for ; n > 0 && base < limit; n-- {
		base *= 2
	}
	return min(base, limit)
}

func (h *health) beginRamp(now vm.Instant) {
	h.ramping = true
	h.rampFrom = now
	h.nextStart = now
}

// fraction is the part of the full rate allowed now.
func (h *health) fraction(now vm.Instant, ramp time.Duration) float64 {
	if !h.ramping {
		return 1
	}
	gone := now.Sub(h.rampFrom)
	if gone >= ramp {
		h.ramping = false
		return 1
	}
	return max(rampFloor, float64(gone)/float64(ramp))
}

// started paces a slow start: with a share of one slot concurrency can't be
// lowered, so the time between starts is lengthened instead.
func (h *health) started(now vm.Instant, period time.Duration) {
	if h.ramping {
		h.nextStart = now.Add(period)
	}
}

func (g *gate) beginRamp() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.limits.Ramp > 0 && !g.health.ramping {
		g.health.beginRamp(g.set.clock())
	}
}
