package quorum

import (
	"math"
	"slices"

	"pearmoor/internal/quorum/quorumpb"
)

const maxInt = math.MaxInt

// Propose appends data to the leader's log. The proposal is committed once
// Ready.Committed contains an entry with this index and term. An entry with this
// index and another term means that the proposal was lost.
func (m *Machine) Propose(data []byte) (index, term uint64, err error) {
	if err := m.checkLeader(); err != nil {
		return 0, 0, err
	}
	if m.uncommitted > 0 && m.uncommitted+len(data) > m.cfg.MaxUncommittedBytes {
		return 0, 0, ErrBusy
	}
	e := m.appendEntry(quorumpb.EntryKind_COMMAND, data)
	return e.Index, e.Term, nil
}

func (m *Machine) checkLeader() error {
	if m.role != Leader {
		return &NotLeaderError{m.leader}
	}
	if m.transfer.active {
		return ErrTransferring
	}
	return nil
}

func commandSize(e *Entry) int {
	if e.Kind != quorumpb.EntryKind_COMMAND {
		return 0
	}
	return len(e.Data)
}

// appendEntry appends an entry to the leader's log and sends it to the other members.
func (m *Machine) appendEntry(kind quorumpb.EntryKind, data []byte) *Entry {
	e := &Entry{Index: m.log.lastIndex() + 1, Term: m.hardState.Term, Kind: kind, Data: data}
	m.log.append(e)
	m.uncommitted += commandSize(e)
	if kind == quorumpb.EntryKind_CONF {
		m.confs = m.confs.appendFrom([]*Entry{e})
		m.syncPeers()
	}
	m.broadcastAppend()
	return e
}

// syncPeers adds and removes progress records to match the latest configuration.
func (m *Machine) syncPeers() {
	for _, member := range m.conf().Members {
		if member.Id != m.cfg.ID && m.peers[member.Id] == nil {
			m.peers[member.Id] = newProgress(m.log.lastIndex())
		}
	}
	for id := range m.peers {
		if findMember(m.conf(), id) == nil {
			delete(m.peers, id)
		}
	}
}

// forEachPeer calls f for each other member in ascending order of id, so that runs
// are deterministic.
func (m *Machine) forEachPeer(f func(id uint64, p *progress)) {
	for _, member := range m.conf().Members {
		if p := m.peers[member.Id]; p != nil {
			f(member.Id, p)
		}
	}
}

func (m *Machine) broadcastAppend() { m.forEachPeer(m.sendEntries) }

// sendEntries sends the entries that the member lacks until its progress is paused.
func (m *Machine) sendEntries(id uint64, p *progress) {
	if p.idle() {
		p.lastProgressTick = m.tick
	}
	for !p.paused(m.cfg.MaxInflight) {
		if p.state == stateSnapshot {
			m.sendSnapshotChunk(id, p)
			return
		}
		prevTerm, ok := m.log.term(p.next - 1)
		if !ok {
			p.becomeSnapshot(m.snapshot)
			continue
		}
		es := m.log.slice(p.next, m.log.lastIndex(), m.cfg.MaxAppendBytes)
		if len(es) == 0 && p.state == stateReplicate {
			return
		}
		m.send(id, &Message{
			Kind: quorumpb.Kind_APPEND, Index: p.next - 1, LogTerm: prevTerm,
			Entries: es, Commit: m.log.commit,
		})
		if p.state == stateProbe {
			p.awaitingReply = true
			return
		}
		p.next += uint64(len(es))
		p.inflight = append(p.inflight, p.next-1)
	}
}

// broadcastHeartbeat sends a heartbeat to each other member. Its commit index is at
// most the member's match index, as the log above it may differ from the leader's.
func (m *Machine) broadcastHeartbeat() {
	m.forEachPeer(func(id uint64, p *progress) {
		m.send(id, &Message{Kind: quorumpb.Kind_HEARTBEAT, Commit: min(m.log.commit, p.match)})
	})
}

func (m *Machine) onHeartbeat(msg *Message) {
	m.onLeaderContact(msg.From)
	m.log.commitTo(msg.Commit)
	m.reply(msg, &Message{Kind: quorumpb.Kind_HEARTBEAT_REPLY})
}

