package state

import (
	"pearmoor/internal/link/wire"
	"pearmoor/internal/vm"
)

// applyEpoch creates a pending membership, unless one is already pending or the
// proposer based it on another settled epoch.
func (s *State) applyEpoch(c *wire.EpochCommand) bool {
	if s.pending != nil || c.BaseSettled != s.settled.Epoch {
		return false
	}
	delta := &wire.MembershipDelta{
		FromEpoch: s.settled.Epoch, ToEpoch: s.lastEpoch + 1, Upserts: c.Upserts, Removes: c.Removes,
	}
	pending, err := vm.ApplyDelta(s.settled, delta)
	if err != nil {
		return false // unreachable: the delta starts at the settled epoch
	}
	s.lastEpoch, s.pending = delta.ToEpoch, pending
	return true
}

// applySettle makes the pending membership the settled one.
func (s *State) applySettle(epoch uint64) bool {
	if s.pending == nil || s.pending.Epoch != epoch {
		return false
	}
	s.settled, s.pending = s.pending, nil
	return true
}
