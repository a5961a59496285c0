package query

import (
	"pearmoor/internal/relay"
	"pearmoor/internal/settings"
	"pearmoor/internal/vm"
)

// tierView is the part of a relay.View that the engine reads.
type tierView interface {
	ConfigVersion() uint64
	Confirmed(now vm.Instant) bool
	Effective(path string) (*settings.Effective, bool)
	Services(path string) []string
	Placement(service string, e *settings.Effective) []relay.GroupHomes
	Member(name string) (vm.Member, bool)
	Tier() settings.Tier
}

// relayTierView implements tierView with a relay.View.
type relayTierView struct{ view *relay.View }

func (v relayTierView) ConfigVersion() uint64         { return v.view.ConfigVersion }
func (v relayTierView) Confirmed(now vm.Instant) bool { return v.view.HoldsLease(now) }
func (v relayTierView) Services(path string) []string { return v.view.Tree.Services(path) }
func (v relayTierView) Tier() settings.Tier           { return v.view.Tree.Tier() }

func (v relayTierView) Effective(path string) (*settings.Effective, bool) {
	return v.view.Tree.Effective(path)
}

func (v relayTierView) Placement(service string, e *settings.Effective) []relay.GroupHomes {
	return v.view.LeafGroups(service, e)
}

// Member returns a daemon of the pending or else of the settled membership: a daemon whose
// membership has not settled yet may have issued sessions already.
func (v relayTierView) Member(name string) (vm.Member, bool) {
	for _, m := range []*vm.Membership{v.view.Pending, v.view.Settled} {
		if m == nil {
			continue
		}
		if found, ok := m.Find(name); ok {
			return found, true
		}
	}
	return vm.Member{}, false
}
