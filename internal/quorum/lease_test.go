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
		c.waitForLeader()
		c.delayRate = rapid.SampledFrom([]float64{0.3, 0.9}).Draw(t, "delay")
		const stepsPerTick = 10
		clock := map[uint64]float64{}
		rate := map[uint64]float64{}
		for _, h := range c.runningHosts() {
			rate[h.disk] = (0.95 + 0.1*c.rng.Float64()) / stepsPerTick
		}
		for range 60 * stepsPerTick {
			c.injectFault()
			for _, h := range c.runningHosts() {
				for clock[h.disk] += rate[h.disk]; clock[h.disk] >= 1; clock[h.disk]-- {
					h.m.Tick()
					c.processAllReady(h)
				}
			}
			c.deliver()
			c.checkLease()
		}
	})
}

func (c *cluster) injectFault() {
	hs := c.runningHosts()
	h, o := hs[c.rng.IntN(len(hs))], hs[c.rng.IntN(len(hs))]
	switch c.rng.IntN(400) {
	case 0, 1, 2:
		c.blockedLinks[[2]uint64{h.disk, o.disk}] = true
	case 3, 4:
		clear(c.blockedLinks)
	case 5:
		c.crash(h, c.rng.IntN(4))
		c.start(h)
	case 6:
		if l := c.leader(); l != nil {
			_ = l.m.TransferLeadership(0)
			c.processAllReady(l)
		}
	}
}

func (c *cluster) checkLease() {
	l := c.leader()
	if l == nil {
		return
	}
	for _, h := range c.runningHosts() {
		if h.m.hardState.Term < l.m.hardState.Term && h.m.QuorumActive() {
			c.t.Fatalf("member %d leads term %d while QuorumActive of member %d holds in term %d: %s",
				l.id, l.m.hardState.Term, h.id, h.m.hardState.Term, c)
		}
	}
}
