package quorum

import (
	"google.golang.org/protobuf/proto"
)

// HasReady reports whether Ready would return work.
func (m *Machine) HasReady() bool {
	m.flushReads()
	return m.given == nil && (len(m.outbox) > 0 || len(m.done) > 0 || m.installed != nil ||
		m.log.stable < m.log.last() || m.log.applied < m.log.commit || m.hardChanged())
}

func (m *Machine) hardChanged() bool {
	return m.promiseChanged() || m.hard.Commit != m.saved.Commit || m.hard.Commit != m.log.commit
}

func (m *Machine) promiseChanged() bool {
	return m.hard.Term != m.saved.Term || m.hard.Vote != m.saved.Vote || m.hard.VoteDisk != m.saved.VoteDisk
}

// Ready returns the work for the driver. Advance must be called before the next
// Ready; Tick and Step may be called in between.
func (m *Machine) Ready() Ready {
	if m.given != nil {
		panic("quorum: Ready called again before Advance")
	}
	m.flushReads()
	rd := Ready{
		Snapshot:  m.installed,
		Entries:   m.log.from(m.log.stable+1, m.log.last(), maxInt),
		Committed: m.log.from(m.log.applied+1, m.log.commit, maxInt),
		Reads:     m.done,
	}
	rd.MustSync = rd.Snapshot != nil || len(rd.Entries) > 0 || m.promiseChanged()
	m.splitOutbox(&rd)
	m.hard.Commit = m.log.commit
	if m.hardChanged() {
		rd.HardState = proto.CloneOf(&m.hard)
		proto.Reset(&m.saved)
		proto.Merge(&m.saved, &m.hard)
	}
	m.installed, m.done, m.outbox = nil, nil, nil
	m.given = &rd
	return rd
}

// splitOutbox divides the queued messages into those that may be sent before the
// sync and those that may not. If the term or vote itself is not synced, no message
// may be sent before: after a crash this member could lead the same term again with
// different entries.
func (m *Machine) splitOutbox(rd *Ready) {
	wait := m.promiseChanged()
	for _, msg := range m.outbox {
		if promisesNothing(msg) && !wait {
			rd.Early = append(rd.Early, msg)
		} else {
			rd.Messages = append(rd.Messages, msg)
		}
	}
}

// Advance reports that the work of the last Ready is done: stored, synced, sent and
// applied.
func (m *Machine) Advance() {
	rd := m.given
	if rd == nil {
		return
	}
	m.given = nil
	if n := len(rd.Entries); n > 0 {
		m.log.stableTo(rd.Entries[n-1].Index, rd.Entries[n-1].Term)
	}
	if n := len(rd.Committed); n > 0 {
		m.log.applied = max(m.log.applied, rd.Committed[n-1].Index)
	}
	if m.role == Leader {
		m.maybeCommit()
	}
}
