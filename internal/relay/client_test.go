package relay

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"pearmoor/internal/link/wire"
	"pearmoor/internal/vm"
)

// inWorld runs f in virtual time and ends everything it started.
func inWorld(t *testing.T, f func(w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := newWorld(ctx, 1)
		f(w)
		cancel()
		w.running.Wait()
		time.Sleep(2 * time.Minute)
	})
}

// startMany runs n daemons of one failure domain and waits until all serve.
func (w *world) startMany(n, direct, fanout int) []*daemon {
	out := make([]*daemon, n)
	for i := range out {
		out[i] = w.startDaemon(identity(fmt.Sprintf("d%03d", i), 1), direct, fanout)
	}
	time.Sleep(10 * time.Second)
	return out
}

// unconfirmedFor lets d pass and returns the longest time that a daemon was
// without a lease in it.
func (w *world) unconfirmedFor(d time.Duration, ds ...*daemon) time.Duration {
	const step = 10 * time.Millisecond
	var longest time.Duration
	without := make([]time.Duration, len(ds))
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(step)
		synctest.Wait()
		for i, one := range ds {
			without[i] += step
			if one.client.Current().Confirmed(w.clock()) {
				without[i] = 0
			}
			longest = max(longest, without[i])
		}
	}
	return longest
}

// busiestRelay returns the relay that most daemons use first, and how many.
func busiestRelay(ds []*daemon) (busiest *daemon, children int) {
	uses := make(map[string]int)
	for _, d := range ds {
		if r := d.relays(); len(r) > 0 {
			uses[r[0]]++
		}
	}
	for _, d := range ds {
		if n := uses[d.client.cfg.Self.PeerAddr]; n > children {
			busiest, children = d, n
		}
	}
	return busiest, children
}

func without(ds []*daemon, one *daemon) []*daemon {
	return slices.DeleteFunc(slices.Clone(ds), func(d *daemon) bool { return d == one })
}

// The address that a daemon syncs with stops answering without closing anything.
// Callers see no refusal: the daemon gives the call up, asks the other control
// address, and has its lease renewed long before it runs out.
func TestSilentCutOfUpstream(t *testing.T) {
	inWorld(t, func(w *world) {
		w.fabric.serve("control-2", w.leader)
		d := w.startDaemon(identity("d1", 1), 64, 8)
		d.upstreams(func(u *upstreams) { u.setControl([]string{leaderAddr, "control-2"}) })
		time.Sleep(5 * time.Second)
		first := d.client.ControlGroup()[0]
		w.fabric.setCut(first, true)
		before := d.client.Current().Lease
		time.Sleep(DefaultInterval + callMargin + 2*firstRetry)
		synctest.Wait()
		Convey("the lease is renewed through the other address", t, func() {
			So(first, ShouldNotEqual, "")
			So(d.client.Current().Lease, ShouldBeGreaterThan, before)
			So(w.unconfirmedFor(30*time.Second, d), ShouldEqual, 0)
		})
	})
}

// Everything was restarted, and a daemon is told of another one that has only just
// started too and knows nothing. Held there for an interval, it would turn its callers
// away all the while, though the leader beside it could tell it everything.
func TestRelayWithoutStateSaysSoSoon(t *testing.T) {
	inWorld(t, func(w *world) {
		lost := w.startDaemon(identity("d1", 1), 64, 8)
		lost.upstreams(func(u *upstreams) { u.control, u.seeds = []string{"nowhere"}, nil })
		began := w.clock()
		reply, err := lost.client.Server().Sync(w.ctx, &wire.SyncRequest{
			WaitMs:     uint32(DefaultInterval.Milliseconds()),
			Heartbeats: []*wire.Heartbeat{{Vm: vm.ToWire(vm.Member{Identity: identity("d2", 1)})}},
		})
		took := w.clock().Sub(began)
		Convey("it answers long before an interval is over and grants nothing", t, func() {
			So(err, ShouldBeNil)
			So(reply.Granted, ShouldBeFalse)
			So(reply.ConfigVersion, ShouldEqual, 0)
			So(took, ShouldBeLessThanOrEqualTo, statelessHold)
		})
	})
}

