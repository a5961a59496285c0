package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pearmoor/internal/vm"
)

func daemons(n int, domain string, millicores uint32) []*vm.Member {
	var out []*vm.Member
	for i := range n {
		out = append(out, &vm.Member{Identity: vm.Identity{Name: fmt.Sprintf("%s-%d-%d", domain, millicores, i), Domain: domain, Millicores: millicores}})
	}
	return out
}

// Gathers over 90 shards take 70 ms of a fifth of a core, longer than the callers want
// to wait for them. They are to be sent to the few larger VMs, unless so few are left
// that the loss of one would leave all callers to the next.
func TestCallersGoToVMsFitForTheWidestGather(t *testing.T) {
	Convey("Given six larger VMs among twenty small ones", t, func() {
		all := append(daemons(6, "hall-1", 512), daemons(20, "hall-1", 192)...)
		need := Millicores(90, 60*time.Millisecond)
		So(need, ShouldEqual, 450)

		Convey("the larger ones take callers", func() {
			So(len(Eligible(all, need)), ShouldEqual, 6)
		})
		Convey("narrow gathers go to all", func() {
			So(len(Eligible(all, Millicores(20, 60*time.Millisecond))), ShouldEqual, 26)
		})
		Convey("where none is fit those that come closest take callers", func() {
			So(len(Eligible(all, 2000)), ShouldEqual, 6)
		})
		Convey("where too few of them are left all take callers", func() {
			So(len(Eligible(all[4:], need)), ShouldEqual, 22)
		})
	})
}

// Guards against address lists of which a common loss leaves nobody, and against others in them that move from list to list.
func TestFewFitVMsAreNamedWithOthers(t *testing.T) {
	need := Millicores(87, 60*time.Millisecond)
	for _, c := range []struct{ domains, fitEach, othersEach int }{{5, 1, 39}, {3, 2, 27}, {5, 1, 12}} {
		var all []*vm.Member
		for d := range c.domains {
			domain := fmt.Sprintf("hall-%d", d)
			all = append(all, daemons(c.fitEach, domain, 512)...)
			all = append(all, daemons(c.othersEach, domain, 192)...)
		}
		got := Eligible(all, need)
		fit := c.domains * c.fitEach
		if pairs := float64(fit*(fit-1)) / float64(len(got)*(len(got)-1)); pairs > 0.1 {
			t.Errorf("%+v: two addresses are of fit VMs for %.2f of the callers", c, pairs)
		}
		inDomain := map[string]int{}
		for _, m := range got {
			inDomain[m.Domain]++
		}
		for domain, n := range inDomain {
			if n != (1+othersPerFit)*c.fitEach {
				t.Errorf("%+v: %d are of %s", c, n, domain)
			}
		}
		lost := got[len(got)-1]
		left := Eligible(slices.DeleteFunc(slices.Clone(all), func(m *vm.Member) bool { return m == lost }), need)
		if kept := len(got) - len(Without(got, left)); kept != len(got)-1 {
			t.Errorf("%+v: %d of %d stay when one is lost", c, kept, len(got)-1)
		}
	}
}
