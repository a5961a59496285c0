package policy

import "time"

// Confirmation is what a daemon knows about how current its configuration is.
type Confirmation struct {
	// Confirmed is true once a leader of the control group has confirmed, to this run of
	// the daemon, that no newer configuration was accepted.
	Confirmed bool
	// Age is how long ago that was for the configuration in use.
	Age time.Duration
}

// MayDeny reports whether the daemon may tell a caller that the configuration does not allow
// a request. limit is the time within which an accepted configuration must be in use on every
// daemon: one that was accepted since the confirmation is not overdue here before then.
func (c Confirmation) MayDeny(limit time.Duration) bool { return c.Confirmed && c.Age <= limit }
