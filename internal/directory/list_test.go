package directory

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"pearmoor/internal/contract"
	"pearmoor/internal/relay"
	"pearmoor/internal/settings"
	"pearmoor/internal/vm"
)

const (
	testNow   = vm.Instant(1000)
	testLease = vm.Instant(2000)
)

func newTree(t interface{ Fatal(...any) }, services int) *settings.Tree {
	var edits []settings.Edit
	for i := range services {
		leaves := fmt.Sprintf("l%da=127.0.0.1:%d@hall-0,l%db=127.0.0.1:%d@hall-1", i, 9000+2*i, i, 9001+2*i)
		edits = append(edits, settings.Edit{Path: fmt.Sprintf("/desk/s%d", i), Name: "leaves", Value: leaves})
	}
	out, err := settings.New().Apply(1, edits)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

func newMembership(n, domains int) *vm.Membership {
	m := &vm.Membership{Epoch: 1}
	for i := range n {
		m.Members = append(m.Members, vm.Member{
			Identity: vm.Identity{
				Name:        fmt.Sprintf("e%03d", i),
				Incarnation: 1,
				Domain:      fmt.Sprintf("hall-%d", i%domains),
				Region:      "valley",
				CallerAddr:  fmt.Sprintf("http://127.0.0.1:%d", 7000+i),
			},
			Phase: vm.Serving,
		})
	}
	return m
}

func newView(tree *settings.Tree, m *vm.Membership) *relay.View {
	return &relay.View{ConfigVersion: 1, InForce: 1, Tree: tree, Settled: m, LeaseEnd: testLease}
}

func newSeededLister(seed uint64) lister {
	return lister{rand: rand.New(rand.NewPCG(seed, seed)).IntN}
}

// 12,000 callers fetch a list and use its first address. With a fixed order one of
// the two homes would get all callers and the other none.
func TestFirstAddressesLoadDaemonsEvenly(t *testing.T) {
	Convey("The first addresses of many lists load a service's homes evenly", t, func() {
		const callers = 12000
		v := newView(newTree(t, 10), newMembership(12, 3))
		l := newSeededLister(1)
		count := map[string]int{}
		for i := range callers {
			path := fmt.Sprintf("/desk/s%d", i%10)
			list, err := l.list(v, path, v.Settled.Members[0].Identity, testNow)
			So(err, ShouldBeNil)
			if path == "/desk/s0" {
				count[list[0].VM]++
			}
		}
		So(len(count), ShouldEqual, 2)
		for _, n := range count {
			So(n, ShouldBeBetween, callers/10*45/100, callers/10*55/100)
		}
	})
	Convey("A path with more than maxServices services loads all daemons evenly, regardless of their domains", t, func() {
		const callers = 12000
		m := newMembership(12, 3)
		m.Members[11].Domain = "hall-alone"
		v := newView(newTree(t, maxServices+1), m)
		l := newSeededLister(2)
		count := map[string]int{}
		for range callers {
			list, err := l.list(v, "/", m.Members[0].Identity, testNow)
			So(err, ShouldBeNil)
			count[list[0].VM]++
		}
		for _, member := range m.Members {
			So(count[member.Name], ShouldBeBetween, callers/12*85/100, callers/12*115/100)
		}
	})
}

// A caller uses its list for the whole lifetime. A listed daemon that is not Serving,
// or that leaves in the pending membership, would shut down while callers use it.
func TestListProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMembership(rapid.IntRange(1, 30).Draw(t, "members"), rapid.IntRange(1, 5).Draw(t, "domains"))
		phases := rapid.SampledFrom([]vm.Phase{vm.Starting, vm.Serving, vm.Serving, vm.Draining, vm.Gone})
		pending := &vm.Membership{Epoch: 2}
		for i := range m.Members {
			m.Members[i].Phase = phases.Draw(t, "phase")
			if rapid.IntRange(0, 4).Draw(t, "keep") > 0 {
				next := m.Members[i]
				next.Phase = phases.Draw(t, "next")
				pending.Members = append(pending.Members, next)
			}
		}
		v := newView(newTree(t, 3), m)
		if rapid.Bool().Draw(t, "pending") {
			v.Pending = pending
		}
		self := m.Members[0].Identity
		confirmed := rapid.Bool().Draw(t, "confirmed")
		if !confirmed {
			v.LeaseEnd = testNow
		}
		list, err := newSeededLister(rapid.Uint64().Draw(t, "seed")).list(v, "/desk/s1", self, testNow)
		if err != nil {
			if contract.VerdictOf(err) != contract.NotRun || len(list) > 0 {
				t.Fatalf("error %v together with %d addresses", err, len(list))
			}
			return
		}
		checkList(t, v, list, self, confirmed)
	})
}

func checkList(t *rapid.T, v *relay.View, list []contract.Address, self vm.Identity, confirmed bool) {
	seen := map[string]bool{}
	isHome := map[string]bool{}
	e, _ := v.Tree.Effective("desk/s1")
	for _, h := range v.HomesOf(e.Path, e) {
		isHome[h.Name] = true
	}
	sawFallback := false
	for _, a := range list {
		m, ok := v.Settled.Find(a.VM)
		if !ok || m.Phase != vm.Serving || seen[a.VM] {
			t.Fatalf("%s is listed: member %v, phase %v, duplicate %v", a.VM, ok, m.Phase, seen[a.VM])
		}
		if next, ok := v.Membership().Find(a.VM); !ok || next.Phase != vm.Serving {
			t.Fatalf("%s is listed but leaves in the pending membership", a.VM)
		}
		if a.VM == self.Name && !confirmed {
			t.Fatalf("%s lists itself without a valid lease", a.VM)
		}
		if isHome[a.VM] && sawFallback {
			t.Fatalf("home %s is listed after a fallback", a.VM)
		}
		sawFallback = sawFallback || !isHome[a.VM]
		seen[a.VM] = true
	}
	if len(list) == 0 || len(list) > maxAddresses {
		t.Fatalf("list has %d addresses", len(list))
	}
}

func TestListSpreadsOverFailureDomains(t *testing.T) {
	Convey("The first three addresses are in three failure domains", t, func() {
		v := newView(newTree(t, 1), newMembership(12, 3))
		for seed := range uint64(50) {
			list, err := newSeededLister(seed).list(v, "/desk/s0", vm.Identity{}, testNow)
			So(err, ShouldBeNil)
			domains := map[string]bool{}
			for _, a := range list[:3] {
				domains[a.Domain] = true
			}
			So(len(domains), ShouldEqual, 3)
		}
	})
	Convey("An unknown path is refused with reason unknown_path", t, func() {
		_, err := List(newView(newTree(t, 1), newMembership(3, 3)), "/desk/nowhere", vm.Identity{}, testNow)
		So(err, ShouldNotBeNil)
		So(err.(*contract.Error).Reason, ShouldEqual, contract.ReasonUnknownPath)
	})
}

func TestLifetimeWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := time.Duration(rapid.Int64Range(int64(time.Second), int64(time.Hour)).Draw(t, "limit"))
		got := Lifetime(settings.Tier{AddressLifetime: limit})
		if got > limit || got < limit*(lifetimeJitterDivisor-1)/lifetimeJitterDivisor {
			t.Fatalf("lifetime %v for a limit of %v", got, limit)
		}
	})
}
