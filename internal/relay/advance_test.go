package relay

import (
	"fmt"
	"strconv"
	"testing"

	"pgregory.net/rapid"

	"pearmoor/internal/link/wire"
	"pearmoor/internal/settings"
	"pearmoor/internal/vm"
)

// drawSources draws a sequence of agreed states, each one step after the one before,
// and returns for each a History that holds it.
func drawSources(t *rapid.T) []*History {
	s := State{Tree: settings.New()}
	s.ConfigDigest = s.Tree.Digest()
	var deltas []*wire.TreeDelta
	var out []*History
	for i := range rapid.IntRange(2, 12).Draw(t, "steps") {
		switch rapid.SampledFrom([]string{"edit", "epoch", "force"}).Draw(t, "step") {
		case "edit":
			edits := []settings.Edit{setEdit(service, "leaf-slots", strconv.Itoa(2+i))}
			s.ConfigVersion++
			s.Tree = s.Tree.Replay(s.ConfigVersion, edits)
			s.ConfigDigest = s.Tree.Digest()
			deltas = append(deltas, &wire.TreeDelta{Version: s.ConfigVersion, Edits: settings.EditsToWire(edits), Digest: s.ConfigDigest})
		case "epoch":
			if s.Pending != nil {
				s.Settled, s.Pending = s.Pending, nil
				break
			}
			s.Pending = &vm.Membership{Epoch: epochOf(s.Settled) + 1, Members: []vm.Member{
				{Identity: identity(fmt.Sprintf("d%d", i), 1), Phase: vm.Serving}}}
		case "force":
			s.InForce = s.ConfigVersion
		}
		h := NewHistory()
		h.Update(s, deltas[:len(deltas):len(deltas)])
		if rapid.Bool().Draw(t, "forgot") { // a source that has no deltas
			h.deltas = nil
		}
		out = append(out, h)
	}
	return out
}

// A daemon asks sources in any order, older ones after newer ones, and reads replies
// late, to requests that it sent long before. If it applied an older version or epoch,
// a change that was reported to the operator as in force would be undone. Versions and
// epochs must never decrease, and the view must always be one of the agreed states.
func TestViewNeverRegresses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sources := drawSources(t)
		v := &View{}
		requests := []*wire.SyncRequest{requestOf(v)}
		for range 20 {
			h := rapid.SampledFrom(sources).Draw(t, "source")
			reply := &wire.SyncReply{}
			h.FillReply(rapid.SampledFrom(requests).Draw(t, "request"), reply)
			next, err := mergeReply(v, reply)
			if err != nil {
				full := &wire.SyncReply{}
				h.FillReply(&wire.SyncRequest{}, full)
				if next, err = mergeReply(v, full); err != nil {
					t.Fatalf("full state rejected: %v", err)
				}
			}
			if next.ConfigVersion < v.ConfigVersion || epochOf(next.Settled) < epochOf(v.Settled) ||
				next.Epoch() < v.Epoch() || next.InForce < v.InForce {
				t.Fatalf("view went back from %+v to %+v", v, next)
			}
			checkAgreed(t, sources, next)
			v = next
			requests = append(requests, requestOf(v))
		}
	})
}

func requestOf(v *View) *wire.SyncRequest {
	return &wire.SyncRequest{
		HaveConfig: v.ConfigVersion, HaveDigest: v.ConfigDigest, HaveInForce: v.InForce,
		HaveSettled: epochOf(v.Settled), HavePending: epochOf(v.Pending),
	}
}

// checkAgreed checks that the tree and the memberships of v are among those of the
// sources.
func checkAgreed(t *rapid.T, sources []*History, v *View) {
	if v.Tree == nil || v.Tree.Digest() != v.ConfigDigest {
		t.Fatalf("tree does not match its digest at version %d", v.ConfigVersion)
	}
	for _, h := range sources {
		s, _ := h.State()
		if s.ConfigVersion == v.ConfigVersion && s.ConfigDigest != v.ConfigDigest {
			t.Fatalf("version %d is not the one agreed on", v.ConfigVersion)
		}
		for _, m := range []*vm.Membership{v.Settled, v.Pending} {
			if m != nil && s.Settled != nil && m.Epoch == s.Settled.Epoch && m.Members[0] != s.Settled.Members[0] {
				t.Fatalf("epoch %d is not the one agreed on", m.Epoch)
			}
		}
	}
}

