package quorum

import (
	"errors"
	"testing"

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