// A daemon starts and is told of VMs that are not of the group; it hears where the
// group is while it waits to ask again. It asks at once: callers are turned away until
// it has an answer.
func TestNewSeedsAreAskedAtOnce(t *testing.T) {
	inWorld(t, func(w *world) {
		d := w.startDaemon(identity("d1", 1), 64, 8)
		d.upstreams(func(u *upstreams) { u.control, u.seeds = []string{"nowhere"}, nil })
		time.Sleep(4 * time.Second)
		d.client.SetSeeds([]string{"nowhere", leaderAddr})
		time.Sleep(20 * time.Millisecond)
		synctest.Wait()
		Convey("the daemon has its configuration", t, func() {
			So(d.client.Current().Tree, ShouldNotBeNil)
		})
	})
}

// A relay dies with all its children attached. They see silence, choose another
// relay or control, and no lease runs out, so no caller is refused.
func TestRelayLost(t *testing.T) {
	inWorld(t, func(w *world) {
		ds := w.startMany(24, 1, 6)
		relay, children := busiestRelay(ds)
		busiest := relay.client.cfg.Self.PeerAddr
		w.fabric.setCut(busiest, true)
		others := without(ds, relay)
		Convey("every other daemon keeps its lease", t, func() {
			So(children, ShouldBeGreaterThan, 1)
			So(w.unconfirmedFor(20*time.Second, others...), ShouldEqual, 0)
		})
	})
}

// Both relays of a daemon are cut off silently while the leader answers. Callers would be
// served by an older configuration for as long as the two are asked in turn, each while
// the pause of the other ends.
func TestBothRelaysLost(t *testing.T) {
	inWorld(t, func(w *world) {
		ds := w.startMany(24, 1, 6)
		relay, _ := busiestRelay(ds)
		child := ds[slices.IndexFunc(ds, func(d *daemon) bool {
			r := d.relays()
			return len(r) > 0 && r[0] == relay.client.cfg.Self.PeerAddr
		})]
		lost := child.relays()
		for _, addr := range lost {
			w.fabric.setCut(addr, true)
		}
		time.Sleep(100 * time.Millisecond)
		var longest time.Duration
		for i := range 60 {
			w.move(i)
			state, _ := w.leader.history.State()
			want, began := state.ConfigVersion, time.Now()
			for child.client.Current().ConfigVersion < want && time.Since(began) < time.Minute {
				time.Sleep(10 * time.Millisecond)
				synctest.Wait()
			}
			longest = max(longest, time.Since(began))
			time.Sleep(700 * time.Millisecond)
		}
		Convey("the daemon asks the leader between them and hears of every change soon", t, func() {
			So(len(lost), ShouldEqual, maxRelays)
			So(longest, ShouldBeLessThan, 3*time.Second)
		})
	})
}

// naming is a control VM that does not lead and names the one that does.
type naming struct {
	*modelLeader
	leader string
}

func (n naming) Sync(context.Context, *wire.SyncRequest) (*wire.SyncReply, error) {
	return &wire.SyncReply{Redirect: n.leader}, nil
}

