package quorum

import "testing"

// BenchmarkCommit measures the CPU time of three machines for proposing, replicating
// and committing a command of 300 bytes, including message encoding and decoding.
func BenchmarkCommit(b *testing.B) {
	c := newCluster(b, 7, 3)
	l := c.waitForLeader()
	for _, h := range c.runningHosts() {
		h.m.cfg.MaxAppendBytes = 256 << 10
	}
	data := make([]byte, 300)
	b.ResetTimer()
	for i := range b.N {
		index, _, err := l.m.Propose(data)
		if err != nil {
			b.Fatal(err)
		}
		for c.newestCommitted < index {
			c.processAllReady(l)
			c.deliver()
		}
		if i%1000 == 999 {
			for _, h := range c.runningHosts() {
				c.compact(h, 10)
			}
		}
	}
}
