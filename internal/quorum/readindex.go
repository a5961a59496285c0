package quorum

// pendingRead waits until a quorum has answered a message of its round.
type pendingRead struct{ token, round uint64 }

// ReadIndex asks for an index at which a read is linearizable. The outcome comes
// in Ready.Reads with the same token.
func (m *Machine) ReadIndex(token uint64) error {
	if m.role != Leader {
		return &NotLeaderError{m.leader}
	}
	if !m.readsUnsent {
		m.readsUnsent = true
		m.round++
	}
	m.reads = append(m.reads, pendingRead{token, m.round})
	return nil
}

// flushReads sends one round of heartbeats for all reads asked since the last.
func (m *Machine) flushReads() {
	if !m.readsUnsent {
		return
	}
	m.readsUnsent = false
	m.broadcastHeartbeat()
	m.releaseReads()
}

// releaseReads finishes the reads whose round a quorum has answered: nobody else
// led when they were asked, so nothing newer was committed. An entry of this term
// must be committed first; before, the leader may not know the newest commit.
func (m *Machine) releaseReads() {
	if m.role != Leader || len(m.reads) == 0 || !m.committedInTerm() {
		return
	}
	round := m.quorumValue(func(p *progress) uint64 { return p.ackedRound }, m.round)
	for len(m.reads) > 0 && m.reads[0].round <= round {
		m.done = append(m.done, ReadState{Token: m.reads[0].token, Index: m.log.commit})
		m.reads = m.reads[1:]
	}
}

func (m *Machine) loseReads() {
	for _, r := range m.reads {
		m.done = append(m.done, ReadState{Token: r.token, Lost: true})
	}
	m.reads, m.readsUnsent = nil, false
}

func (m *Machine) committedInTerm() bool { return m.log.matches(m.log.commit, m.hard.Term) }

// quorumTick returns when the messages were sent that a quorum has answered, or
// notHeard.
func (m *Machine) quorumTick() int {
	of := func(p *progress) uint64 { return uint64(p.ackedTick + 1) }
	return int(m.quorumValue(of, uint64(m.tick+1))) - 1
}

// QuorumActive reports whether a quorum of the voters answered a message sent
// within the last three quarters of ElectionTicks. While it holds, no other
// leader can have been elected: each of those voters refuses all others for
// ElectionTicks. The quarter between covers a tick's length and clocks that run
// at different rates. The driver delivers all due ticks before it asks.
func (m *Machine) QuorumActive() bool {
	if m.role != Leader || m.transfer.sent {
		return false
	}
	t := m.quorumTick()
	return t != notHeard && m.tick-t < m.cfg.ElectionTicks*3/4
}
