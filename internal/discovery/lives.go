package discovery

import (
	"time"

	"pearmoor/internal/vm"
)

// overruleAfter is how long the latest life of an id must not have been listed for an
// earlier one to be believed: longer than a page of the list or another daemon's
// reading is behind. A leaf whose VM's clock was set back before it started again
// states an earlier start than its life before; without this it would be left out for
// good.
const overruleAfter = 10 * time.Second

// lives remembers the latest life of each id, so that a page of the list that is
// behind, or another daemon's list, does not bring an earlier one back. Requests would
// go to it, and what was learned of the life that is there would be forgotten.
type lives map[string]lastLife

type lastLife struct {
	born int64
	at   vm.Instant // when it was last listed
}

// latest returns the leaves that are there according to told. before is the snapshot
// in use, whose leaves stand for what told knows only an earlier life of. The lives of
// ids that have not been listed for overruleAfter are forgotten.
func (l lives) latest(told, before *Snapshot, now vm.Instant) *Snapshot {
	out := make([]*Leaf, 0, len(told.leaves))
	changed := false
	for _, leaf := range told.leaves {
		use := l.judge(leaf, before, now)
		changed = changed || use != leaf
		if use != nil {
			out = append(out, use)
		}
	}
	for id, last := range l {
		if now.Sub(last.at) > overruleAfter {
			delete(l, id)
		}
	}
	if !changed {
		return told
	}
	return newSnapshot(out)
}

// judge returns the leaf that an entry stands for, nil for none.
func (l lives) judge(leaf *Leaf, before *Snapshot, now vm.Instant) *Leaf {
	last, known := l[leaf.ID]
	known = known && now.Sub(last.at) <= overruleAfter
	switch {
	case leaf.Born == 0 && !known:
		return leaf
	case leaf.Born == 0:
		// It does not say which life it is of: that of the one that is known.
		l[leaf.ID] = lastLife{last.born, now}
		stated := *leaf
		stated.Born = last.born
		if old, ok := before.byID[leaf.ID]; ok && old.same(&stated) {
			return old
		}
		return &stated
	case !known || leaf.Born >= last.born:
		l[leaf.ID] = lastLife{leaf.Born, now}
		return leaf
	}
	// An earlier life: the later one stays if it is still in use, and otherwise none
	// is there, since a leaf's lives follow one another.
	if old, ok := before.byID[leaf.ID]; ok && old.Born == last.born {
		return old
	}
	return nil
}

// onePerID returns one entry for each id: that of the latest life, since the earlier
// ones are over; of one life, or where none is stated, that of the later page, which
// was read later.
func onePerID(list []Listed) []Listed {
	at := make(map[string]int, len(list))
	out := make([]Listed, 0, len(list))
	for _, in := range list {
		i, ok := at[in.ID]
		switch {
		case !ok:
			at[in.ID] = len(out)
			out = append(out, in)
		case in.Born >= out[i].Born:
			out[i] = in
		}
	}
	return out
}
