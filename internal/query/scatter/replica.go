package scatter

import (
	"slices"
	"time"

	"pearmoor/internal/admit"
	"pearmoor/internal/settings"
)

// detourFactor bounds what a free replica may cost, as a multiple of the best
// one's expected wait and reply: a slow replica is free because it is slow.
const detourFactor = 2

// choice is one replica with what an attempt there is expected to cost.
type choice struct {
	leaf  settings.Leaf
	index int
	load  admit.Load
}

func (c *choice) cost() time.Duration { return c.load.Wait + c.load.Service }

// rank orders the replicas not in tried: those this daemon has a share of first,
// then by expected cost. Equal ones take turns.
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

func compareChoices(a, b choice) int {
	if shareA, shareB := a.load.Slots > 0, b.load.Slots > 0; shareA != shareB {
		if shareA {
			return -1
		}
		return 1
	}
	return int(a.cost() - b.cost())
}
