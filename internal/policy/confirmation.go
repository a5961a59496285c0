package policy

import (
	"time"

	"pearmoor/internal/vm"
)

// Confirmation is when a leader of the control group last knew of no configuration newer than
// the one in use; 0 if no leader has confirmed it to this run of the daemon.
type Confirmation vm.Instant

// Exists reports whether a leader has ever confirmed the configuration to this run.
func (c Confirmation) Exists() bool { return c != 0 }

// Age returns how long ago the configuration was confirmed.
func (c Confirmation) Age(now vm.Instant) time.Duration { return now.Sub(vm.Instant(c)) }

// MayDeny reports whether the daemon may tell a caller that the configuration does not allow
// a request. limit is the time within which an accepted configuration must be in use on every
// daemon: one that was accepted since the confirmation is not overdue here before then.
func (c Confirmation) MayDeny(now vm.Instant, limit time.Duration) bool {
	return c.Exists() && c.Age(now) <= limit
}

const (
	// keyLeaseMargin is the part of the revocation time that a daemon does not use: the time
	// from the last check of a key to the write of its request.
	keyLeaseMargin = 100 * time.Millisecond
	// keyLeaseDriftDivisor takes 1% off for clocks that differ in rate.
	keyLeaseDriftDivisor = 100
)

// MayAllowKeys reports whether the daemon may serve a request because its configuration has the
// request's API key. revokeTime is the time after which a key that was taken away must be dead on
// every daemon, whether it is in touch with the control group or not.
//
// It answers requests with keys at a daemon that is cut off, was suspended or has just started: a
// key may have been taken away since the configuration was confirmed.
func (c Confirmation) MayAllowKeys(now vm.Instant, revokeTime time.Duration) bool {
	return c.Exists() && c.Age(now) < revokeTime-revokeTime/keyLeaseDriftDivisor-keyLeaseMargin
}
