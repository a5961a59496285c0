package control

import (
	"context"
	"testing"
	"time"

	"pearmoor/internal/link/wire"
	"pearmoor/internal/quorum"
)

// Guards against a tier that accepts no configuration, ever, because a founder has lost its disk
// before the group was founded.
func TestFounderThatLosesItsDiskBeforeItVotesFoundsTheGroup(t *testing.T) {
	t.Parallel()
	tier := startTier(t, 3)
	lost := tier.founders[2]
	tier.stopAt(lost)
	tier.loseDisk(lost)
	tier.putRelease(testRelease(1, time.Second))
	tier.waitForVoters(tier.founders...)
}

// Guards against a tier that accepts no configuration, ever, because all founders were killed
// while they waited for one another, and were not told again that it is the first start.
func TestFoundersKilledWhileTheyWaitFoundTheGroupLater(t *testing.T) {
	t.Parallel()
	tier, listeners := newTier(t, 3)
	tier.waitForSeeds = func(ctx context.Context) { <-ctx.Done() }
	for _, lis := range listeners {
		tier.start(lis, true)
	}
	for _, addr := range tier.founders {
		eventually(t, "the disk is marked", func() bool {
			id, err := tier.identity(addr)
			return err == nil && len(id.GetFirstSeeds()) == 3
		})
		tier.stopAt(addr)
	}
	tier.waitForSeeds = nil
	for _, addr := range tier.founders {
		tier.startAt(addr)
	}
	tier.putRelease(testRelease(1, time.Second))
	tier.waitForVoters(tier.founders...)
}

// followerOfNewLeader returns a VM that has no leader yet although one is elected, or "".
func (s *simulation) followerOfNewLeader() string {
	elected, follower := false, ""
	for _, addr := range s.addrs() {
		n := s.vms[addr].process.member.Node()
		if n == nil {
			return ""
		}
		l := n.leadership.Load()
		elected = elected || l.status.Role == quorum.Leader
		if l.leader == 0 {
			follower = addr
		}
	}
	if !elected {
		return ""
	}
	return follower
}

// The VM is started again with the settings of the first start.
func TestFounderRemovedBeforeItKnewItsGroupFoundsNoOther(t *testing.T) {
	runSimulation(t, func(t *testing.T, s *simulation) {
		var all []string
		for i := range 4 {
			all = append(all, simAddr(i+1))
		}
		for _, addr := range all {
			s.addVM(addr, all)
			s.startVM(addr)
		}
		s.setQuality(0, 50*time.Millisecond)
		removed := ""
		for removed == "" {
			time.Sleep(time.Millisecond)
			removed = s.followerOfNewLeader()
		}
		s.isolate(removed, false)
		time.Sleep(4 * simRemoveSilentAfter)
		member := s.vms[removed].process.member.Node()
		if n := s.leader(); n == nil || memberAddr(n.leadership.Load().conf, member.cfg.ID) != "" || member.GroupID() != "" {
			t.Fatalf("member %d of group=%s was not removed before it knew the group", member.cfg.ID, member.GroupID())
		}
		group := s.leader().GroupID()
		s.setSeeds(removed, []string{removed})
		s.heal(removed)
		for s.vms[removed].process.member.Node() != nil {
			time.Sleep(10 * time.Millisecond)
		}
		s.isolate(removed, false)
		time.Sleep(time.Second)
		s.killVM(removed)
		s.heal(removed)
		s.startVM(removed)
		time.Sleep(10 * time.Second)
		if n := s.vms[removed].process.member.Node(); n != nil && n.GroupID() != group {
			t.Errorf("the removed VM has founded group=%s beside group=%s", n.GroupID(), group)
		}
	})
}

// Guards against a VM with a new disk that founds a second group, because founders whose answer
// proves nothing are believed.
func TestPlaceOfLostFounderIsTakenOnlyIfNoGroupExists(t *testing.T) {
	all := []string{"a", "b", "c"}
	offer := &wire.JoinReply{Founders: all}
	noElection := &wire.JoinReply{Founders: all, NoElection: true}
	for _, c := range []struct {
		name   string
		self   string
		offers map[string]*wire.JoinReply
		want   bool
	}{
		{"no offer", "c", nil, false},
		{"one founder that has voted", "c", map[string]*wire.JoinReply{"a": offer}, false},
		{"all other founders, which have voted", "c", map[string]*wire.JoinReply{"a": offer, "b": offer}, true},
		{"one founder that has taken part in no election", "c", map[string]*wire.JoinReply{"b": noElection}, true},
		{"founders of two groups", "c", map[string]*wire.JoinReply{"a": offer, "b": {Founders: []string{"b", "c"}}}, false},
		{"no place of this VM", "d", map[string]*wire.JoinReply{"a": noElection, "b": offer, "c": offer}, false},
		{"only founder", "a", map[string]*wire.JoinReply{"b": {Founders: []string{"a"}}}, false},
	} {
		if got := offeredPlace(c.self, c.offers); (got != nil) != c.want {
			t.Errorf("%s: founders %v", c.name, got)
		}
	}
}
