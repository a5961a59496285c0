package scatter

import (
	"slices"
	"time"

	"pearmoor/internal/admit"
	"pearmoor/internal/settings"
)

// maxCostRatio bounds the cost of a free replica as a multiple of the cheapest one's
// expected wait and reply time. A slow replica is often free because it is slow.
const maxCostRatio = 2

// candidate is a replica with the load expected for an attempt there.
type candidate struct {
	leaf  settings.Leaf
	index int
	load  admit.Load
}

func (c *candidate) cost() time.Duration { return c.load.ExpectedWait + c.load.ServiceTime }

// rank appends the replicas that are not in tried to buf and sorts them: those that this
// daemon has slots at first, then by expected cost. offset rotates replicas of equal cost.
func (g *Group) rank(buf []candidate, replicas []settings.Leaf, tried uint64, offset int) []candidate {
	for i := range replicas {
		at := (i + offset) % len(replicas)
		if tried&(1<<at) != 0 {
			continue
		}
		buf = append(buf, candidate{leaf: replicas[at], index: at, load: g.gates.Load(replicas[at].Addr)})
	}
	slices.SortStableFunc(buf, compareCandidates)
	return buf
}

// compareCandidates orders candidates as described at rank.
func compareCandidates(a, b candidate) int {
	if shareA, shareB := a.load.Slots > 0, b.load.Slots > 0; shareA != shareB {
		if shareA {
			return -1
		}
		return 1
	}
	return int(a.cost() - b.cost())
}
