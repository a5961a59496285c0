package quorum

import (
	"errors"
	"testing"

	"pgregory.net/rapid"

	"google.golang.org/protobuf/proto"

	"pearmoor/internal/quorum/quorumpb"
)

// restartAfterLeaderLease restarts a VM and lets its leader lease expire.
func (c *cluster) restartAfterLeaderLease(h *host) {
	c.crash(h, afterAll)
	c.start(h)
	for range h.m.cfg.ElectionTicks {
		h.m.Tick()
	}
	for h.m.HasReady() {
		h.persist(h.m.Ready())
		h.m.Advance()
	}
}

// Members 1 and 3 commit a change, then the disk of 3 is replaced and 1 stops. If 3
// could vote under its old id, 2 and 3 would elect a leader without the change, and the
// change would be lost. Instead, 3 is refused with the reason and rejoins under a new id.
func TestReplacedDiskCannotVoteUnderOldID(t *testing.T) {
	c, l := newElectedCluster(t, 3)
	c.isolate(c.host(2))
	c.proposeAndWait(l)
	c.crash(c.host(3), afterAll)
	blank := c.addHost(3, c.hosts[1003].persisted.Snapshot)
	c.crash(l, afterAll)
	c.healNetwork(200)
	if c.leader() != nil {
		t.Fatalf("a leader was elected with the vote of a replaced disk: %s", c)
	}
	if reason := blank.m.Status().Refusal; reason != quorumpb.Refusal_WRONG_DISK {
		t.Fatalf("refusal reason at the VM with the replaced disk: %v", reason)
	}
	c.start(l)
	c.runTicks(60)
	l = c.waitForLeader()
	c.changeMembership(l, Remove, &Member{Id: 3})
	c.crash(blank, afterAll)
	readded := c.addHost(4, nil)
	c.changeMembership(l, AddLearner, &Member{Id: 4, Disk: readded.disk})
	c.changeMembership(l, Promote, &Member{Id: 4})
	c.crash(l, afterAll)
	c.runTicks(60)
	c.proposeAndWait(c.waitForLeader())
	if readded.state.value != 2 {
		t.Fatalf("the change was lost: %v", readded.state)
	}
}

