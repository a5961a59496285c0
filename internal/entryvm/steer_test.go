package entryvm

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pearmoor/internal/policy"
	"pearmoor/internal/vm"
)

func testVM(t *testing.T, name, peerAddr, dataDir string, seeds ...string) *VM {
	t.Helper()
	v, err := New(Config{
		Name: name, Domain: "hall-1", Region: "valley", PeerAddr: peerAddr, CallerAddr: name + ":80",
		Seeds: seeds, FirstStart: true, DataDir: dataDir, MaxLostDisks: 1, ListPageRate: 10,
		Budget: policy.BudgetLimits{Ratio: 0.2, Burst: 60, Window: 10 * time.Second},
	})
	if err != nil {
		t.Fatal(err)
	}
	return v
}

func member(name, domain string, millicores uint32) vm.Member {
	return vm.Member{
		Identity: vm.Identity{Name: name, Domain: domain, Region: "valley", CallerAddr: name + ":80", Millicores: millicores},
		Phase:    vm.Serving,
	}
}

func names(ms []*vm.Member) []string {
	var out []string
	for _, m := range ms {
		out = append(out, m.Name)
	}
	return out
}

// Guards against callers being sent to VMs that are lost or stopping: a connect to a VM
// without power costs them a second. A daemon lists itself even if the leader reports it
// as unresponsive.
func TestUnresponsiveAndDrainingDaemonsAreNotEligible(t *testing.T) {
	Convey("Callers are sent only to daemons that serve and respond", t, func() {
		v := testVM(t, "self", "127.0.0.1:1", "")
		ms := &vm.Membership{Members: []vm.Member{
			member("self", "hall-1", 0), member("silent", "hall-1", 0), member("leaving", "hall-1", 0),
			member("closed", "hall-1", 0), member("well", "hall-1", 0),
		}}
		ms.Members[2].Phase = vm.Draining
		ms.Members[3].CallerAddr = ""
		v.leafCache.SetUnresponsive([]string{"self", "silent"})
		So(names(v.eligible(ms)), ShouldResemble, []string{"self", "well"})
		v.draining.Store(true)
		So(names(v.eligible(ms)), ShouldResemble, []string{"well"})
	})
}

// Guards against address lists with daemons of one failure domain only: when that domain
// loses power, its callers have no daemon left and get no new list until theirs expires.
func TestAddressListsCoverOtherDomains(t *testing.T) {
	group := func(n int, region, domain string) []*vm.Member {
		var out []*vm.Member
		for i := range n {
			m := member(fmt.Sprintf("%s-%d", domain, i), domain, 0)
			m.Region = region
			out = append(out, &m)
		}
		return out
	}
	for _, c := range []struct {
		what                                 string
		sameDomain, sameRegion, otherRegions int
		wantSameDomain                       int
		wantSameRegion                       int
		wantOtherRegions                     int
	}{
		{"all daemons of a small tier are listed", 4, 7, 0, 4, 7, 0},
		{"daemons of other regions are left out", 2, 3, 9, 2, 3, 0},
		{"half of a long list is from other domains", 100, 100, 100, 32, 32, 0},
		{"daemons of the own domain fill the places that others leave", 100, 10, 0, 54, 10, 0},
		{"daemons of other domains fill the places that the own domain leaves", 3, 100, 0, 3, 61, 0},
		{"without daemons in the region, those of other regions are listed", 0, 0, 80, 0, 0, 64},
		{"there are no daemons", 0, 0, 0, 0, 0, 0},
	} {
		Convey(c.what, t, func() {
			eligible := slices.Concat(group(c.sameDomain, "valley", "hall-1"), group(c.sameRegion, "valley", "hall-2"), group(c.otherRegions, "delta", "hall-9"))
			got := addressesFor(eligible, "valley", "hall-1")
			count := func(domain string) (n int) {
				for _, addr := range got {
					if strings.HasPrefix(addr, domain) {
						n++
					}
				}
				return n
			}
			So([]int{count("hall-1"), count("hall-2"), count("hall-9")}, ShouldResemble, []int{c.wantSameDomain, c.wantSameRegion, c.wantOtherRegions})
			So(len(slices.Compact(slices.Sorted(slices.Values(got)))), ShouldEqual, len(got))
		})
	}
	Convey("Lists from many daemons differ, so that callers spread over them", t, func() {
		eligible := group(200, "valley", "hall-1")
		So(addressesFor(eligible, "valley", "hall-1"), ShouldNotResemble, addressesFor(eligible, "valley", "hall-1"))
	})
}

// Guards against address lists that contain only large VMs. Only VMs with a disk have
// sufficient CPU for the widest gathers. If they all lose power for some seconds, callers
// keep their old lists, and one whose list has no other VM finds none, though 195 of 200
// work. A caller tries two addresses of its list.
func TestCallersReachDaemonWhileAllLargeVMsAreLost(t *testing.T) {
	const domains, smallPerDomain, callers = 5, 39, 2000
	var all []*vm.Member
	for d := range domains {
		domain := fmt.Sprintf("hall-%d", d)
		large := member("large-"+domain, domain, 512)
		all = append(all, &large)
		for i := range smallPerDomain {
			small := member(fmt.Sprintf("small-%s-%d", domain, i), domain, 192)
			all = append(all, &small)
		}
	}
	eligible := policy.Eligible(all, policy.RequiredMillicores(87, 60*time.Millisecond))
	lost := 0
	for range callers {
		list := addressesFor(eligible, "valley", "hall-0")
		if strings.HasPrefix(list[0], "large-") && strings.HasPrefix(list[1], "large-") {
			lost++
		}
	}
	if share := float64(lost) / callers; share > 0.1 {
		t.Errorf("%.2f of the callers reach no daemon", share)
	}
	if len(eligible) > len(all)/5 {
		t.Errorf("%d of %d daemons accept callers, and each holds connections to every leaf", len(eligible), len(all))
	}
}

// BenchmarkRoles computes the daemon roles in a tier of 3600 daemons.
func BenchmarkRoles(b *testing.B) {
	for _, c := range []struct {
		what       string
		sufficient int
	}{{"alike", 3600}, {"few fit", 17}} {
		b.Run(c.what, func(b *testing.B) {
			var all []*vm.Member
			for i := range 3600 {
				millicores := uint32(192)
				if i < c.sufficient {
					millicores = 512
				}
				m := member(fmt.Sprint("vm-", i), fmt.Sprint("hall-", i%17), millicores)
				all = append(all, &m)
			}
			for b.Loop() {
				computeRoles(all, 435)
			}
		})
	}
}
