package state

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"pearmoor/internal/link/wire"
	"pearmoor/internal/settings"
	"pearmoor/internal/vm"
)

func mustMarshal(t interface{ Fatal(...any) }, c *wire.Command) []byte {
	b, err := proto.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func changeCommand(id string, base uint64, unixMS int64, edits ...*wire.Edit) *wire.Command {
	return &wire.Command{Body: &wire.Command_Change{Change: &wire.ChangeCommand{
		ChangeId: id, BaseVersion: base, Edits: edits, Operator: "asha", Reason: "r", UnixMs: unixMS,
	}}}
}

func leaseEdit(value string) *wire.Edit {
	return &wire.Edit{Path: "/", Name: "daemon-lease", Value: value}
}

// model is a minimal implementation of the state that Apply is compared with.
type model struct {
	accepted  []*wire.ChangeCommand // index is version - 1
	inForce   uint64
	settled   uint64
	pending   uint64
	lastEpoch uint64
}

// drawCommand draws a command, which may be stale, a resend, or in conflict with
// another.
func drawCommand(t *rapid.T, m *model) *wire.Command {
	version := uint64(len(m.accepted))
	switch rapid.IntRange(0, 6).Draw(t, "kind") {
	case 0, 1, 2:
		if version > 0 && rapid.Bool().Draw(t, "resend") {
			old := m.accepted[rapid.IntRange(0, int(version)-1).Draw(t, "of")]
			return &wire.Command{Body: &wire.Command_Change{Change: old}}
		}
		base := rapid.Uint64Range(max(version, 2)-2, version+1).Draw(t, "base")
		id := fmt.Sprintf("c%d", rapid.IntRange(0, 50).Draw(t, "id"))
		lease := fmt.Sprintf("%ds", rapid.IntRange(7, 60).Draw(t, "lease"))
		return changeCommand(id, base, rapid.Int64Range(0, 1000).Draw(t, "ms"), leaseEdit(lease))
	case 3:
		name := fmt.Sprintf("entry-%d", rapid.IntRange(0, 4).Draw(t, "vm"))
		c := &wire.EpochCommand{BaseSettled: rapid.SampledFrom([]uint64{m.settled, m.pending, 0}).Draw(t, "base")}
		if rapid.Bool().Draw(t, "leaves") {
			c.Removes = []string{name}
		} else {
			c.Upserts = []*wire.Vm{{Name: name, Incarnation: rapid.Uint64Range(1, 3).Draw(t, "run"), Phase: uint32(vm.Serving)}}
		}
		return &wire.Command{Body: &wire.Command_Epoch{Epoch: c}}
	case 4:
		epoch := rapid.Uint64Range(0, m.lastEpoch+1).Draw(t, "epoch")
		return &wire.Command{Body: &wire.Command_Settle{Settle: &wire.SettleCommand{Epoch: epoch}}}
	case 5:
		v := rapid.Uint64Range(0, version+1).Draw(t, "version")
		return &wire.Command{Body: &wire.Command_InForce{InForce: &wire.InForceCommand{Version: v, UnixMs: 5}}}
	}
	return &wire.Command{Body: &wire.Command_LeaseBound{LeaseBound: &wire.LeaseBoundCommand{LeaseMs: 1000}}}
}

// apply checks the result of a command against the model and applies the command to
// the model.
func (m *model) apply(t *rapid.T, c *wire.Command, res Result) {
	version := uint64(len(m.accepted))
	switch b := c.Body.(type) {
	case *wire.Command_Change:
		m.applyChange(t, b.Change, res, version)
	case *wire.Command_Epoch:
		if m.pending == 0 && b.Epoch.BaseSettled == m.settled {
			m.lastEpoch++
			m.pending = m.lastEpoch
		}
	case *wire.Command_Settle:
		if m.pending != 0 && b.Settle.Epoch == m.pending {
			m.settled, m.pending = m.pending, 0
		}
	case *wire.Command_InForce:
		if v := b.InForce.Version; v > m.inForce && v <= version {
			m.inForce = v
		}
	}
}

func (m *model) applyChange(t *rapid.T, c *wire.ChangeCommand, res Result, version uint64) {
	for i, old := range m.accepted {
		if old.ChangeId != c.ChangeId {
			continue
		}
		sameChange := old.BaseVersion == c.BaseVersion && proto.Equal(old.Edits[0], c.Edits[0])
		if sameChange != (res.Reply.Outcome == wire.Outcome_ACCEPTED && res.Reply.Resend && res.Reply.Version == uint64(i)+1) {
			t.Fatalf("change id %s resent: %v", c.ChangeId, res.Reply)
		}
		if res.Accepted != nil {
			t.Fatalf("change id %s accepted twice", c.ChangeId)
		}
		return
	}
	if wantAccepted := c.BaseVersion == version; wantAccepted != (res.Accepted != nil) || wantAccepted != (res.Reply.Outcome == wire.Outcome_ACCEPTED) {
		t.Fatalf("base %d at version %d: %v", c.BaseVersion, version, res.Reply)
	}
	if c.BaseVersion < version && res.Reply.Conflict.GetChangeId() != m.accepted[c.BaseVersion].ChangeId {
		t.Fatalf("conflict with %v, want the change after the base version", res.Reply.Conflict)
	}
	if res.Accepted != nil {
		m.accepted = append(m.accepted, c)
	}
}

func (m *model) check(t *rapid.T, s *State) {
	pending := uint64(0)
	if s.Pending() != nil {
		pending = s.Pending().Epoch
	}
	if s.Version() != uint64(len(m.accepted)) || s.InForce() != m.inForce || s.Settled().Epoch != m.settled || pending != m.pending {
		t.Fatalf("version %d, in force %d, settled %d, pending %d; model %+v", s.Version(), s.InForce(), s.Settled().Epoch, pending, m)
	}
	last := int64(0)
	for v := uint64(1); v <= s.Version(); v++ {
		r := s.Record(v)
		if r.AcceptedUnixMs < last || (r.InForceUnixMs != 0) != (v <= m.inForce) {
			t.Fatalf("record %v", r)
		}
		last = r.AcceptedUnixMs
	}
	if s.LeaseBound() < s.Tree().Tier().DaemonLease {
		t.Fatalf("lease bound %v below the lease", s.LeaseBound())
	}
}

// Operators send conflicting changes, resend changes whose replies were lost, and
// reuse change ids; leaders propose epochs and versions in force based on outdated
// state, in any order. Exactly one of several changes with the same base version must
// be accepted, none may be accepted twice, and versions and epochs must only increase.
// A VM that restarts from a snapshot at any point must continue exactly like one that
// did not restart.
func TestApplyAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, m := New(), &model{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			c := drawCommand(t, m)
			b := mustMarshal(t, c)
			res, err := s.Apply(b)
			if err != nil {
				t.Fatal(err)
			}
			m.apply(t, c, res)
			m.check(t, s)
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				s = restoreFromSnapshot(t, s)
				m.check(t, s)
			}
		}
	})
}

