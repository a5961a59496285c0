package relay

import (
	"pearmoor/internal/domain"
	"pearmoor/internal/settings"
	"pearmoor/internal/vm"
)

// GroupHomes is a group of a service's leaves with its homes: the daemons that
// currently have a share of at least one leaf of the group, best first.
type GroupHomes struct {
	domain.Group
	Homes []vm.Member
}

// LeafGroups returns the groups of a service's leaves, each with the homes that
// currently have a share. During a membership transition a group may have no home. The
// result is cached by e, whose path is canonical; the caller's spelling of the path is
// not used.
func (v *View) LeafGroups(_ string, e *settings.Effective) []GroupHomes {
	if v.cache == nil {
		return v.shareHolders(e)
	}
	if groups, ok := v.cache.shareHolders.Load(e); ok {
		return groups.([]GroupHomes)
	}
	groups := v.shareHolders(e)
	v.cache.shareHolders.Store(e, groups)
	return groups
}

// HomesOf returns the daemons that currently have a share of at least one leaf of the
// service, best first.
func (v *View) HomesOf(service string, e *settings.Effective) []vm.Member {
	groups := v.LeafGroups(service, e)
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

// shareHolders returns the groups with those homes of the settled membership that have
// a share of a leaf.
func (v *View) shareHolders(e *settings.Effective) []GroupHomes {
	settled := v.membershipHomes(e, v.Settled)
	out := make([]GroupHomes, len(settled))
	for k, g := range settled {
		out[k].Group = g.Group
		for _, h := range g.Homes {
			if v.holdsShare(e, g.Group, h.Identity) {
				out[k].Homes = append(out[k].Homes, h)
			}
		}
	}
	return out
}

func (v *View) holdsShare(e *settings.Effective, g domain.Group, id vm.Identity) bool {
	for i := g.FirstLeaf; i < g.FirstLeaf+g.LeafCount; i++ {
		if slots, conns := v.Share(e.Path, e, i, id); slots > 0 && conns > 0 {
			return true
		}
	}
	return false
}

// membershipHomes returns the groups and homes under one membership alone.
func (v *View) membershipHomes(e *settings.Effective, m *vm.Membership) []GroupHomes {
	if m == nil || len(e.Leaves) == 0 {
		return nil
	}
	if v.cache == nil {
		return computeHomes(e, m)
	}
	return v.cache.homes(e, m)
}

func computeHomes(e *settings.Effective, m *vm.Membership) []GroupHomes {
	groups := domain.Groups(e.Path, e.Leaves, m)
	out := make([]GroupHomes, len(groups))
	for k, g := range groups {
		out[k] = GroupHomes{Group: g, Homes: domain.HomesInRegion(m, g.Key, g.Region, homeCount(e))}
	}
	return out
}

// homeCount returns the number of homes of a service. A home without a slot and a
// connection could send no request, so there are no more homes than slots or
// connections of a leaf.
func homeCount(e *settings.Effective) int {
	return max(1, min(e.Homes, e.LeafSlots, e.LeafConnections))
}

// serviceOf returns the service that declares the leaf address in a tree.
func (v *View) serviceOf(t *settings.Tree, addr string) (string, bool) {
	if v.cache == nil {
		service, ok := servicesByLeaf(t)[addr]
		return service, ok
	}
	services, ok := v.cache.serviceByLeaf.Load(t)
	if !ok {
		services, _ = v.cache.serviceByLeaf.LoadOrStore(t, servicesByLeaf(t))
	}
	service, ok := services.(map[string]string)[addr]
	return service, ok
}

func servicesByLeaf(t *settings.Tree) map[string]string {
	services := make(map[string]string)
	for _, service := range t.Services("") {
		e, _ := t.Effective(service)
		for i := range e.Leaves {
			services[e.Leaves[i].Addr] = service
		}
	}
	return services
}
