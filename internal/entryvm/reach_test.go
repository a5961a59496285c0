package entryvm

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pearmoor/internal/route"
	"pearmoor/internal/vm"
)

// reachTier is a tier of small and large VMs in which callers are normally sent to the
// large ones. self is a small VM.
type reachTier struct {
	self                   *VM
	members                *vm.Membership
	largeCount, smallCount int
}

// newReachTier starts a tier. The listeners of lost VMs accept connections and never
// answer.
func newReachTier(t *testing.T, largeLost, smallLost bool) *reachTier {
	t.Helper()
	tier := &reachTier{members: &vm.Membership{}, largeCount: 3, smallCount: 4}
	add := func(name string, millicores uint32, lost bool) *VM {
		lis := listen(t)
		m := member(name, "hall-1", millicores)
		m.PeerAddr = lis.Addr().String()
		tier.members.Members = append(tier.members.Members, m)
		v := testVM(t, name, m.PeerAddr, "")
		v.engine.Install(wideTable(), 1)
		if lost {
			t.Cleanup(func() { _ = lis.Close() })
		} else {
			serve(t, v, lis)
		}
		return v
	}
	for i := range tier.largeCount {
		add(fmt.Sprintf("large-%d", i), 512, largeLost)
	}
	for i := range tier.smallCount - 1 {
		add(fmt.Sprintf("small-%d", i), 192, smallLost)
	}
	tier.self = add("self", 192, false)
	return tier
}

// wideTable returns a table with a gather over too many shards for small VMs.
func wideTable() *route.Table {
	r := &route.Release{Number: 1}
	wide := route.Route{Name: "wide", Host: "shop.example", Prefix: "/all/", Repeatable: true, Timeout: time.Second, TargetLatency: 60 * time.Millisecond, Top: 5, MaxAttempts: 1}
	for i := range 87 {
		name := fmt.Sprintf("shard-%d", i)
		r.Services = append(r.Services, route.Service{Name: name, Connections: 10})
		wide.Shards = append(wide.Shards, name)
	}
	r.Routes = []route.Route{wide}
	return route.NewTable(r)
}

func (tier *reachTier) listedNames(t *testing.T) []string {
	t.Helper()
	members, _ := tier.self.reachable(tier.members)
	out := names(members)
	slices.Sort(out)
	return out
}

var (
	largeNames = []string{"large-0", "large-1", "large-2"}
	smallNames = []string{"self", "small-0", "small-1", "small-2"}
)

// Guards against address lists that contain only lost VMs, while the leader, which would
// report them, is lost as well.
func TestSmallVMsAreListedWhileAllLargeVMsAreLost(t *testing.T) {
	if got := newReachTier(t, true, false).listedNames(t); !slices.Equal(got, smallNames) {
		t.Errorf("callers are sent to %v", got)
	}
}

// Guards against small VMs in address lists while large ones are reachable.
func TestOnlyLargeVMsAreListedWhileReachable(t *testing.T) {
	tier := newReachTier(t, false, false)
	for range 3 {
		if got := tier.listedNames(t); !slices.Equal(got, largeNames) {
			t.Errorf("callers are sent to %v", got)
		}
	}
}

// Guards against a daemon that is cut off from the whole tier, takes all large VMs for
// lost and sends its callers to small VMs.
func TestIsolatedDaemonListsLargeVMs(t *testing.T) {
	if got := newReachTier(t, true, true).listedNames(t); !slices.Equal(got, largeNames) {
		t.Errorf("callers are sent to %v", got)
	}
}

// Guards against large VMs that stay out of address lists after they have recovered.
func TestRecoveredLargeVMsAreListedAgain(t *testing.T) {
	tier := newReachTier(t, true, false)
	_ = tier.listedNames(t)
	for i := range tier.largeCount {
		m := &tier.members.Members[i]
		lis := listen(t)
		m.PeerAddr = lis.Addr().String()
		v := testVM(t, m.Name, m.PeerAddr, "")
		v.engine.Install(wideTable(), 1)
		serve(t, v, lis)
	}
	tier.members = &vm.Membership{Members: tier.members.Members}
	if got := tier.listedNames(t); !slices.Equal(got, largeNames) {
		t.Errorf("callers are sent to %v", got)
	}
}

// Guards against gathers at small VMs that wait for parts from lost large VMs.
func TestSmallVMsDelegateToSmallVMs(t *testing.T) {
	tier := newReachTier(t, true, false)
	if got := names(tier.self.delegates(tier.members)); slices.ContainsFunc(got, func(n string) bool { return strings.HasPrefix(n, "large") }) || len(got) == 0 {
		t.Errorf("a small VM delegates to %v", got)
	}
	large := testVM(t, "large-0", tier.members.Members[0].PeerAddr, "")
	large.engine.Install(wideTable(), 1)
	if got := names(large.delegates(tier.members)); !slices.Equal(got, largeNames) {
		t.Errorf("a large VM delegates to %v", got)
	}
}

// Guards against callers that stay with small VMs for seconds after the large ones have
// recovered.
func TestSubstituteListsHaveShortLifetime(t *testing.T) {
	for _, c := range []struct {
		lost bool
		want time.Duration
	}{{false, addressListLifetime}, {true, substituteListLifetime}} {
		tier := newReachTier(t, c.lost, false)
		if _, keep := tier.self.reachable(tier.members); keep != c.want {
			t.Errorf("lost=%v: the list has a lifetime of %v", c.lost, keep)
		}
	}
}

// listRemovalTime is the time after which no address list may name a VM that has ended.
const listRemovalTime = 8 * time.Second

// Guards against an address list that names a VM long after it has ended, at whichever VM the
// caller asks; the leader, which reports such VMs, is among those that end.
func TestNoAddressListNamesVMThatHasEnded(t *testing.T) {
	t.Parallel()
	tier := startCrashTier(t)
	var leader *crashVM
	eventually(t, "there is a leader", func() bool {
		for _, v := range tier.vms {
			if v.isLeader() {
				leader = v
			}
		}
		return leader != nil
	})
	leader.stop()
	ended := time.Now()
	for _, v := range tier.vms {
		if v == leader {
			continue
		}
		for {
			addrs, _ := v.Addresses(crashHost, "valley", v.conf.Domain)
			if len(addrs) > 0 && !slices.Contains(addrs, leader.conf.CallerAddr) {
				break
			}
			if time.Since(ended) > listRemovalTime {
				t.Fatalf("%s names %s, which ended %v ago: %v", v.conf.Name, leader.conf.Name, time.Since(ended), addrs)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}
