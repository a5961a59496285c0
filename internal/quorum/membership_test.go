package quorum

import (
	"errors"
	"testing"

	"pearmoor/internal/quorum/quorumpb"
)

// A replacement VM is added as a learner. It may be promoted only when it holds every
// committed entry and is active, so that the loss of a second VM right after the
// promotion neither loses a change nor blocks the group.
func TestLearnerIsPromotedOnlyWhenCaughtUp(t *testing.T) {
	c, l := newElectedCluster(t, 3)
	for range 10 {
		c.proposeAndWait(l)
	}
	c.compact(l, 1)
	n := c.addHost(4, nil)
	c.isolate(n)
	c.changeMembership(l, AddLearner, &Member{Id: 4, Disk: n.disk})
	if _, _, err := l.m.ProposeConf(ConfChange{Promote, &Member{Id: 4}}); !errors.Is(err, ErrNotCaughtUp) {
		t.Fatalf("promoted while behind: %v", err)
	}
	c.healNetwork(40)
	c.crash(c.host(2), afterAll)
	c.crash(c.host(3), afterAll)
	c.runTicks(60)
	if c.leader() != nil {
		t.Fatalf("a learner's vote was counted: %s", c)
	}
	c.start(c.hosts[1002])
	c.start(c.hosts[1003])
	c.runTicks(60)
	l = c.waitForLeader()
	c.changeMembership(l, Promote, &Member{Id: 4})
	second := c.host(5 - l.id) // the one of 2 and 3 that does not lead
	if l.id == 1 {
		second = c.host(2)
	}
	c.crash(second, afterAll)
	c.proposeAndWait(l)
	c.crash(l, afterAll)
	c.runTicks(100)
	if c.leader() != nil {
		t.Fatalf("two of four elected a leader: %s", c)
	}
	c.start(second)
	c.runTicks(60)
	c.proposeAndWait(c.waitForLeader())
	if n.state.value != 12 {
		t.Fatalf("state is %v after 12 changes", n.state)
	}
}

// The only voter of a group must lead at the first tick after a restart. If it is the
// only voter because of an uncommitted removal, it must wait for its election timeout:
// the leader that removed itself may still hold a lease based on this voter's reply.
func TestSoleVoterCampaignsOnFirstTick(t *testing.T) {
	for _, committed := range []bool{true, false} {
		c, l := newElectedCluster(t, 2)
		f := c.host(2)
		if _, _, err := l.m.ProposeConf(ConfChange{Remove, &Member{Id: 1}}); err != nil {
			t.Fatal(err)
		}
		c.processAllReady(l)
		if committed {
			c.runTicks(3)
		} else {
			c.deliver()
		}
		if committed && l.m.role == Leader {
			t.Fatal("the leader did not step down after its removal")
		}
		c.crash(f, afterAll)
		c.start(f)
		f.m.Tick()
		if leads := f.m.role == Leader; leads != committed {
			t.Fatalf("committed=%v, leads=%v: %s", committed, leads, c)
		}
	}
}

// A leader removes itself and is isolated before another member has the entry. Its own
// log no longer lists it as a voter, and the log of the other member is behind, so that
// member can't win its vote. If it could not campaign, no leader could be elected.
func TestLeaderWithUncommittedSelfRemovalCanCampaign(t *testing.T) {
	c, l := newElectedCluster(t, 2)
	c.isolate(l)
	if _, _, err := l.m.ProposeConf(ConfChange{Remove, &Member{Id: 1}}); err != nil {
		t.Fatal(err)
	}
	c.processAllReady(l)
	c.runTicks(40)
	c.healNetwork(60)
	n := c.waitForLeader()
	c.proposeAndWait(n)
	if n.id != 2 || l.m.role == Leader || len(n.m.committedConf().Members) != 1 {
		t.Fatalf("the removal was not completed: %s", c)
	}
	if findMember(l.m.committedConf(), 1) != nil {
		t.Fatalf("the removed VM has not committed its removal: %s", c)
	}
}

// Membership changes that would reuse an id or a disk, block the group, or start before
// the previous change is committed must be refused without an append to the log.
func TestInvalidMembershipChangesAreRefused(t *testing.T) {
	c, l := newElectedCluster(t, 3)
	c.changeMembership(l, Remove, &Member{Id: 3})
	c.runTicks(20)
	if reason := c.host(3).m.Status().Refusal; reason != quorumpb.Refusal_REMOVED {
		t.Fatalf("refusal reason at the removed VM: %v", reason)
	}
	refuse := func(op ConfOp, b *Member) {
		t.Helper()
		last := l.m.log.lastIndex()
		if _, _, err := l.m.ProposeConf(ConfChange{op, b}); err == nil || l.m.log.lastIndex() != last {
			t.Fatalf("%v %v was not refused", op, b)
		}
	}
	refuse(AddLearner, &Member{Id: 3, Disk: 55})   // removed before
	refuse(AddLearner, &Member{Id: 4, Disk: 1002}) // disk of member 2
	refuse(AddLearner, &Member{Id: 4})
	refuse(AddLearner, nil)
	refuse(Promote, &Member{Id: 2})
	refuse(Remove, &Member{Id: 3})
	refuse(ConfOp(9), &Member{Id: 2})
	c.crash(c.host(2), afterAll)
	for l.m.recentlyActive(l.m.peers[2]) {
		c.runTicks(1)
		if l.m.role != Leader {
			break
		}
	}
	c.start(c.hosts[1002])
	c.runTicks(60)
	l = c.waitForLeader()
	if _, _, err := l.m.ProposeConf(ConfChange{AddLearner, &Member{Id: 4, Disk: 55}}); err != nil {
		t.Fatal(err)
	}
	refuse(AddLearner, &Member{Id: 5, Disk: 56}) // the previous change is not committed
	c.processAllReady(l)
	c.runTicks(20)
	refuse(Promote, &Member{Id: 4}) // has never replied
	c.changeMembership(l, Remove, &Member{Id: 4})
	c.changeMembership(l, Remove, &Member{Id: 3 - l.id})
	refuse(Remove, &Member{Id: l.id}) // the last voter
	l.m.becomeFollower(l.m.hardState.Term, 0)
	l.m.startElection(false)
	refuse(AddLearner, &Member{Id: 6, Disk: 66}) // no entry of the new term is committed yet
}

// One of three voters is down. The removal of a live voter would leave a group of two
// voters, one of them down, that can never commit again.
func TestRemovalWithoutActiveQuorumIsRefused(t *testing.T) {
	c, l := newElectedCluster(t, 3)
	c.crash(c.host(3), afterAll)
	c.runTicks(20)
	_, _, err := l.m.ProposeConf(ConfChange{Remove, &Member{Id: 2}})
	var confErr *ConfError
	if !errors.As(err, &confErr) {
		t.Fatalf("removal of a live member while another is down: %v", err)
	}
	c.changeMembership(l, Remove, &Member{Id: 3})
}
