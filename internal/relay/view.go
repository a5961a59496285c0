package relay

import (
	"pearmoor/internal/settings"
	"pearmoor/internal/vm"
)

// View is what a daemon knows of the agreed state. A View is immutable; a newer
// one replaces it and never has a lower ConfigVersion or epoch.
type View struct {
	ConfigVersion uint64
	ConfigDigest  uint64
	Tree          *settings.Tree
	Settled       *vm.Membership // shares of this epoch may be used
	Pending       *vm.Membership // nil when no transition is under way
	Lease         vm.Instant     // new work is allowed strictly before this instant
}

// Confirmed reports whether the daemon's lease covers now: its configuration is
// the one in force and its shares are its own.
func (v *View) Confirmed(now vm.Instant) bool { return now < v.Lease }

// Source gives the newest view. Changed returns a channel that is closed when
// a view newer than the one last returned by Current may be read.
type Source interface {
	Current() *View
	Changed() <-chan struct{}
}
