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

// runInCluster runs f in virtual time and stops everything it started.
func runInCluster(t *testing.T, f func(w *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := newCluster(ctx, 1)
		f(w)
		cancel()
		w.running.Wait()
		time.Sleep(2 * time.Minute)
	})
}

// startDaemons starts n daemons of one failure domain and waits until all are serving.
func (w *cluster) startDaemons(n, direct, fanout int) []*daemon {
	out := make([]*daemon, n)
	for i := range out {
		out[i] = w.startDaemon(identity(fmt.Sprintf("d%03d", i), 1), direct, fanout)
	}
	time.Sleep(10 * time.Second)
	return out
}

// longestWithoutLease waits for d and returns the longest time for which any of the
// daemons had no lease.
func (w *cluster) longestWithoutLease(d time.Duration, daemons ...*daemon) time.Duration {
	const step = 10 * time.Millisecond
	var longest time.Duration
	sinceLease := make([]time.Duration, len(daemons))
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(step)
		synctest.Wait()
		for i, one := range daemons {
			sinceLease[i] += step
			if one.client.Current().HoldsLease(w.clock()) {
				sinceLease[i] = 0
			}
			longest = max(longest, sinceLease[i])
		}
	}
	return longest
}

// busiestRelay returns the relay that is the first choice of most daemons, and their
// number.
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

func excluding(ds []*daemon, excluded *daemon) []*daemon {
	return slices.DeleteFunc(slices.Clone(ds), func(d *daemon) bool { return d == excluded })
}

// The upstream of a daemon stops answering without closing connections. The daemon
// must abandon the call, contact the other control address and renew its lease long
// before it expires, so that no caller is refused.
func TestUnresponsiveUpstreamIsReplaced(t *testing.T) {
	runInCluster(t, func(w *cluster) {
		w.network.serve("control-2", w.leader)
		d := w.startDaemon(identity("d1", 1), 64, 8)
		d.upstreams(func(u *upstreams) { u.setControl([]string{leaderAddr, "control-2"}) })
		time.Sleep(5 * time.Second)
		first := d.client.ControlGroup()[0]
		w.network.setCut(first, true)
		before := d.client.Current().LeaseEnd
		time.Sleep(DefaultInterval + replyMargin + 2*minRetryDelay)
		synctest.Wait()
		Convey("the lease is renewed through the other address", t, func() {
			So(first, ShouldNotEqual, "")
			So(d.client.Current().LeaseEnd, ShouldBeGreaterThan, before)
			So(w.longestWithoutLease(30*time.Second, d), ShouldEqual, 0)
		})
	})
}

// After a restart of all VMs a daemon contacts another one that has just started and
// has no state. If the call were held there for a whole interval, the daemon would
// refuse its callers for that time although the leader could answer it.
func TestRelayWithoutStateRepliesEarly(t *testing.T) {
	runInCluster(t, func(w *cluster) {
		stateless := w.startDaemon(identity("d1", 1), 64, 8)
		stateless.upstreams(func(u *upstreams) { u.control, u.seeds = []string{"nowhere"}, nil })
		began := w.clock()
		reply, err := stateless.client.Server().Sync(w.ctx, &wire.SyncRequest{
			WaitMs:     uint32(DefaultInterval.Milliseconds()),
			Heartbeats: []*wire.Heartbeat{{Vm: vm.MemberToWire(vm.Member{Identity: identity("d2", 1)})}},
		})
		took := w.clock().Sub(began)
		Convey("it replies long before an interval is over and grants nothing", t, func() {
			So(err, ShouldBeNil)
			So(reply.Granted, ShouldBeFalse)
			So(reply.ConfigVersion, ShouldEqual, 0)
			So(took, ShouldBeLessThanOrEqualTo, statelessHoldTime)
		})
	})
}

