package quorum

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"pearmoor/internal/quorum/quorumpb"
)

// ConfOp is one step of membership change.
type ConfOp uint8

// The operations.
const (
	AddLearner ConfOp = iota // Member with an ID above Conf.MaxId and its Disk
	Promote                  // a learner that has caught up becomes a voter
	Remove                   // a voter or learner; its ID is never used again
)

var confOpNames = [...]string{AddLearner: "add", Promote: "promote", Remove: "remove"}

// String returns the operation's name.
func (o ConfOp) String() string {
	if int(o) < len(confOpNames) {
		return confOpNames[o]
	}
	return "unknown"
}

// ConfChange changes the group by one member.
type ConfChange struct {
	Op     ConfOp
	Member *Member // Promote and Remove read only the ID
}

// ConfError refuses a membership change that would do harm or makes no sense.
type ConfError struct {
	Op       ConfOp
	ID       uint64
	Why, Fix string
}

// Error implements error.
func (e *ConfError) Error() string {
	return fmt.Sprintf("quorum: can't %s member %d: %s; %s", e.Op, e.ID, e.Why, e.Fix)
}

// ProposeConf appends a membership change. At most one is under way, and the
// leader must have committed in its own term first: otherwise two leaders could
// each build on a different uncommitted change, and their quorums need not share
// a voter.
func (m *Machine) ProposeConf(c ConfChange) (index, term uint64, err error) {
	if err := m.checkLeader(); err != nil {
		return 0, 0, err
	}
	if !m.committedInTerm() {
		return 0, 0, ErrNotReady
	}
	if m.confs.newest().index > m.log.commit {
		return 0, 0, ErrConfPending
	}
	next, err := m.changed(c)
	if err != nil {
		return 0, 0, err
	}
	e := m.appendConf(next)
	return e.Index, e.Term, nil
}

func (m *Machine) appendConf(c *Conf) *Entry {
	data, err := proto.Marshal(c)
	if err != nil {
		// Only invalid UTF-8 in a name can fail here, and changed refuses it.
		panic("quorum: encode group: " + err.Error())
	}
	return m.appendOwn(quorumpb.EntryKind_CONF, data)
}

// changed returns the group after c, or why c is refused.
func (m *Machine) changed(c ConfChange) (*Conf, error) {
	next := proto.CloneOf(m.conf())
	var err error
	switch c.Op {
	case AddLearner:
		err = addLearner(next, c.Member)
	case Promote:
		err = m.promote(next, c.Member.GetId())
	case Remove:
		err = remove(next, c.Member.GetId())
	default:
		err = &ConfError{c.Op, c.Member.GetId(), "the operation is unknown", "use add, promote or remove"}
	}
	if err != nil {
		return nil, err
	}
	if !m.activeQuorum(next) {
		return nil, &ConfError{c.Op, c.Member.GetId(), "fewer than a majority of the voters after it answer now",
			"bring back or remove a silent member first"}
	}
	return next, nil
}

func addLearner(c *Conf, b *Member) error {
	id := b.GetId()
	switch {
	case id <= c.MaxId:
		return &ConfError{AddLearner, id, "the id was used before", fmt.Sprintf("use an id above %d", c.MaxId)}
	case b.Disk == 0:
		return &ConfError{AddLearner, id, "its disk identity is not known", "start the VM and take the identity it reports"}
	case len(c.Members) >= MaxMembers:
		return &ConfError{AddLearner, id, fmt.Sprintf("the group has %d members", MaxMembers), "remove one first"}
	}
	for _, o := range c.Members {
		if o.Disk == b.Disk {
			return &ConfError{AddLearner, id, fmt.Sprintf("its disk is member %d's", o.Id), "use an empty data folder"}
		}
	}
	b = proto.CloneOf(b)
	b.Learner = true
	if _, err := proto.Marshal(b); err != nil {
		return &ConfError{AddLearner, id, err.Error(), "use a valid name and address"}
	}
	c.Members, c.MaxId = append(c.Members, b), id
	return nil
}

// promote wants the learner to answer and to hold every committed entry, synced:
// from then on it counts, and the loss of another voter must neither lose an
// entry nor stop the group for as long as the learner would take to catch up.
func (m *Machine) promote(c *Conf, id uint64) error {
	b := find(c, id)
	if b == nil || !b.Learner {
		return &ConfError{Promote, id, "it is not a learner", "add it first"}
	}
	if p := m.peers[id]; p == nil || p.match < m.log.commit || !m.answers(p) {
		return ErrNotCaughtUp
	}
	b.Learner = false
	return nil
}

func remove(c *Conf, id uint64) error {
	if find(c, id) == nil {
		return &ConfError{Remove, id, "it is not a member", "see the list of members"}
	}
	c.Members = slices.DeleteFunc(c.Members, func(b *Member) bool { return b.Id == id })
	if voterCount(c) == 0 {
		return &ConfError{Remove, id, "it is the last voter", "add and promote another one first"}
	}
	return nil
}

// activeQuorum reports whether a quorum of c answers. Without this check the
// removal of a live member beside a dead one would stop the group for good.
func (m *Machine) activeQuorum(c *Conf) bool {
	n := 0
	for _, b := range c.Members {
		if !b.Learner && (b.Id == m.cfg.ID || m.answers(m.peers[b.Id])) {
			n++
		}
	}
	return n >= quorumSize(c)
}

// answers reports whether the member answered a message of the last ElectionTicks.
func (m *Machine) answers(p *progress) bool {
	return p != nil && p.ackedTick != notHeard && m.tick-p.ackedTick < m.cfg.ElectionTicks
}

// bind returns the group with each member's disk.
func bind(c *Conf, disks map[uint64]uint64) *Conf {
	c = proto.CloneOf(c)
	for _, b := range c.Members {
		b.Disk = disks[b.Id]
	}
	return c
}

// leaveIfRemoved ends the leadership of a member whose removal is committed, and
// lets the most up to date voter take over without waiting for its timeout.
func (m *Machine) leaveIfRemoved() {
	if m.confs.newest().index > m.log.commit || isVoter(m.conf(), m.cfg.ID) {
		return
	}
	if id := m.successor(); id != 0 {
		m.send(id, &Message{Kind: quorumpb.Kind_TIMEOUT_NOW})
	}
	m.becomeFollower(m.hard.Term, 0)
}
