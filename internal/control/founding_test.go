package control

import (
	"testing"
	"time"

	"pearmoor/internal/quorum"
)

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
