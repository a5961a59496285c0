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

// TestMain gives rapid a fixed seed, so that every run has the same verdict.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "4", "rapid.checks": "500", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

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

// One daemon leaves or joins. If homes moved that it has no part in, permits and
// connections would move between daemons that nothing has happened to, and each
// restart would cost the whole tier capacity. A home may change only to that
// daemon or from it, and at most one does.
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
				t.Fatalf("%s is home no more, although %s left", name, with.Members[gone].Name)
			}
		}
		added := 0
		for name := range after {
			if _, had := before[name]; !had {
				added++
			}
		}
		if _, was := before[with.Members[gone].Name]; added > 1 || (added == 1 && !was) {
			t.Fatalf("%d homes came in for %s", added, with.Members[gone].Name)
		}
	})
}

// Homes in one failure domain are lost together. None gets a further home while
// another one with a Serving daemon to spare has fewer.
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
				t.Fatalf("%s is home in phase %d", h.Name, h.Phase)
			}
			used[h.Domain]++
		}
		if len(namesOf(homes)) != min(n, total) {
			t.Fatalf("%d homes of %d wanted, %d serve", len(homes), n, total)
		}
		for a := range used {
			for b := range serving {
				if used[a] > used[b]+1 && serving[b] > used[b] {
					t.Fatalf("%s has %d homes, %s only %d", a, used[a], b, used[b])
				}
			}
		}
	})
}

// The shares of a leaf over its homes are all of it and no more.
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
			t.Fatalf("parts sum to %d of %d, from %d to %d", sum, total, least, greatest)
		}
	})
}

// Every leaf is in exactly one group, and GroupIndex finds it.
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
				t.Fatalf("a group of %d leaves", g.Leaves)
			}
		}
		if next != len(leaves) {
			t.Fatalf("%d of %d leaves are in a group", next, len(leaves))
		}
	})
}
