package admit

import (
	"time"

	"pearmoor/internal/vm"
)

const (
	failThreshold = 3 // consecutive failures that put a leaf into backoff
	backoffBase   = 100 * time.Millisecond
	backoffMax    = 5 * time.Second
	pauseBase     = 20 * time.Millisecond // after a refusal without a retry time
	pauseMax      = 10 * time.Second      // bounds the retry time that a leaf can ask for
	rampFloor     = 0.1                   // fraction of the full rate at which a slow start begins
)

// health is the state of a leaf as observed from attempts, not from health checks.
type health struct {
	failures   int
	refusals   int        // without a retry time
	retryAt    vm.Instant // end of the backoff
	pauseUntil vm.Instant // end of the pause after a refusal
	ramping    bool
	rampFrom   vm.Instant
	nextStart  vm.Instant // earliest next start during a slow start
	lastAnswer vm.Instant // 0: no reply yet
}

func (h *health) failing() bool { return h.failures >= failThreshold }

// blockedFor returns how long no request may start.
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

// recordRefusal pauses the leaf for the time it asked for, or for an exponentially
// growing time, up to pauseMax. Jitter keeps its home daemons from returning together.
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

// recordFailure starts a backoff after failThreshold consecutive failures. After the
// backoff one request is admitted, whose outcome ends the backoff or doubles it.
func (h *health) failed(now vm.Instant) {
	h.failures++
	if h.failing() {
		d := doubled(backoffBase, h.failures-failThreshold, backoffMax)
		h.retryAt = now.Add(jitter(d))
	}
}

// exponential returns base doubled n times, at most limit.
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

// rateFraction returns the fraction of the full rate that is allowed now.
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

// recordStart spaces out starts during a slow start: the concurrency of a share of
// one slot can't be reduced, so the interval between starts is increased instead.
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
