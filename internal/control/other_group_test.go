package control

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"pearmoor/internal/journal"
	"pearmoor/internal/link/wire"
	"pearmoor/internal/quarantine"
	"pearmoor/internal/quorum"
	"pearmoor/internal/quorum/quorumpb"
	"pearmoor/internal/relay"
	"pearmoor/internal/vm"
)

// twoGroups is a tier with two control groups that use the same member IDs, versions and
// terms: the VMs of founders[0] and those of founders[1].
type twoGroups struct {
	*simulation
	t        *testing.T
	founders [2][]string
	nodes    [2]*Node // the leaders after the start
	ctx      context.Context
}

const simSettleTime = 10 * time.Second // enough for elections and changes of the group

// runTwoGroups founds two groups, of which the second has more releases, and calls f.
func runTwoGroups(t *testing.T, f func(t *testing.T, w *twoGroups)) {
	t.Helper()
	captureLogs(t)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := &twoGroups{simulation: newSimulation(1), t: t, ctx: ctx}
		defer func() {
			cancel()
			w.stop()
			time.Sleep(time.Minute)
		}()
		for g := range w.founders {
			for i := range 3 {
				w.founders[g] = append(w.founders[g], simAddr(3*g+i+1))
			}
			for _, addr := range w.founders[g] {
				w.addVM(addr, w.founders[g])
			}
		}
		for _, addr := range w.addrs() {
			w.startVM(addr)
		}
		time.Sleep(simSettleTime)
		for g := range w.founders {
			w.nodes[g] = w.leaderOf(g)
			for n := range uint64(1 + 4*g) {
				w.putRelease(w.nodes[g], n+1)
			}
		}
		time.Sleep(simSettleTime)
		f(t, w)
	})
}

// leaderOf returns the node that leads a group.
func (w *twoGroups) leaderOf(g int) *Node {
	w.t.Helper()
	var group vm.GroupID
	if w.nodes[g] != nil {
		group = w.nodes[g].GroupID()
	}
	for _, addr := range w.addrs() {
		p := w.vms[addr].process
		if p == nil || p.member.Node() == nil || !p.member.Node().IsLeader() {
			continue
		}
		if n := p.member.Node(); n.GroupID() == group || group == "" && slices.Contains(w.founders[g], addr) {
			return n
		}
	}
	w.t.Fatalf("group %d has no leader", g)
	return nil
}

func (w *twoGroups) putRelease(n *Node, number uint64) {
	w.t.Helper()
	body, err := json.Marshal(testRelease(number, time.Second))
	if err != nil {
		w.t.Fatal(err)
	}
	reply, err := (&operatorServer{n}).PutRelease(w.ctx, &wire.ReleaseRequest{Release: body, Group: n.GroupID().Wire()})
	if err != nil || !reply.Changed {
		w.t.Fatalf("release %d of group %s: %v %v", number, n.GroupID(), reply, err)
	}
}

// heldRelease returns the number of the release that a group has.
func (w *twoGroups) heldRelease(n *Node) uint64 {
	w.t.Helper()
	reply, err := (&operatorServer{n}).Newest(w.ctx, &wire.NewestRequest{Group: n.GroupID().Wire()})
	if err != nil || reply.Redirect != "" {
		w.t.Fatalf("newest version of group %s: %v %v", n.GroupID(), reply, err)
	}
	return reply.GetHeld()
}

// nodeState is what a message must not change on a node of another group.
type nodeState struct {
	version, digest uint64
	term, lastIndex uint64
	group           vm.GroupID
	conf            string
	addrs, names    map[uint64]string
	daemons         int
}

func stateOf(n *Node) nodeState {
	l := n.leadership.Load()
	tree, version, _ := n.treeAt(0)
	out := nodeState{
		version: version, digest: tree.Digest(), term: l.term, lastIndex: l.status.LastIndex, group: n.GroupID(),
		conf: l.conf.String(), addrs: make(map[uint64]string), names: make(map[uint64]string),
		daemons: len(n.daemons.DaemonStatuses(n.cfg.Clock())),
	}
	n.transport.mu.Lock()
	defer n.transport.mu.Unlock()
	for id, addr := range n.transport.addrs {
		out.addrs[id] = addr
	}
	for id, name := range n.transport.names {
		out.names[id] = name
	}
	return out
}

