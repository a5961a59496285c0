package relay

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pearmoor/internal/link/wire"
	"pearmoor/internal/vm"
)

// Two of three control VMs are lost, and the daemon's pauses between calls are as
// long as those after which a lost address is tried again. Callers would be told
// unconfirmed for as long as the two are lost: asked in a fixed order, they take
// turns and the third, which works, is never asked.
func TestLivingControlIsNotStarved(t *testing.T) {
	Convey("Given three control addresses of which two fail every time", t, func() {
		u := newUpstreams(identity("d1", 1), []string{"a", "b", "c"})
		works := u.control[2]
		now := vm.Instant(time.Second)
		Convey("the third is asked within three calls", func() {
			for range 3 {
				addr, _ := u.pick(now)
				if addr == works {
					return
				}
				u.failed(addr, now)
				now = now.Add(2 * maxControlPause)
			}
			So("never asked", ShouldEqual, works)
		})
		Convey("it is asked as long as the others' failures are remembered", func() {
			for range 8 {
				u.failed(u.control[0], now)
				u.failed(u.control[1], now)
				now = now.Add(2 * maxControlPause)
			}
			addr, wait := u.pick(now)
			So(addr, ShouldEqual, works)
			So(wait, ShouldEqual, 0)
		})
	})
}

// A daemon has just started and control has confirmed its configuration, but the
// agreed membership does not hold this run yet. It must not take work: control
// says "in force everywhere" without waiting for it, so callers could be answered
// under an older configuration. With the membership the same lease counts.
func TestLeaseCountsFromMembershipOn(t *testing.T) {
	Convey("Given a daemon whose lease is granted before it is a member", t, func() {
		self := identity("d1", 2)
		now := vm.Instant(time.Second)
		c := NewClient(Config{Self: self, Clock: func() vm.Instant { return now }})
		reply := &wire.SyncReply{Granted: true, LeaseMs: 6000, SettledEpoch: 1, Settled: &wire.MembershipDelta{
			ToEpoch: 1, Upserts: []*wire.Vm{vm.ToWire(vm.Member{Identity: identity("d1", 1), Phase: vm.Serving})},
		}}
		c.install(&wire.SyncRequest{}, reply)
		c.renew(now, reply)
		So(c.Current().Confirmed(now), ShouldBeFalse)

		Convey("the lease counts once its own run is agreed on", func() {
			reply.PendingEpoch = 2
			reply.Pending = &wire.MembershipDelta{FromEpoch: 1, ToEpoch: 2,
				Upserts: []*wire.Vm{vm.ToWire(vm.Member{Identity: self, Phase: vm.Serving})}}
			c.install(&wire.SyncRequest{HaveSettled: 1}, reply)
			c.renew(now, reply)
			So(c.Current().Confirmed(now), ShouldBeTrue)
		})
	})
}

// The addresses named at a daemon's start are of VMs that do not belong to the
// control group; where the group is, it hears from others a moment later. Asked in
// a fixed order, the three useless ones would be free again, one after the other,
// each time the daemon looks, and the group would never be asked.
func TestSeedsHeardLaterAreAsked(t *testing.T) {
	useless := []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}
	u := newUpstreams(vm.Identity{Name: "vm"}, useless)
	u.setSeeds(append(slices.Clone(useless), "10.0.0.9:1"))
	now := vm.Instant(0)
	for range 5 {
		addr, _ := u.pick(now)
		if addr == "10.0.0.9:1" {
			return
		}
		u.failed(addr, now)
		now = now.Add(600 * time.Millisecond) // a call that was held and confirmed nothing
	}
	t.Fatal("the address heard later was never asked")
}

// The same, but the useless ones answer: each holds a call before it says that it knows
// nothing, and callers are turned away meanwhile.
func TestSeedsHeardLaterAreAskedFirst(t *testing.T) {
	u := newUpstreams(vm.Identity{Name: "vm"}, []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"})
	u.setSeeds([]string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1", "10.0.0.9:1"})
	if addr, _ := u.pick(0); addr != "10.0.0.9:1" {
		t.Fatalf("%s is asked first, not the address heard last", addr)
	}
	u.setControl([]string{"10.0.0.4:1"})
	if addr, _ := u.pick(0); addr != "10.0.0.4:1" {
		t.Fatalf("%s is asked first, not the one that the group has named", addr)
	}
}
