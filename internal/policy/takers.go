package policy

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"pearmoor/internal/vm"
)

const (
	// PartCost is the processor time of one part of a gather on a whole core:
	// sending, reading and merging it, with its share of everything else. Measured
	// as processor time over arrivals at leaves on quiet days: 130 to 230 µs.
	PartCost = 150 * time.Microsecond
	// gatherShare is the part of a route's target latency that the processor time of
	// its gather may take on a VM that callers are sent to. The rest is for the way
	// to the caller and the leaves' own work.
	gatherShare = 0.5
	// fewTakers is how many daemons must be fit for the widest gathers to leave the
	// others out: the loss of one must not leave all callers to the next.
	fewTakers = 3
	// takerShare is the part of a failure domain's daemons that takes callers at least,
	// however few of them are fit for the widest gathers.
	takerShare = 0.1
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

// Takers returns the daemons that callers are sent to: those with the processor that
// the widest gathers need, or where too few have it, those that come closest; all where
// even those are too few. Of each failure domain others join them up to takerShare.
//
// The fit ones may be few and alike, as the VMs with disks are, and be lost together: callers
// who know of nobody else then wait for a connection until their time is over. The
// others are slower, and still in time for most gathers.
func Takers(all []*vm.Member, need uint32) []*vm.Member {
	largest := uint32(0)
	for _, m := range all {
		largest = max(largest, m.Millicores)
	}
	for _, least := range []uint32{need, largest - largest/10} {
		var fit, others []*vm.Member
		for _, m := range all {
			if m.Millicores == 0 || m.Millicores >= least {
				fit = append(fit, m)
			} else {
				others = append(others, m)
			}
		}
		if len(fit) >= fewTakers {
			return fillDomains(fit, others)
		}
	}
	return all
}

// fillDomains adds to fit, of each failure domain, as many of others as takerShare asks
// for. Every daemon adds the same ones, and keeps them while they are there.
func fillDomains(fit, others []*vm.Member) []*vm.Member {
	members, chosen := make(map[string]int), make(map[string]int)
	for _, m := range fit {
		members[m.Domain]++
		chosen[m.Domain]++
	}
	for _, m := range others {
		members[m.Domain]++
	}
	slices.SortFunc(others, func(a, b *vm.Member) int {
		return cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name))
	})
	for _, m := range others {
		if float64(chosen[m.Domain]) < takerShare*float64(members[m.Domain]) {
			chosen[m.Domain]++
			fit = append(fit, m)
		}
	}
	return fit
}

// wholeCore is what a daemon has that does not say: nothing holds it back.
const wholeCore = 1000

// CallCost compares daemons that may be asked for parts: how long a call takes at one of
// that many millicores that has so many calls under way.
func CallCost(underWay int, millicores uint32) float64 {
	if millicores == 0 {
		millicores = wholeCore
	}
	return float64(underWay+1) / float64(millicores)
}
