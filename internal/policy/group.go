package policy

import "time"

// settleFraction is the fraction of the time in which operators expect an acknowledgement for
// which a control group must not have changed before it accepts changes with too few voters.
// Growing to its size and this wait together must fit in that time.
const settleFraction = 0.4

// GroupGrowth decides when a control group is large enough to accept changes. Few VMs found a
// group and the others join it, but a change that is acknowledged before they have joined is
// on too few disks to survive the losses that the tier must bear.
type GroupGrowth struct {
	// MinVoters is the number of voters from which changes survive: 2n+1 if n disks may be
	// lost at the same time. 0 accepts changes from the start.
	MinVoters int
	// SettleTime is how long the group's members must not have changed before changes are
	// accepted with fewer voters. A tier may have fewer disks than MinVoters, or some of its
	// VMs may be down.
	SettleTime time.Duration
}

// NewGroupGrowth returns the GroupGrowth of a tier that may lose maxLostDisks disks at the same
// time and whose operators expect an acknowledgement within ackTime.
func NewGroupGrowth(maxLostDisks int, ackTime time.Duration) GroupGrowth {
	return GroupGrowth{MinVoters: 2*maxLostDisks + 1, SettleTime: time.Duration(settleFraction * float64(ackTime))}
}

// Accepts reports whether a group accepts changes. voters is the number of VMs that vote, and
// unchanged how long ago the group's members last changed.
func (g GroupGrowth) Accepts(voters int, unchanged time.Duration) bool {
	return voters >= g.MinVoters || unchanged >= g.SettleTime
}
