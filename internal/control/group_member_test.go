package control

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcmux"

	"pearmoor/internal/journal"
	"pearmoor/internal/journal/faultydisk"
	"pearmoor/internal/link/peer"
	"pearmoor/internal/link/wire"
	"pearmoor/internal/policy"
	"pearmoor/internal/route"
	"pearmoor/internal/settings"
	"pearmoor/internal/vm"
)

// memberVM is a VM with a GroupMember that serves on a loopback port.
type memberVM struct {
	t          testing.TB
	cfg        GroupMemberConfig
	member     *GroupMember
	pool       *peer.Pool
	mux        atomic.Pointer[drpcmux.Mux]
	founders   atomic.Pointer[[]string] // as this VM's settings name them
	followed   atomic.Pointer[vm.GroupID]
	cancel     context.CancelFunc
	background sync.WaitGroup
}

// HandleRPC implements drpc.Handler.
func (v *memberVM) HandleRPC(s drpc.Stream, rpc string) error { return v.mux.Load().HandleRPC(s, rpc) }

// memberTier is a set of VMs that are configured with the founders' addresses only.
type memberTier struct {
	t        testing.TB
	dir      string
	founders []string
	vms      map[string]*memberVM // by address
	growth   policy.GroupGrowth
	// waitForSeeds, if set, is called before a VM is told the founders.
	waitForSeeds func(context.Context)
}

const (
	testTick              = 20 * time.Millisecond
	testRemoveSilentAfter = 300 * time.Millisecond
)

// startTier starts a tier whose n VMs found a control group.
func startTier(t testing.TB, n int) *memberTier {
	t.Helper()
	return startTierWithDisks(t, n, faultydisk.None)
}

// startTierWithDisks is like startTier, with a fault of the first VM's disk from the start.
func startTierWithDisks(t testing.TB, n int, first faultydisk.Fault) *memberTier {
	t.Helper()
	tier, listeners := newTier(t, n)
	if err := faultydisk.Set(tier.dataDir(tier.founders[0]), first); err != nil {
		t.Fatal(err)
	}
	for _, lis := range listeners {
		tier.start(lis, true)
	}
	return tier
}

// newTier returns a tier with n founders, which are not started, and their listeners.
func newTier(t testing.TB, n int) (*memberTier, []net.Listener) {
	t.Helper()
	tier := &memberTier{t: t, dir: t.TempDir(), vms: make(map[string]*memberVM)}
	var listeners []net.Listener
	for range n {
		lis := listen(t, "127.0.0.1:0")
		listeners = append(listeners, lis)
		tier.founders = append(tier.founders, lis.Addr().String())
	}
	return tier, listeners
}

func (s *memberTier) dataDir(addr string) string {
	return filepath.Join(s.dir, fmt.Sprintf("%x", addr))
}

func (s *memberTier) start(lis net.Listener, found bool) *memberVM {
	s.t.Helper()
	return s.startWith(lis, found, "")
}

// startFollowing starts a VM on an empty disk whose daemon follows a group.
func (s *memberTier) startFollowing(group vm.GroupID) *memberVM {
	s.t.Helper()
	return s.startWith(listen(s.t, "127.0.0.1:0"), false, group)
}

func (s *memberTier) startWith(lis net.Listener, found bool, followed vm.GroupID) *memberVM {
	s.t.Helper()
	addr := lis.Addr().String()
	v := &memberVM{t: s.t, pool: peer.NewPool(nil)}
	v.mux.Store(drpcmux.New())
	v.founders.Store(&s.founders)
	v.followed.Store(&followed)
	wait := s.waitForSeeds
	v.cfg = GroupMemberConfig{
		Config: Config{
			Name: "vm-" + addr, DataDir: s.dataDir(addr), PeerAddr: addr, Conns: v.pool, Tick: testTick, ReserveBytes: 1,
			FS:          faultydisk.New(s.dataDir(addr)),
			Maintenance: MaintenanceConfig{MinVoters: max(s.growth.MinVoters, 3), RemoveSilentAfter: testRemoveSilentAfter},
			Growth:      s.growth,
		},
		FirstStart: found,
		Seeds:      func() []string { return *v.founders.Load() },
		Founders: func(ctx context.Context, seeds []string) []string {
			if wait != nil {
				wait(ctx)
			}
			return seeds
		},
		Contacts: func() []string { return s.founders },
		Followed: func() vm.GroupID { return *v.followed.Load() },
		OnNodeChange: func(n *Node) {
			mux := drpcmux.New()
			if n != nil {
				if err := n.Register(mux); err != nil {
					s.t.Errorf("register: %v", err)
				}
			}
			v.mux.Store(mux)
		},
	}
	v.member = NewGroupMember(v.cfg)
	ctx, cancel := context.WithCancel(context.Background())
	v.cancel = cancel
	v.background.Go(func() {
		if err := v.member.Run(ctx); err != nil {
			s.t.Errorf("group member at %s: %v", addr, err)
		}
	})
	v.background.Go(func() { _ = peer.Serve(ctx, lis, v, nil) })
	s.vms[addr] = v
	s.t.Cleanup(v.stop)
	return v
}

