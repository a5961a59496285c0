package quorum

import "pearmoor/internal/quorum/quorumpb"

// refusalNotice is another member's notice that it refuses this VM as a member.
type refusalNotice struct{ reason quorumpb.Refusal }

// Step processes a message. If it returns a *MessageRefusedError, the message was
// not processed; the driver logs the error and continues.
func (m *Machine) Step(msg *Message) error {
	if _, ok := quorumpb.Kind_name[int32(msg.Kind)]; !ok || msg.Kind == quorumpb.Kind_UNKNOWN {
		return &MessageRefusedError{msg.From, "its kind is unknown"}
	}
	if err := m.checkSenderAndRecipient(msg); err != nil {
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
		m.lastRefusal = refusalNotice{msg.Refusal}
	default:
		return m.stepInTerm(msg)
	}
	return nil
}

// checkSenderAndRecipient refuses messages that are not addressed to this disk or do
// not come from the disk bound to the sender's id. A replaced disk has lost the votes
// and entries that it acknowledged: under the old id it could help to elect a second
// leader in a term, or a leader without all committed entries. Ids are never reused,
// so a removed member stays refused.
//
// Messages of another group are dropped without a reply: member ids, terms and indexes of
// two groups can't be compared, and a notice of refusal would make the sender give up its
// disk.
func (m *Machine) checkSenderAndRecipient(msg *Message) error {
	if m.excludes(msg.Group) || m.excludes(msg.GetSnapshot().GetConf().GetGroup()) {
		return &OtherGroupError{From: msg.From, Group: msg.Group}
	}
	if msg.To != m.cfg.ID || msg.ToDisk != 0 && msg.ToDisk != m.hardState.Disk {
		return &MessageRefusedError{msg.From, "it is addressed to another member or to a replaced disk"}
	}
	if msg.From == 0 || msg.From == m.cfg.ID || msg.FromDisk == 0 {
		return &MessageRefusedError{msg.From, "it does not name its sender"}
	}
	reason := m.refusalReason(msg)
	if reason == quorumpb.Refusal_NONE {
		return nil
	}
	if msg.Kind != quorumpb.Kind_REFUSED {
		m.reply(msg, &Message{Kind: quorumpb.Kind_REFUSED, Refusal: reason})
	}
	if reason == quorumpb.Refusal_WRONG_DISK {
		return &MessageRefusedError{msg.From, "its disk was replaced; remove the member and add the VM under a new id"}
	}
	return &MessageRefusedError{msg.From, "it was removed from the group"}
}

// refusalReason returns why the sender of msg is refused, by the committed
// configuration: an uncommitted one may be rolled back, and a member that it removes
// may still be needed to elect a leader.
func (m *Machine) refusalReason(msg *Message) quorumpb.Refusal {
	c := m.committedConf()
	member := findMember(c, msg.From)
	switch {
	case member == nil && msg.From <= c.MaxId:
		return quorumpb.Refusal_REMOVED
	case member != nil && member.Disk != 0 && member.Disk != msg.FromDisk:
		return quorumpb.Refusal_WRONG_DISK
	}
	return quorumpb.Refusal_NONE
}

// stepInTerm processes the messages that are valid only in their own term.
func (m *Machine) stepInTerm(msg *Message) error {
	if msg.Term < m.hardState.Term {
		if isLeaderMessage(msg) {
			// The sender is a superseded leader; it steps down on the newer term.
			m.reply(msg, &Message{Kind: quorumpb.Kind_APPEND_REPLY, Reject: true})
		}
		return nil
	}
	if msg.Term > m.hardState.Term {
		m.becomeFollower(msg.Term, 0)
	}
	if isLeaderMessage(msg) && m.role == Leader {
		return &MessageRefusedError{msg.From, "it claims leadership of the term that this member leads"}
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

// onPeerReply processes a member's reply to its leader, if it comes from the disk
// bound to the member's id.
func (m *Machine) onPeerReply(msg *Message) {
	member := findMember(m.conf(), msg.From)
	p := m.peers[msg.From]
	if m.role != Leader || p == nil || member == nil || member.Disk != msg.FromDisk {
		return
	}
	if msg.SentTick > 0 && msg.SentTick <= uint64(m.tick) && msg.Round <= m.round {
		p.recordReply(int(msg.SentTick), msg.Round)
	}
	switch msg.Kind {
	case quorumpb.Kind_APPEND_REPLY:
		m.onAppendReply(p, msg)
	case quorumpb.Kind_HEARTBEAT_REPLY:
		m.onHeartbeatReply(p, msg)
	case quorumpb.Kind_SNAPSHOT_REPLY:
		m.onSnapshotReply(p, msg)
	}
	m.finishReads()
}
