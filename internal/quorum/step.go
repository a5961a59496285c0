package quorum

import "pearmoor/internal/quorum/quorumpb"

// refusal is the group's word that this VM is not taken for a member.
type refusal struct{ why quorumpb.Refusal }

// Step takes in a message. A *RefusedError tells that it was not read; the
// driver logs it and goes on.
func (m *Machine) Step(msg *Message) error {
	if _, ok := quorumpb.Kind_name[int32(msg.Kind)]; !ok || msg.Kind == quorumpb.Kind_UNKNOWN {
		return &RefusedError{msg.From, "its kind is unknown"}
	}
	if err := m.checkAddress(msg); err != nil {
		return err
	}
	switch msg.Kind {
	case quorumpb.Kind_PRE_VOTE:
		m.onPreVote(msg)
	case quorumpb.Kind_PRE_VOTE_REPLY:
		m.onPreVoteReply(msg)
	case quorumpb.Kind_VOTE:
		m.onVote(msg)
	case quorumpb.Kind_REFUSED:
		m.refused = refusal{msg.Refusal}
	default:
		return m.stepInTerm(msg)
	}
	return nil
}

// checkAddress refuses messages between others than this disk and a member's own
// disk. A replaced disk has lost the votes and entries its member promised to
// keep; counted under the old id, it could help a second leader into a term or
// an older log into the lead. Ids are never reused, so a member that was removed
// stays out.
func (m *Machine) checkAddress(msg *Message) error {
	if msg.To != m.cfg.ID || msg.ToDisk != 0 && msg.ToDisk != m.hard.Disk {
		return &RefusedError{msg.From, "it is for another member or for a disk that was replaced"}
	}
	if msg.From == 0 || msg.From == m.cfg.ID || msg.FromDisk == 0 {
		return &RefusedError{msg.From, "it does not name its sender"}
	}
	why := m.refusalOf(msg)
	if why == quorumpb.Refusal_NONE {
		return nil
	}
	if msg.Kind != quorumpb.Kind_REFUSED {
		m.reply(msg, &Message{Kind: quorumpb.Kind_REFUSED, Refusal: why})
	}
	if why == quorumpb.Refusal_WRONG_DISK {
		return &RefusedError{msg.From, "its disk was replaced; remove the member and add the VM under a new id"}
	}
	return &RefusedError{msg.From, "it was removed from the group"}
}

// refusalOf looks at the committed group: an uncommitted one may yet be undone,
// and a member that it leaves out may still be needed to elect a leader.
func (m *Machine) refusalOf(msg *Message) quorumpb.Refusal {
	c := m.committedConf()
	b := find(c, msg.From)
	switch {
	case b == nil && msg.From <= c.MaxId:
		return quorumpb.Refusal_REMOVED
	case b != nil && b.Disk != 0 && b.Disk != msg.FromDisk:
		return quorumpb.Refusal_WRONG_DISK
	}
	return quorumpb.Refusal_NONE
}

// stepInTerm takes in the messages that count only in their own term.
func (m *Machine) stepInTerm(msg *Message) error {
	if msg.Term < m.hard.Term {
		if fromLeader(msg) {
			// The sender was superseded and can't know; it steps down by our term.
			m.reply(msg, &Message{Kind: quorumpb.Kind_APPEND_REPLY, Reject: true})
		}
		return nil
	}
	if msg.Term > m.hard.Term {
		m.becomeFollower(msg.Term, 0)
	}
	if fromLeader(msg) && m.role == Leader {
		return &RefusedError{msg.From, "it claims to lead the term that this member leads"}
	}
	switch msg.Kind {
	case quorumpb.Kind_VOTE_REPLY:
		m.onVoteReply(msg)
	case quorumpb.Kind_APPEND:
		return m.onAppend(msg)
	case quorumpb.Kind_HEARTBEAT:
		m.onHeartbeat(msg)
	case quorumpb.Kind_SNAPSHOT:
		return m.onSnapshot(msg)
	case quorumpb.Kind_TIMEOUT_NOW:
		m.onTimeoutNow(msg)
	case quorumpb.Kind_APPEND_REPLY, quorumpb.Kind_HEARTBEAT_REPLY, quorumpb.Kind_SNAPSHOT_REPLY:
		m.onPeerReply(msg)
	}
	return nil
}

// onPeerReply takes in a member's answer to its leader. Only the bound disk counts.
func (m *Machine) onPeerReply(msg *Message) {
	b := find(m.conf(), msg.From)
	p := m.peers[msg.From]
	if m.role != Leader || p == nil || b == nil || b.Disk != msg.FromDisk {
		return
	}
	if msg.SentTick > 0 && msg.SentTick <= uint64(m.tick) && msg.Round <= m.round {
		p.contact(int(msg.SentTick), msg.Round)
	}
	switch msg.Kind {
	case quorumpb.Kind_APPEND_REPLY:
		m.onAppendReply(p, msg)
	case quorumpb.Kind_HEARTBEAT_REPLY:
		m.onHeartbeatReply(p, msg)
	case quorumpb.Kind_SNAPSHOT_REPLY:
		m.onSnapshotReply(p, msg)
	}
	m.releaseReads()
}