func (v *memberVM) stop() {
	v.cancel()
	v.background.Wait()
	_ = v.pool.Close()
}

// identity returns the identity on the disk of the VM at addr.
func (s *memberTier) identity(addr string) (*wire.DiskIdentity, error) {
	return journal.ReadIdentity(journal.OS{}, s.dataDir(addr))
}

// stopAt stops the VM at addr.
func (s *memberTier) stopAt(addr string) {
	s.vms[addr].stop()
	delete(s.vms, addr)
}

// startAt starts a VM at addr that does not found a group.
func (s *memberTier) startAt(addr string) *memberVM {
	s.t.Helper()
	var lis net.Listener
	eventually(s.t, "the address is free", func() bool {
		var err error
		lis, err = net.Listen("tcp", addr)
		return err == nil
	})
	return s.start(lis, false)
}

// putRelease sends a release to the VMs in turn until one acknowledges it.
func (s *memberTier) putRelease(r *route.Release) *wire.ReleaseReply {
	s.t.Helper()
	body, err := json.Marshal(r)
	if err != nil {
		s.t.Fatal(err)
	}
	var reply *wire.ReleaseReply
	eventually(s.t, fmt.Sprintf("release %d is acknowledged", r.Number), func() bool {
		for addr := range s.vms {
			if out, err := s.control(addr).PutRelease(callCtx(s.t), &wire.ReleaseRequest{Release: body}); err == nil && out.Redirect == "" {
				reply = out
				return true
			}
		}
		return false
	})
	return reply
}

func (s *memberTier) control(addr string) wire.DRPCControlClient {
	conn, err := s.vms[addr].pool.Conn(context.Background(), addr)
	if err != nil {
		s.t.Fatal(err)
	}
	return wire.NewDRPCControlClient(conn)
}

// follower returns a VM that does not lead.
func (s *memberTier) follower() *memberVM {
	s.t.Helper()
	var found *memberVM
	eventually(s.t, "a VM follows", func() bool {
		for _, v := range s.vms {
			if n := v.member.Node(); n != nil && n.leadership.Load().leader != 0 && !n.IsLeader() {
				found = v
				return true
			}
		}
		return false
	})
	return found
}

// readRelease returns the release of the newest settings tree and checks the tree's digest.
func (s *memberTier) readRelease() *route.Release {
	s.t.Helper()
	out, tree := s.newestTree()
	if tree.Digest() != out.Digest {
		s.t.Errorf("version=%d is reported with digest=%x, its tree has digest=%x", out.Version, out.Digest, tree.Digest())
	}
	r, err := route.FromTree(tree)
	if err != nil || r == nil {
		s.t.Fatalf("version=%d contains no release: %v", out.Version, err)
	}
	return r
}

// newestTree asks the VMs in turn for the newest version until one returns it. It returns
// the reply and that VM's settings tree of the version.
func (s *memberTier) newestTree() (*wire.NewestReply, *settings.Tree) {
	s.t.Helper()
	var reply *wire.NewestReply
	var tree *settings.Tree
	eventually(s.t, "a VM returns the newest version", func() bool {
		for addr, v := range s.vms {
			var err error
			if reply, err = s.control(addr).Newest(callCtx(s.t), &wire.NewestRequest{}); err != nil || reply.Redirect != "" || reply.Version == 0 {
				continue
			}
			if n := v.member.Node(); n != nil {
				tree, _, err = n.treeAt(reply.Version)
				return err == nil
			}
		}
		return false
	})
	return reply, tree
}

// waitForVoters waits until the group consists of exactly the voters at the addresses want,
// without learners.
func (s *memberTier) waitForVoters(want ...string) {
	s.t.Helper()
	eventually(s.t, fmt.Sprintf("the voters are %v", want), func() bool {
		for addr := range s.vms {
			n := s.vms[addr].member.Node()
			if n == nil || !n.IsLeader() {
				continue
			}
			l := n.leadership.Load()
			voters := map[string]bool{}
			for _, m := range l.conf.GetMembers() {
				if m.Learner {
					return false
				}
				voters[m.PeerAddr] = true
			}
			for _, w := range want {
				if !voters[w] {
					return false
				}
			}
			return l.status.ConfCommitted && len(l.conf.GetMembers()) == len(want)
		}
		return false
	})
}

