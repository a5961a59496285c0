package admit

import (
	"time"

	"pearmoor/internal/vm"
)

const (
	failThreshold   = 3 // consecutive failures that put a leaf into backoff
	backoffBase     = 100 * time.Millisecond
	backoffMax      = 5 * time.Second
	pauseBase       = 20 * time.Millisecond // after a refusal without a retry time
	pauseMax        = 10 * time.Second      // bounds the retry time that a leaf can ask for
	minRampFraction = 0.1                   // fraction of the full rate at which a slow start begins
)

// health is the state of a leaf as observed from attempts, not from health checks.
type health struct {
	consecutiveFailures int
	consecutiveRefusals int        // without a retry time
	backoffUntil        vm.Instant // end of the backoff
	pauseUntil          vm.Instant // end of the pause after a refusal
	ramping             bool
	rampStart           vm.Instant
	nextStart           vm.Instant // earliest next start during a slow start
	lastReply           vm.Instant // 0: no reply yet
}

func (h *health) failing() bool { return h.consecutiveFailures >= failThreshold }

// blockedFor returns how long no request may start.
func (h *health) blockedFor(now vm.Instant) time.Duration {
	until := h.pauseUntil
	if h.failing() {
		until = max(until, h.backoffUntil)
	}
	if h.ramping {
		until = max(until, h.nextStart)
	}
	return max(0, until.Sub(now))
}

func (h *health) recordReply(now vm.Instant, ramp time.Duration) {
	recovered := h.failing()
	h.consecutiveFailures, h.consecutiveRefusals = 0, 0
	h.lastReply = now
	if recovered && ramp > 0 {
		h.startRamp(now)
	}
}

// recordRefusal pauses the leaf for the time it asked for, or for an exponentially
// growing time, up to pauseMax. Jitter keeps its home daemons from returning together.
func (h *health) recordRefusal(now vm.Instant, retryAfter time.Duration) {
	h.consecutiveFailures = 0
	d := retryAfter
	if d <= 0 {
		d = exponential(pauseBase, h.consecutiveRefusals, pauseMax)
		h.consecutiveRefusals++
	}
	d = jitter(min(d, pauseMax))
	h.pauseUntil = max(h.pauseUntil, now.Add(d))
}

// recordFailure starts a backoff after failThreshold consecutive failures. After the
// backoff one request is admitted, whose outcome ends the backoff or doubles it.
func (h *health) recordFailure(now vm.Instant) {
	h.consecutiveFailures++
	if h.failing() {
		d := exponential(backoffBase, h.consecutiveFailures-failThreshold, backoffMax)
		h.backoffUntil = now.Add(jitter(d))
	}
}

// exponential returns base doubled n times, at most limit.
func exponential(base time.Duration, n int, limit time.Duration) time.Duration {
	for ; n > 0 && base < limit; n-- {
		base *= 2
	}
	return min(base, limit)
}

func (h *health) startRamp(now vm.Instant) {
	h.ramping = true
	h.rampStart = now
	h.nextStart = now
}

// rateFraction returns the fraction of the full rate that is allowed now.
func (h *health) rateFraction(now vm.Instant, ramp time.Duration) float64 {
	if !h.ramping {
		return 1
	}
	elapsed := now.Sub(h.rampStart)
	if elapsed >= ramp {
		h.ramping = false
		return 1
	}
	return max(minRampFraction, float64(elapsed)/float64(ramp))
}

// recordStart spaces out starts during a slow start: the concurrency of a share of
// one slot can't be reduced, so the interval between starts is increased instead.
func (h *health) recordStart(now vm.Instant, interval time.Duration) {
	if h.ramping {
		h.nextStart = now.Add(interval)
	}
}

func (g *gate) startRamp() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.limits.Ramp > 0 && !g.health.ramping {
		g.health.startRamp(g.gates.clock())
	}
}
