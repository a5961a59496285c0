package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pearmoor/internal/vm"
)

func membersOf(n int, domain string, millicores uint32) []*vm.Member {
	var out []*vm.Member
	for i := range n {
		out = append(out, &vm.Member{Identity: vm.Identity{Name: fmt.Sprintf("%s-%d-%d", domain, millicores, i), Domain: domain, Millicores: millicores}})
	}
	return out
}

// A gather over 90 shards takes 70 ms on a fifth of a core, longer than the callers wait.
// Callers must be directed to the few larger VMs, unless so few of these are left that the
// loss of one would direct all callers to the next.
func TestEligibleVMsHaveCPUForWidestGather(t *testing.T) {
	Convey("Given six larger VMs among twenty small ones", t, func() {
		all := append(membersOf(6, "hall-1", 512), membersOf(20, "hall-1", 192)...)
		need := RequiredMillicores(90, 60*time.Millisecond)
		So(need, ShouldEqual, 450)

		Convey("the larger ones take callers", func() {
			So(len(Eligible(all, need)), ShouldEqual, 6)
		})
		Convey("narrow gathers go to all", func() {
			So(len(Eligible(all, RequiredMillicores(20, 60*time.Millisecond))), ShouldEqual, 26)
		})
		Convey("where none is fit those that come closest take callers", func() {
			So(len(Eligible(all, 2000)), ShouldEqual, 6)
		})
		Convey("where too few of them are left all take callers", func() {
			So(len(Eligible(all[4:], need)), ShouldEqual, 22)
		})
	})
}

// Guards against address lists whose daemons can all be lost together, and against lists
// whose other daemons change whenever one member is lost.
func TestEligibleAddsOthersWhenSufficientCPUIsScarce(t *testing.T) {
	need := RequiredMillicores(87, 60*time.Millisecond)
	for _, c := range []struct{ domains, fitEach, othersEach int }{{5, 1, 39}, {3, 2, 27}, {5, 1, 12}} {
		var all []*vm.Member
		for d := range c.domains {
			domain := fmt.Sprintf("hall-%d", d)
			all = append(all, membersOf(c.fitEach, domain, 512)...)
			all = append(all, membersOf(c.othersEach, domain, 192)...)
		}
		got := Eligible(all, need)
		fit := c.domains * c.fitEach
		if pairs := float64(fit*(fit-1)) / float64(len(got)*(len(got)-1)); pairs > 0.1 {
			t.Errorf("%+v: both addresses belong to VMs with sufficient CPU for %.2f of the callers", c, pairs)
		}
		inDomain := map[string]int{}
		for _, m := range got {
			inDomain[m.Domain]++
		}
		for domain, n := range inDomain {
			if n != (1+extraPerSufficient)*c.fitEach {
				t.Errorf("%+v: %d members in %s", c, n, domain)
			}
		}
		lost := got[len(got)-1]
		left := Eligible(slices.DeleteFunc(slices.Clone(all), func(m *vm.Member) bool { return m == lost }), need)
		if kept := len(got) - len(Without(got, left)); kept != len(got)-1 {
			t.Errorf("%+v: %d of %d members are kept when one is lost", c, kept, len(got)-1)
		}
	}
}
