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
