package control

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcmux"

	"pearmoor/internal/link/peer"
	"pearmoor/internal/link/wire"
	"pearmoor/internal/route"
	"pearmoor/internal/settings"
)

// memberVM is a VM with a GroupMember that serves on a loopback port.
type seatVM struct {
	t      testing.TB
	cfg    SeatConfig
	seat   *Seat
	pool   *peer.Pool
	mux    atomic.Pointer[drpcmux.Mux]
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// HandleRPC implements drpc.Handler.
func (v *seatVM) HandleRPC(s drpc.Stream, rpc string) error { return v.mux.Load().HandleRPC(s, rpc) }

// memberTier is a set of VMs that are configured with the founders' addresses only.
type seatTier struct {
	t        testing.TB
	dir      string
	founders []string
	vms      map[string]*seatVM // by address
}

const (
	seatTick   = 20 * time.Millisecond
	seatSilent = 300 * time.Millisecond
)

// startTier starts a tier whose n VMs found a control group.
func foundTier(t testing.TB, n int) *seatTier {
	t.Helper()
	tier := &seatTier{t: t, dir: t.TempDir(), vms: make(map[string]*seatVM)}
	var listeners []net.Listener
	for range n {
		lis := listen(t, "127.0.0.1:0")
		listeners = append(listeners, lis)
		tier.founders = append(tier.founders, lis.Addr().String())
	}
	for _, lis := range listeners {
		tier.start(lis, true)
	}
	return tier
}

func (s *seatTier) folder(addr string) string {
	return filepath.Join(s.dir, fmt.Sprintf("%x", addr))
}

func (s *seatTier) start(lis net.Listener, found bool) *seatVM {
	s.t.Helper()
	addr := lis.Addr().String()
	v := &seatVM{t: s.t, pool: peer.NewPool(nil)}
	v.mux.Store(drpcmux.New())
	v.cfg = SeatConfig{
		Config: Config{
			Name: "vm-" + addr, DataDir: s.folder(addr), PeerAddr: addr, Conns: v.pool, Tick: seatTick, ReserveBytes: 1,
			Upkeep: Upkeep{MinVoters: 3, SilentAfter: seatSilent},
		},
		Found:    found,
		Founders: func(context.Context) []string { return s.founders },
		Contacts: func() []string { return s.founders },
		OnNode: func(n *Node) {
			mux := drpcmux.New()
			if n != nil {
				if err := n.Register(mux); err != nil {
					s.t.Errorf("register: %v", err)
				}
			}
			v.mux.Store(mux)
		},
	}
	v.seat = NewSeat(v.cfg)
	ctx, cancel := context.WithCancel(context.Background())
	v.cancel = cancel
	v.done.Go(func() {
		if err := v.seat.Run(ctx); err != nil {
			s.t.Errorf("group member at %s: %v", addr, err)
		}
	})
	v.done.Go(func() { _ = peer.Serve(ctx, lis, v, nil) })
	s.vms[addr] = v
	s.t.Cleanup(v.stop)
	return v
}

func (v *seatVM) stop() {
	v.cancel()
	v.done.Wait()
	_ = v.pool.Close()
}

// stopAt stops the VM at addr.
func (s *seatTier) stopAt(addr string) {
	s.vms[addr].stop()
	delete(s.vms, addr)
}

// startAt starts a VM at addr that does not found a group.
func (s *seatTier) startAt(addr string) *seatVM {
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
func (s *seatTier) put(r *route.Release) *wire.ReleaseReply {
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

func (s *seatTier) control(addr string) wire.DRPCControlClient {
	conn, err := s.vms[addr].pool.Conn(context.Background(), addr)
	if err != nil {
		s.t.Fatal(err)
	}
	return wire.NewDRPCControlClient(conn)
}

// readRelease returns the release of the newest settings tree and checks the tree's digest.
func (s *seatTier) read() *route.Release {
	s.t.Helper()
	out, tree := s.newest()
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
func (s *seatTier) newest() (*wire.NewestReply, *settings.Tree) {
	s.t.Helper()
	var out *wire.NewestReply
	var tree *settings.Tree
	eventually(s.t, "a VM returns the newest version", func() bool {
		for addr, v := range s.vms {
			var err error
			if out, err = s.control(addr).Newest(callCtx(s.t), &wire.NewestRequest{}); err != nil || out.Redirect != "" || out.Version == 0 {
				continue
			}
			if n := v.seat.Node(); n != nil {
				tree, _, err = n.treeAt(out.Version)
				return err == nil
			}
		}
		return false
	})
	return out, tree
}

// waitForVoters waits until the group consists of exactly the voters at the addresses want,
// without learners.
func (s *seatTier) votersAre(want ...string) {
	s.t.Helper()
	eventually(s.t, fmt.Sprintf("the voters are %v", want), func() bool {
		for addr := range s.vms {
			n := s.vms[addr].seat.Node()
			if n == nil || !n.Leads() {
				continue
			}
			l := n.lead.Load()
			have := map[string]bool{}
			for _, m := range l.conf.GetMembers() {
				if m.Learner {
					return false
				}
				have[m.PeerAddr] = true
			}
			for _, w := range want {
				if !have[w] {
					return false
				}
			}
			return l.status.ConfCommitted && len(l.conf.GetMembers()) == len(want)
		}
		return false
	})
}

func releaseNumber(n uint64, timeout time.Duration) *route.Release {
	return &route.Release{
		Number: n, Services: []route.Service{{Name: "s"}},
		Routes: []route.Route{{Name: "r", Host: "h", Prefix: "/", Service: "s", Timeout: timeout}},
	}
}

// A release with the current number or a lower one must be acknowledged without changing
// anything, even if its content differs.
func TestHighestReleaseHolds(t *testing.T) {
	t.Parallel()
	tier := foundTier(t, 3)
	if r := tier.put(releaseNumber(7, time.Second)); !r.Changed || r.Held != 7 {
		t.Fatalf("first release: %+v", r)
	}
	for _, n := range []uint64{7, 3} {
		if r := tier.put(releaseNumber(n, 9*time.Second)); r.Changed || r.Held != 7 || len(r.Faults) > 0 {
			t.Errorf("release %d after release 7: %+v", n, r)
		}
	}
	if r := tier.read(); r.Number != 7 || r.Routes[0].Timeout != time.Second {
		t.Errorf("current release: %+v", r)
	}
	if r := tier.put(&route.Release{Number: 99, Routes: []route.Route{{Name: "x"}}}); len(r.Faults) == 0 {
		t.Errorf("invalid release was accepted: %+v", r)
	}
}

// After a release is acknowledged, the tree that is reported as the newest must contain it,
// or operators could not read back their own changes. Only the leader may report one, since
// other VMs may lag behind.
func TestNewestNamesWhatWasAcknowledged(t *testing.T) {
	t.Parallel()
	tier := foundTier(t, 3)
	before := uint64(0)
	for n := uint64(7); n < 12; n++ {
		tier.put(releaseNumber(n, time.Duration(n)*time.Second))
		out, _ := tier.newest()
		if r := tier.read(); r.Number != n || r.Routes[0].Timeout != time.Duration(n)*time.Second || out.Version <= before || out.GetHeld() != n {
			t.Errorf("release %d was acknowledged, but version=%d after %d contains %+v", n, out.Version, before, r)
		}
		before = out.Version
	}
	for addr, v := range tier.vms {
		if out, err := tier.control(addr).Newest(callCtx(t), &wire.NewestRequest{}); err == nil && out.Redirect == "" && !v.seat.Node().Leads() {
			t.Errorf("%s does not lead but reports version=%d", addr, out.Version)
		}
	}
}

// Eight releases are sent concurrently, so that some arrive after one with a higher number.
// Each must be acknowledged, and the highest number must win.
func TestReleasesRace(t *testing.T) {
	t.Parallel()
	tier := foundTier(t, 3)
	tier.put(releaseNumber(1, time.Second))
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() { tier.put(releaseNumber(uint64(10+i%5), time.Duration(i+1)*time.Second)) })
	}
	wg.Wait()
	if r := tier.read(); r.Number != 14 {
		t.Errorf("current release: %d", r.Number)
	}
}

// All VMs fail right after a release is acknowledged, and the leader loses its disk. The
// release must still be current after the restart. The leader's VM must join as a new
// member: under its old ID it could vote again, contradicting votes and entries that were
// lost with the disk.
func TestDiskLostAfterAcknowledgement(t *testing.T) {
	t.Parallel()
	tier := foundTier(t, 3)
	tier.put(releaseNumber(5, time.Second))
	var lost string
	for addr, v := range tier.vms {
		if n := v.seat.Node(); n != nil && n.Leads() {
			lost = addr
		}
	}
	all := append([]string(nil), tier.founders...)
	for _, addr := range all {
		tier.stopAt(addr)
	}
	if err := os.RemoveAll(tier.folder(lost)); err != nil {
		t.Fatal(err)
	}
	for _, addr := range all {
		tier.startAt(addr)
	}
	if r := tier.read(); r.Number != 5 {
		t.Fatalf("current release: %d", r.Number)
	}
	tier.votersAre(all...)
	for addr, v := range tier.vms {
		if n := v.seat.Node(); addr == lost && n != nil && n.cfg.ID <= 3 {
			t.Errorf("the VM with the new disk joined under old member ID %d", n.cfg.ID)
		}
	}
	tier.put(releaseNumber(6, time.Second))
}

// A control VM is permanently lost and an empty VM is started at another address. The group
// must add the new VM and remove the lost one, so that it tolerates the next loss.
func TestReplacedAtAnotherAddress(t *testing.T) {
	t.Parallel()
	tier := foundTier(t, 3)
	tier.put(releaseNumber(1, time.Second))
	gone := tier.founders[0]
	tier.stopAt(gone)
	fresh := tier.start(listen(t, "127.0.0.1:0"), false)
	tier.votersAre(tier.founders[1], tier.founders[2], fresh.cfg.PeerAddr)
	tier.stopAt(tier.founders[1])
	tier.put(releaseNumber(2, time.Second))
}

// A member that was down for long has been removed, since enough other voters responded.
// When it is back, the group rejects it. It must then clear its data folder and join under
// a new ID.
func TestLetGoMemberJoinsAnew(t *testing.T) {
	t.Parallel()
	tier := foundTier(t, 4)
	tier.put(releaseNumber(1, time.Second))
	away := tier.founders[3]
	tier.stopAt(away)
	tier.votersAre(tier.founders[0], tier.founders[1], tier.founders[2])
	back := tier.startAt(away)
	tier.votersAre(tier.founders...)
	if n := back.seat.Node(); n == nil || n.cfg.ID <= 4 {
		t.Errorf("node after rejoining: %+v", n)
	}
	tier.put(releaseNumber(2, time.Second))
}

// One of three founders is lost. It must not be removed from the group, since a group of
// two voters could not tolerate the loss of a disk.
func TestGroupIsNotShrunk(t *testing.T) {
	t.Parallel()
	tier := foundTier(t, 3)
	tier.put(releaseNumber(1, time.Second))
	tier.stopAt(tier.founders[2])
	time.Sleep(3 * seatSilent)
	tier.put(releaseNumber(2, time.Second))
	for _, v := range tier.vms {
		if n := v.seat.Node(); n.Leads() && len(n.lead.Load().conf.GetMembers()) != 3 {
			t.Errorf("members of the group: %v", n.lead.Load().conf)
		}
	}
}
