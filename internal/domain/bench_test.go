package domain

import (
	"fmt"
	"slices"
	"testing"

	"pearmoor/internal/settings"
)

// BenchmarkHomesOfAllServices measures the time to choose the homes of all services. It
// also reports how evenly leaves are distributed: the mean, maximum, 99th percentile and
// minimum number of leaves per daemon.
func BenchmarkHomesOfAllServices(b *testing.B) {
	for _, size := range []struct{ daemons, domains, services, leaves int }{
		{12, 3, 52, 2},
		{3600, 17, 49, 470},
	} {
		b.Run(fmt.Sprintf("daemons=%d/services=%d/leaves=%d", size.daemons, size.services, size.leaves), func(b *testing.B) {
			m := newMembership(size.daemons, size.domains)
			leaves := make([]settings.Leaf, size.leaves)
			leavesPerDaemon := make(map[string]int)
			for b.Loop() {
				clear(leavesPerDaemon)
				for s := range size.services {
					for _, g := range Groups(fmt.Sprintf("/desk/s%d", s), leaves, m) {
						for _, h := range Homes(m, g.Key, 2) {
							leavesPerDaemon[h.Name] += g.LeafCount
						}
					}
				}
			}
			var counts []int
			for _, member := range m.Members {
				counts = append(counts, leavesPerDaemon[member.Name])
			}
			slices.Sort(counts)
			mean := 2 * float64(size.services*size.leaves) / float64(size.daemons)
			b.ReportMetric(mean, "leaves/daemon")
			b.ReportMetric(float64(counts[len(counts)-1]), "most")
			b.ReportMetric(float64(counts[len(counts)*99/100]), "p99")
			b.ReportMetric(float64(counts[0]), "fewest")
		})
	}
}
