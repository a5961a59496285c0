package control

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"pearmoor/internal/link/wire"
)

func TestThreeControlVMs(t *testing.T) {
	t.Parallel()
	Convey("Given a control group of three", t, func() {
		c := startCluster(t, 3)
		Reset(c.cancelAll)
		firstLeader := c.leader()
		So(c.mustChange("a", 0, "10s").Version, ShouldEqual, 1)

		Convey("every other VM redirects each call to the leader", func() {
			for _, v := range c.vms {
				if v == firstLeader {
					continue
				}
				eventually(t, "the VM redirects to the leader", func() bool {
					cl := dialVM(t, v)
					defer cl.close()
					r, err := cl.control().Change(callCtx(t), changeRequest("x", 0, "daemon-lease", "20s"))
					s, serr := cl.spread().Sync(callCtx(t), &wire.SyncRequest{})
					return err == nil && serr == nil && r.Redirect == firstLeader.cfg.PeerAddr && s.Redirect == r.Redirect && !s.Granted
				})
			}
		})

		// The leader accepts a change and fails before the operator gets the reply. The
		// tool resends the change to the next leader and must get the first outcome,
		// also after all remaining VMs were restarted.
		Convey("a change resent after the leader is lost, and again after a restart, gets the first outcome", func() {
			c.stop(firstLeader.cfg.ID)
			again := c.mustChange("a", 0, "10s")
			So(again.Resend, ShouldBeTrue)
			So(again.Version, ShouldEqual, 1)
			So(c.mustChange("b", 1, "11s").Version, ShouldEqual, 2)
			for id, v := range c.vms {
				c.vms[id] = v.restart()
			}
			again = c.mustChange("b", 1, "11s")
			So(again.Resend, ShouldBeTrue)
			So(again.Version, ShouldEqual, 2)
			So(c.mustChange("c", 2, "12s").Version, ShouldEqual, 3)
		})

		// The whole tier lost power and one control VM is back first. Daemons that have
		// restarted have no state. Without the committed state from that VM's disk they
		// would reject all callers until a leader is elected.
		Convey("a VM that restarts alone serves the committed state to daemons and grants nothing", func() {
			So(c.mustChange("b", 1, "11s").Version, ShouldEqual, 2)
			want := firstLeader.digest()
			for id := range c.vms {
				c.stop(id)
			}
			alone := firstLeader.restart()
			Reset(func() { alone.cancel() })
			cl := dialVM(t, alone)
			Reset(cl.close)
			var r *wire.SyncReply
			eventually(t, "the VM serves the state on its disk", func() bool {
				var err error
				r, err = cl.spread().Sync(callCtx(t), &wire.SyncRequest{})
				return err == nil && r.ConfigVersion > 0
			})
			So(r.Granted, ShouldBeFalse)
			So(r.Redirect, ShouldBeEmpty)
			// The commit index that covers the newest change is on disk only if a later
			// write included it.
			So(r.ConfigVersion, ShouldBeBetweenOrEqual, 1, 2)
			So(len(r.Snapshot)+len(r.Packed), ShouldBeGreaterThan, 0)
			if r.ConfigVersion == 2 {
				So(r.ConfigDigest, ShouldEqual, want)
			}
			known, err := cl.spread().Sync(callCtx(t), &wire.SyncRequest{HaveConfig: 1})
			So(err, ShouldBeNil)
			So(known.ConfigVersion, ShouldEqual, 0)
		})

		// The VM is still reading its disk when the first daemon, usually the one on the
		// same VM, calls Sync. With an immediate empty reply, the daemon would turn to VMs
		// that are still down and retry 0.2 s later.
		Convey("a Sync call to a VM that is reading its disk is answered after the disk is read", func() {
			So(c.mustChange("b", 1, "11s").Version, ShouldEqual, 2)
			for id := range c.vms {
				c.stop(id)
			}
			alone := firstLeader.restart()
			Reset(func() { alone.cancel() })
			cl := dialVM(t, alone)
			Reset(cl.close)
			r, err := cl.spread().Sync(callCtx(t), &wire.SyncRequest{WaitMs: 2000})
			So(err, ShouldBeNil)
			So(r.Granted, ShouldBeFalse)
			So(r.ConfigVersion, ShouldBeBetweenOrEqual, 1, 2)
		})

		// Several operators read the same version and send their changes concurrently.
		Convey("of many changes based on one version exactly one is accepted, and the others get it as the conflict", func() {
			const operators = 12
			replies := make(chan *wire.ChangeReply, operators)
			for i := range operators {
				go func() {
					replies <- c.change(changeRequest(fmt.Sprint("r", i), 1, "daemon-lease", fmt.Sprintf("%ds", 20+i)))
				}()
			}
			accepted, winner := 0, ""
			var rejected []*wire.ChangeReply
			for range operators {
				r := <-replies
				So(r, ShouldNotBeNil)
				if r.Outcome == wire.Outcome_ACCEPTED {
					accepted++
				} else {
					rejected = append(rejected, r)
				}
			}
			So(accepted, ShouldEqual, 1)
			for _, r := range rejected {
				So(r.Outcome, ShouldEqual, wire.Outcome_CONFLICT)
				So(r.Conflict.Version, ShouldEqual, 2)
				if winner == "" {
					winner = r.Conflict.ChangeId
				}
				So(r.Conflict.ChangeId, ShouldEqual, winner)
			}
		})

		// A VM is permanently lost and replaced. The new VM becomes a voter only after
		// it has caught up, so losing a second VM right after the replacement must
		// neither lose a change nor block the group.
		Convey("a second VM is lost right after the first was replaced", func() {
			So(c.mustChange("b", 1, "11s").Version, ShouldEqual, 2)
			c.stop(firstLeader.cfg.ID)
			lead := c.leader()
			replacement := c.addEmptyVM(4)
			c.mustChangeGroup(&wire.GroupRequest{Op: wire.GroupOp_GROUP_ADD, PeerAddr: replacement.cfg.PeerAddr})
			c.mustChangeGroup(&wire.GroupRequest{Op: wire.GroupOp_GROUP_REMOVE, Id: firstLeader.cfg.ID})
			c.stop(lead.cfg.ID)
			So(c.mustChange("b", 1, "11s").Resend, ShouldBeTrue)
			So(c.mustChange("c", 2, "12s").Version, ShouldEqual, 3)

			Convey("and the first VM returns with an empty disk under its old id", func() {
				cfg := firstLeader.cfg
				cfg.DataDir = t.TempDir()
				old := startVM(t, cfg, listen(t, cfg.PeerAddr))
				Reset(func() { old.cancel() })
				So(c.mustChange("d", 3, "13s").Version, ShouldEqual, 4)
				So(old.isLeader(), ShouldBeFalse)
				r, err := dialVM(t, old).control().Status(callCtx(t), &wire.StatusRequest{})
				So(err, ShouldBeNil)
				So(r.ConfigVersion, ShouldEqual, 0)
			})
		})
	})
}

