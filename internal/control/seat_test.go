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

// seatVM is a VM with a seat that answers on a loopback port.
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

// seatTier is a group of VMs that know the founders' addresses and nothing else.
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

// foundTier starts a group of n founders.
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
			s.t.Errorf("seat at %s: %v", addr, err)
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

// stopAt ends the VM at addr.
func (s *seatTier) stopAt(addr string) {
	s.vms[addr].stop()
	delete(s.vms, addr)
}

// startAt starts a VM at addr, which is not the tier's first start.
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

// put sends a release to the VMs in turn until one has acknowledged it.
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

// read returns the newest release: that of the tree which a VM names as the newest.
func (s *seatTier) read() *route.Release {
	s.t.Helper()
	out, tree := s.newest()
	if tree.Digest() != out.Digest {
		s.t.Errorf("version=%d is named with digest=%x and has digest=%x", out.Version, out.Digest, tree.Digest())
	}
	r, err := route.FromTree(tree)
	if err != nil || r == nil {
		s.t.Fatalf("version=%d holds no release: %v", out.Version, err)
	}
	return r
}

// newest asks the VMs which settings tree is the newest until one says so, and returns that
// version's tree as it has it.
func (s *seatTier) newest() (*wire.NewestReply, *settings.Tree) {
	s.t.Helper()
	var out *wire.NewestReply
	var tree *settings.Tree
	eventually(s.t, "the newest tree is named", func() bool {
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

// votersAre waits until the group's voters are those at the addresses, and no other
// member is left.
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

// The highest number holds. What is sent under the number held or a lower one is
// acknowledged and changes nothing, also with other content.
func TestHighestReleaseHolds(t *testing.T) {
	t.Parallel()
	tier := foundTier(t, 3)
	if r := tier.put(releaseNumber(7, time.Second)); !r.Changed || r.Held != 7 {
		t.Fatalf("first: %+v", r)
	}
	for _, n := range []uint64{7, 3} {
		if r := tier.put(releaseNumber(n, 9*time.Second)); r.Changed || r.Held != 7 || len(r.Faults) > 0 {
			t.Errorf("release %d over 7: %+v", n, r)
		}
	}
	if r := tier.read(); r.Number != 7 || r.Routes[0].Timeout != time.Second {
		t.Errorf("held: %+v", r)
	}
	if r := tier.put(&route.Release{Number: 99, Routes: []route.Route{{Name: "x"}}}); len(r.Faults) == 0 {
		t.Errorf("an invalid release is taken: %+v", r)
	}
}

// An operator reads back what was acknowledged a moment ago. The tree named as the newest
// is the one that holds it, each time, and no VM but the leader names one.
func TestNewestNamesWhatWasAcknowledged(t *testing.T) {
	t.Parallel()
	tier := foundTier(t, 3)
	before := uint64(0)
	for n := uint64(7); n < 12; n++ {
		tier.put(releaseNumber(n, time.Duration(n)*time.Second))
		out, _ := tier.newest()
		if r := tier.read(); r.Number != n || r.Routes[0].Timeout != time.Duration(n)*time.Second || out.Version <= before || out.GetHeld() != n {
			t.Errorf("release %d was acknowledged, version=%d after %d holds %+v", n, out.Version, before, r)
		}
		before = out.Version
	}
	for addr, v := range tier.vms {
		if out, err := tier.control(addr).Newest(callCtx(t), &wire.NewestRequest{}); err == nil && out.Redirect == "" && !v.seat.Node().Leads() {
			t.Errorf("%s does not lead and names version=%d", addr, out.Version)
		}
	}
}

// Eight orders are on their way together, some with numbers that others overtake.
// Each is acknowledged, and the highest holds.
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
		t.Errorf("held: %d", r.Number)
	}
}

// A VM acknowledges a release and loses its disk at that moment, while the others
// lose power and keep theirs. The release must still hold, and the VM come back by
// itself: as a new member, never as the one whose votes and entries are lost.
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
		t.Fatalf("held: %d", r.Number)
	}
	tier.votersAre(all...)
	for addr, v := range tier.vms {
		if n := v.seat.Node(); addr == lost && n != nil && n.cfg.ID <= 3 {
			t.Errorf("the VM with the new disk is member %d again", n.cfg.ID)
		}
	}
	tier.put(releaseNumber(6, time.Second))
}

// A control VM is gone for good and an empty one comes at another address. The group
// takes it in and lets the silent one go, so that it bears the next loss.
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

// A member that was cut off for long was let go, since enough others voted. When it is
// back, the group refuses it; it gives its disk up and joins anew.
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
		t.Errorf("it is back as %+v", n)
	}
	tier.put(releaseNumber(2, time.Second))
}

// Three founders, one of which is lost: no voter is removed, since the group would
// then be smaller than the losses it has to bear allow.
func TestGroupIsNotShrunk(t *testing.T) {
	t.Parallel()
	tier := foundTier(t, 3)
	tier.put(releaseNumber(1, time.Second))
	tier.stopAt(tier.founders[2])
	time.Sleep(3 * seatSilent)
	tier.put(releaseNumber(2, time.Second))
	for _, v := range tier.vms {
		if n := v.seat.Node(); n.Leads() && len(n.lead.Load().conf.GetMembers()) != 3 {
			t.Errorf("the group is %v", n.lead.Load().conf)
		}
	}
}
