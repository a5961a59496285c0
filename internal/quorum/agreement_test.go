package quorum

import (
	"errors"
	"testing"

	"google.golang.org/protobuf/proto"

	"pearmoor/internal/quorum/quorumpb"
)

// formed returns a group whose disks are bound and whose first leader is host 1.
func formed(t *testing.T, n int) (*cluster, *host) {
	t.Helper()
	c := newCluster(t, 7, n)
	h := c.host(1)
	h.m.timeoutAt = 1
	c.rounds(20)
	if h = c.mustLead(); h.id != 1 {
		t.Fatalf("leader is %d: %s", h.id, c)
	}
	return c, h
}

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

// An even group falls into two halves. Each half has the same number of votes;
// if half were enough, both would accept changes and one side's would be lost.
// No change is accepted until the halves meet again.
func TestEqualVotesElectNobody(t *testing.T) {
	for _, n := range []int{2, 4, 8} {
		c, _ := formed(t, n)
		for _, a := range c.up() {
			for _, b := range c.up() {
				c.cut[[2]uint64{a.disk, b.disk}] = a.id%2 != b.id%2
			}
		}
		term := c.host(1).m.hard.Term
		c.rounds(200)
		if h := c.leader(); h != nil || c.host(1).m.hard.Term != term {
			t.Fatalf("%d voters in two halves: %s", n, c)
		}
		c.calm(0)
		c.mustCommit(c.mustLead())
	}
}

// Two candidates of one term get half of the votes each. Neither leads, and a
// later term decides.
func TestSplitVoteIsDecidedLater(t *testing.T) {
	c, h := formed(t, 4)
	c.crash(h, wholly)
	c.rounds(9)
	for _, id := range []uint64{2, 3} {
		o := c.host(id)
		o.m.elect(false) // both pass their pre-vote at once
		c.pump(o)
	}
	if l := c.leader(); l != nil {
		t.Fatalf("%d leads with 2 of 4 votes", l.id)
	}
	c.rounds(60)
	c.mustCommit(c.mustLead())
}

// A leader is cut off silently: its links look open, it still believes that it
// leads, and daemons and operators still ask it. It answers no read and grants
// nothing before anybody else is elected, then steps down. When it comes back,
// the new leader is not disturbed, and what was never committed is gone.
func TestLeaderCutOffSilently(t *testing.T) {
	c, old := formed(t, 3)
	c.isolate(old)
	_, _, err := old.m.Propose(command(0, 9, 0))
	if err != nil {
		t.Fatal(err)
	}
	token := c.read(old)
	for old.m.QuorumActive() {
		c.rounds(1)
		if l := c.leader(); l != old {
			t.Fatalf("another leads while the lease holds: %s", c)
		}
	}
	c.rounds(60)
	if r := c.reads[token]; r == nil || !r.Lost {
		t.Fatalf("the cut off leader answered a read: %v", r)
	}
	l := c.mustLead()
	c.mustCommit(l)
	c.rounds(300)
	term := l.m.hard.Term
	c.calm(30)
	if c.leader() != l || l.m.hard.Term != term {
		t.Fatalf("the return disturbed the leader of term %d: %s", term, c)
	}
	if old.state != l.state || l.state.value != 1 {
		t.Fatalf("states %v and %v", old.state, l.state)
	}
}

