package domain

import (
	"strconv"

	"pearmoor/internal/settings"
	"pearmoor/internal/vm"
)

// GroupSize is the number of leaves that share one set of homes. A query of one
// service costs one message per group, and a daemon's connections and probes
// grow with GroupSize times the groups it is home of.
const GroupSize = 20

// Group is a run of a service's leaves that has its own homes.
type Group struct {
	Key    string // rendezvous key: the service, with #k when it has several groups
	Region string // region most of its leaves are in; empty when unknown
	First  int    // index of its first leaf in the service's list
	Leaves int    // number of leaves
}

// Groups splits a service's leaves, in the order of the tree (by name), into runs
// of GroupSize; what is left over goes into the last run, so that it has between
// GroupSize and 2*GroupSize-1 leaves. Replicas with neighbouring names stay
// together, and a leaf added at the end moves no other group.
func Groups(service string, leaves []settings.Leaf, m *vm.Membership) []Group {
	n := max(1, len(leaves)/GroupSize)
	regions := regionsOf(m)
	groups := make([]Group, n)
	for k := range groups {
		g := Group{Key: service, First: k * GroupSize, Leaves: GroupSize}
		if n > 1 {
			g.Key = service + "#" + strconv.Itoa(k)
		}
		if k == n-1 {
			g.Leaves = len(leaves) - g.First
		}
		g.Region = mostCommon(leaves[g.First:g.First+g.Leaves], regions)
		groups[k] = g
	}
	return groups
}

// GroupIndex returns the index of the group that holds the leaf at leafIndex of a
// service with that many leaves.
func GroupIndex(leaves, leafIndex int) int {
	return min(leafIndex/GroupSize, max(1, leaves/GroupSize)-1)
}

// regionsOf returns the region of each failure domain, as its members state it.
func regionsOf(m *vm.Membership) map[string]string {
	regions := make(map[string]string)
	if m == nil {
		return regions
	}
	for i := range m.Members {
		regions[m.Members[i].Domain] = m.Members[i].Region
	}
	return regions
}

// mostCommon returns the region of most of the leaves, the first to reach that
// number; a leaf in a failure domain without members counts for none.
func mostCommon(leaves []settings.Leaf, regions map[string]string) string {
	count := make(map[string]int)
	best := ""
	for _, l := range leaves {
		r, ok := regions[l.Domain]
		if !ok {
			continue
		}
		count[r]++
		if best == "" || count[r] > count[best] {
			best = r
		}
	}
	return best
}
