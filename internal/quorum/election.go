package quorum

import "pearmoor/internal/quorum/quorumpb"

// startPreVote asks the voters whether they would grant a vote, without entering a
// new term. A member that rejoins after a partition therefore can't depose a
// leader that the other voters still hear from.
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

// canCampaign reports whether this member may start an election. A member whose
// own removal is in its log but not committed may: if no voter of the new
// configuration holds that entry, their logs are behind this one, and they can't
// win this member's vote, which they may need. As leader it does not count itself
// towards a quorum, and steps down when the removal is committed.
func (m *Machine) mayLead() bool {
	return isVoter(m.conf(), m.cfg.ID) || isVoter(m.committedConf(), m.cfg.ID)
}

// startElection enters a new term as candidate. If transfer is set, the leader
// requested the election, and voters ignore the leader lease.
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

// countVote records the vote of a voter, if it comes from the disk bound to its id.
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

// inLeaderLease reports whether this member leads or received a message from a
// leader within ElectionTicks. It grants no vote during that time, on which
// QuorumActive relies. A higher term does not end the lease, because the leader
// may not have seen that term.
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

// onVote grants at most one vote per term. The vote is for an id and a disk: until
// the log binds the disks, two disks may use the same id.
func (m *Machine) onVote(msg *Message) {
	if msg.Term >= m.hard.Term && m.promised() && !msg.Transfer {
		return // also if the term is already known: see inLeaderLease
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

// becomeLeader appends an entry of the new term: once it is committed, so are all
// entries before it. In a new group this entry binds the disk of each member, which
// the votes reported.
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