// A control VM is partitioned while the others compact their logs. When it is reachable
// again, it must receive a snapshot in chunks and continue from it, also after a restart.
// Meanwhile the log must stay bounded, and the audit trail must stay complete.
func TestLaggingFollowerCatchesUpFromSnapshot(t *testing.T) {
	t.Parallel()
	Convey("Given a follower that missed more changes than the log keeps", t, func() {
		c := startCluster(t, 3, func(cfg *Config) { cfg.SnapshotEntries = 50 })
		Reset(c.cancelAll)
		lead := c.leader()
		var follower *testVM
		for _, v := range c.vms {
			if v != lead {
				follower = v
			}
		}
		c.setPartitioned(follower, true)
		const changes = 200
		for i := range uint64(changes) {
			if r := c.mustChange(fmt.Sprint("c", i), i, fmt.Sprintf("%ds", 10+i%50)); r.Outcome != wire.Outcome_ACCEPTED {
				t.Fatal(r)
			}
		}
		lead = c.leader(follower.cfg.ID)
		So(lead.node.leadership.Load().status.FirstIndex, ShouldBeGreaterThan, changes/2)
		c.setPartitioned(follower, false)
		eventually(t, "it has all changes", func() bool { return follower.node.stateView().version == changes })
		follower = follower.restart()
		c.vms[follower.cfg.ID] = follower
		eventually(t, "it has all changes again", func() bool { return follower.node.stateView().version == changes })
		So(follower.digest(), ShouldEqual, lead.digest())
		records, err := follower.node.records(1, 3)
		So(err, ShouldBeNil)
		So(len(records), ShouldEqual, 3)
		So(records[0].ChangeId, ShouldEqual, "c0")
	})
}

// Guards against a new member that gives up older audit records before it knows whom to ask.
func TestBackfillWaitsUntilMembersAreKnown(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 1)
	defer c.cancelAll()
	v := c.addEmptyVM(2)
	eventually(t, "its driver runs", func() bool { return v.node.leadership.Load().conf != nil })
	if v.node.fillTrailGap(callCtx(t), 1, 10) || v.node.trail.Last() != 0 {
		t.Errorf("records up to version %d are given up", v.node.trail.Last())
	}
}

