package quorum

import (
	"math"
	"slices"

	"pearmoor/internal/quorum/quorumpb"
)

const maxInt = math.MaxInt

// Propose appends data to the leader's log. It is committed once an entry with
// this index and term is among Ready.Committed; another term there means that it
// was lost.
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

// appendOwn appends the leader's next entry and sends it on.
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

// syncPeers keeps a progress for each other member of the newest group.
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

// eachPeer calls f for each other member in order of id, so that a run is the
// same every time.
func (m *Machine) eachPeer(f func(id uint64, p *progress)) {
	for _, b := range m.conf().Members {
		if p := m.peers[b.Id]; p != nil {
			f(b.Id, p)
		}
	}
}

func (m *Machine) broadcastAppend() { m.eachPeer(m.sendEntries) }

// sendEntries sends what the member lacks, as far as its window allows.
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

// broadcastHeartbeat sends each member a sign of life. Commit is held down to
// what the member is known to hold, as the rest of its log may be another's.
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

// onAppend takes in entries if they follow an entry that is the same in the
// leader's log. Entries are dropped only where they differ from the leader's:
// a late, shorter message must not drop what a newer one brought.
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

// replaceFrom puts es at the end of the log, in place of what stood there. The
// entry before es is at or above commit, so no committed entry is touched.
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
			return // late
		}
		p.probe(p.match + 1)
	case probing:
		if msg.Index != p.next-1 {
			return // late
		}
		index, _ := m.log.hint(msg.HintIndex, msg.HintTerm)
		p.probe(max(min(index+1, msg.Index), p.match+1))
	default:
		return
	}
	m.sendEntries(msg.From, p)
}

// onHeartbeatReply finds out lost messages: the member answers a heartbeat, and
// what was sent well before it brought no progress. A member that answers
// nothing is sent nothing but heartbeats.
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

// maybeCommit commits what a quorum has synced. Only an entry of this term is
// counted: an older one held by a majority can still be replaced by a leader
// whose last entry is of a term in between.
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

// quorumValue returns the highest value that a quorum of the voters has reached,
// where own is this member's.
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
