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