// onAppend appends entries if the entry before them matches the leader's. It drops
// existing entries only on a conflict, so that a delayed message with fewer entries
// does not remove entries of a later message.
func (m *Machine) onAppend(msg *Message) error {
	if err := checkEntries(msg.Entries, msg.Index, msg.LogTerm, msg.Term); err != nil {
		return &MessageRefusedError{msg.From, err.Error()}
	}
	m.onLeaderContact(msg.From)
	if msg.Index < m.log.commit {
		m.replyAppend(msg, m.log.commit)
		return nil
	}
	if !m.log.matchTerm(msg.Index, msg.LogTerm) {
		index, term := m.log.findConflictByTerm(msg.Index, msg.LogTerm)
		m.reply(msg, &Message{
			Kind: quorumpb.Kind_APPEND_REPLY, Reject: true,
			Index: msg.Index, HintIndex: index, HintTerm: term,
		})
		return nil
	}
	es := msg.Entries
	for len(es) > 0 && m.log.matchTerm(es[0].Index, es[0].Term) {
		es = es[1:]
	}
	if len(es) > 0 {
		m.truncateAndAppend(es)
	}
	matchIndex := msg.Index + uint64(len(msg.Entries))
	m.log.commitTo(min(msg.Commit, matchIndex))
	m.replyAppend(msg, matchIndex)
	return nil
}

// truncateAndAppend replaces the entries at and above es[0].Index by es. The entry
// before es is at or above the commit index, so no committed entry is replaced.
func (m *Machine) truncateAndAppend(es []*Entry) {
	if index := es[0].Index; index <= m.log.lastIndex() {
		m.log.truncate(index)
		m.confs = m.confs.truncateFrom(index)
	}
	m.log.append(es...)
	m.confs = m.confs.appendFrom(es)
}

func (m *Machine) replyAppend(msg *Message, matchIndex uint64) {
	m.reply(msg, &Message{Kind: quorumpb.Kind_APPEND_REPLY, Index: matchIndex})
}

func (m *Machine) onAppendReply(p *progress, msg *Message) {
	if msg.Reject {
		m.onAppendReject(p, msg)
		return
	}
	if msg.Index > m.log.lastIndex() {
		return
	}
	p.updateMatch(msg.Index, m.tick)
	m.maybeCommit()
	if m.role == Leader {
		m.sendEntries(msg.From, p)
		m.maybeSendTimeoutNow()
	}
}

func (m *Machine) onAppendReject(p *progress, msg *Message) {
	switch p.state {
	case stateReplicate:
		if msg.Index <= p.match {
			return // stale
		}
		p.becomeProbe(p.match + 1)
	case stateProbe:
		if msg.Index != p.next-1 {
			return // stale
		}
		index, _ := m.log.findConflictByTerm(msg.HintIndex, msg.HintTerm)
		p.becomeProbe(max(min(index+1, msg.Index), p.match+1))
	default:
		return
	}
	m.sendEntries(msg.From, p)
}

// onHeartbeatReply detects lost messages: the member answered a heartbeat, but there
// was no progress in the two heartbeat intervals before that heartbeat was sent. The
// leader then probes and sends again. A member that does not answer gets only
// heartbeats.
func (m *Machine) onHeartbeatReply(p *progress, msg *Message) {
	if int(msg.SentTick) < p.lastProgressTick+2*m.cfg.HeartbeatTicks {
		return
	}
	p.awaitingReply = false
	if p.state == stateReplicate && len(p.inflight) > 0 {
		p.becomeProbe(p.match + 1)
	}
	if p.match < m.log.lastIndex() {
		m.sendEntries(msg.From, p)
	}
}

// maybeCommit advances the commit index to what a quorum has synced. Only an entry
// of the current term is committed by counting: an older entry on a majority can
// still be replaced by a leader whose last entry has a term in between.
func (m *Machine) maybeCommit() {
	index := m.quorumValue(func(p *progress) uint64 { return p.match }, m.log.stable)
	if index <= m.log.commit || !m.log.matchTerm(index, m.hardState.Term) {
		return
	}
	for _, e := range m.log.slice(m.log.commit+1, index, maxInt) {
		m.uncommitted -= commandSize(e)
	}
	m.log.commitTo(index)
	m.finishReads()
	m.stepDownIfRemoved()
}

// quorumValue returns the highest value that a quorum of the voters has reached. own
// is the value of this member.
func (m *Machine) quorumValue(value func(*progress) uint64, own uint64) uint64 {
	var values []uint64
	for _, member := range m.conf().Members {
		switch p := m.peers[member.Id]; {
		case member.Learner:
		case member.Id == m.cfg.ID:
			values = append(values, own)
		case p != nil:
			values = append(values, value(p))
		}
	}
	slices.Sort(values)
	n := len(values) - quorumSize(m.conf())
	if n < 0 {
		return 0
	}
	return values[n]
}
