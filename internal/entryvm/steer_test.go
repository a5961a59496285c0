package entryvm

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pearmoor/internal/forward"
	"pearmoor/internal/route"
	"pearmoor/internal/vm"
)

func testVM(t *testing.T, name, peerAddr, dataDir string, seeds ...string) *VM {
	t.Helper()
	v, err := New(Config{
		Name: name, Domain: "hall-1", Region: "valley", PeerAddr: peerAddr, CallerAddr: name + ":80",
		Seeds: seeds, FirstStart: true, DataDir: dataDir, Tolerated: 1, ListRate: 10,
		Budget: forward.BudgetTerms{Ratio: 0.2, Burst: 60, Window: 10 * time.Second},
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

// wideTable returns a table whose widest gather has that many shards.
func wideTable(shards int, aim time.Duration) *route.Table {
	r := route.Route{Name: "wide", Host: "h", Prefix: "/", TargetLatency: aim, Timeout: time.Second}
	for i := range shards {
		r.Shards = append(r.Shards, fmt.Sprint("s", i))
	}
	return route.NewTable(&route.Release{Number: 1, Routes: []route.Route{r}})
}

// Gathers over 90 shards take 70 ms of a fifth of a core, longer than the callers want
// to wait for them. They are to be sent to the few larger VMs, unless so few are left
// that the loss of one would leave all callers to the next.
func TestCallersGoToVMsFitForTheWidestGather(t *testing.T) {
	Convey("Given six larger VMs among twenty small ones", t, func() {
		var all []*vm.Member
		add := func(n int, millicores uint32) {
			for range n {
				m := member(fmt.Sprintf("vm-%d-%d", millicores, len(all)), "hall-1", millicores)
				all = append(all, &m)
			}
		}
		add(6, 512)
		add(20, 192)
		need := fitMillicores(wideTable(90, 60*time.Millisecond))
		So(need, ShouldEqual, 450)

		Convey("the larger ones take callers", func() {
			So(len(fittest(all, need)), ShouldEqual, 6)
		})
		Convey("narrow gathers go to all", func() {
			So(len(fittest(all, fitMillicores(wideTable(20, 60*time.Millisecond)))), ShouldEqual, 26)
		})
		Convey("where none is fit those that come closest take callers", func() {
			So(len(fittest(all, 2000)), ShouldEqual, 6)
		})
		Convey("where too few of them are left all take callers", func() {
			So(len(fittest(all[4:], need)), ShouldEqual, 22)
		})
	})
}

// A VM loses power. Callers that are still sent there wait a second for each connect,
// so silent daemons and those that leave are not named; a daemon that others have not
// heard knows of itself that it is there.
func TestSilentAndLeavingDaemonsTakeNoCallers(t *testing.T) {
	Convey("Only daemons that serve and are heard take callers", t, func() {
		v := testVM(t, "self", "127.0.0.1:1", "")
		ms := &vm.Membership{Members: []vm.Member{
			member("self", "hall-1", 0), member("silent", "hall-1", 0), member("leaving", "hall-1", 0),
			member("closed", "hall-1", 0), member("well", "hall-1", 0),
		}}
		ms.Members[2].Phase = vm.Draining
		ms.Members[3].CallerAddr = ""
		v.book.SetQuiet([]string{"self", "silent"})
		So(names(v.takers(ms)), ShouldResemble, []string{"self", "well"})
		v.draining.Store(true)
		So(names(v.takers(ms)), ShouldResemble, []string{"well"})
	})
}

func TestNearestDaemons(t *testing.T) {
	far := member("far", "hall-9", 0)
	far.Region = "delta"
	near1, near2, other := member("near-1", "hall-1", 0), member("near-2", "hall-1", 0), member("other", "hall-2", 0)
	for _, c := range []struct {
		what           string
		takers         []*vm.Member
		region, domain string
		want           []string
	}{
		{"the caller's domain has enough", []*vm.Member{&near1, &other, &near2, &far}, "valley", "hall-1", []string{"near-1:80", "near-2:80"}},
		{"one alone is too few", []*vm.Member{&near1, &other, &far}, "valley", "hall-1", []string{"near-1:80", "other:80"}},
		{"none in the region", []*vm.Member{&near1, &other}, "delta", "hall-9", []string{"near-1:80", "other:80"}},
		{"none at all", nil, "valley", "hall-1", nil},
	} {
		Convey(c.what, t, func() {
			So(nearest(c.takers, c.region, c.domain), ShouldResemble, c.want)
		})
	}
}
