package quorum

import (
	"errors"
	"testing"

	"pearmoor/internal/quorum/quorumpb"
)

// newElectedCluster returns a cluster whose disks are bound and whose first leader is
// host 1.
func newElectedCluster(t *testing.T, n int) (*cluster, *host) {
	t.Helper()
	c := newCluster(t, 7, n)
	h := c.host(1)
	h.m.electionDeadline = 1
	c.runTicks(20)
	if h = c.waitForLeader(); h.id != 1 {
		t.Fatalf("leader is %d: %s", h.id, c)
	}
	return c, h
}

// A partition splits a group of even size into two halves with equal votes. If half
// of the votes were enough, both halves would commit changes and one half's would be
// lost. Neither half may elect a leader until the partition heals.
func TestEvenSplitElectsNoLeader(t *testing.T) {
	for _, n := range []int{2, 4, 8} {
		c, _ := newElectedCluster(t, n)
		for _, a := range c.runningHosts() {
			for _, b := range c.runningHosts() {
				c.blockedLinks[[2]uint64{a.disk, b.disk}] = a.id%2 != b.id%2
			}
		}
		term := c.host(1).m.hardState.Term
		c.runTicks(200)
		if h := c.leader(); h != nil || c.host(1).m.hardState.Term != term {
			t.Fatalf("%d voters in two halves have a leader or a new term: %s", n, c)
		}
		c.healNetwork(0)
		c.proposeAndWait(c.waitForLeader())
	}
}

// Two candidates in the same term get half of the votes each. Neither becomes leader,
// and an election in a later term succeeds.
func TestSplitVoteIsResolvedInLaterTerm(t *testing.T) {
	c, h := newElectedCluster(t, 4)
	c.crash(h, afterAll)
	c.runTicks(9)
	for _, id := range []uint64{2, 3} {
		o := c.host(id)
		o.m.startElection(false) // as if both passed the pre-vote at the same time
		c.processAllReady(o)
	}
	if l := c.leader(); l != nil {
		t.Fatalf("%d leads with 2 of 4 votes", l.id)
	}
	c.runTicks(60)
	c.proposeAndWait(c.waitForLeader())
}

// A partition isolates a leader without closing its connections, so that it still
// believes that it leads. Its QuorumActive must end before another member is elected,
// it must answer no read, and it must step down. When the partition heals, it must
// not disturb the new leader, and its uncommitted entry is dropped.
func TestLeaderCutOffSilently(t *testing.T) {
	c, old := newElectedCluster(t, 3)
	c.isolate(old)
	_, _, err := old.m.Propose(command(0, 9, 0))
	if err != nil {
		t.Fatal(err)
	}
	token := c.read(old)
	for old.m.QuorumActive() {
		c.runTicks(1)
		if l := c.leader(); l != old {
			t.Fatalf("another member leads while QuorumActive of the old leader holds: %s", c)
		}
	}
	c.runTicks(60)
	if r := c.reads[token]; r == nil || !r.LeadershipLost {
		t.Fatalf("the isolated leader answered a read: %v", r)
	}
	l := c.waitForLeader()
	c.proposeAndWait(l)
	c.runTicks(300)
	term := l.m.hardState.Term
	c.healNetwork(30)
	if c.leader() != l || l.m.hardState.Term != term {
		t.Fatalf("the old leader disturbed the leader of term %d when it rejoined: %s", term, c)
	}
	if old.state != l.state || l.state.value != 1 {
		t.Fatalf("states %v and %v", old.state, l.state)
	}
}

// Links fail in one direction only. A leader that receives nothing must step down, and
// one whose messages are lost must be replaced. The other members elect a new leader
// and commit.
func TestOneWayPartitionReplacesLeader(t *testing.T) {
	for _, blockInbound := range []bool{true, false} {
		c, old := newElectedCluster(t, 3)
		for _, o := range c.runningHosts() {
			if blockInbound {
				c.blockedLinks[[2]uint64{o.disk, old.disk}] = true
			} else {
				c.blockedLinks[[2]uint64{old.disk, o.disk}] = true
			}
		}
		c.runTicks(60)
		l := c.waitForLeader()
		if l == old {
			t.Fatalf("blockInbound=%v: the old leader still leads: %s", blockInbound, c)
		}
		c.proposeAndWait(l)
	}
}

