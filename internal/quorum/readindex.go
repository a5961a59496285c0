package quorum

// pendingRead is a read that waits for a quorum to answer a message of its round.
type pendingRead struct{ token, round uint64 }

// ReadIndex requests an index at which a read is linearizable. Ready.Reads returns
// the result with the same token.
func (m *Machine) ReadIndex(token uint64) error {
	if m.role != Leader {
		return &NotLeaderError{m.leader}
	}
	if !m.readRoundUnsent {
		m.readRoundUnsent = true
		m.round++
	}
	m.reads = append(m.reads, pendingRead{token, m.round})
	return nil
}

// flushReads sends one round of heartbeats for all reads requested since the last
// round.
func (m *Machine) flushReads() {
	if !m.readRoundUnsent {
		return
	}
	m.readRoundUnsent = false
	m.broadcastHeartbeat()
	m.finishReads()
}

// finishReads finishes the reads whose round a quorum has answered: no other member
// led when they were requested, so no later entry was committed. An entry of the
// current term must be committed first, as the leader may not know the latest commit
// index until then.
func (m *Machine) finishReads() {
	if m.role != Leader || len(m.reads) == 0 || !m.committedInTerm() {
		return
	}
	round := m.quorumValue(func(p *progress) uint64 { return p.ackedRound }, m.round)
	for len(m.reads) > 0 && m.reads[0].round <= round {
		m.finishedReads = append(m.finishedReads, ReadState{Token: m.reads[0].token, Index: m.log.commit})
		m.reads = m.reads[1:]
	}
}

func (m *Machine) failReads() {
	for _, r := range m.reads {
		m.finishedReads = append(m.finishedReads, ReadState{Token: r.token, LeadershipLost: true})
	}
	m.reads, m.readRoundUnsent = nil, false
}

func (m *Machine) committedInTerm() bool { return m.log.matchTerm(m.log.commit, m.hardState.Term) }

// quorumTick returns the latest tick such that a quorum has answered messages sent
// at or after it, or neverAcked.
func (m *Machine) quorumTick() int {
	sentTick := func(p *progress) uint64 { return uint64(p.ackedSentTick + 1) }
	return int(m.quorumValue(sentTick, uint64(m.tick+1))) - 1
}

// QuorumActive reports whether this member leads and a quorum of the voters answered
// messages sent within the last three quarters of ElectionTicks. No other leader can
// have been elected while it returns true, because each of those voters grants no
// vote for ElectionTicks. The remaining quarter allows for the length of a tick and
// for clock drift. The driver must deliver all due ticks before the call.
func (m *Machine) QuorumActive() bool {
	if m.role != Leader || m.transfer.timeoutNowSent {
		return false
	}
	t := m.quorumTick()
	return t != neverAcked && m.tick-t < m.cfg.ElectionTicks*3/4
}
