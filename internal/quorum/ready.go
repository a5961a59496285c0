package quorum

import (
	"google.golang.org/protobuf/proto"
)

// HasReady reports whether Ready would return work.
func (m *Machine) HasReady() bool {
	m.flushReads()
	return m.readyInProgress == nil && (len(m.outbox) > 0 || len(m.finishedReads) > 0 || m.receivedSnapshot != nil ||
		m.log.stable < m.log.lastIndex() || m.log.applied < m.log.commit || m.hardStateChanged())
}

func (m *Machine) hardStateChanged() bool {
	return m.termOrVoteChanged() || m.hardState.Commit != m.savedHardState.Commit || m.hardState.Commit != m.log.commit
}

func (m *Machine) termOrVoteChanged() bool {
	return m.hardState.Term != m.savedHardState.Term || m.hardState.Vote != m.savedHardState.Vote || m.hardState.VoteDisk != m.savedHardState.VoteDisk
}

// Ready returns the work for the driver. Advance must be called before the next
// Ready; Tick and Step may be called in between.
func (m *Machine) Ready() Ready {
	if m.readyInProgress != nil {
		panic("quorum: Ready called again before Advance")
	}
	m.flushReads()
	rd := Ready{
		Snapshot:  m.receivedSnapshot,
		Entries:   m.log.slice(m.log.stable+1, m.log.lastIndex(), maxInt),
		Committed: m.log.slice(m.log.applied+1, m.log.commit, maxInt),
		Reads:     m.finishedReads,
	}
	rd.MustSync = rd.Snapshot != nil || len(rd.Entries) > 0 || m.termOrVoteChanged()
	m.splitOutbox(&rd)
	m.hardState.Commit = m.log.commit
	if m.hardStateChanged() {
		rd.HardState = proto.CloneOf(&m.hardState)
		proto.Reset(&m.savedHardState)
		proto.Merge(&m.savedHardState, &m.hardState)
	}
	m.receivedSnapshot, m.finishedReads, m.outbox = nil, nil, nil
	m.readyInProgress = &rd
	return rd
}

// splitOutbox divides the queued messages into those that may be sent before the
// sync and those that may not. If the term or vote itself is not synced, no message
// may be sent before: after a crash this member could lead the same term again with
// different entries.
func (m *Machine) splitOutbox(rd *Ready) {
	unsynced := m.termOrVoteChanged()
	for _, msg := range m.outbox {
		if safeBeforeSync(msg) && !unsynced {
			rd.EarlyMessages = append(rd.EarlyMessages, msg)
		} else {
			rd.Messages = append(rd.Messages, msg)
		}
	}
}

// Advance reports that the work of the last Ready is done: stored, synced, sent and
// applied.
func (m *Machine) Advance() {
	rd := m.readyInProgress
	if rd == nil {
		return
	}
	m.readyInProgress = nil
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
