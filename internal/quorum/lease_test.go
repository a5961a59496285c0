package quorum

import (
	"testing"

	"pgregory.net/rapid"
)

// A partitioned leader continues to grant leases to daemons while its QuorumActive holds.
// No other member may be elected during that time, although clock rates differ by up to
// 10%, messages are delayed, links fail in one direction, VMs restart and leadership is
// transferred.
func TestNoElectionDuringLeaderLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 5).Draw(t, "voters")
		c := newCluster(t, rapid.Uint64().Draw(t, "seed"), n)
		c.mustLead()
		c.delay = rapid.SampledFrom([]float64{0.3, 0.9}).Draw(t, "delay")
		const stepsPerTick = 10
		clock := map[uint64]float64{}
		rate := map[uint64]float64{}
		for _, h := range c.up() {
			rate[h.disk] = (0.95 + 0.1*c.rng.Float64()) / stepsPerTick
		}
		for range 60 * stepsPerTick {
			c.disturb()
			for _, h := range c.up() {
				for clock[h.disk] += rate[h.disk]; clock[h.disk] >= 1; clock[h.disk]-- {
					h.m.Tick()
					c.pump(h)
				}
			}
			c.deliver()
			c.checkLease()
		}
	})
}

func (c *cluster) disturb() {
	hs := c.up()
	h, o := hs[c.rng.IntN(len(hs))], hs[c.rng.IntN(len(hs))]
	switch c.rng.IntN(400) {
	case 0, 1, 2:
		c.cut[[2]uint64{h.disk, o.disk}] = true
	case 3, 4:
		clear(c.cut)
	case 5:
		c.crash(h, c.rng.IntN(4))
		c.start(h)
	case 6:
		if l := c.leader(); l != nil {
			_ = l.m.Transfer(0)
			c.pump(l)
		}
	}
}

func (c *cluster) checkLease() {
	l := c.leader()
	if l == nil {
		return
	}
	for _, h := range c.up() {
		if h.m.hard.Term < l.m.hard.Term && h.m.QuorumActive() {
			c.t.Fatalf("member %d leads term %d while QuorumActive of member %d holds in term %d: %s",
				l.id, l.m.hard.Term, h.id, h.m.hard.Term, c)
		}
	}
}