// A daemon starts with addresses that are not in the control group and learns the
// right ones while it waits for its next retry. It must contact them immediately, as
// it refuses callers until it has a configuration.
func TestNewSeedsAreContactedImmediately(t *testing.T) {
	runInCluster(t, func(w *cluster) {
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

// A relay fails with all its children connected. They must detect the silence and
// switch to another relay or to control before their leases expire, so that no caller
// is refused.
func TestLeasesSurviveRelayFailure(t *testing.T) {
	runInCluster(t, func(w *cluster) {
		ds := w.startDaemons(24, 1, 6)
		relay, children := busiestRelay(ds)
		busiest := relay.client.cfg.Self.PeerAddr
		w.network.setCut(busiest, true)
		others := excluding(ds, relay)
		Convey("every other daemon keeps its lease", t, func() {
			So(children, ShouldBeGreaterThan, 1)
			So(w.longestWithoutLease(20*time.Second, others...), ShouldEqual, 0)
		})
	})
}

// Both relays of a daemon stop answering while the leader is reachable. If the daemon
// only alternated between the two, each while the backoff of the other ends, it would
// serve callers with an outdated configuration.
func TestLeaderIsContactedWhenBothRelaysFail(t *testing.T) {
	runInCluster(t, func(w *cluster) {
		ds := w.startDaemons(24, 1, 6)
		relay, _ := busiestRelay(ds)
		child := ds[slices.IndexFunc(ds, func(d *daemon) bool {
			r := d.relays()
			return len(r) > 0 && r[0] == relay.client.cfg.Self.PeerAddr
		})]
		lost := child.relays()
		for _, addr := range lost {
			w.network.setCut(addr, true)
		}
		time.Sleep(100 * time.Millisecond)
		var longest time.Duration
		for i := range 60 {
			w.moveLeaf(i)
			state, _ := w.leader.history.State()
			want, began := state.ConfigVersion, time.Now()
			for child.client.Current().ConfigVersion < want && time.Since(began) < time.Minute {
				time.Sleep(10 * time.Millisecond)
				synctest.Wait()
			}
			longest = max(longest, time.Since(began))
			time.Sleep(700 * time.Millisecond)
		}
		Convey("the daemon contacts the leader between the two and gets every change soon", t, func() {
			So(len(lost), ShouldEqual, maxRelays)
			So(longest, ShouldBeLessThan, 3*time.Second)
		})
	})
}

// redirectingControlVM is a control VM that is not the leader and names the leader.
type redirectingControlVM struct {
	*modelLeader
	leader string
}

func (n redirectingControlVM) Sync(context.Context, *wire.SyncRequest) (*wire.SyncReply, error) {
	return &wire.SyncReply{Redirect: n.leader}, nil
}

// While a daemon is cut off, one of its relays, which is a control VM, is elected as
// the leader. The other control VMs name it. If the daemon still applied the relay
// backoff of up to half a minute to it, callers would be served with an outdated
// configuration for as long.
func TestDaemonFollowsRelayElectedAsLeader(t *testing.T) {
	runInCluster(t, func(w *cluster) {
		ds := w.startDaemons(24, 1, 6)
		child := ds[slices.IndexFunc(ds, func(d *daemon) bool { return len(d.relays()) > 0 })]
		elected := child.relays()[0]
		child.upstreams(func(u *upstreams) { u.setControl([]string{leaderAddr, elected}) })
		self := child.client.cfg.Self.PeerAddr
		w.network.setCut(self, true)
		time.Sleep(8 * time.Second)
		w.network.serve(elected, w.leader)
		w.network.serve(leaderAddr, redirectingControlVM{w.leader, elected})
		w.moveLeaf(1)
		state, _ := w.leader.history.State()
		w.network.setCut(self, false)
		began := time.Now()
		for child.client.Current().ConfigVersion < state.ConfigVersion && time.Since(began) < time.Minute {
			time.Sleep(10 * time.Millisecond)
			synctest.Wait()
		}
		took := time.Since(began)
		Convey("the daemon gets a change soon after the cut ends", t, func() {
			So(took, ShouldBeLessThan, 3*time.Second)
		})
	})
}

// A relay loses the leader but not its children. It must stop granting leases and say
// so, so that the children switch to another upstream before their leases expire. No
// child may believe that it holds a lease that the leader regards as expired.
func TestRelayWithoutLeaderStopsGranting(t *testing.T) {
	runInCluster(t, func(w *cluster) {
		ds := w.startDaemons(24, 1, 6)
		relay, _ := busiestRelay(ds)
		w.network.cutBetween(relay.client.cfg.Self.PeerAddr, leaderAddr, true)
		longest := w.longestWithoutLease(20*time.Second, excluding(ds, relay)...)
		leaseErr := w.checkLeases()
		Convey("children keep leases that the leader granted, the relay loses its own", t, func() {
			So(leaseErr, ShouldBeNil)
			So(longest, ShouldEqual, 0)
			So(relay.client.Current().HoldsLease(w.clock()), ShouldBeFalse)
		})
	})
}

// Guards against daemons that stay with a relay that has lost the leader, as long as it hands
// out the grants that it still has, and miss a change meanwhile.
func TestChildrenOfRelayWithoutLeaderGetChanges(t *testing.T) {
	const phases, phaseStep = 20, 53 * time.Millisecond
	worst := time.Duration(0)
	for phase := range phases {
		runInCluster(t, func(w *cluster) {
			w.interval = 500 * time.Millisecond
			ds := w.startDaemons(24, 1, 6)
			relay, _ := busiestRelay(ds)
			time.Sleep(time.Duration(phase) * phaseStep)
			w.network.cutBetween(relay.client.cfg.Self.PeerAddr, leaderAddr, true)
			w.moveLeaf(1)
			state, _ := w.leader.history.State()
			began := time.Now()
			for _, d := range excluding(ds, relay) {
				for d.client.Current().ConfigVersion < state.ConfigVersion && time.Since(began) < time.Minute {
					time.Sleep(10 * time.Millisecond)
					synctest.Wait()
				}
			}
			worst = max(worst, time.Since(began))
		})
	}
	t.Logf("the last daemon got the change after %v", worst)
	Convey("all get a change within 3 s", t, func() {
		So(worst, ShouldBeLessThan, 3*time.Second)
	})
}

// A daemon is paused for 30 s with a reply in flight and then resumes. It reads the
// reply as if it had just arrived, but the reply answers a request of long ago. The
// daemon must not regard its lease as renewed.
func TestReplyReadAfterPauseRenewsNoLease(t *testing.T) {
	runInCluster(t, func(w *cluster) {
		w.network.lateReplies = true
		d := w.startDaemon(identity("d1", 1), 64, 8)
		time.Sleep(5 * time.Second)
		resume := w.network.pause(d.client.cfg.Self.PeerAddr)
		time.Sleep(30 * time.Second)
		before := d.client.Current().LeaseEnd
		w.network.setCut(leaderAddr, true) // only messages already in flight arrive
		resume()
		time.Sleep(time.Second)
		Convey("the messages in flight renew no lease", t, func() {
			So(d.client.Current().HoldsLease(w.clock()), ShouldBeFalse)
			So(d.client.Current().LeaseEnd.Sub(before), ShouldBeLessThan, 2*time.Second)
		})
	})
}

// A second run of a daemon starts while the first is still running. Run of the first
// must return an error that names both, as the shares belong to the second.
func TestOlderRunStopsWhenSuperseded(t *testing.T) {
	runInCluster(t, func(w *cluster) {
		first := w.startDaemon(identity("d1", 1), 64, 8)
		time.Sleep(3 * time.Second)
		w.startDaemon(identity("d1", 2), 64, 8)
		time.Sleep(10 * time.Second)
		first.mu.Lock()
		err := first.runErr
		first.mu.Unlock()
		Convey("the older run stops", t, func() {
			var superseded *SupersededError
			So(errors.As(err, &superseded), ShouldBeTrue)
			So(superseded.Error(), ShouldContainSubstring, "incarnation 2 is known, this one is 1")
		})
	})
}

// A delta is corrupted in transit or was made on another tree, so the digest of the
// result does not match. The daemon must apply neither the delta nor the grant that
// came with it, must request the full state, and must recover with the next reply.
func TestDigestMismatchRequestsFullState(t *testing.T) {
	runInCluster(t, func(w *cluster) {
		_ = w.leader.edit(setEdit(service, "leaf-slots", "4"))
		d := w.startDaemon(identity("d1", 1), 64, 8)
		time.Sleep(5 * time.Second)
		v := d.client.Current()
		bad := &wire.SyncReply{
			ConfigVersion: 2, ConfigDigest: 7, Granted: true, LeaseMs: 60_000,
			Deltas: []*wire.TreeDelta{{Version: 2, Digest: 7}},
		}
		out, granted := d.client.handleReply(leaderAddr, w.clock(), &wire.SyncRequest{}, bad, false)
		viewUnchanged := d.client.Current() == v && d.client.requestFullState
		_ = w.leader.edit(setEdit(service, "leaf-slots", "3"))
		time.Sleep(3 * time.Second)
		Convey("nothing in the reply is applied, and the daemon recovers with the next reply", t, func() {
			So(granted, ShouldBeFalse)
			So(out, ShouldEqual, stateChanged)
			So(viewUnchanged, ShouldBeTrue)
			So(d.client.Current().ConfigVersion, ShouldEqual, 2)
			So(d.client.Current().HoldsLease(w.clock()), ShouldBeTrue)
		})
	})
}

// 300 daemons, relays among them, restart together while the leader keeps their
// previous membership. If they retried in step, the leader would be overloaded and no
// lease renewed. The leader's calls must stay near one per daemon in the worst second
// and then fall to those of the relays.
func TestRestartOfAllDaemonsBoundsLeaderCalls(t *testing.T) {
	const n = 300
	runInCluster(t, func(w *cluster) {
		w.network.delay = 2 * time.Millisecond
		old := w.startDaemons(n, 64, 8)
		for _, d := range old {
			d.cancel()
		}
		time.Sleep(time.Second)
		var restarted []*daemon
		for i := range n {
			restarted = append(restarted, w.startDaemon(identity(fmt.Sprintf("d%03d", i), 2), 64, 8))
		}
		var perSecond []int
		for range 40 {
			before := w.network.callsTo(leaderAddr)
			time.Sleep(time.Second)
			perSecond = append(perSecond, w.network.callsTo(leaderAddr)-before)
		}
		relays := 0
		for _, d := range restarted {
			if len(d.relays()) == 0 {
				relays++
			}
		}
		worst := 0
		for _, c := range perSecond {
			worst = max(worst, c)
		}
		t.Logf("calls per second to the leader: %v; relays: %d", perSecond, relays)
		Convey("the leader's calls are bounded, and all are confirmed", t, func() {
			So(worst, ShouldBeLessThanOrEqualTo, 2*n)
			So(perSecond[len(perSecond)-1], ShouldBeLessThanOrEqualTo, 3*relays)
			So(w.longestWithoutLease(5*time.Second, restarted...), ShouldEqual, 0)
			m := restarted[0].client.Current().Settled
			member, _ := m.Find("d000")
			So(member.Phase, ShouldEqual, vm.Serving)
			So(member.Incarnation, ShouldEqual, 2)
		})
	})
}

// controlVMWithoutLeader is a control VM that knows no leader before electedAt.
type controlVMWithoutLeader struct {
	*modelLeader
	clock     vm.Clock
	electedAt vm.Instant
}

func (l controlVMWithoutLeader) Sync(ctx context.Context, req *wire.SyncRequest) (*wire.SyncReply, error) {
	if l.clock() < l.electedAt {
		return &wire.SyncReply{}, nil
	}
	return l.modelLeader.Sync(ctx, req)
}

// All VMs restart, and the control group takes more than a second to elect a leader. A
// daemon without a configuration refuses its callers, so it must get one soon after
// the election and not when a retry delay that has grown in the meantime ends.
func TestStartingDaemonsRetryWithinStartupDelay(t *testing.T) {
	runInCluster(t, func(w *cluster) {
		w.network.serve(leaderAddr, controlVMWithoutLeader{w.leader, w.clock, w.clock().Add(1800 * time.Millisecond)})
		var ds []*daemon
		for i := range 8 {
			ds = append(ds, w.startDaemon(identity(fmt.Sprintf("d%d", i), 1), 64, 8))
		}
		time.Sleep(1800*time.Millisecond + startupMaxRetryDelay + 2*minRetryDelay)
		synctest.Wait()
		withoutTree := 0
		for _, d := range ds {
			if d.client.Current().Tree == nil {
				withoutTree++
			}
		}
		Convey("all have the configuration", t, func() {
			So(withoutTree, ShouldEqual, 0)
		})
	})
}
