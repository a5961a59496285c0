package directory

import (
	"fmt"
	"testing"
	"time"

	"pearmoor/internal/relay"
	"pearmoor/internal/settings"
	"pearmoor/internal/vm"
)

// firstAddressFunc returns the first address of the n-th list.
type firstAddressFunc func(v *relay.View, path string, n int) string

func homesOf(v *relay.View, path string) []vm.Member {
	e, _ := v.Tree.Effective(path)
	return v.HomesOf(e.Path, e)
}

// firstAddressFuncs returns the compared orders: the homes in hash order, the
// daemon's round robin over the homes, a random failure domain and then a random
// member of it, and List.
func firstAddressFuncs() map[string]firstAddressFunc {
	l := newSeededLister(7)
	return map[string]firstAddressFunc{
		"ranked": func(v *relay.View, path string, _ int) string { return homesOf(v, path)[0].Name },
		"counter": func(v *relay.View, path string, n int) string {
			homes := homesOf(v, path)
			return homes[n%len(homes)].Name
		},
		"domain-first": func(v *relay.View, _ string, _ int) string {
			domains := map[string][]string{}
			var names []string
			for _, m := range v.Settled.Members {
				if domains[m.Domain] == nil {
					names = append(names, m.Domain)
				}
				domains[m.Domain] = append(domains[m.Domain], m.Name)
			}
			domainMembers := domains[names[l.rand(len(names))]]
			return domainMembers[l.rand(len(domainMembers))]
		},
		"list": func(v *relay.View, path string, _ int) string {
			list, err := l.list(v, path, vm.Identity{}, testNow)
			if err != nil {
				panic(err)
			}
			return list[0].VM
		},
	}
}

// BenchmarkFirstAddress has callers ask for one of 52 services in turn. It reports
// the highest load over the mean, for the 12 daemons and for the homes of one
// service, and the percentage of first addresses that save the hop to a home.
func BenchmarkFirstAddress(b *testing.B) {
	m := newMembership(12, 4)
	m.Members[11].Domain = "hall-alone"
	v := newView(newTree(b, 52), m)
	for _, name := range []string{"ranked", "counter", "domain-first", "list"} {
		choose := firstAddressFuncs()[name]
		b.Run(name, func(b *testing.B) {
			perDaemon, perHome := map[string]int{}, map[string]int{}
			homeHits := 0
			for n := range b.N {
				path := fmt.Sprintf("desk/s%d", n%52)
				first := choose(v, path, n)
				perDaemon[first]++
				if n%52 == 0 {
					perHome[first]++
				}
				for _, h := range homesOf(v, path) {
					if h.Name == first {
						homeHits++
					}
				}
			}
			b.ReportMetric(maxOverMean(perDaemon, 12), "most/mean")
			b.ReportMetric(maxOverMean(perHome, 2), "home-most/mean")
			b.ReportMetric(100*float64(homeHits)/float64(b.N), "%saved")
		})
	}
}

func maxOverMean(count map[string]int, n int) float64 {
	highest, sum := 0, 0
	for _, c := range count {
		highest, sum = max(highest, c), sum+c
	}
	return float64(highest) * float64(n) / float64(sum)
}

// BenchmarkRefetch reports how many of 10,000 callers at most request a new list in
// one second, in the first round after all fetched a list together and in the fifth.
func BenchmarkRefetch(b *testing.B) {
	const callers = 10000
	tier := settings.Tier{AddressLifetime: 30 * time.Second}
	lifetimes := map[string]func() time.Duration{
		"fixed":  func() time.Duration { return tier.AddressLifetime },
		"spread": func() time.Duration { return Lifetime(tier) },
	}
	for _, name := range []string{"fixed", "spread"} {
		b.Run(name, func(b *testing.B) {
			for range b.N {
				refetchAt := make([]time.Duration, callers)
				for round := 1; round <= 5; round++ {
					bySecond, highest := map[time.Duration]int{}, 0
					for i := range refetchAt {
						refetchAt[i] += lifetimes[name]()
						bySecond[refetchAt[i]/time.Second]++
						highest = max(highest, bySecond[refetchAt[i]/time.Second])
					}
					if round == 1 || round == 5 {
						b.ReportMetric(float64(highest), fmt.Sprintf("most/s-round-%d", round))
					}
				}
			}
		})
	}
}

// BenchmarkListSize reports the cost of one list as the number of daemons grows: for
// a path with too many services for homes to be considered, and for one service
// whose homes are not cached in the view, as after each membership change.
func BenchmarkListSize(b *testing.B) {
	manyServices := newTree(b, maxServices+1)
	for _, path := range []string{"/", "desk/s1"} {
		for _, n := range []int{12, 120, 1200, 3600} {
			b.Run(fmt.Sprintf("%s-daemons-%d", path, n), func(b *testing.B) {
				v := newView(manyServices, newMembership(n, 17))
				b.ReportAllocs()
				for range b.N {
					if _, err := List(v, path, vm.Identity{Region: "valley"}, testNow); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}
