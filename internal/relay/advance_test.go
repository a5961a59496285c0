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

// states draws a line of agreed states, each one step after the one before, and
// what a source that stopped at each of them would answer from.
func drawSources(t *rapid.T) []*History {
	s := State{Tree: settings.New()}
	s.ConfigDigest = s.Tree.Digest()
	var deltas []*wire.TreeDelta
	var out []*History
	for i := range rapid.IntRange(2, 12).Draw(t, "steps") {
		switch rapid.SampledFrom([]string{"edit", "epoch", "force"}).Draw(t, "step") {
		case "edit":
			edits := []settings.Edit{set(service, "leaf-slots", strconv.Itoa(2+i))}
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
		h.Advance(s, deltas[:len(deltas):len(deltas)])
		if rapid.Bool().Draw(t, "forgot") { // a source that can send no deltas
			h.deltas = nil
		}
		out = append(out, h)
	}
	return out
}

// A daemon asks sources in any order, old ones after new ones, and reads replies
// late: to a request it made long before. Were an older version or epoch taken, a
// change that the operator was told is in force would be undone. Nothing goes
// back, and what the daemon has is always one of the states there were.
func TestViewNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sources := drawSources(t)
		v := &View{}
		requests := []*wire.SyncRequest{requestOf(v)}
		for range 20 {
			h := rapid.SampledFrom(sources).Draw(t, "source")
			reply := &wire.SyncReply{}
			h.Fill(rapid.SampledFrom(requests).Draw(t, "request"), reply)
			next, err := advance(v, reply)
			if err != nil {
				whole := &wire.SyncReply{}
				h.Fill(&wire.SyncRequest{}, whole)
				if next, err = advance(v, whole); err != nil {
					t.Fatalf("whole state refused: %v", err)
				}
			}
			if next.ConfigVersion < v.ConfigVersion || epochOf(next.Settled) < epochOf(v.Settled) ||
				next.Epoch() < v.Epoch() || next.InForce < v.InForce {
				t.Fatalf("from %+v back to %+v", v, next)
			}
			checkReal(t, sources, next)
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

// checkReal holds that tree and memberships are ones that were agreed on.
func checkReal(t *rapid.T, sources []*History, v *View) {
	if v.Tree == nil || v.Tree.Digest() != v.ConfigDigest {
		t.Fatalf("tree and digest differ at version %d", v.ConfigVersion)
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

// A daemon that was far behind jumps to version 9 by a snapshot while others may
// still use version 5, under which a leaf had other homes. It does not know that
// version, so any share it took could be one that is in use elsewhere: it takes
// none until version 9 is in force everywhere.
func TestSnapshotJumpHoldsNoShare(t *testing.T) {
	self := identity("d1", 1)
	source := NewHistory()
	tree := settings.New().Replay(9, []settings.Edit{set(service, "leaves", "a=127.0.0.1:1@hall-0")})
	members := &vm.Membership{Epoch: 3, Members: []vm.Member{{Identity: self, Phase: vm.Serving}}}
	state := State{ConfigVersion: 9, ConfigDigest: tree.Digest(), Tree: tree, InForce: 5, Settled: members}
	slotsAfter := func(v *View) (*View, int) {
		source.Advance(state, nil)
		reply := &wire.SyncReply{}
		source.Fill(requestOf(v), reply)
		next, err := advance(v, reply)
		if err != nil {
			t.Fatal(err)
		}
		e, _ := next.Tree.Effective(service)
		slots, _ := next.Share(service, e, 0, self)
		return next, slots
	}
	v, slots := slotsAfter(&View{})
	if slots != 0 || len(v.HomesOf(service, mustEffective(v))) != 0 {
		t.Fatalf("%d slots while version 5 may be in use", slots)
	}
	state.InForce = 9
	if _, slots = slotsAfter(v); slots != 2 {
		t.Fatalf("%d slots once version 9 is in force", slots)
	}
}

func mustEffective(v *View) *settings.Effective {
	e, _ := v.Tree.Effective(service)
	return e
}

// A heartbeat in the short form must name its daemon exactly, and one that says
// anything else than what was agreed on must not be short.
func TestShortHeartbeats(t *testing.T) {
	agreed := &vm.Membership{Epoch: 7, Members: []vm.Member{
		{Identity: identity("a", 1), Phase: vm.Serving}, {Identity: identity("b", 1), Phase: vm.Serving}}}
	beat := func(name string, incarnation uint64, p vm.Phase, config, epoch uint64) *wire.Heartbeat {
		m := vm.Member{Identity: identity(name, incarnation), Phase: p}
		return &wire.Heartbeat{Vm: vm.ToWire(m), ConfigVersion: config, AckedEpoch: epoch}
	}
	steady := []*wire.Heartbeat{beat("a", 1, vm.Serving, 4, 7), beat("b", 1, vm.Serving, 4, 7)}
	other := []*wire.Heartbeat{
		beat("a", 2, vm.Serving, 4, 7), beat("a", 1, vm.Draining, 4, 7), beat("a", 1, vm.Serving, 3, 7),
		beat("a", 1, vm.Serving, 4, 6), beat("c", 1, vm.Serving, 4, 7),
	}
	req := &wire.SyncRequest{HaveConfig: 4, HaveSettled: 7}
	for _, hb := range append(steady, other...) {
		addHeartbeat(req, hb, agreed, false)
	}
	if len(req.GetSteady()) != len(steady) || len(req.GetHeartbeats()) != len(other) {
		t.Fatalf("%d short and %d full heartbeats", len(req.GetSteady()), len(req.GetHeartbeats()))
	}
	var x Expander
	hbs, unknown := x.Expand(req, agreed, nil)
	if unknown || len(hbs) != len(steady)+len(other) || Sender(req, hbs).GetVm().GetName() != "a" {
		t.Fatalf("expanded to %v, unknown %v", hbs, unknown)
	}
	if _, unknown = x.Expand(req, nil, nil); !unknown {
		t.Fatal("short heartbeats were read without the membership")
	}
}

// A tier is founded, and daemons ask several control VMs beside one another. One knows the
// new group's empty tree; the others, which do not lead, name the leader and state no
// tree. Taken for the word of a group with another tree, each such reply made its daemon
// ask for the whole state once more, and say so as an error, on 12 of 50 daemons.
func TestReplyWithoutStateContradictsNone(t *testing.T) {
	source := NewHistory()
	tree := settings.New()
	members := &vm.Membership{Epoch: 1, Members: []vm.Member{{Identity: identity("d1", 1), Phase: vm.Serving}}}
	source.Advance(State{ConfigDigest: tree.Digest(), Tree: tree, Settled: members}, nil)
	reply := &wire.SyncReply{}
	source.Fill(requestOf(&View{}), reply)
	v, err := advance(&View{}, reply)
	if err != nil || v.Tree == nil {
		t.Fatalf("the empty tree is not taken: %v", err)
	}
	if again, err := advance(v, &wire.SyncReply{Redirect: "10.0.0.1:7000"}); err != nil || again != v {
		t.Errorf("a reply that states no tree: %v", err)
	}
	other := settings.New().Replay(0, []settings.Edit{set(service, "leaf-slots", "3")})
	if _, err := advance(v, &wire.SyncReply{ConfigDigest: other.Digest(), SettledEpoch: 1}); err == nil {
		t.Error("another tree of the same version is taken for the same")
	}
}
