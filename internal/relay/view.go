package relay

import (
	"pearmoor/internal/settings"
	"pearmoor/internal/vm"
)

// View is a daemon's local copy of the agreed state. A View is immutable; a newer one
// replaces it, is of the same control group, and never has a lower ConfigVersion, InForce
// or epoch.
type View struct {
	// Group is the control group whose state this is. Once it is known it stays the same
	// for the life of the process: versions and epochs of two groups can't be compared.
	Group         vm.GroupID
	ConfigVersion uint64
	ConfigDigest  uint64
	Tree          *settings.Tree
	InForce       uint64          // every daemon with a lease has confirmed this version or a newer one
	OlderVersions []VersionedTree // known versions from InForce up to, but not including, ConfigVersion
	Settled       *vm.Membership  // shares of this epoch may be used
	Pending       *vm.Membership  // nil if no transition is in progress
	LeaseEnd      vm.Instant      // new requests are accepted strictly before this instant
	// ConfirmedAt is the newest instant at which a leader is known to have had no newer
	// configuration or membership than this view; 0 if no leader has confirmed this run.
	ConfirmedAt vm.Instant
	// ConfirmedBy is the peer address of the leader or relay that sent the confirmation.
	ConfirmedBy string

	cache *placementCache // shared by the views of one tree and membership; nil: no caching
}

// VersionedTree is the settings tree of one configuration version.
type VersionedTree struct {
	Number uint64
	Tree   *settings.Tree
}

// HoldsLease reports whether the daemon's lease is valid at now. Its configuration is
// then the one in force, and no other daemon uses its shares.
func (v *View) HoldsLease(now vm.Instant) bool { return now < v.LeaseEnd }

// Membership returns the newest membership known: the pending one, else the settled
// one, else nil.
func (v *View) Membership() *vm.Membership {
	if v.Pending != nil {
		return v.Pending
	}
	return v.Settled
}

// Epoch returns the newest epoch known, or 0 if there is none.
func (v *View) Epoch() uint64 { return epochOf(v.Membership()) }

// knowsOlderVersions reports whether the tree of every version that another daemon may
// still use is known. Version 0 is the empty tree, under which there are no shares.
func (v *View) knowsOlderVersions() bool {
	oldest := max(v.InForce, 1)
	if v.ConfigVersion <= oldest {
		return true
	}
	return len(v.OlderVersions) > 0 && v.OlderVersions[0].Number <= oldest
}

func epochOf(m *vm.Membership) uint64 {
	if m == nil {
		return 0
	}
	return m.Epoch
}

// Source provides the newest view. Changed returns a channel that is closed when a
// view newer than the one last returned by Current may be available.
type Source interface {
	Current() *View
	Changed() <-chan struct{}
}
