package domain

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"pearmoor/internal/settings"
	"pearmoor/internal/vm"
)

// TestMain fixes the seed of rapid, so that every run gives the same result.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "4", "rapid.checks": "500", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

// newMembership returns n Serving members, distributed over the given number of failure
// domains.
func newMembership(n, domains int) *vm.Membership {
	m := &vm.Membership{Epoch: 1}
	for i := range n {
		m.Members = append(m.Members, vm.Member{
			Identity: vm.Identity{Name: fmt.Sprintf("vm-%04d", i), Incarnation: 1, Domain: fmt.Sprintf("hall-%d", i%domains)},
			Phase:    vm.Serving,
		})
	}
	return m
}

func drawMembership(t *rapid.T) *vm.Membership {
	m := newMembership(rapid.IntRange(1, 30).Draw(t, "members"), rapid.IntRange(1, 6).Draw(t, "domains"))
	for i := range m.Members {
		m.Members[i].Phase = rapid.SampledFrom([]vm.Phase{vm.Serving, vm.Serving, vm.Serving, vm.Starting, vm.Draining, vm.Gone}).Draw(t, "phase")
	}
	return m
}

func membersByName(ms []vm.Member) map[string]vm.Member {
	out := make(map[string]vm.Member)
	for _, m := range ms {
		out[m.Name] = m
	}
	return out
}

// When one daemon leaves or joins, only a home on that daemon may be reassigned, and at
// most one. If other homes changed too, permits and connections would move between daemons
// that are not involved, and each restart would reduce the capacity of the whole tier.
func TestMemberChangeMovesAtMostOneHome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		with := drawMembership(t)
		n := rapid.IntRange(1, 6).Draw(t, "homes")
		key := rapid.StringMatching(`[a-z]{1,8}`).Draw(t, "key")
		removed := rapid.IntRange(0, len(with.Members)-1).Draw(t, "gone")
		without := &vm.Membership{Epoch: 2, Members: slices.Delete(slices.Clone(with.Members), removed, removed+1)}
		before, after := membersByName(Homes(with, key, n)), membersByName(Homes(without, key, n))
		for name := range before {
			if _, kept := after[name]; !kept && name != with.Members[removed].Name {
				t.Fatalf("%s is no longer a home after %s left", name, with.Members[removed].Name)
			}
		}
		added := 0
		for name := range after {
			if _, existed := before[name]; !existed {
				added++
			}
		}
		if _, wasHome := before[with.Members[removed].Name]; added > 1 || (added == 1 && !wasHome) {
			t.Fatalf("%d homes were added after %s left", added, with.Members[removed].Name)
		}
	})
}

// Homes in one failure domain fail together. A failure domain must not get another home
// while a domain with an unused Serving daemon has fewer homes.
func TestHomesAreSpreadOverFailureDomains(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawMembership(t)
		n := rapid.IntRange(1, 6).Draw(t, "homes")
		homes := Homes(m, "service", n)
		servingPerDomain, homesPerDomain := make(map[string]int), make(map[string]int)
		total := 0
		for _, member := range m.Members {
			if member.Phase == vm.Serving {
				servingPerDomain[member.Domain]++
				total++
			}
		}
		for _, h := range homes {
			if h.Phase != vm.Serving {
				t.Fatalf("%s is a home in phase %d", h.Name, h.Phase)
			}
			homesPerDomain[h.Domain]++
		}
		if len(membersByName(homes)) != min(n, total) {
			t.Fatalf("got %d homes, want %d, with %d Serving members", len(homes), n, total)
		}
		for a := range homesPerDomain {
			for b := range servingPerDomain {
				if homesPerDomain[a] > homesPerDomain[b]+1 && servingPerDomain[b] > homesPerDomain[b] {
					t.Fatalf("%s has %d homes, but %s has only %d", a, homesPerDomain[a], b, homesPerDomain[b])
				}
			}
		}
	})
}

// The shares of all homes of a leaf must sum to its total and differ by at most one.
// Shares that sum to more would overload the leaf.
func TestSharesSumToTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(0, 200).Draw(t, "total")
		homes := rapid.IntRange(1, 9).Draw(t, "homes")
		leaf := rapid.IntRange(0, 1<<31).Draw(t, "leaf")
		sum, least, greatest := 0, total, 0
		for i := range homes {
			share := Share(total, homes, i, leaf)
			sum, least, greatest = sum+share, min(least, share), max(greatest, share)
		}
		if sum != total || greatest > least+1 {
			t.Fatalf("shares sum to %d of %d, minimum %d, maximum %d", sum, total, least, greatest)
		}
	})
}

// Every leaf must be in exactly one group, and GroupIndex must return that group.
func TestGroupsPartitionLeaves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		leaves := make([]settings.Leaf, rapid.IntRange(1, 500).Draw(t, "leaves"))
		next := 0
		for k, g := range Groups("/desk/s", leaves, nil) {
			for i := g.FirstLeaf; i < g.FirstLeaf+g.LeafCount; i++ {
				if i != next || GroupIndex(len(leaves), i) != k {
					t.Fatalf("leaf %d of %d: group %d, GroupIndex %d", i, len(leaves), k, GroupIndex(len(leaves), i))
				}
				next++
			}
			if len(leaves) >= GroupSize && (g.LeafCount < GroupSize || g.LeafCount >= 2*GroupSize) {
				t.Fatalf("a group has %d leaves", g.LeafCount)
			}
		}
		if next != len(leaves) {
			t.Fatalf("%d of %d leaves are in a group", next, len(leaves))
		}
	})
}
