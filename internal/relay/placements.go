package relay

import (
	"sync"

	"pearmoor/internal/domain"
	"pearmoor/internal/settings"
	"pearmoor/internal/vm"
)

// placements caches what rendezvous hashing gives for the services asked for. The
// views of one tree and memberships share one.
//
// Every member counts in the choice of every home. Were all homes chosen anew
// with each epoch and each change of the tree, a daemon of a large tier would
// spend more on that than on all else that control costs it. So a new placements
// takes over what the old one knows of services whose settings are the same, and
// under a new epoch chooses anew only where the members that differ matter.
type placements struct {
	byEpoch sync.Map // epochKey -> []Placed: homes by one membership alone
	usable  sync.Map // *settings.Effective -> []Placed: homes that hold a share
	owners  sync.Map // *settings.Tree -> map[string]string: leaf address to service
	base    *vm.Membership
	changes sync.Map // epoch -> []domain.Change: from base to that epoch
}

// epochKey keeps the trees of different versions apart by their Effective, which
// is one pointer per node and tree.
type epochKey struct {
	effective *settings.Effective
	epoch     uint64
}

// follow returns the placements of next, which replaces v.
func (p *placements) follow(v, next *View) *placements {
	out := &placements{base: v.Members()}
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

func (p *placements) placed(e *settings.Effective, m *vm.Membership) []Placed {
	key := epochKey{effective: e, epoch: m.Epoch}
	if got, ok := p.byEpoch.Load(key); ok {
		return got.([]Placed)
	}
	got := p.derive(e, m)
	p.byEpoch.Store(key, got)
	return got
}

// derive works out the homes under m from those under the base.
func (p *placements) derive(e *settings.Effective, m *vm.Membership) []Placed {
	if p.base == nil {
		return place(e, m)
	}
	value, ok := p.byEpoch.Load(epochKey{effective: e, epoch: p.base.Epoch})
	if !ok {
		return place(e, m)
	}
	old := value.([]Placed)
	changes := p.changesTo(m)
	groups := domain.Groups(e.Path, e.Leaves, m)
	out := make([]Placed, len(groups))
	for k, g := range groups {
		out[k] = Placed{Group: g}
		if old[k].Group == g && domain.Unmoved(old[k].Homes, g.Key, g.Region, homeCount(e), changes) {
			out[k].Homes = old[k].Homes
			continue
		}
		out[k].Homes = domain.HomesIn(m, g.Key, g.Region, homeCount(e))
	}
	return out
}

func (p *placements) changesTo(m *vm.Membership) []domain.Change {
	if got, ok := p.changes.Load(m.Epoch); ok {
		return got.([]domain.Change)
	}
	got := domain.Changes(p.base, m)
	p.changes.Store(m.Epoch, got)
	return got
}