// A daemon that is far behind gets a snapshot of version 9 while others may still use
// version 5, under which a leaf had other homes. The daemon does not know version 5,
// so any share it used could also be in use on another daemon. It must use none until
// version 9 is in force everywhere.
func TestSnapshotGivesNoShareUntilInForce(t *testing.T) {
	self := identity("d1", 1)
	source := NewHistory()
	tree := settings.New().Replay(9, []settings.Edit{setEdit(service, "leaves", "a=127.0.0.1:1@hall-0")})
	members := &vm.Membership{Epoch: 3, Members: []vm.Member{{Identity: self, Phase: vm.Serving}}}
	state := State{ConfigVersion: 9, ConfigDigest: tree.Digest(), Tree: tree, InForce: 5, Settled: members}
	mergeAndCountSlots := func(v *View) (*View, int) {
		source.Update(state, nil)
		reply := &wire.SyncReply{}
		source.FillReply(requestOf(v), reply)
		next, err := mergeReply(v, reply)
		if err != nil {
			t.Fatal(err)
		}
		e, _ := next.Tree.Effective(service)
		slots, _ := next.Share(service, e, 0, self)
		return next, slots
	}
	v, slots := mergeAndCountSlots(&View{})
	if slots != 0 || len(v.HomesOf(service, effectiveOf(v))) != 0 {
		t.Fatalf("%d slots while version 5 may be in use, want 0", slots)
	}
	state.InForce = 9
	if _, slots = mergeAndCountSlots(v); slots != 2 {
		t.Fatalf("%d slots once version 9 is in force, want 2", slots)
	}
}

func effectiveOf(v *View) *settings.Effective {
	e, _ := v.Tree.Effective(service)
	return e
}

// A heartbeat in the short form must identify its daemon exactly, and one that differs
// from the agreed membership in any way must not be sent in the short form.
func TestShortHeartbeatsMatchMembership(t *testing.T) {
	agreed := &vm.Membership{Epoch: 7, Members: []vm.Member{
		{Identity: identity("a", 1), Phase: vm.Serving}, {Identity: identity("b", 1), Phase: vm.Serving}}}
	heartbeat := func(name string, incarnation uint64, p vm.Phase, config, epoch uint64) *wire.Heartbeat {
		m := vm.Member{Identity: identity(name, incarnation), Phase: p}
		return &wire.Heartbeat{Vm: vm.MemberToWire(m), ConfigVersion: config, AckedEpoch: epoch}
	}
	steady := []*wire.Heartbeat{heartbeat("a", 1, vm.Serving, 4, 7), heartbeat("b", 1, vm.Serving, 4, 7)}
	other := []*wire.Heartbeat{
		heartbeat("a", 2, vm.Serving, 4, 7), heartbeat("a", 1, vm.Draining, 4, 7), heartbeat("a", 1, vm.Serving, 3, 7),
		heartbeat("a", 1, vm.Serving, 4, 6), heartbeat("c", 1, vm.Serving, 4, 7),
	}
	req := &wire.SyncRequest{HaveConfig: 4, HaveSettled: 7}
	for _, hb := range append(steady, other...) {
		addHeartbeat(req, hb, agreed, false)
	}
	if len(req.GetSteady()) != len(steady) || len(req.GetHeartbeats()) != len(other) {
		t.Fatalf("%d short and %d full heartbeats", len(req.GetSteady()), len(req.GetHeartbeats()))
	}
	var x HeartbeatExpander
	hbs, unknown := x.Expand(req, agreed, nil)
	if unknown || len(hbs) != len(steady)+len(other) || SenderHeartbeat(req, hbs).GetVm().GetName() != "a" {
		t.Fatalf("expanded to %v, unknown %v", hbs, unknown)
	}
	if _, unknown = x.Expand(req, nil, nil); !unknown {
		t.Fatal("short heartbeats were expanded without the membership")
	}
}

// A new tier starts, and daemons contact several control VMs in parallel. One control
// VM has the empty tree of the new group; the others are not the leader, so they name
// the leader and send no digest. If a missing digest counted as a mismatch, each such
// reply would make the daemon log an error and request the full state again, as
// happened on 12 of 50 daemons.
func TestReplyWithoutTreeIsNoDigestMismatch(t *testing.T) {
	source := NewHistory()
	tree := settings.New()
	members := &vm.Membership{Epoch: 1, Members: []vm.Member{{Identity: identity("d1", 1), Phase: vm.Serving}}}
	source.Update(State{ConfigDigest: tree.Digest(), Tree: tree, Settled: members}, nil)
	reply := &wire.SyncReply{}
	source.FillReply(requestOf(&View{}), reply)
	v, err := mergeReply(&View{}, reply)
	if err != nil || v.Tree == nil {
		t.Fatalf("the empty tree was not applied: %v", err)
	}
	if next, err := mergeReply(v, &wire.SyncReply{Redirect: "10.0.0.1:7000"}); err != nil || next != v {
		t.Errorf("reply without a digest changed the view: %v", err)
	}
	other := settings.New().Replay(0, []settings.Edit{setEdit(service, "leaf-slots", "3")})
	if _, err := mergeReply(v, &wire.SyncReply{ConfigDigest: other.Digest(), SettledEpoch: 1}); err == nil {
		t.Error("a different tree of the same version was accepted")
	}
}