func testRelease(n uint64, timeout time.Duration) *route.Release {
	return &route.Release{
		Number: n, Services: []route.Service{{Name: "s"}},
		Routes: []route.Route{{Name: "r", Host: "h", Prefix: "/", Service: "s", Timeout: timeout}},
	}
}

// A release with the current number or a lower one must be acknowledged without changing
// anything, even if its content differs.
func TestHighestReleaseNumberWins(t *testing.T) {
	t.Parallel()
	tier := startTier(t, 3)
	if r := tier.putRelease(testRelease(7, time.Second)); !r.Changed || r.Held != 7 {
		t.Fatalf("first release: %+v", r)
	}
	for _, n := range []uint64{7, 3} {
		if r := tier.putRelease(testRelease(n, 9*time.Second)); r.Changed || r.Held != 7 || len(r.Faults) > 0 {
			t.Errorf("release %d after release 7: %+v", n, r)
		}
	}
	if r := tier.readRelease(); r.Number != 7 || r.Routes[0].Timeout != time.Second {
		t.Errorf("current release: %+v", r)
	}
	if r := tier.putRelease(&route.Release{Number: 99, Routes: []route.Route{{Name: "x"}}}); len(r.Faults) == 0 {
		t.Errorf("invalid release was accepted: %+v", r)
	}
}

// After a release is acknowledged, the tree that is reported as the newest must contain it,
// or operators could not read back their own changes. Only the leader may report one, since
// other VMs may lag behind.
func TestNewestReturnsAcknowledgedRelease(t *testing.T) {
	t.Parallel()
	tier := startTier(t, 3)
	before := uint64(0)
	for n := uint64(7); n < 12; n++ {
		tier.putRelease(testRelease(n, time.Duration(n)*time.Second))
		out, _ := tier.newestTree()
		if r := tier.readRelease(); r.Number != n || r.Routes[0].Timeout != time.Duration(n)*time.Second || out.Version <= before || out.GetHeld() != n {
			t.Errorf("release %d was acknowledged, but version=%d after %d contains %+v", n, out.Version, before, r)
		}
		before = out.Version
	}
	for addr, v := range tier.vms {
		if out, err := tier.control(addr).Newest(callCtx(t), &wire.NewestRequest{}); err == nil && out.Redirect == "" && !v.member.Node().IsLeader() {
			t.Errorf("%s does not lead but reports version=%d", addr, out.Version)
		}
	}
}

// Eight releases are sent concurrently, so that some arrive after one with a higher number.
// Each must be acknowledged, and the highest number must win.
func TestConcurrentReleasesKeepHighestNumber(t *testing.T) {
	t.Parallel()
	tier := startTier(t, 3)
	tier.putRelease(testRelease(1, time.Second))
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() { tier.putRelease(testRelease(uint64(10+i%5), time.Duration(i+1)*time.Second)) })
	}
	wg.Wait()
	if r := tier.readRelease(); r.Number != 14 {
		t.Errorf("current release: %d", r.Number)
	}
}

// All VMs fail right after a release is acknowledged, and the leader loses its disk. The
// release must still be current after the restart. The leader's VM must join as a new
// member: under its old ID it could vote again, contradicting votes and entries that were
// lost with the disk.
func TestReleaseSurvivesDiskLossAfterAcknowledgement(t *testing.T) {
	t.Parallel()
	tier := startTier(t, 3)
	tier.putRelease(testRelease(5, time.Second))
	var lostAddr string
	for addr, v := range tier.vms {
		if n := v.member.Node(); n != nil && n.IsLeader() {
			lostAddr = addr
		}
	}
	addrs := append([]string(nil), tier.founders...)
	for _, addr := range addrs {
		tier.stopAt(addr)
	}
	if err := os.RemoveAll(tier.dataDir(lostAddr)); err != nil {
		t.Fatal(err)
	}
	for _, addr := range addrs {
		tier.startAt(addr)
	}
	if r := tier.readRelease(); r.Number != 5 {
		t.Fatalf("current release: %d", r.Number)
	}
	tier.waitForVoters(addrs...)
	for addr, v := range tier.vms {
		if n := v.member.Node(); addr == lostAddr && n != nil && n.cfg.ID <= 3 {
			t.Errorf("the VM with the new disk joined under old member ID %d", n.cfg.ID)
		}
	}
	tier.putRelease(testRelease(6, time.Second))
}