// A daemon is cut off, and meanwhile a relay of it that is a control VM is elected. The
// other control VMs name that one. Callers would be served by an older configuration
// until it is no longer passed over, as relays are for up to half a minute.
func TestRelayElectedWhileCutOff(t *testing.T) {
	inWorld(t, func(w *world) {
		ds := w.startMany(24, 1, 6)
		child := ds[slices.IndexFunc(ds, func(d *daemon) bool { return len(d.relays()) > 0 })]
		elected := child.relays()[0]
		child.upstreams(func(u *upstreams) { u.setControl([]string{leaderAddr, elected}) })
		self := child.client.cfg.Self.PeerAddr
		w.fabric.setCut(self, true)
		time.Sleep(8 * time.Second)
		w.fabric.serve(elected, w.leader)
		w.fabric.serve(leaderAddr, naming{w.leader, elected})
		w.move(1)
		state, _ := w.leader.history.State()
		w.fabric.setCut(self, false)
		began := time.Now()
		for child.client.Current().ConfigVersion < state.ConfigVersion && time.Since(began) < time.Minute {
			time.Sleep(10 * time.Millisecond)
			synctest.Wait()
		}
		took := time.Since(began)
		Convey("the daemon hears of a change soon after the cut", t, func() {
			So(took, ShouldBeLessThan, 3*time.Second)
		})
	})
}

// A relay loses the leader but not its children. It has nothing to grant, says
// so, and the children go elsewhere before their leases run out; meanwhile no
// child believes a lease that the leader has given up.
func TestRelayCutOffStopsGranting(t *testing.T) {
	inWorld(t, func(w *world) {
		ds := w.startMany(24, 1, 6)
		relay, _ := busiestRelay(ds)
		w.fabric.cutBetween(relay.client.cfg.Self.PeerAddr, leaderAddr, true)
		longest := w.unconfirmedFor(20*time.Second, without(ds, relay)...)
		worst := w.checkLeases()
		Convey("children keep leases that the leader knows, the relay loses its own", t, func() {
			So(worst, ShouldBeNil)
			So(longest, ShouldEqual, 0)
			So(relay.client.Current().Confirmed(w.clock()), ShouldBeFalse)
		})
	})
}

// A daemon is stopped for 30 s with a reply on its way and runs on. The reply is
// read as if it had just come, but it answers a request of long ago: the daemon
// has no lease, and callers are told that nothing was run.
func TestPausedDaemonHasNoLease(t *testing.T) {
	inWorld(t, func(w *world) {
		w.fabric.late = true
		d := w.startDaemon(identity("d1", 1), 64, 8)
		time.Sleep(5 * time.Second)
		resume := w.fabric.pause(d.client.cfg.Self.PeerAddr)
		time.Sleep(30 * time.Second)
		before := d.client.Current().Lease
		w.fabric.setCut(leaderAddr, true) // only what was on its way arrives
		resume()
		time.Sleep(time.Second)
		Convey("what was on its way renews nothing", t, func() {
			So(d.client.Current().Confirmed(w.clock()), ShouldBeFalse)
			So(d.client.Current().Lease.Sub(before), ShouldBeLessThan, 2*time.Second)
		})
	})
}

// A second run of a daemon starts while the first still lives. The first one's
// Run ends with an error that names both, as its shares are the second one's.
func TestSuperseded(t *testing.T) {
	inWorld(t, func(w *world) {
		first := w.startDaemon(identity("d1", 1), 64, 8)
		time.Sleep(3 * time.Second)
		w.startDaemon(identity("d1", 2), 64, 8)
		time.Sleep(10 * time.Second)
		first.mu.Lock()
		err := first.ended
		first.mu.Unlock()
		Convey("the older run stops", t, func() {
			var superseded *SupersededError
			So(errors.As(err, &superseded), ShouldBeTrue)
			So(superseded.Error(), ShouldContainSubstring, "incarnation 2 is known, this one is 1")
		})
	})
}

