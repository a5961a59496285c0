package quorum

import (
	"errors"
	"testing"

	"google.golang.org/protobuf/proto"

	"pearmoor/internal/quorum/quorumpb"
)

// restartForgotten restarts a VM and lets its promise to a leader run out.
func (c *cluster) restartForgotten(h *host) {
	c.crash(h, wholly)
	c.start(h)
	for range h.m.cfg.ElectionTicks {
		h.m.Tick()
	}
	for h.m.HasReady() {
		h.sync(h.m.Ready())
		h.m.Advance()
	}
}

// A change is committed by 1 and 3. The disk of 3 is replaced and 1 stops. If 3
// could vote under its old id, 2 and 3 would elect a leader without the change
// and it would be lost. They can't; 3 is told why, and comes back under a new id.
func TestReplacedDiskNeverVotesAsItsOldSelf(t *testing.T) {
	c, l := formed(t, 3)
	c.isolate(c.host(2))
	c.mustCommit(l)
	c.crash(c.host(3), wholly)
	blank := c.addHost(3, c.hosts[1003].stored.Snapshot)
	c.crash(l, wholly)
	c.calm(200)
	if c.leader() != nil {
		t.Fatalf("elected with a replaced disk: %s", c)
	}
	if why := blank.m.Status().Refused; why != quorumpb.Refusal_WRONG_DISK {
		t.Fatalf("the replaced VM was told %v", why)
	}
	c.start(l)
	c.rounds(60)
	l = c.mustLead()
	c.mustChange(l, Remove, &Member{Id: 3})
	c.crash(blank, wholly)
	again := c.addHost(4, nil)
	c.mustChange(l, AddLearner, &Member{Id: 4, Disk: again.disk})
	c.mustChange(l, Promote, &Member{Id: 4})
	c.crash(l, wholly)
	c.rounds(60)
	c.mustCommit(c.mustLead())
	if again.state.value != 2 {
		t.Fatalf("the change was lost: %v", again.state)
	}
}

// A member gives its vote in a term that it knew before, crashes and starts
// again. If the vote alone was not stored, it gives a second one in that term.
func TestVoteIsStoredWithoutANewTerm(t *testing.T) {
	c := newCluster(t, 3, 3)
	voter := c.host(1)
	step := func(msg *Message) *Message {
		msg.FromDisk, msg.To, msg.Term = 1000+msg.From, 1, 5
		if err := voter.m.Step(msg); err != nil {
			t.Fatal(err)
		}
		rd := voter.m.Ready()
		voter.sync(rd)
		voter.m.Advance()
		if len(rd.Messages) == 0 {
			return nil
		}
		return rd.Messages[0]
	}
	step(&Message{Kind: quorumpb.Kind_VOTE_REPLY, From: 2, Reject: true})
	if first := step(&Message{Kind: quorumpb.Kind_VOTE, From: 2}); first.Reject {
		t.Fatal("the first vote was refused")
	}
	c.restartForgotten(voter)
	if second := step(&Message{Kind: quorumpb.Kind_VOTE, From: 3}); !second.Reject {
		t.Fatal("two votes in one term")
	}
}

// A message for the disk that was replaced is not for the disk that took its
// place: acknowledged by the blank one, it would count for the old.
func TestMessageForTheOldDiskIsRefused(t *testing.T) {
	c, l := formed(t, 3)
	c.crash(c.host(3), wholly)
	blank := c.addHost(3, nil)
	l.m.broadcastHeartbeat()
	for l.m.HasReady() {
		for _, msg := range l.m.Ready().Early {
			var why *RefusedError
			if err := blank.m.Step(msg); msg.To == 3 && !errors.As(err, &why) {
				t.Fatalf("%v was read: %v", msg, err)
			}
		}
		l.m.Advance()
	}
}

