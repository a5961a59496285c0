package quorum

import (
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"pearmoor/internal/quorum/quorumpb"
)

// Bootstrap returns the snapshot with which every first member of a new group
// starts. Members need not have their Disk set: until the disks of all members
// are bound by the group's first entry, votes and commits need all members, not
// a majority, so that a member whose disk was lost in between can't be mistaken
// for its old self. The driver stores the snapshot on a new disk before New.
//
// A group founded by a single member has nobody to object when that member's
// disk is replaced and it founds the group once more. Founding must therefore be
// an act of the operator's on that one start, never a standing start-up flag.
func Bootstrap(members []*Member) (*Snapshot, error) {
	c := &Conf{}
	for _, b := range members {
		if b.Learner {
			return nil, errors.Newf("quorum: member %d is a learner; a new group starts with voters only", b.Id)
		}
		c.Members = append(c.Members, proto.CloneOf(b))
		c.MaxId = max(c.MaxId, b.Id)
	}
	slices.SortFunc(c.Members, func(a, b *Member) int { return cmpID(a.Id, b.Id) })
	if err := validateConf(c); err != nil {
		return nil, err
	}
	return &Snapshot{Conf: c}, nil
}

func cmpID(a, b uint64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// validateConf checks what every stored or received Conf must satisfy.
func validateConf(c *Conf) error {
	if n := len(c.Members); n == 0 || n > MaxMembers {
		return errors.Newf("quorum: a group has %d members; use 1 to %d", n, MaxMembers)
	}
	if voterCount(c) == 0 {
		return errors.New("quorum: a group has no voter; keep at least one")
	}
	prev := uint64(0)
	for _, b := range c.Members {
		if b.Id <= prev || b.Id > c.MaxId {
			return errors.Newf("quorum: member id %d is 0, used twice, out of order or above %d", b.Id, c.MaxId)
		}
		prev = b.Id
	}
	return nil
}

func find(c *Conf, id uint64) *Member {
	for _, b := range c.GetMembers() {
		if b.Id == id {
			return b
		}
	}
	return nil
}

func isVoter(c *Conf, id uint64) bool {
	b := find(c, id)
	return b != nil && !b.Learner
}

func voterCount(c *Conf) int {
	n := 0
	for _, b := range c.GetMembers() {
		if !b.Learner {
			n++
		}
	}
	return n
}

// bound reports whether the disks of all members are known to the group.
func bound(c *Conf) bool {
	for _, b := range c.GetMembers() {
		if b.Disk == 0 {
			return false
		}
	}
	return true
}

// quorumSize returns how many voters must agree: a strict majority, so that two
// halves of an even group can't both decide; all of them while disks are unbound.
func quorumSize(c *Conf) int {
	n := voterCount(c)
	if !bound(c) {
		return n
	}
	return n/2 + 1
}

// confAt is the group in effect from the entry at index on.
type confAt struct {
	index uint64
	conf  *Conf
}

// confHistory lists the groups stated by the snapshot and by the log, oldest
// first. A group is in effect as soon as its entry is in the log, committed or
// not: each differs by at most one voter from the one before, so that any
// two quorums of neighbours share a voter.
type confHistory []confAt

func (h confHistory) newest() confAt { return h[len(h)-1] }

// at returns the group in effect after the entry at index.
func (h confHistory) at(index uint64) *Conf {
	for i := len(h) - 1; i > 0; i-- {
		if h[i].index <= index {
			return h[i].conf
		}
	}
	return h[0].conf
}

// add takes in the groups among entries; each was checked by decodeConfs.
func (h confHistory) add(es []*Entry) confHistory {
	for _, e := range es {
		if e.Kind == quorumpb.EntryKind_CONF {
			c := &Conf{}
			if proto.Unmarshal(e.Data, c) == nil {
				h = append(h, confAt{e.Index, c})
			}
		}
	}
	return h
}

// truncate forgets the groups stated from index on.
func (h confHistory) truncate(index uint64) confHistory {
	for len(h) > 1 && h.newest().index >= index {
		h = h[:len(h)-1]
	}
	return h
}

// compact forgets the groups that are superseded at index.
func (h confHistory) compact(index uint64) confHistory {
	for len(h) > 1 && h[1].index <= index {
		h = h[1:]
	}
	return h
}

// checkEntries refuses entries that don't follow index or state a broken group.
func checkEntries(es []*Entry, index, term, maxTerm uint64) error {
	for _, e := range es {
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