// A change on its way is damaged, or made on another tree: the digest after it is
// not the one stated. The daemon neither takes it nor counts the grant that came
// with it, asks for the whole state, and is right again with the next reply.
func TestDigestMismatch(t *testing.T) {
	inWorld(t, func(w *world) {
		_ = w.leader.edit(set(service, "leaf-slots", "4"))
		d := w.startDaemon(identity("d1", 1), 64, 8)
		time.Sleep(5 * time.Second)
		v := d.client.Current()
		bad := &wire.SyncReply{
			ConfigVersion: 2, ConfigDigest: 7, Granted: true, LeaseMs: 60_000,
			Deltas: []*wire.TreeDelta{{Version: 2, Digest: 7}},
		}
		out, granted := d.client.receive(leaderAddr, w.clock(), &wire.SyncRequest{}, bad, false)
		unharmed := d.client.Current() == v && d.client.whole
		_ = w.leader.edit(set(service, "leaf-slots", "3"))
		time.Sleep(3 * time.Second)
		Convey("nothing of it is taken, and the next reply mends it", t, func() {
			So(granted, ShouldBeFalse)
			So(out, ShouldEqual, changed)
			So(unharmed, ShouldBeTrue)
			So(d.client.Current().ConfigVersion, ShouldEqual, 2)
			So(d.client.Current().Confirmed(w.clock()), ShouldBeTrue)
		})
	})
}

// 300 daemons restart together, with relays among them, while the leader keeps
// the membership they had. Were they to retry in step, the leader would drown
// and no lease would be renewed. Its calls stay near one per daemon in the worst
// second and fall to those of the relays.
func TestRestartOfAllMakesNoHerd(t *testing.T) {
	const n = 300
	inWorld(t, func(w *world) {
		w.fabric.delay = 2 * time.Millisecond
		old := w.startMany(n, 64, 8)
		for _, d := range old {
			d.cancel()
		}
		time.Sleep(time.Second)
		var again []*daemon
		for i := range n {
			again = append(again, w.startDaemon(identity(fmt.Sprintf("d%03d", i), 2), 64, 8))
		}
		var perSecond []int
		for range 40 {
			before := w.fabric.callsTo(leaderAddr)
			time.Sleep(time.Second)
			perSecond = append(perSecond, w.fabric.callsTo(leaderAddr)-before)
		}
		relays := 0
		for _, d := range again {
			if len(d.relays()) == 0 {
				relays++
			}
		}
		worst := 0
		for _, c := range perSecond {
			worst = max(worst, c)
		}
		t.Logf("calls per second at the leader: %v; relays: %d", perSecond, relays)
		Convey("the leader's calls are bounded, and all are confirmed", t, func() {
			So(worst, ShouldBeLessThanOrEqualTo, 2*n)
			So(perSecond[len(perSecond)-1], ShouldBeLessThanOrEqualTo, 3*relays)
			So(w.unconfirmedFor(5*time.Second, again...), ShouldEqual, 0)
			m := again[0].client.Current().Settled
			member, _ := m.Find("d000")
			So(member.Phase, ShouldEqual, vm.Serving)
			So(member.Incarnation, ShouldEqual, 2)
		})
	})
}

// leaderless is a control VM that knows no leader until one is elected.
type leaderless struct {
	*modelLeader
	clock   vm.Clock
	elected vm.Instant
}

func (l leaderless) Sync(ctx context.Context, req *wire.SyncRequest) (*wire.SyncReply, error) {
	if l.clock() < l.elected {
		return &wire.SyncReply{}, nil
	}
	return l.modelLeader.Sync(ctx, req)
}

// Everything starts anew and it takes the control group a good second to elect a leader.
// A daemon without a configuration turns its callers away; it must have one soon after
// there is a leader, and not when a pause that has grown meanwhile ends.
func TestStartingDaemonsDoNotWaitLong(t *testing.T) {
	inWorld(t, func(w *world) {
		w.fabric.serve(leaderAddr, leaderless{w.leader, w.clock, w.clock().Add(1800 * time.Millisecond)})
		var ds []*daemon
		for i := range 8 {
			ds = append(ds, w.startDaemon(identity(fmt.Sprintf("d%d", i), 1), 64, 8))
		}
		time.Sleep(1800*time.Millisecond + startRetry + 2*firstRetry)
		synctest.Wait()
		late := 0
		for _, d := range ds {
			if d.client.Current().Tree == nil {
				late++
			}
		}
		Convey("all have the configuration", t, func() {
			So(late, ShouldEqual, 0)
		})
	})
}