// While a follower syncs an entry, a new leader replaces it. The end of that sync
// says nothing about the new entry, which must be synced before it counts.
func TestEntryReplacedDuringItsSync(t *testing.T) {
	c := newCluster(t, 3, 3)
	m := c.host(1).m
	add := func(from, term uint64) {
		err := m.Step(&Message{
			Kind: quorumpb.Kind_APPEND, From: from, FromDisk: 1000 + from, To: 1, Term: term,
			Entries: []*Entry{{Index: 1, Term: term}},
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	add(2, 1)
	m.Ready()
	add(3, 2)
	m.Advance()
	if rd := m.Ready(); len(rd.Entries) != 1 || rd.Entries[0].Term != 2 || !rd.MustSync {
		t.Fatalf("the new entry is not to be synced: %v", rd.Entries)
	}
}

// A new group's disks are not yet known. Until they are bound, all members are
// needed: with a majority, a member whose disk is replaced at this moment could
// help two leaders to a term.
func TestFoundingNeedsEveryMember(t *testing.T) {
	c := newCluster(t, 3, 3)
	absent := c.host(3)
	c.crash(absent, wholly)
	c.rounds(100)
	if c.leader() != nil {
		t.Fatalf("founded by two of three: %s", c)
	}
	c.start(absent)
	c.rounds(60)
	if l := c.mustLead(); !bound(l.m.committedConf()) {
		t.Fatalf("disks are not bound: %v", l.m.committedConf())
	}
}

// Before disks are bound, two disks may come under one id. A vote for the first
// must not be repeated for the second: each would lead the same term.
func TestVoteIsBoundToTheDisk(t *testing.T) {
	c := newCluster(t, 3, 3)
	voter := c.host(1)
	ask := func(disk uint64) bool {
		err := voter.m.Step(&Message{Kind: quorumpb.Kind_VOTE, From: 3, FromDisk: disk, To: 1, Term: 1})
		if err != nil {
			t.Fatal(err)
		}
		rd := voter.m.Ready()
		voter.sync(rd)
		voter.m.Advance()
		return !rd.Messages[0].Reject
	}
	for range 2 {
		if !ask(77) {
			t.Fatal("a vote was not given, or not repeated to the same disk")
		}
	}
	c.restartForgotten(voter)
	if ask(78) {
		t.Fatal("two disks under one id got a vote in one term")
	}
	if voter.stored.HardState.VoteDisk != 77 {
		t.Fatalf("stored %v", voter.stored.HardState)
	}
}

// A member restarts with 10,000 changes behind it. It has the same state from a
// snapshot and a bounded log, and a member that was away takes the snapshot.
func TestRestartAfterManyChanges(t *testing.T) {
	c, l := formed(t, 3)
	l.m.cfg.MaxAppendBytes = 1 << 16
	away := c.host(3)
	c.crash(away, wholly)
	for i := range uint64(10000) {
		if _, _, err := l.m.Propose(command(i, i+1, 0)); err != nil {
			t.Fatal(err)
		}
		if i%50 == 49 {
			c.pump(l)
			c.rounds(2)
		}
		if i%1000 == 999 {
			c.rounds(20)
			c.compact(l, 100)
			c.compact(c.host(2), 100)
		}
	}
	c.rounds(60)
	if n := len(l.stored.Entries); n > 1200 {
		t.Fatalf("%d entries are kept", n)
	}
	c.crash(l, wholly)
	c.start(l)
	c.start(away)
	c.rounds(100)
	if l.state.value != 10000 || away.state != l.state {
		t.Fatalf("states %v and %v", l.state, away.state)
	}
}

// The journal holds a commit index whose entries were torn off by the crash. They
// were not acknowledged; the member starts with what it has and gets them again.
func TestCommitIndexPastTornTail(t *testing.T) {
	c, l := formed(t, 3)
	c.mustCommit(l)
	f := c.host(2)
	c.crash(f, wholly)
	f.stored.HardState = proto.CloneOf(f.stored.HardState)
	f.stored.HardState.Commit += 5
	c.start(f)
	c.rounds(40)
	if f.state != l.state {
		t.Fatalf("states %v and %v", f.state, l.state)
	}
}