// A control VM is permanently lost and an empty VM is started at another address. The group
// must add the new VM and remove the lost one, so that it tolerates the next loss.
func TestSilentVoterReplacedAtAnotherAddress(t *testing.T) {
	t.Parallel()
	tier := startTier(t, 3)
	tier.putRelease(testRelease(1, time.Second))
	lostAddr := tier.founders[0]
	tier.stopAt(lostAddr)
	replacement := tier.start(listen(t, "127.0.0.1:0"), false)
	tier.waitForVoters(tier.founders[1], tier.founders[2], replacement.cfg.PeerAddr)
	tier.stopAt(tier.founders[1])
	tier.putRelease(testRelease(2, time.Second))
}

// A member that was down for long has been removed, since enough other voters responded.
// When it is back, the group rejects it. It must then clear its data folder and join under
// a new ID.
func TestRemovedMemberRejoinsUnderNewID(t *testing.T) {
	t.Parallel()
	tier := startTier(t, 4)
	tier.putRelease(testRelease(1, time.Second))
	removedAddr := tier.founders[3]
	tier.stopAt(removedAddr)
	tier.waitForVoters(tier.founders[0], tier.founders[1], tier.founders[2])
	rejoined := tier.startAt(removedAddr)
	tier.waitForVoters(tier.founders...)
	if n := rejoined.member.Node(); n == nil || n.cfg.ID <= 4 {
		t.Errorf("node after rejoining: %+v", n)
	}
	tier.putRelease(testRelease(2, time.Second))
}

// Guards against a second control group: a founder that was cut off until the group had
// removed it acknowledges changes that no other VM receives.
func TestRemovedFounderFoundsNoSecondGroup(t *testing.T) {
	t.Parallel()
	tier := startTier(t, 4)
	tier.putRelease(testRelease(1, time.Second))
	cutOff := tier.follower()
	others := slices.DeleteFunc(slices.Clone(tier.founders), func(a string) bool { return a == cutOff.cfg.PeerAddr })
	cutOff.founders.Store(&[]string{cutOff.cfg.PeerAddr}) // the seeds were exchanged; of the new ones only this VM has a disk
	cutOff.mux.Store(drpcmux.New())                       // no call reaches it
	tier.waitForVoters(others...)
	mux := drpcmux.New()
	if err := cutOff.member.Node().Register(mux); err != nil {
		t.Fatal(err)
	}
	cutOff.mux.Store(mux)
	eventually(t, "the VM is a member again, under a new ID", func() bool {
		n := cutOff.member.Node()
		return n != nil && n.cfg.ID > 4 && !n.IsLeader()
	})
	tier.waitForVoters(tier.founders...)
	tier.putRelease(testRelease(2, time.Second))
	if r := tier.readRelease(); r.Number != 2 {
		t.Errorf("release %d is read back after release 2 was acknowledged", r.Number)
	}
}

// Guards against a VM whose control member is of another group than its daemon follows.
func TestVMJoinsNoGroupButTheOneItFollows(t *testing.T) {
	t.Parallel()
	tier := startTier(t, 3)
	tier.putRelease(testRelease(1, time.Second))
	other := vm.NewGroupID()
	v := tier.startFollowing(other)
	time.Sleep(20 * testTick)
	if n := v.member.Node(); n != nil {
		t.Errorf("a VM that follows group=%s is member %d of group=%s", other, n.cfg.ID, n.GroupID())
	}
	v.followed.Store(new(vm.GroupID))
	tier.waitForVoters(append(slices.Clone(tier.founders), v.cfg.PeerAddr)...)
}

// Guards against a control VM that ends because its disk is full when it opens its data folder.
func TestFullDiskAtFirstStartDelaysMembership(t *testing.T) {
	t.Parallel()
	tier := startTierWithDisks(t, 3, faultydisk.Full)
	full := tier.founders[0]
	time.Sleep(10 * testTick)
	if tier.vms[full].member.Node() != nil {
		t.Error("a VM is a member without a disk to write to")
	}
	if err := faultydisk.Set(tier.dataDir(full), faultydisk.None); err != nil {
		t.Fatal(err)
	}
	tier.waitForVoters(tier.founders...)
	tier.putRelease(testRelease(1, time.Second))
}

// One of three founders is lost. It must not be removed from the group, since a group of
// two voters could not tolerate the loss of a disk.
func TestGroupKeepsMinVoters(t *testing.T) {
	t.Parallel()
	tier := startTier(t, 3)
	tier.putRelease(testRelease(1, time.Second))
	tier.stopAt(tier.founders[2])
	time.Sleep(3 * testRemoveSilentAfter)
	tier.putRelease(testRelease(2, time.Second))
	for _, v := range tier.vms {
		if n := v.member.Node(); n.IsLeader() && len(n.leadership.Load().conf.GetMembers()) != 3 {
			t.Errorf("members of the group: %v", n.leadership.Load().conf)
		}
	}
}
