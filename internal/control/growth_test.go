package control

import (
	"context"
	"encoding/json"
	"maps"
	"net"
	"os"
	"slices"
	"testing"
	"time"

	"pearmoor/internal/link/peer"
	"pearmoor/internal/link/wire"
	"pearmoor/internal/policy"
)

// startGrowingTier is like startTier, with a group that accepts changes as growth says.
func startGrowingTier(t testing.TB, n int, growth policy.GroupGrowth) *memberTier {
	t.Helper()
	tier, listeners := newTier(t, n)
	tier.growth = growth
	for _, lis := range listeners {
		tier.start(lis, true)
	}
	return tier
}

// leaderAddr waits until a VM leads and returns its address.
func (s *memberTier) leaderAddr() string {
	s.t.Helper()
	var addr string
	eventually(s.t, "a VM leads", func() bool {
		for a, v := range s.vms {
			if n := v.member.Node(); n != nil && n.IsLeader() {
				addr = a
				return true
			}
		}
		return false
	})
	return addr
}

// loseDisk empties the disk of the stopped VM at addr and starts it again.
func (s *memberTier) loseDisk(addr string) {
	s.t.Helper()
	if err := os.RemoveAll(s.dataDir(addr)); err != nil {
		s.t.Fatal(err)
	}
	s.startAt(addr)
}

// acknowledged sends a release to the VMs in turn and returns a channel that is closed when one
// has acknowledged it.
func (s *memberTier) acknowledged(number uint64) <-chan struct{} {
	body, err := json.Marshal(testRelease(number, time.Second))
	if err != nil {
		s.t.Fatal(err)
	}
	done, vms, ctx := make(chan struct{}), slices.Collect(maps.Values(s.vms)), callCtx(s.t)
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			for _, v := range vms {
				n := v.member.Node()
				if n == nil {
					continue
				}
				if out, err := (&operatorServer{n}).PutRelease(ctx, &wire.ReleaseRequest{Release: body}); err == nil && out.Redirect == "" {
					return
				}
			}
			time.Sleep(pollInterval)
		}
	}()
	return done
}

// Guards against a configuration that is acknowledged while the group still grows, and that is
// lost with the disks that the tier must be able to lose.
func TestFirstReleaseSurvivesTheLossOfTwoOfSixDisks(t *testing.T) {
	t.Parallel()
	tier := startGrowingTier(t, 3, policy.NewGroupGrowth(2, 2*waitTimeout))
	tier.waitForVoters(tier.founders...)
	acknowledged := tier.acknowledged(1)
	var late []net.Listener
	for range 3 {
		late = append(late, listen(t, "127.0.0.1:0"))
	}
	select {
	case <-acknowledged:
	case <-time.After(300 * time.Millisecond):
		for _, lis := range late {
			tier.start(lis, false)
		}
		late = nil
		<-acknowledged
	}
	lost := []string{tier.leaderAddr()}
	for _, addr := range tier.founders {
		if addr != lost[0] && len(lost) < 2 {
			lost = append(lost, addr)
		}
	}
	for _, addr := range lost {
		tier.stopAt(addr)
	}
	for _, lis := range late {
		tier.start(lis, false)
	}
	for _, addr := range lost {
		tier.loseDisk(addr)
	}
	if r := tier.readRelease(); r.Number != 1 {
		t.Errorf("release 1 was acknowledged, the newest is %d", r.Number)
	}
	tier.putRelease(testRelease(2, time.Second))
}

// Guards against a tier with fewer disks than its stated losses ask for that never gets a configuration.
func TestGroupThatCannotGrowAcceptsReleases(t *testing.T) {
	t.Parallel()
	growth := policy.NewGroupGrowth(2, time.Second)
	tier := startGrowingTier(t, 3, growth)
	tier.putRelease(testRelease(1, time.Second))
	if v := tier.vms[tier.leaderAddr()].member.Node(); votingVMs(v.leadership.Load().conf) != 3 {
		t.Errorf("members of the group: %v", v.leadership.Load().conf)
	}
}

// Guards against a call that waits for the group to grow and then fails as if the change might
// have been made.
func TestReleaseRefusedWhileGroupGrowsIsNotMade(t *testing.T) {
	t.Parallel()
	tier := startGrowingTier(t, 3, policy.GroupGrowth{MinVoters: 5, SettleTime: time.Hour})
	addr := tier.leaderAddr()
	node := tier.vms[addr].member.Node()
	before := node.state.Version()
	body, err := json.Marshal(testRelease(1, time.Second))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	_, err = (&operatorServer{node}).PutRelease(ctx, &wire.ReleaseRequest{Release: body})
	if !peer.IsRetryable(err) {
		t.Errorf("got %v, want an error that says that nothing was changed", err)
	}
	node.mu.RLock()
	defer node.mu.RUnlock()
	if node.state.Version() != before {
		t.Errorf("version=%d, before the refused release it was %d", node.state.Version(), before)
	}
}

// Guards against a VM that counts twice, once with the disk that it lost.
func TestVMWithNewDiskVotesOnce(t *testing.T) {
	t.Parallel()
	tier := startTier(t, 3)
	tier.waitForVoters(tier.founders...)
	lost := tier.founders[0]
	tier.stopAt(lost)
	tier.loseDisk(lost)
	for end := time.Now().Add(10 * testRemoveSilentAfter); time.Now().Before(end); time.Sleep(time.Millisecond) {
		for _, v := range tier.vms {
			n := v.member.Node()
			if n == nil {
				continue
			}
			if conf := n.leadership.Load().conf; votingVMs(conf) > 3 {
				t.Fatalf("%d VMs vote: %v", votingVMs(conf), conf)
			}
		}
	}
	tier.waitForVoters(tier.founders...)
}