// A daemon that reaches another group would change or learn that group's state.
func TestGroupRefusesCallsForAnotherGroup(t *testing.T) {
	runTwoGroups(t, func(t *testing.T, w *twoGroups) {
		first, second := w.nodes[0], w.nodes[1]
		group := first.GroupID().Wire()
		release, _ := json.Marshal(testRelease(99, time.Second))
		peer := second.leadership.Load().conf.GetMembers()[second.cfg.ID%3]
		messages := []*quorum.Message{
			{Kind: quorumpb.Kind_HEARTBEAT, From: peer.Id, FromDisk: peer.Disk, To: second.cfg.ID, Term: 90, Group: group},
			{Kind: quorumpb.Kind_VOTE, From: peer.Id, FromDisk: peer.Disk, To: second.cfg.ID, Term: 91, Index: 900, LogTerm: 90, Transfer: true, Group: group},
			{Kind: quorumpb.Kind_APPEND, From: peer.Id, FromDisk: peer.Disk, To: second.cfg.ID, Term: 92, Entries: []*quorum.Entry{{Index: 1, Term: 92}}, Group: group},
			{Kind: quorumpb.Kind_REFUSED, From: peer.Id, FromDisk: peer.Disk, To: second.cfg.ID, Term: 92, Refusal: quorumpb.Refusal_REMOVED, Group: group},
		}
		var payloads [][]byte
		for _, m := range messages {
			b, err := quorum.Encode(m)
			if err != nil {
				t.Fatal(err)
			}
			payloads = append(payloads, b)
		}
		var fingerprints [][]byte
		var requests []string
		for i := range 4 {
			fingerprints = append(fingerprints, bytes.Repeat([]byte{byte(i + 1)}, len(quarantine.Fingerprint{})))
			requests = append(requests, fmt.Sprint("GET /", i))
		}
		operator, quorumSrv := &operatorServer{second}, &quorumServer{second}
		quarantineSrv := quarantineServer{operator}
		calls := map[string]func() (proto.Message, error){
			"PutRelease": func() (proto.Message, error) {
				return operator.PutRelease(w.ctx, &wire.ReleaseRequest{Release: release, Group: group})
			},
			"Newest": func() (proto.Message, error) { return operator.Newest(w.ctx, &wire.NewestRequest{Group: group}) },
			"Evacuate": func() (proto.Message, error) {
				return operator.Evacuate(w.ctx, &wire.EvacuationRequest{Domain: "d", Evacuate: true, Group: group})
			},
			"Report": func() (proto.Message, error) {
				return quarantineSrv.Report(w.ctx, &wire.CrashReports{Reports: []*wire.CrashReport{{Fingerprints: fingerprints, Requests: requests, LeafEnds: 9}}, Group: group})
			},
			"Trial": func() (proto.Message, error) {
				return quarantineSrv.Trial(w.ctx, &wire.TrialRequest{Fingerprint: fingerprints[0], Group: group})
			},
			"Join": func() (proto.Message, error) {
				return quorumSrv.Join(w.ctx, &wire.JoinRequest{Name: "n", PeerAddr: "n:1", Disk: 7, Group: group})
			},
			"Deliver": func() (proto.Message, error) {
				return quorumSrv.Deliver(w.ctx, &wire.QuorumMessage{From: peer.Id, FromAddr: "elsewhere:1", FromName: "elsewhere", Payloads: payloads, Group: group})
			},
		}
		for name, call := range calls {
			before := stateOf(second)
			reply, err := call()
			if !errors.Is(err, errOtherGroup) || !reflect.ValueOf(reply).IsNil() {
				t.Errorf("%s for another group: reply %v, error %v", name, reply, err)
			}
			time.Sleep(3 * time.Second)
			if after := stateOf(second); !reflect.DeepEqual(before, after) {
				t.Errorf("%s for another group changed\n%+v to\n%+v", name, before, after)
			}
		}
		before := stateOf(second)
		if _, err := quorumSrv.Deliver(w.ctx, &wire.QuorumMessage{Payloads: payloads}); err != nil {
			t.Error(err)
		}
		time.Sleep(3 * time.Second)
		if after := stateOf(second); !reflect.DeepEqual(before, after) {
			t.Errorf("messages that name another group changed\n%+v to\n%+v", before, after)
		}
		for _, addr := range w.founders[1] {
			n := w.vms[addr].process.member.Node()
			before := stateOf(n)
			reply, err := (&spreadServer{n}).Sync(w.ctx, &wire.SyncRequest{
				Group: group, Unpacks: true, Heartbeats: []*wire.Heartbeat{{Vm: &wire.Vm{Name: "d", PeerAddr: "d:1", Incarnation: 1}}},
			})
			want := &wire.SyncReply{Group: second.GroupID().Wire()}
			if err != nil || !proto.Equal(reply, want) {
				t.Errorf("sync for another group at %s: reply %v, error %v", addr, reply, err)
			}
			if after := stateOf(n); !reflect.DeepEqual(before, after) {
				t.Errorf("sync for another group changed\n%+v to\n%+v", before, after)
			}
		}
	})
}

