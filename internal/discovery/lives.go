package discovery

import (
	"time"

	"pearmoor/internal/vm"
)

// runRetention is how long the latest run of an id must be absent from the list before
// an earlier run is accepted. It exceeds the lag of a list page and of another daemon's
// reading. A leaf that restarts after its VM's clock was set back states an earlier
// start than its previous run; without this limit it would be left out permanently.
const overruleAfter = 10 * time.Second

// latestRuns records the latest run of each id, so that an outdated list page or another
// daemon's list does not restore an earlier run. Otherwise requests would be sent to a
// process that has ended, and what was learned about the current run would be lost.
type lives map[string]lastLife

type lastLife struct {
	born int64
	at   vm.Instant // when it was last listed
}

// resolveAll returns the leaves in reported with outdated runs corrected. Leaves of
// current replace those for which reported has only an earlier run. Runs that have not
// been listed for runRetention are removed.
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

// resolve returns the leaf that a list entry stands for, or nil if there is none.
func (l lives) judge(leaf *Leaf, before *Snapshot, now vm.Instant) *Leaf {
	last, known := l[leaf.ID]
	known = known && now.Sub(last.at) <= overruleAfter
	switch {
	case leaf.Born == 0 && !known:
		return leaf
	case leaf.Born == 0:
		// The entry states no start time: assume the known run.
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
	// An earlier run: keep the later one if it is still in use. Otherwise return no
	// leaf, because runs of a leaf do not overlap and this one has ended.
	if old, ok := before.byID[leaf.ID]; ok && old.Born == last.born {
		return old
	}
	return nil
}

// dedupeByID returns one entry for each id: the one of the latest run, because earlier
// runs have ended. Among entries of the same run, or without a start time, the last one
// is used, because it was read last.
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
