package query

import (
	"pearmoor/internal/relay"
	"pearmoor/internal/settings"
	"pearmoor/internal/vm"
)

// tierView is the part of a relay.View that the engine reads.
type state interface {
	ConfigVersion() uint64
	Confirmed(now vm.Instant) bool
	Effective(path string) (*settings.Effective, bool)
	Services(path string) []string
	Placement(service string, e *settings.Effective) []relay.Placed
	Member(name string) (vm.Member, bool)
	Tier() settings.Tier
}

// relayTierView implements tierView with a relay.View.
type viewState struct{ v *relay.View }

func (s viewState) ConfigVersion() uint64         { return s.v.ConfigVersion }
func (s viewState) Confirmed(now vm.Instant) bool { return s.v.Confirmed(now) }
func (s viewState) Services(path string) []string { return s.v.Tree.Services(path) }
func (s viewState) Tier() settings.Tier           { return s.v.Tree.Tier() }

func (s viewState) Effective(path string) (*settings.Effective, bool) {
	return s.v.Tree.Effective(path)
}

func (s viewState) Placement(service string, e *settings.Effective) []relay.Placed {
	return s.v.Placement(service, e)
}

// Member returns a daemon of the pending or else of the settled membership: a daemon whose
// membership has not settled yet may have issued sessions already.
func (s viewState) Member(name string) (vm.Member, bool) {
	for _, m := range []*vm.Membership{s.v.Pending, s.v.Settled} {
		if m == nil {
			continue
		}
		if found, ok := m.Find(name); ok {
			return found, true
		}
	}
	return vm.Member{}, false
}