// restoreFromSnapshot returns the state decoded from its snapshot and checks that
// encoding it again gives the same bytes.
func restoreFromSnapshot(t *rapid.T, s *State) *State {
	before, err := s.Encode()
	if err != nil {
		t.Fatal(err)
	}
	restored, err := Decode(before)
	if err != nil {
		t.Fatal(err)
	}
	after, err := restored.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if string(before) != string(after) {
		t.Fatal("state differs after encoding and decoding")
	}
	return restored
}

func mustApply(t *testing.T, s *State, c *wire.Command) Result {
	t.Helper()
	res, err := s.Apply(mustMarshal(t, c))
	if err != nil {
		t.Fatal(err)
	}
	return res
}

// The reply to an operator is lost, and thousands of other changes are accepted before
// the operator's tool resends the change. Its id has been evicted by then; the change
// must still not be accepted a second time.
func TestResendAfterEvictionIsNotAccepted(t *testing.T) {
	Convey("A resend after its id was evicted is a conflict", t, func() {
		s := New()
		first := changeCommand("first", 0, 1, leaseEdit("10s"))
		So(mustApply(t, s, first).Accepted, ShouldNotBeNil)
		for v := uint64(1); v <= maxRecentChanges; v++ {
			mustApply(t, s, changeCommand(fmt.Sprint("c", v), v, 1, leaseEdit(fmt.Sprintf("%ds", 10+v%50))))
		}
		So(s.Record(1), ShouldBeNil)
		res := mustApply(t, s, first)
		So(res.Accepted, ShouldBeNil)
		So(res.Reply.Outcome, ShouldEqual, wire.Outcome_CONFLICT)
		So(len(s.recent.list), ShouldEqual, maxRecentChanges)
		So(len(s.recent.versionByID), ShouldEqual, maxRecentChanges)
	})
}

// An operator shortens the lease and then the leader is lost. Daemons may still hold
// leases of the old length, so the new leader must wait for the longer one.
func TestShorterLeaseKeepsLongerBound(t *testing.T) {
	Convey("The bound stays after the change until it is lowered, and then follows the setting", t, func() {
		s := New()
		mustApply(t, s, changeCommand("a", 0, 1, leaseEdit("60s")))
		mustApply(t, s, changeCommand("b", 1, 1, leaseEdit("7s")))
		So(s.Tree().Tier().DaemonLease, ShouldEqual, 7*time.Second)
		So(s.LeaseBound(), ShouldEqual, time.Minute)
		mustApply(t, s, &wire.Command{Body: &wire.Command_LeaseBound{LeaseBound: &wire.LeaseBoundCommand{LeaseMs: 7000}}})
		So(s.LeaseBound(), ShouldEqual, 7*time.Second)
	})
}

// A leader of a newer release proposes an entry that this release cannot decode.
// Skipping it would silently make this VM's tree differ from the leader's.
func TestUnknownCommandIsAnError(t *testing.T) {
	Convey("An entry of an unknown kind is an error", t, func() {
		_, err := New().Apply(nil)
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldContainSubstring, "newer")
	})
}

// A leader accepts a setting that this release's schema refuses. Both VMs must build
// the same tree.
func TestFollowerAppliesChangeWithUnknownSetting(t *testing.T) {
	Convey("A change of a setting that is unknown to this release is applied", t, func() {
		s := New()
		res := mustApply(t, s, changeCommand("a", 0, 1, &wire.Edit{Path: "/", Name: "of-a-later-release", Value: "x"}))
		So(res.Accepted, ShouldNotBeNil)
		So(s.Tree().Digest(), ShouldNotEqual, settings.New().Digest())
		So(s.Check(&wire.ChangeRequest{BaseVersion: 1, Edits: []*wire.Edit{{Path: "/", Name: "also-unknown", Value: "x"}}}).Outcome,
			ShouldEqual, wire.Outcome_INVALID)
	})
}
