package relay

import (
	"fmt"
	"reflect"
	"runtime"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"pearmoor/internal/settings"
	"pearmoor/internal/vm"
)

func largeTree(services, leaves int) *settings.Tree {
	var edits []settings.Edit
	for s := range services {
		list := make([]settings.Leaf, leaves)
		for i := range list {
			list[i] = settings.Leaf{Name: fmt.Sprintf("s%d-l%03d", s, i), Addr: fmt.Sprintf("10.%d.%d.%d:80", s, i/250, i%250), Domain: "hall-0"}
		}
		edits = append(edits, setEdit(fmt.Sprintf("/desk/s%d", s), "leaves", settings.FormatLeaves(list)))
	}
	return settings.New().Replay(1, edits)
}

func newMembership(n, domains int) *vm.Membership {
	m := &vm.Membership{Epoch: 1}
	for i := range n {
		id := vm.Identity{Name: fmt.Sprintf("vm-%04d", i), Incarnation: 1, Domain: fmt.Sprintf("hall-%d", i%domains), Region: fmt.Sprintf("r%d", i%domains%2)}
		m.Members = append(m.Members, vm.Member{Identity: id, Phase: vm.Serving})
	}
	return m
}

// changeMember gives one member another phase and incarnation in the next epoch.
func changeMember(m *vm.Membership, i int, p vm.Phase) *vm.Membership {
	next := &vm.Membership{Epoch: m.Epoch + 1, Members: slices.Clone(m.Members)}
	next.Members[i].Phase = p
	next.Members[i].Incarnation++
	return next
}

// A daemon that received each epoch must compute the same homes as one that starts
// now. If they differed, both would send to the same leaf, each with a full share.
func TestDerivedHomesMatchComputedHomes(t *testing.T) {
	tree := largeTree(3, 45)
	rapid.Check(t, func(t *rapid.T) {
		m := newMembership(rapid.IntRange(2, 12).Draw(t, "members"), rapid.IntRange(1, 5).Draw(t, "domains"))
		v := &View{ConfigVersion: 1, Tree: tree, InForce: 1, Settled: m, cache: &placementCache{}}
		for range 8 {
			for _, path := range tree.Services("") {
				e, _ := tree.Effective(path)
				if got, want := v.membershipHomes(e, v.Settled), computeHomes(e, v.Settled); !reflect.DeepEqual(got, want) {
					t.Fatalf("epoch %d: derived %+v, computed %+v", v.Settled.Epoch, got, want)
				}
			}
			index := rapid.IntRange(0, len(m.Members)-1).Draw(t, "who")
			p := rapid.SampledFrom([]vm.Phase{vm.Serving, vm.Starting, vm.Draining}).Draw(t, "phase")
			m = changeMember(m, index, p)
			next := *v
			next.Settled = m
			next.cache = v.cache.successor(v, &next)
			v = &next
		}
	})
}

// heapInUse returns the heap size in bytes after a garbage collection.
func heapInUse() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkMembershipChange reports the time to compute all homes after one member has
// changed, and the memory used by the tree, the membership and all homes.
func BenchmarkMembershipChange(b *testing.B) {
	before := heapInUse()
	tree := largeTree(49, 470)
	m := newMembership(3600, 17)
	v := &View{ConfigVersion: 1, Tree: tree, InForce: 1, Settled: m, cache: &placementCache{}}
	computeAll := func(v *View) {
		for _, path := range tree.Services("") {
			e, _ := tree.Effective(path)
			v.membershipHomes(e, v.Settled)
		}
	}
	computeAll(v)
	used := heapInUse() - before
	for i := 0; b.Loop(); i++ {
		p := vm.Draining
		if v.Settled.Members[i%3600].Phase == vm.Draining {
			p = vm.Serving
		}
		next := *v
		next.Settled = changeMember(v.Settled, i%3600, p)
		next.cache = v.cache.successor(v, &next)
		computeAll(&next)
		v = &next
	}
	b.ReportMetric(used/(1<<20), "heap-MB")
	runtime.KeepAlive(v)
}
