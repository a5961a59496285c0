package quorum

import (
	"github.com/cockroachdb/errors"

	"pearmoor/internal/quorum/quorumpb"
)

// transfer is a planned hand-over of leadership.
type transfer struct {
	active bool
	to     uint64
	since  int
	// sent: the successor was told to start. It may do so at any time from now
	// on, so this leader never again claims that nobody else leads.
	sent bool
}

// Transfer hands leadership to the voter to, or to the most up to date voter if
// to is 0. Proposals are refused with ErrTransferring from now on. If the voter
// does not take over within ElectionTicks, the leader goes on (nothing was sent
// yet) or steps down.
func (m *Machine) Transfer(to uint64) error {
	if err := m.checkLeader(); err != nil {
		return err
	}
	if to == 0 {
		to = m.successor()
	}
	if to == m.cfg.ID || !isVoter(m.conf(), to) {
		return errors.Newf("quorum: can't hand over to member %d; use another voter that answers", to)
	}
	m.transfer = transfer{active: true, to: to, since: m.tick}
	m.sendEntries(to, m.peers[to])
	m.maybeHandOver()
	return nil
}

// successor returns the other voter that holds most and answers, or 0.
func (m *Machine) successor() uint64 {
	best := uint64(0)
	m.eachPeer(func(id uint64, p *progress) {
		if m.answers(p) && isVoter(m.conf(), id) && (best == 0 || p.match > m.peers[best].match) {
			best = id
		}
	})
	return best
}

// maybeHandOver tells the successor to start once it holds the whole log.
func (m *Machine) maybeHandOver() {
	t := &m.transfer
	if !t.active || t.sent || m.peers[t.to] == nil || m.peers[t.to].match != m.log.last() {
		return
	}
	t.sent = true
	m.send(t.to, &Message{Kind: quorumpb.Kind_TIMEOUT_NOW})
}

func (m *Machine) tickTransfer() {
	t := &m.transfer
	if !t.active || m.tick-t.since < m.cfg.ElectionTicks {
		return
	}
	if t.sent {
		m.becomeFollower(m.hard.Term, 0)
		return
	}
	*t = transfer{}
}

func (m *Machine) onTimeoutNow(msg *Message) {
	if m.role == Leader || !m.mayLead() {
		return
	}
	m.elect(true)
}
