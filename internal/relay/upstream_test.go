package relay

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pearmoor/internal/link/wire"
	"pearmoor/internal/vm"
)

// Two of three control VMs are lost, and the daemon's delays between calls are as long
// as the backoff of a lost address. In a fixed order the daemon would alternate
// between the two and never contact the third, which works, and callers would be told
// unconfirmed until one of the two returns.
func TestWorkingControlVMIsTriedBesideFailedOnes(t *testing.T) {
	Convey("Given three control addresses of which two fail every time", t, func() {
		u := newUpstreams(identity("d1", 1), []string{"a", "b", "c"})
		working := u.control[2]
		now := vm.Instant(time.Second)
		Convey("the third is contacted within three calls", func() {
			for range 3 {
				addr, _ := u.pick(now)
				if addr == working {
					return
				}
				u.markFailed(addr, now)
				now = now.Add(2 * maxControlBackoff)
			}
			So("never contacted", ShouldEqual, working)
		})
		Convey("it is contacted as long as the others are backed off", func() {
			for range 8 {
				u.markFailed(u.control[0], now)
				u.markFailed(u.control[1], now)
				now = now.Add(2 * maxControlBackoff)
			}
			addr, wait := u.pick(now)
			So(addr, ShouldEqual, working)
			So(wait, ShouldEqual, 0)
		})
	})
}

// A daemon has just started and control has confirmed its configuration, but the
// agreed membership does not contain this run yet. Control reports a version as in
// force everywhere without waiting for this run, so the run must not accept requests:
// it could answer callers under an older configuration. The same lease counts once the
// membership contains the run.
func TestLeaseRequiresMembership(t *testing.T) {
	Convey("Given a daemon whose lease is granted before it is a member", t, func() {
		self := identity("d1", 2)
		now := vm.Instant(time.Second)
		c := NewClient(Config{Self: self, Clock: func() vm.Instant { return now }})
		reply := &wire.SyncReply{Granted: true, LeaseMs: 6000, SettledEpoch: 1, Settled: &wire.MembershipDelta{
			ToEpoch: 1, Upserts: []*wire.Vm{vm.MemberToWire(vm.Member{Identity: identity("d1", 1), Phase: vm.Serving})},
		}}
		c.applyState(&wire.SyncRequest{}, reply)
		c.extendLease(now, reply)
		So(c.Current().HoldsLease(now), ShouldBeFalse)

		Convey("the lease counts once the membership contains its own run", func() {
			reply.PendingEpoch = 2
			reply.Pending = &wire.MembershipDelta{FromEpoch: 1, ToEpoch: 2,
				Upserts: []*wire.Vm{vm.MemberToWire(vm.Member{Identity: self, Phase: vm.Serving})}}
			c.applyState(&wire.SyncRequest{HaveSettled: 1}, reply)
			c.extendLease(now, reply)
			So(c.Current().HoldsLease(now), ShouldBeTrue)
		})
	})
}

// A daemon starts with addresses of VMs that are not in the control group and learns
// the group's address a moment later. In a fixed order the backoff of one of the three
// wrong addresses would have ended at each retry, and the group would never be
// contacted.
func TestSeedsAddedLaterAreTried(t *testing.T) {
	wrong := []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}
	u := newUpstreams(vm.Identity{Name: "vm"}, wrong)
	u.setSeeds(append(slices.Clone(wrong), "10.0.0.9:1"))
	now := vm.Instant(0)
	for range 5 {
		addr, _ := u.pick(now)
		if addr == "10.0.0.9:1" {
			return
		}
		u.markFailed(addr, now)
		now = now.Add(600 * time.Millisecond) // a held call that confirmed nothing
	}
	t.Fatal("the address added later was never contacted")
}

// As above, but the wrong addresses answer: each holds a call before it replies
// without state, and callers are refused in the meantime.
func TestSeedsAddedLaterAreTriedFirst(t *testing.T) {
	u := newUpstreams(vm.Identity{Name: "vm"}, []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"})
	u.setSeeds([]string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1", "10.0.0.9:1"})
	if addr, _ := u.pick(0); addr != "10.0.0.9:1" {
		t.Fatalf("%s is contacted first, not the address added last", addr)
	}
	u.setControl([]string{"10.0.0.4:1"})
	if addr, _ := u.pick(0); addr != "10.0.0.4:1" {
		t.Fatalf("%s is contacted first, not the address reported by the group", addr)
	}
}
