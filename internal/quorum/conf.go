package quorum

import (
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"pearmoor/internal/quorum/quorumpb"
)

// Bootstrap returns the initial snapshot for every founding member of a new
// group. The driver stores it on a new disk before it calls New. Member.Disk may
// be unset: the first entry of the group binds the disk of each member to its id.
// Until then, votes and commits need all members instead of a majority, because a
// member whose disk was replaced in the meantime can't be told from the original.
//
// If the disk of a single-member group is replaced, no other member can prevent a
// second bootstrap of the same group. The operator must therefore request the
// bootstrap for one start of the process only, not by a permanent flag.
func Bootstrap(members []*Member) (*Snapshot, error) {
	c := &Conf{}
	for _, member := range members {
		if member.Learner {
			return nil, errors.Newf("quorum: member %d is a learner; a new group starts with voters only", member.Id)
		}
		c.Members = append(c.Members, proto.CloneOf(member))
		c.MaxId = max(c.MaxId, member.Id)
	}
	slices.SortFunc(c.Members, func(a, member *Member) int { return compareIDs(a.Id, member.Id) })
	if err := validateConf(c); err != nil {
		return nil, err
	}
	return &Snapshot{Conf: c}, nil
}

func compareIDs(a, b uint64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// validateConf checks a stored or received Conf: the number of members, at least
// one voter, and member ids that are unique, ascending and at most MaxId.
func validateConf(c *Conf) error {
	if n := len(c.Members); n == 0 || n > MaxMembers {
		return errors.Newf("quorum: a group has %d members; use 1 to %d", n, MaxMembers)
	}
	if voterCount(c) == 0 {
		return errors.New("quorum: a group has no voter; keep at least one")
	}
	prev := uint64(0)
	for _, member := range c.Members {
		if member.Id <= prev || member.Id > c.MaxId {
			return errors.Newf("quorum: member id %d is 0, used twice, out of order or above %d", member.Id, c.MaxId)
		}
		prev = member.Id
	}
	return nil
}

func findMember(c *Conf, id uint64) *Member {
	for _, member := range c.GetMembers() {
		if member.Id == id {
			return member
		}
	}
	return nil
}

func isVoter(c *Conf, id uint64) bool {
	member := findMember(c, id)
	return member != nil && !member.Learner
}

func voterCount(c *Conf) int {
	n := 0
	for _, member := range c.GetMembers() {
		if !member.Learner {
			n++
		}
	}
	return n
}

// allDisksBound reports whether the configuration names the disk of every member.
func allDisksBound(c *Conf) bool {
	for _, member := range c.GetMembers() {
		if member.Disk == 0 {
			return false
		}
	}
	return true
}

// quorumSize returns the number of voters that must agree: a strict majority, so
// that two halves of a group of even size can't both decide, or all voters while
// a disk is not bound.
func quorumSize(c *Conf) int {
	n := voterCount(c)
	if !allDisksBound(c) {
		return n
	}
	return n/2 + 1
}

// indexedConf is a configuration that takes effect with the entry at index.
type indexedConf struct {
	index uint64
	conf  *Conf
}

// confHistory lists the configurations in the snapshot and in the log, oldest
// first. A configuration takes effect when its entry is appended, committed or
// not. Each differs from its predecessor by at most one voter, so any quorum of
// one shares a voter with any quorum of the next.
type confHistory []indexedConf

func (h confHistory) latest() indexedConf { return h[len(h)-1] }

// at returns the configuration in effect after the entry at index.
func (h confHistory) at(index uint64) *Conf {
	for i := len(h) - 1; i > 0; i-- {
		if h[i].index <= index {
			return h[i].conf
		}
	}
	return h[0].conf
}

// appendFrom appends the configurations among es, which checkEntries has validated.
func (h confHistory) appendFrom(es []*Entry) confHistory {
	for _, e := range es {
		if e.Kind == quorumpb.EntryKind_CONF {
			c := &Conf{}
			if proto.Unmarshal(e.Data, c) == nil {
				h = append(h, indexedConf{e.Index, c})
			}
		}
	}
	return h
}

// truncateFrom drops the configurations at and above index.
func (h confHistory) truncateFrom(index uint64) confHistory {
	for len(h) > 1 && h.latest().index >= index {
		h = h[:len(h)-1]
	}
	return h
}

// compactTo drops the configurations that are superseded at index.
func (h confHistory) compactTo(index uint64) confHistory {
	for len(h) > 1 && h[1].index <= index {
		h = h[1:]
	}
	return h
}

// checkEntries returns an error if es does not continue the log after the entry at
// index and term, has a term above maxTerm, or holds an invalid configuration.
func checkEntries(entries []*Entry, index, term, maxTerm uint64) error {
	for _, e := range entries {
		index++
		if e.Index != index || e.Term < term || e.Term > maxTerm {
			return errors.Newf("entry %d of term %d does not follow entry %d of term %d", e.Index, e.Term, index-1, term)
		}
		term = e.Term
		if e.Kind != quorumpb.EntryKind_CONF {
			continue
		}
		c := &Conf{}
		if err := proto.Unmarshal(e.Data, c); err != nil {
			return errors.Wrapf(err, "entry %d", e.Index)
		}
		if err := validateConf(c); err != nil {
			return errors.Wrapf(err, "entry %d", e.Index)
		}
	}
	return nil
}
