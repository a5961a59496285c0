package domain

import (
	"strconv"

	"pearmoor/internal/settings"
	"pearmoor/internal/vm"
)

// GroupSize is the number of leaves that share one set of homes. A query of one service
// costs one message per group; the connections and probes of a daemon grow with GroupSize
// times the number of groups for which it is a home.
const GroupSize = 20

// Group is a contiguous range of a service's leaves that have the same homes.
type Group struct {
	Key       string // rendezvous key: the service, followed by #k if the service has several groups
	Region    string // region of most of its leaves; empty if unknown
	FirstLeaf int    // index of its first leaf in the service's list
	LeafCount int    // number of leaves
}

// Groups divides a service's leaves, which are sorted by name, into ranges of GroupSize
// leaves. The last group also contains the remainder, so a service with at least GroupSize
// leaves has between GroupSize and 2*GroupSize-1 in its last group. Replicas with adjacent
// names mostly stay in one group, and a leaf added at the end does not change other groups.
func Groups(service string, leaves []settings.Leaf, m *vm.Membership) []Group {
	n := max(1, len(leaves)/GroupSize)
	regions := regionsByDomain(m)
	groups := make([]Group, n)
	for k := range groups {
		g := Group{Key: service, FirstLeaf: k * GroupSize, LeafCount: GroupSize}
		if n > 1 {
			g.Key = service + "#" + strconv.Itoa(k)
		}
		if k == n-1 {
			g.LeafCount = len(leaves) - g.FirstLeaf
		}
		g.Region = majorityRegion(leaves[g.FirstLeaf:g.FirstLeaf+g.LeafCount], regions)
		groups[k] = g
	}
	return groups
}

// GroupIndex returns the index of the group that contains the leaf at leafIndex, in a
// service with the given number of leaves.
func GroupIndex(leafCount, leafIndex int) int {
	return min(leafIndex/GroupSize, max(1, leafCount/GroupSize)-1)
}

// regionsByDomain returns the region of each failure domain, as reported by its members.
func regionsByDomain(m *vm.Membership) map[string]string {
	regions := make(map[string]string)
	if m == nil {
		return regions
	}
	for i := range m.Members {
		regions[m.Members[i].Domain] = m.Members[i].Region
	}
	return regions
}

// majorityRegion returns the region with the most leaves. If several have the most, it
// returns the one that reaches that number first in the order of leaves. Leaves in failure
// domains without members are not counted.
func majorityRegion(leaves []settings.Leaf, regions map[string]string) string {
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
