package quorum

import (
	"errors"
	"testing"

	"google.golang.org/protobuf/proto"

	"pearmoor/internal/quorum/quorumpb"
)

// restartAfterLeaderLease restarts a VM and lets its leader lease expire.
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

// Members 1 and 3 commit a change, then the disk of 3 is replaced and 1 stops. If 3
// could vote under its old id, 2 and 3 would elect a leader without the change, and the
// change would be lost. Instead, 3 is refused with the reason and rejoins under a new id.
func TestReplacedDiskNeverVotesAsItsOldSelf(t *testing.T) {
	c, l := formed(t, 3)
	c.isolate(c.host(2))
	c.mustCommit(l)
	c.crash(c.host(3), wholly)
	blank := c.addHost(3, c.hosts[1003].stored.Snapshot)
	c.crash(l, wholly)
	c.calm(200)
	if c.leader() != nil {
		t.Fatalf("a leader was elected with the vote of a replaced disk: %s", c)
	}
	if why := blank.m.Status().Refused; why != quorumpb.Refusal_WRONG_DISK {
		t.Fatalf("refusal reason at the VM with the replaced disk: %v", why)
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

// A member votes in a term that it has already persisted, crashes and restarts. If a
// vote without a term change were not persisted, it would vote twice in that term.
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

// A message that is addressed to a replaced disk must be refused by the new disk: an
// acknowledgement of the blank disk would count for the old one.
func TestMessageForTheOldDiskIsRefused(t *testing.T) {
	c, l := formed(t, 3)
	c.crash(c.host(3), wholly)
	blank := c.addHost(3, nil)
	l.m.broadcastHeartbeat()
	for l.m.HasReady() {
		for _, msg := range l.m.Ready().Early {
			var why *RefusedError
			if err := blank.m.Step(msg); msg.To == 3 && !errors.As(err, &why) {
				t.Fatalf("message for the replaced disk was processed: %v: %v", msg, err)
			}
		}
		l.m.Advance()
	}
}

// A new leader replaces an entry while the follower syncs it. The completed sync does
// not cover the new entry, which must be returned by the next Ready to be synced.
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
		t.Fatalf("Ready does not return the new entry to be synced: %v", rd.Entries)
	}
}

// The first election of a new group needs all members, because the disks are not bound
// yet: if a majority were enough, a member whose disk is replaced at that moment could
// vote for two leaders in one term.
func TestFoundingNeedsEveryMember(t *testing.T) {
	c := newCluster(t, 3, 3)
	absent := c.host(3)
	c.crash(absent, wholly)
	c.rounds(100)
	if c.leader() != nil {
		t.Fatalf("two of three members elected the first leader: %s", c)
	}
	c.start(absent)
	c.rounds(60)
	if l := c.mustLead(); !bound(l.m.committedConf()) {
		t.Fatalf("disks are not bound: %v", l.m.committedConf())
	}
}

// Before disks are bound, two disks may use the same id. A vote for one disk must not
// be repeated for the other, or both could lead the same term.
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
			t.Fatal("the vote was not granted, or not repeated for the same disk")
		}
	}
	c.restartForgotten(voter)
	if ask(78) {
		t.Fatal("two disks with the same id got a vote in one term")
	}
	if voter.stored.HardState.VoteDisk != 77 {
		t.Fatalf("persisted hard state is %v, want VoteDisk 77", voter.stored.HardState)
	}
}

// A member restarts after 10,000 changes. It must restore the same state from a snapshot
// and a log of bounded size, and a member that was down must catch up by the snapshot.
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
		t.Fatalf("%d log entries after compaction, want at most 1200", n)
	}
	c.crash(l, wholly)
	c.start(l)
	c.start(away)
	c.rounds(100)
	if l.state.value != 10000 || away.state != l.state {
		t.Fatalf("states %v and %v", l.state, away.state)
	}
}

// The stored commit index is above the last entry, because a crash tore the end of the
// log off. Those entries were not acknowledged. The member must start with the entries
// that it has and receive the others again.
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
