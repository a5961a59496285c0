package policy

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

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
	// The fit daemons are a small part of a tier if they are less than one in smallPart.
	// Then othersPerFit for each are named beside them: of callers that try two addresses
	// a tenth at most have two fit ones.
	smallPart    = 10
	othersPerFit = 2
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

// Fit returns the daemons with the processor that the widest gathers need, or where too few
// have it, those that come closest; all where even those are too few.
func Fit(all []*vm.Member, need uint32) []*vm.Member {
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

// Eligible returns the daemons that callers are sent to: the fit ones, and where these are
// a small part of the tier others beside them, which hand gathers over to the fit ones. A
// caller that knows of the fit ones only reaches nobody while they are lost together.
func Eligible(all []*vm.Member, need uint32) []*vm.Member {
	fit := Fit(all, need)
	if len(fit)*smallPart >= len(all) {
		return fit
	}
	return slices.Concat(fit, spread(Without(all, fit), othersPerFit*len(fit)))
}

// spread returns n of the members, as evenly over the failure domains as can be, and as far
// as possible the same when others come or go.
func spread(ms []*vm.Member, n int) []*vm.Member {
	type ranked struct {
		member *vm.Member
		hash   uint64
	}
	domains := make(map[string][]ranked)
	for _, m := range ms {
		domains[m.Domain] = append(domains[m.Domain], ranked{m, xxhash.Sum64String(m.Name)})
	}
	names := slices.Sorted(maps.Keys(domains))
	for _, name := range names {
		slices.SortFunc(domains[name], func(a, b ranked) int { return cmp.Compare(a.hash, b.hash) })
	}
	var out []*vm.Member
	for rank := 0; len(out) < min(n, len(ms)); rank++ {
		for _, name := range names {
			if list := domains[name]; rank < len(list) && len(out) < n {
				out = append(out, list[rank].member)
			}
		}
	}
	return out
}

// Without returns the members that are not among some, which has the same order.
func Without(all, some []*vm.Member) []*vm.Member {
	return slices.DeleteFunc(slices.Clone(all), func(m *vm.Member) bool {
		found := len(some) > 0 && some[0] == m
		if found {
			some = some[1:]
		}
		return found
	})
}
