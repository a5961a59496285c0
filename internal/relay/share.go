package relay

import (
	"math"

	"pearmoor/internal/domain"
	"pearmoor/internal/settings"
	"pearmoor/internal/vm"
)

// share is a daemon's part of one leaf.
type share struct{ slots, conns int }

func (s share) min(o share) share {
	return share{slots: min(s.slots, o.slots), conns: min(s.conns, o.conns)}
}

// Share returns how many slots and connections of the leaf at leafIndex of a
// service the daemon self may use under this view.
//
// Daemons learn a new membership or configuration at different moments. If each
// used its newest share at once, the shares of a leaf could sum to more than its
// slots until the last daemon had followed, and the leaf would be overloaded. A
// daemon therefore uses the least of its shares over every membership and
// configuration that some daemon may still go by: whichever of these another
// daemon uses, the sum over all daemons stays within that one's total.
func (v *View) Share(service string, e *settings.Effective, leafIndex int, self vm.Identity) (slots, conns int) {
	if v.Settled == nil || leafIndex < 0 || leafIndex >= len(e.Leaves) || !v.knowsOlder() {
		return 0, 0
	}
	least := v.shareUnder(service, e, leafIndex, self)
	for i := len(v.Older) - 1; i >= 0 && least != (share{}); i-- {
		older, ok := v.Older[i].Tree.Effective(service)
		if ok && older != e {
			least = least.min(v.olderShare(older, service, e.Leaves[leafIndex], self))
		}
	}
	return least.slots, least.conns
}

// shareUnder is the daemon's share under one configuration.
func (v *View) shareUnder(service string, e *settings.Effective, leafIndex int, self vm.Identity) share {
	least := v.epochShare(service, e, leafIndex, self, v.Settled)
	if v.Pending != nil && least != (share{}) {
		least = least.min(v.epochShare(service, e, leafIndex, self, v.Pending))
	}
	return least
}

func (v *View) epochShare(service string, e *settings.Effective, leafIndex int, self vm.Identity, m *vm.Membership) share {
	groups := v.placed(service, e, m)
	homes := groups[domain.GroupIndex(len(e.Leaves), leafIndex)].Homes
	for i := range homes {
		if homes[i].Same(self) {
			return share{
				slots: domain.Share(e.LeafSlots, len(homes), i, leafIndex),
				conns: domain.Share(e.LeafConnections, len(homes), i, leafIndex),
			}
		}
	}
	return share{}
}

// olderShare is the daemon's share of a leaf under an older configuration. A
// leaf that was not declared then is not used by anyone who goes by that one.
func (v *View) olderShare(older *settings.Effective, service string, leaf settings.Leaf, self vm.Identity) share {
	for i := range older.Leaves {
		if older.Leaves[i].Addr == leaf.Addr {
			return v.shareUnder(service, older, i, self)
		}
	}
	return share{slots: math.MaxInt, conns: math.MaxInt}
}
