package relay

import (
	"github.com/cespare/xxhash/v2"

	"pearmoor/internal/domain"
	"pearmoor/internal/settings"
	"pearmoor/internal/vm"
)

// share is the part of one leaf's slots and connections that a daemon may use.
type share struct{ slots, conns int }

func (s share) min(other share) share {
	return share{slots: min(s.slots, other.slots), conns: min(s.conns, other.conns)}
}

// Share returns how many slots and connections of the leaf at leafIndex of a service
// the daemon self may use under this view.
//
// Daemons learn of a new membership or configuration at different times. If each used
// its newest share immediately, the shares of a leaf could add up to more than its
// slots until the last daemon had caught up, and the leaf would be overloaded. A
// daemon therefore uses the smallest of its shares over every membership and
// configuration that any daemon may still use. These include the settled epoch and the
// version in force everywhere on every daemon with a lease, so the sum over all
// daemons stays within the limits of that version.
func (v *View) Share(_ string, e *settings.Effective, leafIndex int, self vm.Identity) (slots, conns int) {
	if v.Settled == nil || leafIndex < 0 || leafIndex >= len(e.Leaves) || !v.knowsOlderVersions() {
		return 0, 0
	}
	smallest := v.configShare(e, leafIndex, self)
	for i := len(v.OlderVersions) - 1; i >= 0 && smallest != (share{}); i-- {
		if older, index, ok := v.locateLeaf(v.OlderVersions[i].Tree, e, leafIndex); ok {
			smallest = smallest.min(v.configShare(older, index, self))
		}
	}
	return smallest.slots, smallest.conns
}

// locateLeaf returns where the older tree t declares the leaf at leafIndex of e. A
// leaf that t does not declare is not used by any daemon on that tree.
func (v *View) locateLeaf(t *settings.Tree, e *settings.Effective, leafIndex int) (*settings.Effective, int, bool) {
	addr := e.Leaves[leafIndex].Addr
	older, ok := t.Effective(e.Path)
	if ok && older == e {
		return e, leafIndex, true
	}
	if ok {
		if i, found := leafIndexOf(older.Leaves, addr); found {
			return older, i, true
		}
	}
	service, ok := v.serviceOf(t, addr)
	if !ok {
		return nil, 0, false
	}
	older, _ = t.Effective(service)
	i, found := leafIndexOf(older.Leaves, addr)
	return older, i, found
}

func leafIndexOf(leaves []settings.Leaf, addr string) (int, bool) {
	for i := range leaves {
		if leaves[i].Addr == addr {
			return i, true
		}
	}
	return 0, false
}

// configShare returns the daemon's share under one configuration.
func (v *View) configShare(e *settings.Effective, leafIndex int, self vm.Identity) share {
	smallest := v.membershipShare(e, leafIndex, self, v.Settled)
	if v.Pending != nil && smallest != (share{}) {
		smallest = smallest.min(v.membershipShare(e, leafIndex, self, v.Pending))
	}
	return smallest
}

func (v *View) membershipShare(e *settings.Effective, leafIndex int, self vm.Identity, m *vm.Membership) share {
	groups := v.membershipHomes(e, m)
	homes := groups[domain.GroupIndex(len(e.Leaves), leafIndex)].Homes
	for i := range homes {
		if homes[i].SameIncarnation(self) {
			offset := remainderOffset(e.Leaves[leafIndex].Name)
			return share{
				slots: domain.Share(e.LeafSlots, len(homes), i, offset),
				conns: domain.Share(e.LeafConnections, len(homes), i, offset),
			}
		}
	}
	return share{}
}

// remainderOffset determines which homes get the remainder of a leaf's slots. It is a
// hash of the leaf's name instead of its position in the list, as a leaf inserted
// before it would move the remainder to another home.
func remainderOffset(leaf string) int { return int(xxhash.Sum64String(leaf) >> 33) }
