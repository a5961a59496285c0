package quorum

import (
	"google.golang.org/protobuf/proto"

	"pearmoor/internal/quorum/quorumpb"
)

// startPreVote asks the voters whether they would grant a vote, without entering a
// new term. A member that rejoins after a partition therefore can't depose a
// leader that the other voters still hear from.
func (m *Machine) startPreVote() {
	if !m.canCampaign() {
		return
	}
	m.becomeFollower(m.hardState.Term, 0)
	m.role = PreCandidate
	m.countVote(m.cfg.ID, m.hardState.Disk)
	if m.hasVoteQuorum() {
		m.startElection(false)
		return
	}
	m.requestVotes(&Message{Kind: quorumpb.Kind_PRE_VOTE, Term: m.hardState.Term + 1})
}

// canCampaign reports whether this member may start an election. A member whose
// own removal is in its log but not committed may: if no voter of the new
// configuration holds that entry, their logs are behind this one, and they can't
// win this member's vote, which they may need. As leader it does not count itself
// towards a quorum, and steps down when the removal is committed.
func (m *Machine) canCampaign() bool {
	return isVoter(m.conf(), m.cfg.ID) || isVoter(m.committedConf(), m.cfg.ID)
}

// startElection enters a new term as candidate. If transfer is set, the leader
// requested the election, and voters ignore the leader lease.
func (m *Machine) startElection(transfer bool) {
	m.becomeFollower(m.hardState.Term+1, 0)
	m.role = Candidate
	m.hardState.Vote, m.hardState.VoteDisk = m.cfg.ID, m.hardState.Disk
	m.resetTimeout()
	m.countVote(m.cfg.ID, m.hardState.Disk)
	if m.hasVoteQuorum() {
		m.becomeLeader()
		return
	}
	m.requestVotes(&Message{Kind: quorumpb.Kind_VOTE, Transfer: transfer})
}

func (m *Machine) requestVotes(request *Message) {
	for _, member := range m.conf().Members {
		if member.Learner || member.Id == m.cfg.ID {
			continue
		}
		m.send(member.Id, &Message{
			Kind: request.Kind, Term: request.Term, Transfer: request.Transfer,
			Index: m.log.lastIndex(), LogTerm: m.log.lastTerm(),
		})
	}
}

// countVote records the vote of a voter, if it comes from the disk bound to its id.
func (m *Machine) countVote(id, disk uint64) {
	member := findMember(m.conf(), id)
	if member == nil || member.Learner || member.Disk != 0 && member.Disk != disk {
		return
	}
	if m.votes == nil {
		m.votes = make(map[uint64]uint64)
	}
	m.votes[id] = disk
}

func (m *Machine) hasVoteQuorum() bool { return len(m.votes) >= quorumSize(m.conf()) }

// inLeaderLease reports whether this member leads or received a message from a
// leader within ElectionTicks. A member grants no vote during that time, and
// QuorumActive relies on that. A higher term does not end the lease, because the leader
// may not have seen that term.
func (m *Machine) inLeaderLease() bool {
	return m.role == Leader || m.tick-m.leaderContactTick < m.cfg.ElectionTicks
}

func (m *Machine) onPreVote(msg *Message) {
	granted := msg.Term > m.hardState.Term && !m.inLeaderLease() && m.log.upToDate(msg.Index, msg.LogTerm)
	response := &Message{Kind: quorumpb.Kind_PRE_VOTE_REPLY, Reject: !granted}
	if granted {
		response.Term = msg.Term
	}
	m.reply(msg, response)
}

func (m *Machine) onPreVoteReply(msg *Message) {
	if m.role != PreCandidate {
		return
	}
	if msg.Reject {
		if msg.Term > m.hardState.Term {
			m.becomeFollower(msg.Term, 0)
		}
		return
	}
	if msg.Term != m.hardState.Term+1 {
		return
	}
	m.countVote(msg.From, msg.FromDisk)
	if m.hasVoteQuorum() {
		m.startElection(false)
	}
}

// onVote grants at most one vote per term. The vote is for an id and a disk: until
// the log binds the disks, two disks may use the same id.
func (m *Machine) onVote(msg *Message) {
	if msg.Term >= m.hardState.Term && m.inLeaderLease() && !msg.Transfer {
		return // even if msg.Term is the current term: see inLeaderLease
	}
	if msg.Term > m.hardState.Term {
		m.becomeFollower(msg.Term, 0)
	}
	voteAvailable := m.hardState.Vote == 0 && m.leader == 0
	sameCandidate := m.hardState.Vote == msg.From && m.hardState.VoteDisk == msg.FromDisk
	granted := msg.Term == m.hardState.Term && (voteAvailable || sameCandidate) && m.log.upToDate(msg.Index, msg.LogTerm)
	if granted {
		m.hardState.Vote, m.hardState.VoteDisk = msg.From, msg.FromDisk
		m.resetTimeout()
	}
	m.reply(msg, &Message{Kind: quorumpb.Kind_VOTE_REPLY, Reject: !granted})
}

func (m *Machine) onVoteReply(msg *Message) {
	if m.role != Candidate || msg.Reject {
		return
	}
	m.countVote(msg.From, msg.FromDisk)
	if m.hasVoteQuorum() {
		m.becomeLeader()
	}
}

// becomeLeader appends an entry of the new term: once it is committed, so are all
// entries before it. In a new group this entry binds the disk of each member, which
// the votes reported, and names the group. A group founded by a release without
// identities is named by its first leader that has them.
func (m *Machine) becomeLeader() {
	votes := m.votes
	m.votes = nil
	m.role, m.leader, m.leaderSince = Leader, m.cfg.ID, m.tick
	m.peers = make(map[uint64]*progress)
	m.syncPeers()
	m.uncommitted = 0
	for _, e := range m.log.slice(m.log.commit+1, m.log.lastIndex(), maxInt) {
		m.uncommitted += commandSize(e)
	}
	next := m.conf()
	if !allDisksBound(next) {
		next = bindDisks(next, votes)
	}
	if len(next.Group) == 0 && len(m.cfg.NewGroup) > 0 {
		next = proto.CloneOf(next)
		next.Group = m.group()
		if len(next.Group) == 0 {
			next.Group = m.cfg.NewGroup
		}
	}
	if next == m.conf() {
		m.appendEntry(quorumpb.EntryKind_EMPTY, nil)
		return
	}
	m.appendConf(next)
}