// Each group's messages arrive at members of the other one that have the same IDs.
func TestGroupsStayApartAfterExchangeOfAddresses(t *testing.T) {
	runTwoGroups(t, func(t *testing.T, w *twoGroups) {
		groups := [2]vm.GroupID{w.nodes[0].GroupID(), w.nodes[1].GroupID()}
		for i := range 2 {
			a, b := w.founders[0][i], w.founders[1][i]
			w.killVM(a)
			w.killVM(b)
			w.vms[a].fs, w.vms[b].fs = w.vms[b].fs, w.vms[a].fs
			w.vms[a].firstStart, w.vms[b].firstStart = false, false
			w.startVM(a)
			w.startVM(b)
			time.Sleep(simSettleTime)
		}
		for g, group := range groups {
			n := w.leaderOf(g)
			if held := w.heldRelease(n); held != uint64(1+4*g) {
				t.Errorf("group %d has release %d", g, held)
			}
			w.putRelease(n, 10+uint64(g))
			if members := n.leadership.Load().conf.GetMembers(); len(members) != 3 || members[2].Id != 3 {
				t.Errorf("members of group %d: %v", g, members)
			}
			for i, addr := range w.founders[g] {
				at := addr
				if i < 2 {
					at = w.founders[1-g][i]
				}
				if node := w.vms[at].process.member.Node(); node == nil || node.GroupID() != group || node.cfg.ID != uint64(i+1) {
					t.Errorf("the VM at %s is no longer member %d of group %d", at, i+1, g)
				}
			}
		}
	})
}

// startDaemon runs a daemon that starts with the addresses in control.
func (w *twoGroups) startDaemon(addr string, control []string) *relay.Client {
	c := relay.NewClient(relay.Config{
		Self:    vm.Identity{Name: addr, Incarnation: 1, Domain: "d", Region: "r", PeerAddr: addr},
		Control: control, Conns: simConns{network: w.network, from: addr}, Clock: w.clock,
	})
	c.SetPhase(vm.Serving)
	w.running.Go(func() { _ = c.Run(w.ctx) })
	w.running.Go(func() {
		for w.ctx.Err() == nil {
			changed, v := c.Changed(), c.Current()
			c.Ack(v.ConfigVersion, v.Epoch())
			select {
			case <-changed:
			case <-w.ctx.Done():
			}
		}
	})
	p := &simProcess{sim: w.simulation, addr: addr, ctx: w.ctx, table: make(rpcTable)}
	if err := wire.DRPCRegisterSpread(p.table, c.Server()); err != nil {
		w.t.Fatal(err)
	}
	w.network.mu.Lock()
	w.network.servers[addr] = p
	w.network.mu.Unlock()
	time.Sleep(simSettleTime)
	return c
}

