package control

import (
	"encoding/json"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pearmoor/internal/link/wire"
	"pearmoor/internal/route"
	"pearmoor/internal/settings"
	"pearmoor/internal/vm"
)

func serving(name string, incarnation uint64) *wire.Vm {
	return &wire.Vm{Name: name, Incarnation: incarnation, PeerAddr: "127.0.0.1:1", Phase: uint32(vm.Serving)}
}

func TestOneControlVM(t *testing.T) {
	t.Parallel()
	Convey("Given a control group of one VM", t, func() {
		v := startVM(t, Config{ID: 1, Name: "ctl-1", DataDir: t.TempDir(), Bootstrap: true}, listen(t, "127.0.0.1:0"))
		Reset(func() { v.cancel() })
		eventually(t, "it leads", v.isLeader)
		c := dialVM(t, v)

		Convey("a change is accepted, comes into force, and is still known after a restart", func() {
			So(c.change("c1", 0, "daemon-lease", "10s").Outcome, ShouldEqual, wire.Outcome_ACCEPTED)
			f, err := c.control().InForce(callCtx(t), &wire.InForceRequest{Version: 1, WaitMs: 10_000})
			So(err, ShouldBeNil)
			So(f.InForce, ShouldBeTrue)
			So(f.InForceUnixMs, ShouldBeGreaterThan, 0)

			v = v.restart()
			eventually(t, "it leads again", v.isLeader)
			c = dialVM(t, v)
			again := c.change("c1", 0, "daemon-lease", "10s")
			So(again.Outcome, ShouldEqual, wire.Outcome_ACCEPTED)
			So(again.Resend, ShouldBeTrue)
			So(again.Version, ShouldEqual, 1)
			So(c.change("c2", 0, "daemon-lease", "12s").Conflict.GetChangeId(), ShouldEqual, "c1")
			a, err := c.control().Audit(callCtx(t), &wire.AuditRequest{})
			So(err, ShouldBeNil)
			So(len(a.Records), ShouldEqual, 1)
			So(a.Records[0].Operator, ShouldEqual, "asha")
			So(a.Records[0].Unauthenticated, ShouldBeTrue)
		})

		// An edit that the settings' schema allows, and with which no daemon could read the
		// routes: it would count as in force while every daemon went on with the old ones.
		Convey("an edit with which daemons can't read the release is refused", func() {
			body, err := json.Marshal(&route.Release{Number: 1, Services: []route.Service{{Name: "a"}, {Name: "b"}}, Routes: []route.Route{{
				Name: "r", Host: "shop.example", Prefix: "/", Timeout: time.Second, MaxAttempts: 1, Split: []route.WeightedService{{Service: "a", Weight: 1}, {Service: "b", Weight: 2}},
			}}})
			So(err, ShouldBeNil)
			put, err := c.control().PutRelease(callCtx(t), &wire.ReleaseRequest{Release: body})
			So(err, ShouldBeNil)
			So(put.Changed, ShouldBeTrue)
			split := func(value string) *wire.ChangeReply {
				req := changeRequest("split "+value, 1, settings.NameRouteSplit, value)
				req.Edits[0].Path = settings.RoutesPath + "/r"
				r, err := c.control().Change(callCtx(t), req)
				So(err, ShouldBeNil)
				return r
			}
			refused := split("a=one,b=2")
			So(refused.Outcome, ShouldEqual, wire.Outcome_INVALID)
			So(refused.Faults[0].Field, ShouldEqual, settings.RoutesPath+"/r")
			So(split("a=1,b=3").Outcome, ShouldEqual, wire.Outcome_ACCEPTED)
		})

		// The only control VM lost its disk and founded its group again, while daemons
		// still have the old group's configuration and shares. The new group does not
		// know these shares, so it must not grant leases for them.
		Convey("a daemon with a newer state than the group's gets no lease", func() {
			for _, req := range []*wire.SyncRequest{{HaveConfig: 3}, {HaveSettled: 2}} {
				req.Heartbeats = []*wire.Heartbeat{{Vm: serving("entry-1", 7)}}
				r, err := c.spread().Sync(callCtx(t), req)
				So(err, ShouldBeNil)
				So(r.Granted, ShouldBeFalse)
				So(r.Redirect, ShouldBeEmpty)
			}
			So(v.node.daemons.Len(), ShouldEqual, 0)
		})

		Convey("a joining daemon gets a lease, then an epoch that settles after it has acknowledged it", func() {
			req := &wire.SyncRequest{Heartbeats: []*wire.Heartbeat{{Vm: serving("entry-1", 7)}}, WaitMs: 1000}
			r, err := c.spread().Sync(callCtx(t), req)
			So(err, ShouldBeNil)
			So(r.Granted, ShouldBeTrue)
			for r.PendingEpoch == 0 {
				r, err = c.spread().Sync(callCtx(t), req)
				So(err, ShouldBeNil)
			}
			So(r.SettledEpoch, ShouldEqual, 0)
			req.HavePending = r.PendingEpoch
			req.Heartbeats[0].AckedEpoch = r.PendingEpoch
			for r.SettledEpoch == 0 {
				r, err = c.spread().Sync(callCtx(t), req)
				So(err, ShouldBeNil)
			}
			So(r.SettledEpoch, ShouldEqual, req.HavePending)
		})
	})
}
