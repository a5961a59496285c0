package policy

import (
	"time"

	"pearmoor/internal/vm"
)

const (
	// PartCost is the processor time of one part of a gather on a whole core:
	// sending, reading and merging it, with its share of everything else.
	PartCost = 150 * time.Microsecond
	// gatherShare is the part of a route's target latency that the processor time of
	// its gather may take on a VM that callers are sent to. The rest is for the way
	// to the caller and the leaves' own work.
	gatherShare = 0.5
	// fewEligible is how many daemons must be fit for the widest gathers to leave the
	// others out: the loss of one must not leave all callers to the next.
	fewEligible = 3
)

// Millicores returns the processor that gathers over so many shards, wanted within
// aim, ask of a VM, in thousandths of a core.
//
// A gather over 90 shards takes 14 ms of a whole core and 70 ms on a fifth of one,
// longer than some callers want to wait for the whole answer, however little the
// VM has to do besides.
func Millicores(shards int, aim time.Duration) uint32 {
	if aim <= 0 {
		return 0
	}
	return uint32(1000 * float64(PartCost*time.Duration(shards)) / (gatherShare * float64(aim)))
}

// Eligible returns the daemons that callers are sent to: those with the processor that
// the widest gathers need, or where too few have it, those that come closest; all where
// even those are too few.
func Eligible(all []*vm.Member, need uint32) []*vm.Member {
	largest := uint32(0)
	for _, m := range all {
		largest = max(largest, m.Millicores)
	}
	for _, least := range []uint32{need, largest - largest/10} {
		var fit []*vm.Member
		for _, m := range all {
			if m.Millicores == 0 || m.Millicores >= least {
				fit = append(fit, m)
			}
		}
		if len(fit) >= fewEligible {
			return fit
		}
	}
	return all
}
