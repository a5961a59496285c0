package quorum

import (
	"github.com/cockroachdb/errors"

	"pearmoor/internal/quorum/quorumpb"
)

// partialSnapshot is a snapshot of which not all chunks have arrived.
type incoming struct {
	index, term, from uint64
	data              []byte
}

// Compact makes a snapshot at index from data, the application's state after that
// entry, and drops the log before it except for the last keep entries up to index,
// which slow followers may need. index must be applied. The driver stores the
// returned snapshot and may then drop the journal below it.
func (m *Machine) Compact(index uint64, data []byte, keep uint64) (*Snapshot, error) {
	if index > m.log.applied || index <= m.snap.Index {
		return nil, errors.Newf("quorum: can't compact at %d; use an index above %d, the last snapshot's, and up to %d, the applied one",
			index, m.snap.Index, m.log.applied)
	}
	term, ok := m.log.term(index)
	if !ok {
		return nil, errors.Newf("quorum: can't compact at %d; the log begins at %d", index, m.log.first)
	}
	m.snap = &Snapshot{Index: index, Term: term, Conf: m.confs.at(index), Data: data}
	m.confs = m.confs.compact(index)
	if index > keep {
		m.log.compact(index - keep + 1)
	}
	return m.snap, nil
}

// sendSnapshotChunk sends the next chunk of the member's snapshot. A transfer in
// progress continues with its snapshot even if a newer one exists.
func (m *Machine) sendPiece(id uint64, p *progress) {
	s := p.snapshot
	total := uint64(len(s.Data))
	end := min(p.offset+uint64(m.cfg.MaxAppendBytes), total)
	p.waiting = true
	m.send(id, &Message{
		Kind: quorumpb.Kind_SNAPSHOT, Commit: m.log.commit, Offset: p.offset, LastPiece: end == total,
		Snapshot: &Snapshot{Index: s.Index, Term: s.Term, Conf: s.Conf, Data: s.Data[p.offset:end]},
	})
}

func (m *Machine) onSnapshot(msg *Message) error {
	s := msg.Snapshot
	if s == nil || s.Index == 0 || s.Term > msg.Term {
		return &RefusedError{msg.From, "its snapshot is empty"}
	}
	if err := validateConf(confOf(s)); err != nil {
		return &RefusedError{msg.From, err.Error()}
	}
	m.heard(msg.From)
	if s.Index <= m.log.commit {
		m.incoming = incoming{}
		m.replyAppended(msg, m.log.commit)
		return nil
	}
	in := &m.incoming
	if in.index != s.Index || in.term != s.Term || in.from != msg.From {
		*in = incoming{index: s.Index, term: s.Term, from: msg.From}
	}
	if msg.Offset != uint64(len(in.data)) {
		m.replyHeld(msg)
		return nil
	}
	in.data = append(in.data, s.Data...)
	if !msg.LastPiece {
		m.replyHeld(msg)
		return nil
	}
	m.restore(&Snapshot{Index: s.Index, Term: s.Term, Conf: s.Conf, Data: in.data})
	m.replyAppended(msg, s.Index)
	return nil
}

func (m *Machine) replyHeld(msg *Message) {
	m.reply(msg, &Message{
		Kind: quorumpb.Kind_SNAPSHOT_REPLY, Index: m.incoming.index, Offset: uint64(len(m.incoming.data)),
	})
}

// installSnapshot replaces the whole log by the snapshot. Entries after it are
// dropped even if they match the leader's; the leader sends them again.
func (m *Machine) restore(s *Snapshot) {
	m.incoming = incoming{}
	m.log.reset(s.Index, s.Term)
	m.confs = confHistory{{s.Index, confOf(s)}}
	m.snap, m.installed = s, s
}

func (m *Machine) onSnapshotReply(p *progress, msg *Message) {
	if p.flow != installing || msg.Index != p.snapshot.Index || msg.Offset > uint64(len(p.snapshot.Data)) {
		return
	}
	p.offset, p.waiting, p.movedTick = msg.Offset, false, m.tick
	m.sendEntries(msg.From, p)
}
