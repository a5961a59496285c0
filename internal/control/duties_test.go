package control

import (
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pearmoor/internal/link/wire"
	"pearmoor/internal/vm"
)

// offsetClock is the real clock plus an offset that a test advances.
type offsetClock struct{ offset atomic.Int64 }

func (c *offsetClock) now() vm.Instant { return vm.Now().Add(time.Duration(c.offset.Load())) }

func (c *offsetClock) advance(d time.Duration) { c.offset.Add(int64(d)) }

// fakeDaemon sends one heartbeat per call of heartbeat.
type fakeDaemon struct {
	client *client
	req    *wire.SyncRequest
}

func newFakeDaemon(c *client, name string) *fakeDaemon {
	return &fakeDaemon{c, &wire.SyncRequest{Heartbeats: []*wire.Heartbeat{{Vm: serving(name, 1)}}}}
}

// heartbeat makes one Sync call. If acknowledge is set, the next call acknowledges the
// epoch and confirms the configuration version of the reply.
func (d *fakeDaemon) heartbeat(acknowledge bool) *wire.SyncReply {
	d.client.t.Helper()
	var r *wire.SyncReply
	eventually(d.client.t, "the leader answers", func() bool {
		var err error
		r, err = d.client.spread().Sync(callCtx(d.client.t), d.req)
		return err == nil && r.Redirect == "" && (r.Granted || len(r.Refused) > 0)
	})
	if acknowledge {
		hb := d.req.Heartbeats[0]
		hb.AckedEpoch, hb.ConfigVersion = max(r.PendingEpoch, r.SettledEpoch), r.ConfigVersion
	}
	return r
}

// heartbeatUntilSettled sends heartbeats until all daemons are settled members and no
// epoch is pending. It returns the settled epoch.
func heartbeatUntilSettled(t *testing.T, daemons ...*fakeDaemon) uint64 {
	t.Helper()
	var last *wire.SyncReply
	eventually(t, "the epoch settles", func() bool {
		for _, d := range daemons {
			last = d.heartbeat(true)
		}
		members := 0
		for _, u := range last.Settled.GetUpserts() {
			if u.Phase == uint32(vm.Serving) {
				members++
			}
		}
		return last.PendingEpoch == 0 && members == len(daemons)
	})
	return last.SettledEpoch
}

// consistently checks that ok returns true for 250 ms, during which the leader loop runs
// several times.
func consistently(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(250 * time.Millisecond); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if !ok() {
			t.Fatalf("no longer holds: %s", what)
		}
	}
}

func TestEpochsWaitForAcksAndLeases(t *testing.T) {
	t.Parallel()
	Convey("Given a control VM and two daemons that are settled members", t, func() {
		clock := &offsetClock{}
		v := startVM(t, Config{ID: 1, Name: "ctl-1", DataDir: t.TempDir(), Bootstrap: true, Clock: clock.now}, listen(t, "127.0.0.1:0"))
		Reset(func() { v.cancel() })
		eventually(t, "it leads", v.isLeader)
		c := dialVM(t, v)
		a, b := newFakeDaemon(c, "a"), newFakeDaemon(c, "b")
		epoch := heartbeatUntilSettled(t, a, b)
		lease := v.node.stateView().daemonLease

		// b stops sending heartbeats without notice. It may send to leaves until its
		// lease has expired. And requests of a in flight may exceed the shares of the
		// next epoch until a has acknowledged it.
		Convey("the silent daemon's share is reassigned only after its lease has expired and the other daemon has acknowledged the epoch", func() {
			clock.advance(lease - time.Second)
			consistently(t, "b is a member", func() bool {
				r := a.heartbeat(true)
				return r.SettledEpoch == epoch && r.PendingEpoch == 0
			})
			clock.advance(time.Second)
			eventually(t, "an epoch without b is pending", func() bool { return a.heartbeat(false).PendingEpoch > epoch })
			consistently(t, "it is not settled", func() bool { return a.heartbeat(false).SettledEpoch == epoch })
			a.heartbeat(true)
			eventually(t, "it settles", func() bool { return a.heartbeat(true).SettledEpoch > epoch })
		})

		// The control VM restarts right after b became silent. The new leader does not
		// know when b's lease was granted, so it must assume the latest possible time.
		Convey("a new leader waits until all leases that its predecessor may have granted have expired", func() {
			v = v.restart()
			eventually(t, "it leads again", v.isLeader)
			c = dialVM(t, v)
			a.client = c
			r := c.change("x", 0, "deadline-max", "3s")
			So(r.Outcome, ShouldEqual, wire.Outcome_ACCEPTED)
			clock.advance(lease - time.Second)
			consistently(t, "b is a member and the change waits for its confirmation", func() bool {
				r := a.heartbeat(true)
				f, err := c.control().InForce(callCtx(t), &wire.InForceRequest{Version: 1})
				return r.SettledEpoch == epoch && r.PendingEpoch == 0 && r.InForce == 0 &&
					err == nil && !f.InForce && len(f.Unconfirmed) > 0 && f.Unconfirmed[len(f.Unconfirmed)-1] == "b"
			})
			clock.advance(2 * time.Second)
			eventually(t, "b leaves and the change is in force", func() bool {
				r := a.heartbeat(true)
				return r.SettledEpoch > epoch && r.InForce == 1
			})
			f, err := c.control().InForce(callCtx(t), &wire.InForceRequest{Version: 1})
			So(err, ShouldBeNil)
			So(f.InForceUnixMs, ShouldBeGreaterThan, 0)
		})

		// b shuts down properly and reports the phase Gone, so its lease need not be
		// waited for.
		Convey("a daemon that reports the phase Gone frees its share without waiting for its lease", func() {
			b.req.Heartbeats[0].Vm.Phase = uint32(vm.Gone)
			_, err := c.spread().Sync(callCtx(t), b.req)
			So(err, ShouldBeNil)
			eventually(t, "an epoch without b settles", func() bool { return a.heartbeat(true).SettledEpoch > epoch })
			So(time.Duration(clock.offset.Load()), ShouldEqual, 0)
		})

		// b is restarted at once under the same name. Requests of its previous
		// incarnation may still be running on the leaves.
		Convey("a restarted daemon gets its share back only after the lease of its previous incarnation has expired", func() {
			b.req.Heartbeats[0].Vm.Incarnation = 2
			eventually(t, "an epoch with the new incarnation is pending", func() bool {
				b.heartbeat(true)
				return a.heartbeat(true).PendingEpoch > epoch
			})
			consistently(t, "it is not settled", func() bool {
				b.heartbeat(true)
				return a.heartbeat(true).SettledEpoch == epoch
			})
			clock.advance(lease)
			eventually(t, "it settles", func() bool {
				b.heartbeat(true)
				return a.heartbeat(true).SettledEpoch > epoch
			})
		})
	})
}
