package policy

import (
	"fmt"
	"math/rand/v2"
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
			So(len(Takers(all, need)), ShouldEqual, 6)
		})
		Convey("narrow gathers go to all", func() {
			So(len(Takers(all, Millicores(20, 60*time.Millisecond))), ShouldEqual, 26)
		})
		Convey("where none is fit those that come closest take callers", func() {
			So(len(Takers(all, 2000)), ShouldEqual, 6)
		})
		Convey("where too few of them are left all take callers", func() {
			So(len(Takers(all[4:], need)), ShouldEqual, 22)
		})
	})
}

// The larger VMs may all be lost together, and parts are asked for at daemons near the
// leaves. Some daemons of each failure domain take callers beside them, the same ones for
// every daemon that chooses, and others only in the place of those that are lost.
func TestSomeOfEachDomainTakeCallers(t *testing.T) {
	Convey("Given a larger VM among forty in each of three failure domains", t, func() {
		var all []*vm.Member
		for _, domain := range []string{"hall-1", "hall-2", "hall-3"} {
			all = append(append(all, daemons(1, domain, 512)...), daemons(39, domain, 192)...)
		}
		need := Millicores(90, 60*time.Millisecond)
		chosen := Takers(slices.Clone(all), need)

		Convey("a tenth of each take callers, the larger ones among them", func() {
			count := make(map[string]int)
			for _, m := range chosen {
				count[m.Domain]++
			}
			So(count, ShouldResemble, map[string]int{"hall-1": 4, "hall-2": 4, "hall-3": 4})
			for _, m := range all {
				if m.Millicores == 512 {
					So(chosen, ShouldContain, m)
				}
			}
		})
		Convey("one that is lost is replaced, and the others stay", func() {
			gone := chosen[len(chosen)-1]
			left := slices.DeleteFunc(slices.Clone(all), func(m *vm.Member) bool { return m == gone })
			rand.Shuffle(len(left), func(i, k int) { left[i], left[k] = left[k], left[i] })
			again := Takers(left, need)
			So(len(again), ShouldEqual, len(chosen))
			same := 0
			for _, m := range again {
				if slices.Contains(chosen, m) {
					same++
				}
			}
			So(same, ShouldEqual, len(chosen)-1)
		})
	})
}

// Parts go to the daemon that is through with them first: a larger one is asked until it
// has so many more calls that a small one that is idle is as quick.
func TestCallsGoWhereTheyCostLeast(t *testing.T) {
	Convey("A call costs less at a larger VM, more with each call under way", t, func() {
		So(CallCost(0, 512), ShouldBeLessThan, CallCost(0, 192))
		So(CallCost(1, 512), ShouldBeLessThan, CallCost(0, 192))
		So(CallCost(2, 512), ShouldBeGreaterThan, CallCost(0, 192))
		So(CallCost(0, 0), ShouldBeLessThan, CallCost(0, 512))
	})
}
