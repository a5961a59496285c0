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
func membership(n, domains int) *vm.Membership {
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
	m := membership(rapid.IntRange(1, 30).Draw(t, "members"), rapid.IntRange(1, 6).Draw(t, "domains"))
	for i := range m.Members {
		m.Members[i].Phase = rapid.SampledFrom([]vm.Phase{vm.Serving, vm.Serving, vm.Serving, vm.Starting, vm.Draining, vm.Gone}).Draw(t, "phase")
	}
	return m
}

func namesOf(ms []vm.Member) map[string]vm.Member {
	out := make(map[string]vm.Member)
	for _, m := range ms {
		out[m.Name] = m
	}
	return out
}

// When one daemon leaves or joins, only a home on that daemon may be reassigned, and at
// most one. If other homes changed too, permits and connections would move between daemons
// that are not involved, and each restart would reduce the capacity of the whole tier.
func TestOneMemberMovesOneHome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		with := drawMembership(t)
		n := rapid.IntRange(1, 6).Draw(t, "homes")
		key := rapid.StringMatching(`[a-z]{1,8}`).Draw(t, "key")
		gone := rapid.IntRange(0, len(with.Members)-1).Draw(t, "gone")
		without := &vm.Membership{Epoch: 2, Members: slices.Delete(slices.Clone(with.Members), gone, gone+1)}
		before, after := namesOf(Homes(with, key, n)), namesOf(Homes(without, key, n))
		for name := range before {
			if _, kept := after[name]; !kept && name != with.Members[gone].Name {
				t.Fatalf("%s is no longer a home after %s left", name, with.Members[gone].Name)
			}
		}
		added := 0
		for name := range after {
			if _, had := before[name]; !had {
				added++
			}
		}
		if _, was := before[with.Members[gone].Name]; added > 1 || (added == 1 && !was) {
			t.Fatalf("%d homes were added after %s left", added, with.Members[gone].Name)
		}
	})
}

// Homes in one failure domain fail together. A failure domain must not get another home
// while a domain with an unused Serving daemon has fewer homes.
func TestHomesSpreadOverDomains(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawMembership(t)
		n := rapid.IntRange(1, 6).Draw(t, "homes")
		homes := Homes(m, "service", n)
		serving, used := make(map[string]int), make(map[string]int)
		total := 0
		for _, member := range m.Members {
			if member.Phase == vm.Serving {
				serving[member.Domain]++
				total++
			}
		}
		for _, h := range homes {
			if h.Phase != vm.Serving {
				t.Fatalf("%s is a home in phase %d", h.Name, h.Phase)
			}
			used[h.Domain]++
		}
		if len(namesOf(homes)) != min(n, total) {
			t.Fatalf("got %d homes, want %d, with %d Serving members", len(homes), n, total)
		}
		for a := range used {
			for b := range serving {
				if used[a] > used[b]+1 && serving[b] > used[b] {
					t.Fatalf("%s has %d homes, but %s has only %d", a, used[a], b, used[b])
				}
			}
		}
	})
}

// The shares of all homes of a leaf must sum to its total and differ by at most one.
// Shares that sum to more would overload the leaf.
func TestShareSumsToTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(0, 200).Draw(t, "total")
		homes := rapid.IntRange(1, 9).Draw(t, "homes")
		leaf := rapid.IntRange(0, 1<<31).Draw(t, "leaf")
		sum, least, greatest := 0, total, 0
		for i := range homes {
			part := Share(total, homes, i, leaf)
			sum, least, greatest = sum+part, min(least, part), max(greatest, part)
		}
		if sum != total || greatest > least+1 {
			t.Fatalf("shares sum to %d of %d, minimum %d, maximum %d", sum, total, least, greatest)
		}
	})
}

// Every leaf must be in exactly one group, and GroupIndex must return that group.
func TestGroupsCoverLeaves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		leaves := make([]settings.Leaf, rapid.IntRange(1, 500).Draw(t, "leaves"))
		next := 0
		for k, g := range Groups("/desk/s", leaves, nil) {
			for i := g.First; i < g.First+g.Leaves; i++ {
				if i != next || GroupIndex(len(leaves), i) != k {
					t.Fatalf("leaf %d of %d: group %d, GroupIndex %d", i, len(leaves), k, GroupIndex(len(leaves), i))
				}
				next++
			}
			if len(leaves) >= GroupSize && (g.Leaves < GroupSize || g.Leaves >= 2*GroupSize) {
				t.Fatalf("a group has %d leaves", g.Leaves)
			}
		}
		if next != len(leaves) {
			t.Fatalf("%d of %d leaves are in a group", next, len(leaves))
		}
	})
}
