package state

import (
	"pearmoor/internal/link/wire"
	"pearmoor/internal/vm"
)

// applyEpoch makes a pending epoch, unless one is under way or the proposer saw
// another settled one.
func (s *State) applyEpoch(c *wire.EpochCommand) bool {
	if s.pending != nil || c.BaseSettled != s.settled.Epoch {
		return false
	}
	delta := &wire.MembershipDelta{
		FromEpoch: s.settled.Epoch, ToEpoch: s.lastEpoch + 1, Upserts: c.Upserts, Removes: c.Removes,
	}
	pending, err := vm.Apply(s.settled, delta)
	if err != nil {
		return false // the delta was made from the settled epoch just now
	}
	s.lastEpoch, s.pending = delta.ToEpoch, pending
	return true
}

// applySettle puts the pending epoch's shares into use.
func (s *State) applySettle(epoch uint64) bool {
	if s.pending == nil || s.pending.Epoch != epoch {
		return false
	}
	s.settled, s.pending = s.pending, nil
	return true
}
