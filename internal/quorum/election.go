package quorum

import "pearmoor/internal/quorum/quorumpb"

// campaign asks whether an election could be won, without entering a new term.
// A member that was cut off for long thus can't depose a leader that the others
// still hear when it comes back.
func (m *Machine) campaign() {
	if !m.mayLead() {
		return
	}
	m.becomeFollower(m.hard.Term, 0)
	m.role = PreCandidate
	m.countVote(m.cfg.ID, m.hard.Disk)
	if m.won() {
		m.elect(false)
		return
	}
	m.askVotes(&Message{Kind: quorumpb.Kind_PRE_VOTE, Term: m.hard.Term + 1})
}

// mayLead reports whether this member may stand for election. One whose removal
// is in its log but not committed still may: perhaps no voter of the new group
// holds that entry, so that this member's log wins over theirs and they can
// neither win its vote nor do without it. It then leads, without counting itself,
// until the removal is committed.
func (m *Machine) mayLead() bool {
	return isVoter(m.conf(), m.cfg.ID) || isVoter(m.committedConf(), m.cfg.ID)
}

// elect enters a new term as candidate. transfer is true when the leader asked
// for it, which lets voters pass over their promise to that leader.
func (m *Machine) elect(transfer bool) {
	m.becomeFollower(m.hard.Term+1, 0)
	m.role = Candidate
	m.hard.Vote, m.hard.VoteDisk = m.cfg.ID, m.hard.Disk
	m.resetTimeout()
	m.countVote(m.cfg.ID, m.hard.Disk)
	if m.won() {
		m.becomeLeader()
		return
	}
	m.askVotes(&Message{Kind: quorumpb.Kind_VOTE, Transfer: transfer})
}

func (m *Machine) askVotes(ask *Message) {
	for _, b := range m.conf().Members {
		if b.Learner || b.Id == m.cfg.ID {
			continue
		}
		m.send(b.Id, &Message{
			Kind: ask.Kind, Term: ask.Term, Transfer: ask.Transfer,
			Index: m.log.last(), LogTerm: m.log.lastTerm(),
		})
	}
}

// countVote counts a voter once, and only from the disk bound to its id.
func (m *Machine) countVote(id, disk uint64) {
	b := find(m.conf(), id)
	if b == nil || b.Learner || b.Disk != 0 && b.Disk != disk {
		return
	}
	if m.votes == nil {
		m.votes = make(map[uint64]uint64)
	}
	m.votes[id] = disk
}

func (m *Machine) won() bool { return len(m.votes) >= quorumSize(m.conf()) }

// promised reports whether a leader was heard so lately that it may still count
// on this member: no vote is given to anybody else until then, which is what
// QuorumActive relies on. A higher term seen meanwhile does not end the promise:
// the leader may not have seen it.
func (m *Machine) promised() bool {
	return m.role == Leader || m.tick-m.heardTick < m.cfg.ElectionTicks
}

func (m *Machine) onPreVote(msg *Message) {
	ok := msg.Term > m.hard.Term && !m.promised() && m.log.upToDate(msg.Index, msg.LogTerm)
	answer := &Message{Kind: quorumpb.Kind_PRE_VOTE_REPLY, Reject: !ok}
	if ok {
		answer.Term = msg.Term
	}
	m.reply(msg, answer)
}

func (m *Machine) onPreVoteReply(msg *Message) {
	if m.role != PreCandidate {
		return
	}
	if msg.Reject {
		if msg.Term > m.hard.Term {
			m.becomeFollower(msg.Term, 0)
		}
		return
	}
	if msg.Term != m.hard.Term+1 {
		return
	}
	m.countVote(msg.From, msg.FromDisk)
	if m.won() {
		m.elect(false)
	}
}

// onVote gives at most one vote per term. It is bound to the candidate's disk:
// before disks are bound by the log, two disks may come under the same id.
func (m *Machine) onVote(msg *Message) {
	if msg.Term >= m.hard.Term && m.promised() && !msg.Transfer {
		return // also in a term that is known already: see promised
	}
	if msg.Term > m.hard.Term {
		m.becomeFollower(msg.Term, 0)
	}
	free := m.hard.Vote == 0 && m.leader == 0
	again := m.hard.Vote == msg.From && m.hard.VoteDisk == msg.FromDisk
	ok := msg.Term == m.hard.Term && (free || again) && m.log.upToDate(msg.Index, msg.LogTerm)
	if ok {
		m.hard.Vote, m.hard.VoteDisk = msg.From, msg.FromDisk
		m.resetTimeout()
	}
	m.reply(msg, &Message{Kind: quorumpb.Kind_VOTE_REPLY, Reject: !ok})
}

func (m *Machine) onVoteReply(msg *Message) {
	if m.role != Candidate || msg.Reject {
		return
	}
	m.countVote(msg.From, msg.FromDisk)
	if m.won() {
		m.becomeLeader()
	}
}

// becomeLeader starts the term with an entry of its own: only that one proves,
// once committed, that all entries before it are committed too. In a new group
// the entry binds each member's disk, seen with its vote.
func (m *Machine) becomeLeader() {
	votes := m.votes
	m.votes = nil
	m.role, m.leader, m.leaderSince = Leader, m.cfg.ID, m.tick
	m.peers = make(map[uint64]*progress)
	m.syncPeers()
	m.uncommitted = 0
	for _, e := range m.log.from(m.log.commit+1, m.log.last(), maxInt) {
		m.uncommitted += commandSize(e)
	}
	if bound(m.conf()) {
		m.appendOwn(quorumpb.EntryKind_EMPTY, nil)
		return
	}
	m.appendConf(bind(m.conf(), votes))
}
