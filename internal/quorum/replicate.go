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
	e := m.appendOwn(quorumpb.EntryKind_COMMAND, data)
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
func (m *Machine) appendOwn(kind quorumpb.EntryKind, data []byte) *Entry {
	e := &Entry{Index: m.log.last() + 1, Term: m.hard.Term, Kind: kind, Data: data}
	m.log.append(e)
	m.uncommitted += commandSize(e)
	if kind == quorumpb.EntryKind_CONF {
		m.confs = m.confs.add([]*Entry{e})
		m.syncPeers()
	}
	m.broadcastAppend()
	return e
}

// syncPeers adds and removes progress records to match the latest configuration.
func (m *Machine) syncPeers() {
	for _, b := range m.conf().Members {
		if b.Id != m.cfg.ID && m.peers[b.Id] == nil {
			m.peers[b.Id] = newProgress(m.log.last())
		}
	}
	for id := range m.peers {
		if find(m.conf(), id) == nil {
			delete(m.peers, id)
		}
	}
}

// forEachPeer calls f for each other member in ascending order of id, so that runs
// are deterministic.
func (m *Machine) eachPeer(f func(id uint64, p *progress)) {
	for _, b := range m.conf().Members {
		if p := m.peers[b.Id]; p != nil {
			f(b.Id, p)
		}
	}
}

func (m *Machine) broadcastAppend() { m.eachPeer(m.sendEntries) }

// sendEntries sends the entries that the member lacks until its progress is paused.
func (m *Machine) sendEntries(id uint64, p *progress) {
	if p.resting() {
		p.movedTick = m.tick
	}
	for !p.blocked(m.cfg.MaxInflight) {
		if p.flow == installing {
			m.sendPiece(id, p)
			return
		}
		prevTerm, ok := m.log.term(p.next - 1)
		if !ok {
			p.install(m.snap)
			continue
		}
		es := m.log.from(p.next, m.log.last(), m.cfg.MaxAppendBytes)
		if len(es) == 0 && p.flow == replicating {
			return
		}
		m.send(id, &Message{
			Kind: quorumpb.Kind_APPEND, Index: p.next - 1, LogTerm: prevTerm,
			Entries: es, Commit: m.log.commit,
		})
		if p.flow == probing {
			p.waiting = true
			return
		}
		p.next += uint64(len(es))
		p.inflight = append(p.inflight, p.next-1)
	}
}

// broadcastHeartbeat sends a heartbeat to each other member. Its commit index is at
// most the member's match index, as the log above it may differ from the leader's.
func (m *Machine) broadcastHeartbeat() {
	m.eachPeer(func(id uint64, p *progress) {
		m.send(id, &Message{Kind: quorumpb.Kind_HEARTBEAT, Commit: min(m.log.commit, p.match)})
	})
}

func (m *Machine) onHeartbeat(msg *Message) {
	m.heard(msg.From)
	m.log.commitTo(msg.Commit)
	m.reply(msg, &Message{Kind: quorumpb.Kind_HEARTBEAT_REPLY})
}

// onAppend appends entries if the entry before them matches the leader's. It drops
// existing entries only on a conflict, so that a delayed message with fewer entries
// does not remove entries of a later message.
func (m *Machine) onAppend(msg *Message) error {
	if err := checkEntries(msg.Entries, msg.Index, msg.LogTerm, msg.Term); err != nil {
		return &RefusedError{msg.From, err.Error()}
	}
	m.heard(msg.From)
	if msg.Index < m.log.commit {
		m.replyAppended(msg, m.log.commit)
		return nil
	}
	if !m.log.matches(msg.Index, msg.LogTerm) {
		index, term := m.log.hint(msg.Index, msg.LogTerm)
		m.reply(msg, &Message{
			Kind: quorumpb.Kind_APPEND_REPLY, Reject: true,
			Index: msg.Index, HintIndex: index, HintTerm: term,
		})
		return nil
	}
	es := msg.Entries
	for len(es) > 0 && m.log.matches(es[0].Index, es[0].Term) {
		es = es[1:]
	}
	if len(es) > 0 {
		m.replaceFrom(es)
	}
	held := msg.Index + uint64(len(msg.Entries))
	m.log.commitTo(min(msg.Commit, held))
	m.replyAppended(msg, held)
	return nil
}

// truncateAndAppend replaces the entries at and above es[0].Index by es. The entry
// before es is at or above the commit index, so no committed entry is replaced.
func (m *Machine) replaceFrom(es []*Entry) {
	if index := es[0].Index; index <= m.log.last() {
		m.log.truncate(index)
		m.confs = m.confs.truncate(index)
	}
	m.log.append(es...)
	m.confs = m.confs.add(es)
}

func (m *Machine) replyAppended(msg *Message, held uint64) {
	m.reply(msg, &Message{Kind: quorumpb.Kind_APPEND_REPLY, Index: held})
}

func (m *Machine) onAppendReply(p *progress, msg *Message) {
	if msg.Reject {
		m.onAppendReject(p, msg)
		return
	}
	if msg.Index > m.log.last() {
		return
	}
	p.acked(msg.Index, m.tick)
	m.maybeCommit()
	if m.role == Leader {
		m.sendEntries(msg.From, p)
		m.maybeHandOver()
	}
}

func (m *Machine) onAppendReject(p *progress, msg *Message) {
	switch p.flow {
	case replicating:
		if msg.Index <= p.match {
			return // stale
		}
		p.probe(p.match + 1)
	case probing:
		if msg.Index != p.next-1 {
			return // stale
		}
		index, _ := m.log.hint(msg.HintIndex, msg.HintTerm)
		p.probe(max(min(index+1, msg.Index), p.match+1))
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
	if int(msg.SentTick) < p.movedTick+2*m.cfg.HeartbeatTicks {
		return
	}
	p.waiting = false
	if p.flow == replicating && len(p.inflight) > 0 {
		p.probe(p.match + 1)
	}
	if p.match < m.log.last() {
		m.sendEntries(msg.From, p)
	}
}

// maybeCommit advances the commit index to what a quorum has synced. Only an entry
// of the current term is committed by counting: an older entry on a majority can
// still be replaced by a leader whose last entry has a term in between.
func (m *Machine) maybeCommit() {
	index := m.quorumValue(func(p *progress) uint64 { return p.match }, m.log.stable)
	if index <= m.log.commit || !m.log.matches(index, m.hard.Term) {
		return
	}
	for _, e := range m.log.from(m.log.commit+1, index, maxInt) {
		m.uncommitted -= commandSize(e)
	}
	m.log.commitTo(index)
	m.releaseReads()
	m.leaveIfRemoved()
}

// quorumValue returns the highest value that a quorum of the voters has reached. own
// is the value of this member.
func (m *Machine) quorumValue(of func(*progress) uint64, own uint64) uint64 {
	var values []uint64
	for _, b := range m.conf().Members {
		switch p := m.peers[b.Id]; {
		case b.Learner:
		case b.Id == m.cfg.ID:
			values = append(values, own)
		case p != nil:
			values = append(values, of(p))
		}
	}
	slices.Sort(values)
	n := len(values) - quorumSize(m.conf())
	if n < 0 {
		return 0
	}
	return values[n]
}
