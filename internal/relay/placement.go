package relay

import (
	"sync"

	"pearmoor/internal/domain"
	"pearmoor/internal/settings"
	"pearmoor/internal/vm"
)

// Placed is a group of a service's leaves with the daemons that hold a share of
// at least one of them now, best first.
type Placed struct {
	domain.Group
	Homes []vm.Member
}

// placements caches what rendezvous hashing gives for the services asked for.
type placements struct {
	byEpoch sync.Map // epochKey -> []Placed: homes by one membership alone
	usable  sync.Map // usableKey -> []Placed: homes that hold a share
}

// epochKey keeps the trees of different versions apart by their Effective, which
// is one pointer per node and tree.
type epochKey struct {
	effective *settings.Effective
	service   string
	epoch     uint64
}

type usableKey struct {
	effective *settings.Effective
	service   string
}

// Placement returns the groups of a service's leaves and the homes of each that
// hold a share now. A group may have no home for as long as a transition lasts.
func (v *View) Placement(service string, e *settings.Effective) []Placed {
	if v.placements == nil {
		return v.usable(service, e)
	}
	key := usableKey{effective: e, service: service}
	if got, ok := v.placements.usable.Load(key); ok {
		return got.([]Placed)
	}
	got := v.usable(service, e)
	v.placements.usable.Store(key, got)
	return got
}

// HomesOf returns the daemons that hold a share of at least one leaf of the
// service now, best first.
func (v *View) HomesOf(service string, e *settings.Effective) []vm.Member {
	groups := v.Placement(service, e)
	if len(groups) == 1 {
		return groups[0].Homes
	}
	var homes []vm.Member
	seen := make(map[string]bool)
	for _, g := range groups {
		for _, h := range g.Homes {
			if !seen[h.Name] {
				seen[h.Name] = true
				homes = append(homes, h)
			}
		}
	}
	return homes
}

// usable keeps the homes of the settled membership that hold a share of a leaf.
func (v *View) usable(service string, e *settings.Effective) []Placed {
	settled := v.placed(service, e, v.Settled)
	out := make([]Placed, len(settled))
	for k, g := range settled {
		out[k].Group = g.Group
		for _, h := range g.Homes {
			if v.holdsAny(service, e, g.Group, h.Identity) {
				out[k].Homes = append(out[k].Homes, h)
			}
		}
	}
	return out
}

func (v *View) holdsAny(service string, e *settings.Effective, g domain.Group, id vm.Identity) bool {
	for i := g.First; i < g.First+g.Leaves; i++ {
		if slots, conns := v.Share(service, e, i, id); slots > 0 && conns > 0 {
			return true
		}
	}
	return false
}

// placed returns the groups and homes that one membership alone gives.
func (v *View) placed(service string, e *settings.Effective, m *vm.Membership) []Placed {
	if m == nil || len(e.Leaves) == 0 {
		return nil
	}
	if v.placements == nil {
		return place(service, e, m)
	}
	key := epochKey{effective: e, service: service, epoch: m.Epoch}
	if got, ok := v.placements.byEpoch.Load(key); ok {
		return got.([]Placed)
	}
	got := place(service, e, m)
	v.placements.byEpoch.Store(key, got)
	return got
}

func place(service string, e *settings.Effective, m *vm.Membership) []Placed {
	groups := domain.Groups(service, e.Leaves, m)
	out := make([]Placed, len(groups))
	for k, g := range groups {
		out[k] = Placed{Group: g, Homes: domain.HomesIn(m, g.Key, g.Region, homeCount(e))}
	}
	return out
}

// homeCount is the number of homes of a service. A home without a slot or
// connection of its own could send nothing, so there are at most as many.
func homeCount(e *settings.Effective) int {
	return max(1, min(e.Homes, e.LeafSlots, e.LeafConnections))
}