// Only one direction fails. A leader that can't hear steps down; one that can't
// be heard is replaced; in both cases the others go on.
func TestLeaderCutOneWay(t *testing.T) {
	for _, deaf := range []bool{true, false} {
		c, old := formed(t, 3)
		for _, o := range c.up() {
			if deaf {
				c.cut[[2]uint64{o.disk, old.disk}] = true
			} else {
				c.cut[[2]uint64{old.disk, o.disk}] = true
			}
		}
		c.rounds(60)
		l := c.mustLead()
		if l == old {
			t.Fatalf("deaf=%v: %s", deaf, c)
		}
		c.mustCommit(l)
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

// A leader counts on the voters that answered it to elect nobody else for an
// election timeout. A voter that restarts, or learns of a newer term, right after
// its answer keeps that promise though it forgot the leader.
func TestPromiseOutlivesRestartAndTerm(t *testing.T) {
	for _, restart := range []bool{true, false} {
		c, l := formed(t, 3)
		voter := c.host(2)
		c.isolate(l)
		if restart {
			c.crash(voter, wholly)
			c.start(voter)
		} else {
			err := voter.m.Step(&Message{
				Kind: quorumpb.Kind_VOTE_REPLY, From: 3, FromDisk: 1003, To: 2, Term: l.m.hard.Term + 1, Reject: true,
			})
			if err != nil {
				t.Fatal(err)
			}
		}
		for range voter.m.cfg.ElectionTicks - 1 {
			c.host(3).m.elect(false)
			c.pump(c.host(3))
			c.rounds(1)
			if c.host(3).m.role == Leader {
				t.Fatalf("restart=%v: the promise was broken: %s", restart, c)
			}
		}
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
	c.mustChange(l, Promote, &Member{Id: 4})
	c.crash(c.host(2), wholly)
	c.mustCommit(l)
	c.crash(l, wholly)
	c.rounds(100)
	if c.leader() != nil {
		t.Fatalf("two of four elected a leader: %s", c)
	}
	c.start(c.hosts[1002])
	c.rounds(60)
	c.mustCommit(c.mustLead())
	if n.state.value != 12 {
		t.Fatalf("state %v after 12 changes", n.state)
	}
}

// The leader of term 4 holds an entry of term 2 that a majority has, too. It may
// not commit it: a member whose log ends in term 3 could still be elected and
// replace it. An entry of term 4 on a majority commits both.
func TestOldTermIsCommittedOnlyByANewEntry(t *testing.T) {
	boot, err := Bootstrap([]*Member{{Id: 1, Disk: 1}, {Id: 2, Disk: 2}, {Id: 3, Disk: 3}, {Id: 4, Disk: 4}, {Id: 5, Disk: 5}})
	if err != nil {
		t.Fatal(err)
	}
	m, err := New(DefaultConfig(1, 1), Stored{
		HardState: &HardState{Disk: 1, Term: 3}, Snapshot: boot,
		Entries: []*Entry{{Index: 1, Term: 1}, {Index: 2, Term: 2}},
	})
	if err != nil {
		t.Fatal(err)
	}
	step := func(msg *Message) {
		msg.FromDisk, msg.To, msg.ToDisk, msg.Term = msg.From, 1, 1, 4
		if err := m.Step(msg); err != nil {
			t.Fatal(err)
		}
		for m.HasReady() {
			m.Ready()
			m.Advance()
		}
	}
	m.campaign()
	for _, kind := range []quorumpb.Kind{quorumpb.Kind_PRE_VOTE_REPLY, quorumpb.Kind_VOTE_REPLY} {
		step(&Message{Kind: kind, From: 2})
		step(&Message{Kind: kind, From: 3})
	}
	for from := uint64(2); from <= 4; from++ {
		step(&Message{Kind: quorumpb.Kind_APPEND_REPLY, From: from, Index: 2})
	}
	if m.role != Leader || m.log.commit != 0 {
		t.Fatalf("%v committed %d by counting an older term", m.role, m.log.commit)
	}
	step(&Message{Kind: quorumpb.Kind_APPEND_REPLY, From: 2, Index: 3})
	step(&Message{Kind: quorumpb.Kind_APPEND_REPLY, From: 3, Index: 3})
	if m.log.commit != 3 {
		t.Fatalf("commit %d", m.log.commit)
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
		c.crash(f, wholly)
		c.start(f)
		f.m.Tick()
		if leads := f.m.role == Leader; leads != committed {
			t.Fatalf("committed=%v, leads=%v: %s", committed, leads, c)
		}
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

// Stopping a leader as planned: another one leads within a few ticks, without an
// election timeout; from the moment it was told, the old one grants nothing more.
func TestHandOver(t *testing.T) {
	for _, pending := range []bool{false, true} {
		c, l := formed(t, 3)
		if pending {
			if _, _, err := l.m.Propose(command(0, 1, 0)); err != nil {
				t.Fatal(err)
			}
		}
		if err := l.m.Transfer(2); err != nil {
			t.Fatal(err)
		}
		if _, _, err := l.m.Propose(nil); !errors.Is(err, ErrTransferring) {
			t.Fatalf("goes on as leader: %v", err)
		}
		if !pending && l.m.QuorumActive() {
			t.Fatal("still grants after the successor was told")
		}
		c.pump(l)
		c.rounds(3)
		if n := c.leader(); n == nil || n.id != 2 {
			t.Fatalf("not handed over: %s", c)
		}
		c.mustCommit(c.host(2))
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

// A member that answers nothing gets heartbeats and no entries; one that answers
// has at most MaxInflight messages under way, whatever is proposed.
func TestReplicationIsBounded(t *testing.T) {
	c, l := formed(t, 3)
	c.isolate(c.host(3))
	c.rounds(3)
	pieces := map[uint64]int{}
	for range 50 {
		if _, _, err := l.m.Propose(make([]byte, 100)); err != nil {
			t.Fatal(err)
		}
		rd := l.m.Ready()
		l.sync(rd)
		for _, msg := range rd.Early {
			pieces[msg.To] += len(msg.Entries)
		}
		l.m.Advance()
	}
	if pieces[2] > l.m.cfg.MaxInflight || pieces[3] > l.m.cfg.MaxInflight {
		t.Fatalf("entries sent ahead: %v", pieces)
	}
	l.m.cfg.MaxUncommittedBytes = 1000
	if _, _, err := l.m.Propose(nil); !errors.Is(err, ErrBusy) {
		t.Fatalf("no bound on what waits for commit: %v", err)
	}
}
