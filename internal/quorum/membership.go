package quorum

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"pearmoor/internal/quorum/quorumpb"
)

// ConfOp is the kind of a membership change.
type ConfOp uint8

// The operations.
const (
	AddLearner ConfOp = iota // Member needs an ID above Conf.MaxId and a Disk
	Promote                  // makes a caught-up learner a voter
	Remove                   // removes a voter or learner; its ID is never reused
)

var confOpNames = [...]string{AddLearner: "add", Promote: "promote", Remove: "remove"}

// String returns the operation's name.
func (o ConfOp) String() string {
	if int(o) < len(confOpNames) {
		return confOpNames[o]
	}
	return "unknown"
}

// ConfChange is a membership change of one member.
type ConfChange struct {
	Op     ConfOp
	Member *Member // Promote and Remove use only the ID
}

// ConfError is returned for a membership change that is invalid or would leave the
// group without an active quorum.
type ConfError struct {
	Op          ConfOp
	ID          uint64
	Reason, Fix string
}

// Error implements error.
func (e *ConfError) Error() string {
	return fmt.Sprintf("quorum: can't %s member %d: %s; %s", e.Op, e.ID, e.Reason, e.Fix)
}

// ProposeConf appends a membership change. At most one change may be uncommitted,
// and the leader must have committed an entry of its own term: otherwise two leaders
// could build on different uncommitted changes, with quorums that share no voter.
func (m *Machine) ProposeConf(c ConfChange) (index, term uint64, err error) {
	if err := m.checkLeader(); err != nil {
		return 0, 0, err
	}
	if !m.committedInTerm() {
		return 0, 0, ErrNotReady
	}
	if m.confs.latest().index > m.log.commit {
		return 0, 0, ErrConfPending
	}
	next, err := m.confAfter(c)
	if err != nil {
		return 0, 0, err
	}
	e := m.appendConf(next)
	return e.Index, e.Term, nil
}

func (m *Machine) appendConf(c *Conf) *Entry {
	data, err := proto.Marshal(c)
	if err != nil {
		// Only invalid UTF-8 in a name can fail here, and addLearner rejects it.
		panic("quorum: encode configuration: " + err.Error())
	}
	return m.appendEntry(quorumpb.EntryKind_CONF, data)
}

// confAfter returns the configuration after c, or an error if c is not allowed.
func (m *Machine) confAfter(c ConfChange) (*Conf, error) {
	next := proto.CloneOf(m.conf())
	var err error
	switch c.Op {
	case AddLearner:
		err = addLearner(next, c.Member)
	case Promote:
		err = m.promote(next, c.Member.GetId())
	case Remove:
		err = removeMember(next, c.Member.GetId())
	default:
		err = &ConfError{c.Op, c.Member.GetId(), "the operation is unknown", "use add, promote or remove"}
	}
	if err != nil {
		return nil, err
	}
	if !m.hasActiveQuorum(next) {
		return nil, &ConfError{c.Op, c.Member.GetId(), "fewer than a majority of the voters after it answer now",
			"bring back or remove a silent member first"}
	}
	return next, nil
}

func addLearner(c *Conf, member *Member) error {
	id := member.GetId()
	switch {
	case id <= c.MaxId:
		return &ConfError{AddLearner, id, "the id was used before", fmt.Sprintf("use an id above %d", c.MaxId)}
	case member.Disk == 0:
		return &ConfError{AddLearner, id, "its disk identity is not known", "start the VM and take the identity it reports"}
	case len(c.Members) >= MaxMembers:
		return &ConfError{AddLearner, id, fmt.Sprintf("the group has %d members", MaxMembers), "remove one first"}
	}
	for _, other := range c.Members {
		if other.Disk == member.Disk {
			return &ConfError{AddLearner, id, fmt.Sprintf("its disk is member %d's", other.Id), "use an empty data folder"}
		}
	}
	member = proto.CloneOf(member)
	member.Learner = true
	if _, err := proto.Marshal(member); err != nil {
		return &ConfError{AddLearner, id, err.Error(), "use a valid name and address"}
	}
	c.Members, c.MaxId = append(c.Members, member), id
	return nil
}

// promote makes a learner a voter. The learner must be active and have synced every
// committed entry: once it counts towards a quorum, the loss of another voter must
// neither lose an entry nor block commits until the learner has caught up.
func (m *Machine) promote(c *Conf, id uint64) error {
	member := findMember(c, id)
	if member == nil || !member.Learner {
		return &ConfError{Promote, id, "it is not a learner", "add it first"}
	}
	if p := m.peers[id]; p == nil || p.match < m.log.commit || !m.recentlyActive(p) {
		return ErrNotCaughtUp
	}
	member.Learner = false
	return nil
}

func removeMember(c *Conf, id uint64) error {
	if findMember(c, id) == nil {
		return &ConfError{Remove, id, "it is not a member", "see the list of members"}
	}
	c.Members = slices.DeleteFunc(c.Members, func(b *Member) bool { return b.Id == id })
	if voterCount(c) == 0 {
		return &ConfError{Remove, id, "it is the last voter", "add and promote another one first"}
	}
	return nil
}

// hasActiveQuorum reports whether a quorum of c is active. Without this check, the
// removal of a live member while another is down would block the group permanently.
func (m *Machine) hasActiveQuorum(c *Conf) bool {
	n := 0
	for _, member := range c.Members {
		if !member.Learner && (member.Id == m.cfg.ID || m.recentlyActive(m.peers[member.Id])) {
			n++
		}
	}
	return n >= quorumSize(c)
}

// recentlyActive reports whether the member answered a message that was sent within
// the last ElectionTicks.
func (m *Machine) recentlyActive(p *progress) bool {
	return p != nil && p.ackedSentTick != neverAcked && m.tick-p.ackedSentTick < m.cfg.ElectionTicks
}

// bindDisks returns a copy of c with the disk of each member set.
func bindDisks(c *Conf, disks map[uint64]uint64) *Conf {
	c = proto.CloneOf(c)
	for _, member := range c.Members {
		member.Disk = disks[member.Id]
	}
	return c
}

// stepDownIfRemoved ends the leadership of a member whose removal is committed. The
// most up-to-date voter starts an election at once, without an election timeout.
func (m *Machine) stepDownIfRemoved() {
	if m.confs.latest().index > m.log.commit || isVoter(m.conf(), m.cfg.ID) {
		return
	}
	if id := m.successor(); id != 0 {
		m.send(id, &Message{Kind: quorumpb.Kind_TIMEOUT_NOW})
	}
	m.becomeFollower(m.hardState.Term, 0)
}
