package quorum

import (
	"errors"
	"testing"

	"pearmoor/internal/quorum/quorumpb"
)

// A repaired VM is added. It counts only once it holds every committed entry and
// answers, so that the loss of a second VM right after the promotion neither
// loses a change nor stops the group.
func TestRepairedVMCountsOnlyWhenCaughtUp(t *testing.T) {
	c, l := formed(t, 3)
	for range 10 {
		c.mustCommit(l)
	}
	c.compact(l, 1)
	n := c.addHost(4, nil)
	c.isolate(n)
	c.mustChange(l, AddLearner, &Member{Id: 4, Disk: n.disk})
	if _, _, err := l.m.ProposeConf(ConfChange{Promote, &Member{Id: 4}}); !errors.Is(err, ErrNotCaughtUp) {
		t.Fatalf("promoted while behind: %v", err)
	}
	c.calm(40)
	c.crash(c.host(2), wholly)
	c.crash(c.host(3), wholly)
	c.rounds(60)
	if c.leader() != nil {
		t.Fatalf("a learner's vote was counted: %s", c)
	}
	c.start(c.hosts[1002])
	c.start(c.hosts[1003])
	c.rounds(60)
	l = c.mustLead()
	c.mustChange(l, Promote, &Member{Id: 4})
	second := c.host(5 - l.id) // 2 or 3, whichever does not lead
	if l.id == 1 {
		second = c.host(2)
	}
	c.crash(second, wholly)
	c.mustCommit(l)
	c.crash(l, wholly)
	c.rounds(100)
	if c.leader() != nil {
		t.Fatalf("two of four elected a leader: %s", c)
	}
	c.start(second)
	c.rounds(60)
	c.mustCommit(c.mustLead())
	if n.state.value != 12 {
		t.Fatalf("state %v after 12 changes", n.state)
	}
}

// The only voter of a group leads at the first tick after a restart; one that is
// alone only by an uncommitted removal waits for its timeout, because the leader
// that removed itself may still hold a lease by its answer.
func TestLoneVoterLeadsAtOnce(t *testing.T) {
	for _, committed := range []bool{true, false} {
		c, l := formed(t, 2)
		f := c.host(2)
		if _, _, err := l.m.ProposeConf(ConfChange{Remove, &Member{Id: 1}}); err != nil {
			t.Fatal(err)
		}
		c.pump(l)
		if committed {
			c.rounds(3)
		} else {
			c.deliver()
		}
		if committed && l.m.role == Leader {
			t.Fatal("leads on after its removal")
		}
		c.crash(f, wholly)
		c.start(f)
		f.m.Tick()
		if leads := f.m.role == Leader; leads != committed {
			t.Fatalf("committed=%v, leads=%v: %s", committed, leads, c)
		}
	}
}

// The leader removes itself and is cut off before anybody else has the entry. It
// is in no group by its own log, and the others' logs are behind its; if it did
// not stand for election, nobody could ever be elected.
func TestUncommittedSelfRemoval(t *testing.T) {
	c, l := formed(t, 2)
	c.isolate(l)
	if _, _, err := l.m.ProposeConf(ConfChange{Remove, &Member{Id: 1}}); err != nil {
		t.Fatal(err)
	}
	c.pump(l)
	c.rounds(40)
	c.calm(60)
	n := c.mustLead()
	c.mustCommit(n)
	if n.id != 2 || l.m.role == Leader || len(n.m.committedConf().Members) != 1 {
		t.Fatalf("removal was not finished: %s", c)
	}
	if find(l.m.committedConf(), 1) != nil {
		t.Fatalf("the removed VM does not know: %s", c)
	}
}

// Membership changes that would reuse an id or a disk, stop the group or overtake
// one another are refused, and nothing is appended.
func TestMembershipRefusals(t *testing.T) {
	c, l := formed(t, 3)
	c.mustChange(l, Remove, &Member{Id: 3})
	c.rounds(20)
	if why := c.host(3).m.Status().Refused; why != quorumpb.Refusal_REMOVED {
		t.Fatalf("the removed VM was told %v", why)
	}
	refuse := func(op ConfOp, b *Member) {
		t.Helper()
		last := l.m.log.last()
		if _, _, err := l.m.ProposeConf(ConfChange{op, b}); err == nil || l.m.log.last() != last {
			t.Fatalf("%v %v was not refused", op, b)
		}
	}
	refuse(AddLearner, &Member{Id: 3, Disk: 55})   // removed before
	refuse(AddLearner, &Member{Id: 4, Disk: 1002}) // disk of 2
	refuse(AddLearner, &Member{Id: 4})
	refuse(AddLearner, nil)
	refuse(Promote, &Member{Id: 2})
	refuse(Remove, &Member{Id: 3})
	refuse(ConfOp(9), &Member{Id: 2})
	c.crash(c.host(2), wholly)
	for l.m.answers(l.m.peers[2]) {
		c.rounds(1)
		if l.m.role != Leader {
			break
		}
	}
	c.start(c.hosts[1002])
	c.rounds(60)
	l = c.mustLead()
	if _, _, err := l.m.ProposeConf(ConfChange{AddLearner, &Member{Id: 4, Disk: 55}}); err != nil {
		t.Fatal(err)
	}
	refuse(AddLearner, &Member{Id: 5, Disk: 56}) // the one before is not committed
	c.pump(l)
	c.rounds(20)
	refuse(Promote, &Member{Id: 4}) // never answered
	c.mustChange(l, Remove, &Member{Id: 4})
	c.mustChange(l, Remove, &Member{Id: 3 - l.id})
	refuse(Remove, &Member{Id: l.id}) // the last voter
	l.m.becomeFollower(l.m.hard.Term, 0)
	l.m.elect(false)
	refuse(AddLearner, &Member{Id: 6, Disk: 66}) // nothing is committed in the new term yet
}

// One of three voters is dead. Removing the other live one would leave a group
// of two that can never commit again.
func TestRemovalThatWouldStopTheGroup(t *testing.T) {
	c, l := formed(t, 3)
	c.crash(c.host(3), wholly)
	c.rounds(20)
	_, _, err := l.m.ProposeConf(ConfChange{Remove, &Member{Id: 2}})
	var why *ConfError
	if !errors.As(err, &why) {
		t.Fatalf("removal of a live member beside a dead one: %v", err)
	}
	c.mustChange(l, Remove, &Member{Id: 3})
}