// A daemon that meets another group would handle requests as that group's configuration says.
func TestDaemonKeepsToItsGroup(t *testing.T) {
	runTwoGroups(t, func(t *testing.T, w *twoGroups) {
		d := w.startDaemon("daemon:1", w.founders[0])
		other := w.startDaemon("relay:1", w.founders[1])
		start := d.Current()
		if start.Group != w.nodes[0].GroupID() || !start.HoldsLease(w.clock()) {
			t.Fatalf("the daemon follows group=%s", start.Group)
		}
		if v := other.Current(); v.Group != w.nodes[1].GroupID() || !v.HoldsLease(w.clock()) {
			t.Fatalf("the relay follows group=%s", v.Group)
		}
		before := stateOf(w.leaderOf(1))
		for _, addr := range w.founders[0] {
			w.isolate(addr, false)
		}
		d.SetSeeds(append(slices.Clone(w.founders[1]), "relay:1"))
		for range 300 {
			time.Sleep(100 * time.Millisecond)
			v := d.Current()
			if v.Group != start.Group || v.ConfigVersion != start.ConfigVersion || v.ConfigDigest != start.ConfigDigest || v.Epoch() != start.Epoch() {
				t.Fatalf("the daemon took state of group=%s: version=%d", v.Group, v.ConfigVersion)
			}
			if v.LeaseEnd > w.clock().Add(10*time.Second) {
				t.Fatalf("the daemon holds a lease until %v at %v", v.LeaseEnd, w.clock())
			}
			for _, addr := range d.ControlGroup() {
				if slices.Contains(w.founders[1], addr) {
					t.Fatalf("the daemon took the control address %s of another group", addr)
				}
			}
		}
		if v := d.Current(); v.HoldsLease(w.clock()) || v.ConfirmedAt > start.ConfirmedAt.Add(simSettleTime) {
			t.Errorf("another group has granted a lease until %v, confirmed at %v", v.LeaseEnd, v.ConfirmedAt)
		}
		after := stateOf(w.leaderOf(1))
		if after.conf != before.conf || after.daemons != before.daemons || after.version != before.version {
			t.Errorf("the daemon of another group changed %+v to %+v", before, after)
		}
		for _, addr := range w.founders[0] {
			w.heal(addr)
		}
		d.SetSeeds(w.founders[0])
		time.Sleep(simSettleTime)
		w.putRelease(w.leaderOf(0), 50)
		time.Sleep(simSettleTime)
		if v := d.Current(); v.Group != start.Group || v.ConfigVersion <= start.ConfigVersion || !v.HoldsLease(w.clock()) {
			t.Errorf("the daemon does not follow its group again: group=%s version=%d", v.Group, v.ConfigVersion)
		}
	})
}

// A VM that its group has removed would take its place in another group that it meets.
func TestRemovedMemberJoinsItsOwnGroupOnly(t *testing.T) {
	runTwoGroups(t, func(t *testing.T, w *twoGroups) {
		const addr = "removed:1"
		w.addVM(addr, w.founders[1])
		group := w.nodes[0].GroupID()
		identity := &wire.DiskIdentity{Name: "vm-" + addr, Group: group.Wire()}
		if err := journal.WriteIdentity(w.vms[addr].fs, simDataDir, identity); err != nil {
			t.Fatal(err)
		}
		before := stateOf(w.nodes[1])
		w.startVM(addr)
		time.Sleep(simSettleTime)
		if n := w.vms[addr].process.member.Node(); n != nil {
			t.Errorf("the VM is member %d of group=%s", n.cfg.ID, n.GroupID())
		}
		if after := stateOf(w.nodes[1]); !reflect.DeepEqual(before, after) {
			t.Errorf("another group changed %+v to %+v", before, after)
		}
		w.setSeeds(addr, w.founders[0])
		time.Sleep(simSettleTime)
		n := w.vms[addr].process.member.Node()
		if n == nil || n.GroupID() != group || !strings.Contains(fmt.Sprint(w.leaderOf(0).leadership.Load().conf), addr) {
			t.Errorf("the VM has not joined its group: %v", n)
		}
	})
}

// The group would have a member that refuses all its messages.
func TestMemberOfAnotherGroupIsNotAdded(t *testing.T) {
	runTwoGroups(t, func(t *testing.T, w *twoGroups) {
		const addr = "fourth:1"
		w.addVM(addr, w.founders[0])
		w.vms[addr].firstStart = false
		w.startVM(addr)
		time.Sleep(simSettleTime)
		if n := w.vms[addr].process.member.Node(); n == nil || n.GroupID() != w.nodes[0].GroupID() || n.cfg.ID != 4 {
			t.Fatalf("the VM has not joined the first group: %v", n)
		}
		second := w.leaderOf(1)
		before := stateOf(second)
		ctx, cancel := context.WithTimeout(w.ctx, simSettleTime)
		defer cancel()
		reply, err := (&operatorServer{second}).Group(ctx, &wire.GroupRequest{Op: wire.GroupOp_GROUP_ADD, PeerAddr: addr})
		if err == nil && (reply.Done || !strings.Contains(reply.Error, "group")) {
			t.Errorf("the second group answers %v", reply)
		}
		if after := stateOf(second); before.conf != after.conf {
			t.Errorf("the members %s became %s", before.conf, after.conf)
		}
	})
}
