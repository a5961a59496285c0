package quorum

import (
	"github.com/cockroachdb/errors"

	"pearmoor/internal/quorum/quorumpb"
)

// leadershipTransfer is the state of a leadership transfer that TransferLeadership started.
type leadershipTransfer struct {
	active    bool
	to        uint64
	startTick int
	// timeoutNowSent means that TIMEOUT_NOW was sent to the successor. The successor may be
	// elected at any time after that, so QuorumActive returns false.
	timeoutNowSent bool
}

// TransferLeadership hands leadership to the voter to, or to the most up-to-date voter
// if to is 0. During the transfer, proposals fail with ErrTransferring. If the voter
// does not take over within ElectionTicks, the leader resumes if TIMEOUT_NOW was not
// sent yet, and steps down otherwise.
func (m *Machine) TransferLeadership(to uint64) error {
	if err := m.checkLeader(); err != nil {
		return err
	}
	if to == 0 {
		to = m.successor()
	}
	if to == m.cfg.ID || !isVoter(m.conf(), to) {
		return errors.Newf("quorum: can't hand over to member %d; use another voter that answers", to)
	}
	m.transfer = leadershipTransfer{active: true, to: to, startTick: m.tick}
	m.sendEntries(to, m.peers[to])
	m.maybeSendTimeoutNow()
	return nil
}

// successor returns the active voter other than this member with the highest match
// index, or 0 if there is none.
func (m *Machine) successor() uint64 {
	best := uint64(0)
	m.forEachPeer(func(id uint64, p *progress) {
		if m.recentlyActive(p) && isVoter(m.conf(), id) && (best == 0 || p.match > m.peers[best].match) {
			best = id
		}
	})
	return best
}

// maybeSendTimeoutNow sends TIMEOUT_NOW to the successor once it holds the whole log.
func (m *Machine) maybeSendTimeoutNow() {
	t := &m.transfer
	if !t.active || t.timeoutNowSent || m.peers[t.to] == nil || m.peers[t.to].match != m.log.lastIndex() {
		return
	}
	t.timeoutNowSent = true
	m.send(t.to, &Message{Kind: quorumpb.Kind_TIMEOUT_NOW})
}

func (m *Machine) tickTransfer() {
	t := &m.transfer
	if !t.active || m.tick-t.startTick < m.cfg.ElectionTicks {
		return
	}
	if t.timeoutNowSent {
		m.becomeFollower(m.hardState.Term, 0)
		return
	}
	*t = leadershipTransfer{}
}

func (m *Machine) onTimeoutNow(msg *Message) {
	if m.role == Leader || !m.canCampaign() {
		return
	}
	m.startElection(true)
}