// A new member receives a snapshot with the newest audit records only. It must fetch the
// older records from the other members; otherwise they would be lost once every original
// control VM has been replaced.
func TestNewMemberBackfillsAuditTrail(t *testing.T) {
	t.Parallel()
	Convey("Given a control VM with more changes than a snapshot holds", t, func() {
		smallLog := func(cfg *Config) { cfg.SnapshotEntries = 20 }
		c := startCluster(t, 1, smallLog)
		Reset(c.cancelAll)
		lead := c.leader()
		cl := dialVM(t, lead)
		const changes = 220
		for i := range uint64(changes) {
			req := changeRequest(fmt.Sprint("c", i), i, "daemon-lease", fmt.Sprintf("%ds", 10+i%50))
			for len(req.Edits) < 2000 {
				req.Edits = append(req.Edits, req.Edits[0])
			}
			r, err := cl.control().Change(callCtx(t), req)
			if err != nil || r.Outcome != wire.Outcome_ACCEPTED {
				t.Fatal(err, r)
			}
		}
		So(lead.firstRecord(), ShouldBeGreaterThan, 10)

		Convey("a VM that joins and replaces it can return the first audit record, until its own files are lost", func() {
			v := c.addEmptyVM(2, smallLog)
			c.mustChangeGroup(&wire.GroupRequest{Op: wire.GroupOp_GROUP_ADD, PeerAddr: v.cfg.PeerAddr})
			So(v.firstRecord(), ShouldBeGreaterThan, 10)
			eventually(t, "its audit trail is complete", func() bool {
				records, err := v.node.records(1, changes)
				return err == nil && len(records) == changes
			})
			c.mustChangeGroup(&wire.GroupRequest{Op: wire.GroupOp_GROUP_REMOVE, Id: 1})
			c.stop(1)
			eventually(t, "it leads a group of one", v.isLeader)
			v = v.restart()
			c.vms[2] = v
			eventually(t, "it leads a group of one again", v.isLeader)
			a, err := dialVM(t, v).control().Audit(callCtx(t), &wire.AuditRequest{FromVersion: 1, Limit: 2})
			So(err, ShouldBeNil)
			So(len(a.Records), ShouldEqual, 2)
			So(a.Records[0].Operator, ShouldEqual, "asha")
			So(a.Records[0].ChangeId, ShouldEqual, "c0")

			// No member holds the older records any more. The trail must not wait for
			// them forever, or the newer records would be lost as well.
			v.stop()
			old, err := filepath.Glob(filepath.Join(v.cfg.DataDir, "audit-*"))
			So(err, ShouldBeNil)
			So(old, ShouldNotBeEmpty)
			for _, name := range old {
				So(os.Remove(name), ShouldBeNil)
			}
			v = v.restart()
			c.vms[2] = v
			eventually(t, "it leads without its old audit trail", v.isLeader)
			So(dialVM(t, v).change("next", changes, "daemon-lease", "9s").Version, ShouldEqual, changes+1)
			eventually(t, "the next record is in the audit trail", func() bool { return v.node.trail.Last() == changes+1 })
			a, err = dialVM(t, v).control().Audit(callCtx(t), &wire.AuditRequest{FromVersion: 1, Limit: 1})
			So(err, ShouldBeNil)
			So(a.Records[0].Version, ShouldEqual, v.firstRecord())
		})
	})
}

// A leader is partitioned from the other control VMs without connection errors: calls get
// no answer and are not refused. Operators and daemons can still reach it, and for a while
// it considers itself the leader. From the moment at which another leader can be elected it
// must not accept or confirm any change and must not grant any lease.
func TestLeaderCutOffSilently(t *testing.T) {
	t.Parallel()
	Convey("Given three control VMs that can be partitioned", t, func() {
		c := startCluster(t, 3)
		Reset(c.cancelAll)
		lead, partitioned := c.leader(), false
		So(c.mustChange("a", 0, "10s").Version, ShouldEqual, 1)
		granted := func() bool {
			if !partitioned {
				lead = c.leader()
			}
			cl := dialVM(t, lead)
			defer cl.close()
			r, err := cl.spread().Sync(callCtx(t), &wire.SyncRequest{Heartbeats: []*wire.Heartbeat{{Vm: serving("entry-1", 1)}}})
			return err == nil && r.Granted
		}
		eventually(t, "the leader grants a lease", granted)

		partitioned = true
		c.setPartitioned(lead, true)
		next := c.leader(lead.cfg.ID)
		So(granted(), ShouldBeFalse)
		_, err := dialVM(t, lead).control().Read(callCtx(t), &wire.ReadRequest{})
		So(err, ShouldNotBeNil)
		r, err := tryChange(t, lead, changeRequest("old", 1, "daemon-lease", "20s"))
		So(err != nil || r.Outcome != wire.Outcome_ACCEPTED || r.Redirect != "", ShouldBeTrue)

		So(next == lead, ShouldBeFalse)
		So(c.mustChange("new", 1, "30s").Version, ShouldEqual, 2)

		Convey("after the partition heals, it follows and receives the new leader's change", func() {
			c.setPartitioned(lead, false)
			eventually(t, "the old leader has the change", func() bool { return lead.node.stateView().version == 2 })
		})
	})
}