// A member votes in a term that it has already persisted, crashes and restarts. If a
// vote without a term change were not persisted, it would vote twice in that term.
func TestVoteIsPersistedWithoutTermChange(t *testing.T) {
	c := newCluster(t, 3, 3)
	voter := c.host(1)
	step := func(msg *Message) *Message {
		msg.FromDisk, msg.To, msg.Term = 1000+msg.From, 1, 5
		if err := voter.m.Step(msg); err != nil {
			t.Fatal(err)
		}
		rd := voter.m.Ready()
		voter.persist(rd)
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
	c.restartAfterLeaderLease(voter)
	if second := step(&Message{Kind: quorumpb.Kind_VOTE, From: 3}); !second.Reject {
		t.Fatal("two votes in one term")
	}
}

// A message that is addressed to a replaced disk must be refused by the new disk: an
// acknowledgement of the blank disk would count for the old one.
func TestMessageForReplacedDiskIsRefused(t *testing.T) {
	c, l := newElectedCluster(t, 3)
	c.crash(c.host(3), afterAll)
	blank := c.addHost(3, nil)
	l.m.broadcastHeartbeat()
	for l.m.HasReady() {
		for _, msg := range l.m.Ready().EarlyMessages {
			var refused *MessageRefusedError
			if err := blank.m.Step(msg); msg.To == 3 && !errors.As(err, &refused) {
				t.Fatalf("message for the replaced disk was processed: %v: %v", msg, err)
			}
		}
		l.m.Advance()
	}
}

// A new leader replaces an entry while the follower syncs it. The completed sync does
// not cover the new entry, which must be returned by the next Ready to be synced.
func TestEntryReplacedDuringSyncIsNotStable(t *testing.T) {
	c := newCluster(t, 3, 3)
	m := c.host(1).m
	appendEntry := func(from, term uint64) {
		err := m.Step(&Message{
			Kind: quorumpb.Kind_APPEND, From: from, FromDisk: 1000 + from, To: 1, Term: term,
			Entries: []*Entry{{Index: 1, Term: term}},
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	appendEntry(2, 1)
	m.Ready()
	appendEntry(3, 2)
	m.Advance()
	if rd := m.Ready(); len(rd.Entries) != 1 || rd.Entries[0].Term != 2 || !rd.MustSync {
		t.Fatalf("Ready does not return the new entry to be synced: %v", rd.Entries)
	}
}

// The first election of a new group needs all members, because the disks are not bound
// yet: if a majority were enough, a member whose disk is replaced at that moment could
// vote for two leaders in one term.
func TestBootstrapNeedsEveryMember(t *testing.T) {
	c := newCluster(t, 3, 3)
	absent := c.host(3)
	c.crash(absent, afterAll)
	c.runTicks(100)
	if c.leader() != nil {
		t.Fatalf("two of three members elected the first leader: %s", c)
	}
	c.start(absent)
	c.runTicks(60)
	if l := c.waitForLeader(); !allDisksBound(l.m.committedConf()) {
		t.Fatalf("disks are not bound: %v", l.m.committedConf())
	}
}

// Before disks are bound, two disks may use the same id. A vote for one disk must not
// be repeated for the other, or both could lead the same term.
func TestVoteIsBoundToDisk(t *testing.T) {
	c := newCluster(t, 3, 3)
	voter := c.host(1)
	requestVote := func(disk uint64) bool {
		err := voter.m.Step(&Message{Kind: quorumpb.Kind_VOTE, From: 3, FromDisk: disk, To: 1, Term: 1})
		if err != nil {
			t.Fatal(err)
		}
		rd := voter.m.Ready()
		voter.persist(rd)
		voter.m.Advance()
		return !rd.Messages[0].Reject
	}
	for range 2 {
		if !requestVote(77) {
			t.Fatal("the vote was not granted, or not repeated for the same disk")
		}
	}
	c.restartAfterLeaderLease(voter)
	if requestVote(78) {
		t.Fatal("two disks with the same id got a vote in one term")
	}
	if voter.persisted.HardState.VoteDisk != 77 {
		t.Fatalf("persisted hard state is %v, want VoteDisk 77", voter.persisted.HardState)
	}
}

// A member restarts after 10,000 changes. It must restore the same state from a snapshot
// and a log of bounded size, and a member that was down must catch up by the snapshot.
func TestRestartAfterManyChanges(t *testing.T) {
	c, l := newElectedCluster(t, 3)
	l.m.cfg.MaxAppendBytes = 1 << 16
	stopped := c.host(3)
	c.crash(stopped, afterAll)
	for i := range uint64(10000) {
		if _, _, err := l.m.Propose(command(i, i+1, 0)); err != nil {
			t.Fatal(err)
		}
		if i%50 == 49 {
			c.processAllReady(l)
			c.runTicks(2)
		}
		if i%1000 == 999 {
			c.runTicks(20)
			c.compact(l, 100)
			c.compact(c.host(2), 100)
		}
	}
	c.runTicks(60)
	if n := len(l.persisted.Entries); n > 1200 {
		t.Fatalf("%d log entries after compaction, want at most 1200", n)
	}
	c.crash(l, afterAll)
	c.start(l)
	c.start(stopped)
	c.runTicks(100)
	if l.state.value != 10000 || stopped.state != l.state {
		t.Fatalf("states %v and %v", l.state, stopped.state)
	}
}

// The stored commit index is above the last entry, because a crash tore the end of the
// log off. Those entries were not acknowledged. The member must start with the entries
// that it has and receive the others again.
func TestRestartWithCommitIndexBeyondTornTail(t *testing.T) {
	c, l := newElectedCluster(t, 3)
	c.proposeAndWait(l)
	f := c.host(2)
	c.crash(f, afterAll)
	f.persisted.HardState = proto.CloneOf(f.persisted.HardState)
	f.persisted.HardState.Commit += 5
	c.start(f)
	c.runTicks(40)
	if f.state != l.state {
		t.Fatalf("states %v and %v", f.state, l.state)
	}
}

// Guards against a founder whose answer makes a VM with a new disk found a group although one
// exists.
func TestFoundersProveThatNoGroupExists(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 5).Draw(t, "founders"))
		c.delayRate = rapid.SampledFrom([]float64{0, 0.3, 0.9}).Draw(t, "delay")
		for range 60 {
			unbound, founded, elected := 0, false, c.leader() != nil
			for _, h := range c.runningHosts() {
				founded = founded || allDisksBound(h.m.committedConf())
				if h.m.Status().Unbound {
					unbound++
				}
			}
			for _, h := range c.runningHosts() {
				if st := h.m.Status(); st.Unbound && st.Term == 0 && (founded || elected) {
					t.Fatalf("member %d has taken part in no election, and a leader was elected", st.ID)
				}
			}
			if unbound >= len(c.runningHosts())-1 && founded {
				t.Fatalf("%d of %d members hold no disk bound, and the group is founded", unbound, len(c.runningHosts()))
			}
			if h := c.host(1); rapid.IntRange(0, 20).Draw(t, "crash") == 0 {
				c.crash(h, c.rng.IntN(4))
				c.start(h)
			}
			c.runTicks(1)
		}
	})
}