// A voter that answered its leader must grant no vote for an election timeout, because
// the leader's QuorumActive relies on it. This must hold even if the voter restarts, and
// so no longer knows the leader, or receives a newer term right after its reply.
func TestLeaderLeaseSurvivesVoterRestartAndNewTerm(t *testing.T) {
	for _, restart := range []bool{true, false} {
		c, l := newElectedCluster(t, 3)
		voter := c.host(2)
		c.isolate(l)
		if restart {
			c.crash(voter, afterAll)
			c.start(voter)
		} else {
			err := voter.m.Step(&Message{
				Kind: quorumpb.Kind_VOTE_REPLY, From: 3, FromDisk: 1003, To: 2, Term: l.m.hardState.Term + 1, Reject: true,
			})
			if err != nil {
				t.Fatal(err)
			}
		}
		for range voter.m.cfg.ElectionTicks - 1 {
			c.host(3).m.startElection(false)
			c.processAllReady(c.host(3))
			c.runTicks(1)
			if c.host(3).m.role == Leader {
				t.Fatalf("restart=%v: a vote was granted during the leader lease: %s", restart, c)
			}
		}
	}
}

// The leader of term 4 has replicated an entry of term 2 to a majority. It must not
// commit that entry alone: a member whose log ends in term 3 could still be elected and
// replace it. An entry of term 4 on a majority commits both.
func TestOlderTermIsCommittedOnlyByEntryOfCurrentTerm(t *testing.T) {
	boot, err := Bootstrap([]*Member{{Id: 1, Disk: 1}, {Id: 2, Disk: 2}, {Id: 3, Disk: 3}, {Id: 4, Disk: 4}, {Id: 5, Disk: 5}})
	if err != nil {
		t.Fatal(err)
	}
	m, err := New(DefaultConfig(1, 1), StoredState{
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
	m.startPreVote()
	for _, kind := range []quorumpb.Kind{quorumpb.Kind_PRE_VOTE_REPLY, quorumpb.Kind_VOTE_REPLY} {
		step(&Message{Kind: kind, From: 2})
		step(&Message{Kind: kind, From: 3})
	}
	for from := uint64(2); from <= 4; from++ {
		step(&Message{Kind: quorumpb.Kind_APPEND_REPLY, From: from, Index: 2})
	}
	if m.role != Leader || m.log.commit != 0 {
		t.Fatalf("%v committed up to %d by counting replicas of an entry of an older term", m.role, m.log.commit)
	}
	step(&Message{Kind: quorumpb.Kind_APPEND_REPLY, From: 2, Index: 3})
	step(&Message{Kind: quorumpb.Kind_APPEND_REPLY, From: 3, Index: 3})
	if m.log.commit != 3 {
		t.Fatalf("commit index is %d, want 3", m.log.commit)
	}
}

// A leadership transfer, as at a planned stop, must elect the successor within a few
// ticks, without an election timeout. Once TIMEOUT_NOW is sent, QuorumActive of the old
// leader must be false.
func TestLeadershipTransfer(t *testing.T) {
	for _, pending := range []bool{false, true} {
		c, l := newElectedCluster(t, 3)
		if pending {
			if _, _, err := l.m.Propose(command(0, 1, 0)); err != nil {
				t.Fatal(err)
			}
		}
		if err := l.m.TransferLeadership(2); err != nil {
			t.Fatal(err)
		}
		if _, _, err := l.m.Propose(nil); !errors.Is(err, ErrTransferring) {
			t.Fatalf("proposal accepted during the transfer: %v", err)
		}
		if !pending && l.m.QuorumActive() {
			t.Fatal("QuorumActive after TIMEOUT_NOW was sent to the successor")
		}
		c.processAllReady(l)
		c.runTicks(3)
		if n := c.leader(); n == nil || n.id != 2 {
			t.Fatalf("leadership was not transferred to member 2: %s", c)
		}
		c.proposeAndWait(c.host(2))
	}
}

// However much is proposed, a member must have at most MaxInflight entries sent to it
// without a reply, and Propose must fail with ErrBusy at MaxUncommittedBytes.
func TestInflightEntriesAndUncommittedBytesAreBounded(t *testing.T) {
	c, l := newElectedCluster(t, 3)
	c.isolate(c.host(3))
	c.runTicks(3)
	entriesSent := map[uint64]int{}
	for range 50 {
		if _, _, err := l.m.Propose(make([]byte, 100)); err != nil {
			t.Fatal(err)
		}
		rd := l.m.Ready()
		l.persist(rd)
		for _, msg := range rd.EarlyMessages {
			entriesSent[msg.To] += len(msg.Entries)
		}
		l.m.Advance()
	}
	if entriesSent[2] > l.m.cfg.MaxInflight || entriesSent[3] > l.m.cfg.MaxInflight {
		t.Fatalf("more than MaxInflight entries sent without a reply: %v", entriesSent)
	}
	l.m.cfg.MaxUncommittedBytes = 1000
	if _, _, err := l.m.Propose(nil); !errors.Is(err, ErrBusy) {
		t.Fatalf("uncommitted bytes are not bounded: %v", err)
	}
}
