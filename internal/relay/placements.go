package relay

import (
	"sync"

	"pearmoor/internal/domain"
	"pearmoor/internal/settings"
	"pearmoor/internal/vm"
)

// placementCache caches the results of rendezvous hashing for the services asked for.
// The views with the same tree and memberships share one cache.
//
// The choice of every home depends on every member. Recomputing all homes with each
// epoch and each change of the tree would cost a daemon of a large tier more than
// everything else it does for control. A new cache therefore keeps the entries of
// services whose settings are unchanged, and under a new epoch it recomputes only the
// groups that the changed members affect.
type placementCache struct {
	byEpoch       sync.Map // epochKey -> []GroupHomes: homes under one membership alone
	shareHolders  sync.Map // *settings.Effective -> []GroupHomes: homes that have a share
	serviceByLeaf sync.Map // *settings.Tree -> map[string]string: service by leaf address
	base          *vm.Membership
	changes       sync.Map // epoch -> []domain.MemberChange: from base to that epoch
}

// epochKey identifies a service's settings and an epoch. Each tree has its own
// Effective for a node, so the keys of different versions differ.
type epochKey struct {
	effective *settings.Effective
	epoch     uint64
}

// successor returns the cache for next, which replaces v.
func (p *placementCache) successor(v, next *View) *placementCache {
	out := &placementCache{base: v.Membership()}
	if p == nil || out.base == nil {
		return out
	}
	p.byEpoch.Range(func(key, value any) bool {
		k := key.(epochKey)
		if k.epoch != out.base.Epoch && k.epoch != epochOf(next.Settled) {
			return true
		}
		if e, ok := next.Tree.Effective(k.effective.Path); ok && e == k.effective {
			out.byEpoch.Store(k, value)
		}
		return true
	})
	return out
}

func (p *placementCache) homes(e *settings.Effective, m *vm.Membership) []GroupHomes {
	key := epochKey{effective: e, epoch: m.Epoch}
	if homes, ok := p.byEpoch.Load(key); ok {
		return homes.([]GroupHomes)
	}
	homes := p.deriveHomes(e, m)
	p.byEpoch.Store(key, homes)
	return homes
}

// deriveHomes computes the homes under m from those under the base membership.
func (p *placementCache) deriveHomes(e *settings.Effective, m *vm.Membership) []GroupHomes {
	if p.base == nil {
		return computeHomes(e, m)
	}
	value, ok := p.byEpoch.Load(epochKey{effective: e, epoch: p.base.Epoch})
	if !ok {
		return computeHomes(e, m)
	}
	old := value.([]GroupHomes)
	changes := p.changesTo(m)
	groups := domain.Groups(e.Path, e.Leaves, m)
	out := make([]GroupHomes, len(groups))
	for k, g := range groups {
		out[k] = GroupHomes{Group: g}
		if old[k].Group == g && domain.HomesUnchanged(old[k].Homes, g.Key, g.Region, homeCount(e), changes) {
			out[k].Homes = old[k].Homes
			continue
		}
		out[k].Homes = domain.HomesInRegion(m, g.Key, g.Region, homeCount(e))
	}
	return out
}

func (p *placementCache) changesTo(m *vm.Membership) []domain.MemberChange {
	if changes, ok := p.changes.Load(m.Epoch); ok {
		return changes.([]domain.MemberChange)
	}
	changes := domain.MemberChanges(p.base, m)
	p.changes.Store(m.Epoch, changes)
	return changes
}
