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
	// PartCost is the CPU time of one part of a gather on a full core: sending the request,
	// reading and merging the reply, and its share of all other work.
	PartCost = 150 * time.Microsecond
	// gatherCPUShare is the part of a route's target latency that the CPU time of a gather
	// may take on a VM that receives callers. The rest is for the network between the daemon
	// and the caller and for the leaves' own work.
	gatherCPUShare = 0.5
	// minSufficient is how many daemons must have enough CPU before the others are left out.
	// With fewer, the loss of one could direct all callers to a single other daemon.
	minSufficient = 3
	// Daemons with enough CPU are scarce when they are fewer than one in scarcityDivisor.
	// Then extraPerSufficient other daemons are listed for each of them, so that at most a
	// tenth of the callers that try two addresses get two of the scarce daemons.
	scarcityDivisor    = 10
	extraPerSufficient = 2
)

// RequiredMillicores returns the CPU, in thousandths of a core, that a VM needs for gathers
// over the given number of shards within targetLatency. It returns 0 if there is no target
// latency.
//
// A gather over 90 shards takes 14 ms on a full core and 70 ms on a fifth of a core. The
// latter exceeds the time that some callers wait for the whole answer, even if the VM is
// otherwise idle.
func RequiredMillicores(shards int, targetLatency time.Duration) uint32 {
	if targetLatency <= 0 {
		return 0
	}
	return uint32(1000 * float64(PartCost*time.Duration(shards)) / (gatherCPUShare * float64(targetLatency)))
}

// SufficientCPU returns the daemons with the CPU that the widest gathers need. If there are
// too few, it returns those within a tenth of the largest; if these are too few as well, it
// returns all. Daemons of unknown CPU count as sufficient.
func SufficientCPU(all []*vm.Member, required uint32) []*vm.Member {
	largest := uint32(0)
	for _, m := range all {
		largest = max(largest, m.Millicores)
	}
	for _, minimum := range []uint32{required, largest - largest/10} {
		var sufficient []*vm.Member
		for _, m := range all {
			if m.Millicores == 0 || m.Millicores >= minimum {
				sufficient = append(sufficient, m)
			}
		}
		if len(sufficient) >= minSufficient {
			return sufficient
		}
	}
	return all
}

// Eligible returns the daemons that callers are directed to: those with sufficient CPU and,
// where these are scarce, some others that hand gathers over to them. A caller that knows
// only the scarce daemons could reach none while they are down together.
func Eligible(all []*vm.Member, required uint32) []*vm.Member {
	sufficient := SufficientCPU(all, required)
	if len(sufficient)*scarcityDivisor >= len(all) {
		return sufficient
	}
	return slices.Concat(sufficient, spread(Without(all, sufficient), extraPerSufficient*len(sufficient)))
}

// spread returns n of the members, distributed as evenly as possible over the failure
// domains. Members are ordered by a hash of their names, so that the selection changes
// little when members join or leave.
func spread(members []*vm.Member, n int) []*vm.Member {
	type ranked struct {
		member *vm.Member
		hash   uint64
	}
	domains := make(map[string][]ranked)
	for _, m := range members {
		domains[m.Domain] = append(domains[m.Domain], ranked{m, xxhash.Sum64String(m.Name)})
	}
	names := slices.Sorted(maps.Keys(domains))
	for _, name := range names {
		slices.SortFunc(domains[name], func(a, b ranked) int { return cmp.Compare(a.hash, b.hash) })
	}
	var out []*vm.Member
	for rank := 0; len(out) < min(n, len(members)); rank++ {
		for _, name := range names {
			if list := domains[name]; rank < len(list) && len(out) < n {
				out = append(out, list[rank].member)
			}
		}
	}
	return out
}

// Without returns the members of all that are not in some. Both must have the same order.
func Without(all, some []*vm.Member) []*vm.Member {
	return slices.DeleteFunc(slices.Clone(all), func(m *vm.Member) bool {
		found := len(some) > 0 && some[0] == m
		if found {
			some = some[1:]
		}
		return found
	})
}
