package quorum

import (
	"github.com/cockroachdb/errors"

	"pearmoor/internal/quorum/quorumpb"
)

// partialSnapshot is a snapshot of which not all chunks have arrived.
type partialSnapshot struct {
	index, term, from uint64
	data              []byte
}

// Snapshot returns a snapshot at index with data, the application's state after that entry.
// index must be applied. The machine does not change: the driver stores the snapshot, and then
// calls Compact.
func (m *Machine) Snapshot(index uint64, data []byte) (*Snapshot, error) {
	if index > m.log.applied || index <= m.snapshot.Index {
		return nil, errors.Newf("quorum: can't compact at %d; use an index above %d, the last snapshot's, and up to %d, the applied one",
			index, m.snapshot.Index, m.log.applied)
	}
	term, ok := m.log.term(index)
	if !ok {
		return nil, errors.Newf("quorum: can't compact at %d; the log begins at %d", index, m.log.firstIndex)
	}
	return &Snapshot{Index: index, Term: term, Conf: m.confs.at(index), Data: data}, nil
}

// Compact replaces the machine's snapshot with one from Snapshot that has been stored since, and
// drops the log before it except for the last keep entries up to its index, which slow followers
// may need. The driver may then drop the journal below it.
func (m *Machine) Compact(snap *Snapshot, keep uint64) {
	m.snapshot = snap
	m.confs = m.confs.compactTo(snap.Index)
	if snap.Index > keep {
		m.log.compact(snap.Index - keep + 1)
	}
}

// sendSnapshotChunk sends the next chunk of the member's snapshot. A transfer in
// progress continues with its snapshot even if a newer one exists.
func (m *Machine) sendSnapshotChunk(id uint64, p *progress) {
	s := p.snapshot
	total := uint64(len(s.Data))
	end := min(p.offset+uint64(m.cfg.MaxAppendBytes), total)
	p.awaitingReply = true
	m.send(id, &Message{
		Kind: quorumpb.Kind_SNAPSHOT, Commit: m.log.commit, Offset: p.offset, LastPiece: end == total,
		Snapshot: &Snapshot{Index: s.Index, Term: s.Term, Conf: s.Conf, Data: s.Data[p.offset:end]},
	})
}

func (m *Machine) onSnapshot(msg *Message) error {
	s := msg.Snapshot
	if s == nil || s.Index == 0 || s.Term > msg.Term {
		return &MessageRefusedError{msg.From, "its snapshot is empty"}
	}
	if err := validateConf(confOrEmpty(s)); err != nil {
		return &MessageRefusedError{msg.From, err.Error()}
	}
	m.onLeaderContact(msg.From)
	if s.Index <= m.log.commit {
		m.partialSnapshot = partialSnapshot{}
		m.replyAppend(msg, m.log.commit)
		return nil
	}
	in := &m.partialSnapshot
	if in.index != s.Index || in.term != s.Term || in.from != msg.From {
		*in = partialSnapshot{index: s.Index, term: s.Term, from: msg.From}
	}
	if msg.Offset != uint64(len(in.data)) {
		m.replySnapshotOffset(msg)
		return nil
	}
	in.data = append(in.data, s.Data...)
	if !msg.LastPiece {
		m.replySnapshotOffset(msg)
		return nil
	}
	m.installSnapshot(&Snapshot{Index: s.Index, Term: s.Term, Conf: s.Conf, Data: in.data})
	m.replyAppend(msg, s.Index)
	return nil
}

func (m *Machine) replySnapshotOffset(msg *Message) {
	m.reply(msg, &Message{
		Kind: quorumpb.Kind_SNAPSHOT_REPLY, Index: m.partialSnapshot.index, Offset: uint64(len(m.partialSnapshot.data)),
	})
}

// installSnapshot replaces the whole log by the snapshot. Entries after it are
// dropped even if they match the leader's; the leader sends them again.
func (m *Machine) installSnapshot(s *Snapshot) {
	m.partialSnapshot = partialSnapshot{}
	m.log.reset(s.Index, s.Term)
	m.confs = confHistory{{s.Index, confOrEmpty(s)}}
	m.snapshot, m.receivedSnapshot = s, s
}

func (m *Machine) onSnapshotReply(p *progress, msg *Message) {
	if p.state != stateSnapshot || msg.Index != p.snapshot.Index || msg.Offset > uint64(len(p.snapshot.Data)) {
		return
	}
	p.offset, p.awaitingReply, p.lastProgressTick = msg.Offset, false, m.tick
	m.sendEntries(msg.From, p)
}
