package scatter

import (
	"slices"
	"time"

	"pearmoor/internal/admit"
	"pearmoor/internal/settings"
)

// maxCostRatio bounds the cost of a free replica as a multiple of the cheapest one's
// expected wait and reply time. A slow replica is often free because it is slow.
const detourFactor = 2

// candidate is a replica with the load expected for an attempt there.
type choice struct {
	leaf  settings.Leaf
	index int
	load  admit.Load
}

func (c *choice) cost() time.Duration { return c.load.Wait + c.load.Service }

// rank appends the replicas that are not in tried to buf and sorts them: those that this
// daemon has slots at first, then by expected cost. offset rotates replicas of equal cost.
func (g *Group) rank(buf []choice, holders []settings.Leaf, tried uint64, turn int) []choice {
	for i := range holders {
		at := (i + turn) % len(holders)
		if tried&(1<<at) != 0 {
			continue
		}
		buf = append(buf, choice{leaf: holders[at], index: at, load: g.gates.Load(holders[at].Addr)})
	}
	slices.SortStableFunc(buf, compareChoices)
	return buf
}

// compareCandidates orders candidates as described at rank.
func compareChoices(a, b choice) int {
	if shareA, shareB := a.load.Slots > 0, b.load.Slots > 0; shareA != shareB {
		if shareA {
			return -1
		}
		return 1
	}
	return int(a.cost() - b.cost())
}
