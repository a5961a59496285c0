package discovery

import (
	"time"

	"pearmoor/internal/vm"
)

// runRetention is how long the latest run of an id must be absent from the list before
// an earlier run is accepted. It exceeds the lag of a list page and of another daemon's
// reading. A leaf that restarts after its VM's clock was set back states an earlier
// start than its previous run; without this limit it would be left out permanently.
const runRetention = 10 * time.Second

// latestRuns records the latest run of each id, so that an outdated list page or another
// daemon's list does not restore an earlier run. Otherwise requests would be sent to a
// process that has ended, and what was learned about the current run would be lost.
type latestRuns map[string]latestRun

type latestRun struct {
	startMs  int64
	listedAt vm.Instant // when it was last listed
}

// resolveAll returns the leaves in reported with outdated runs corrected. Leaves of
// current replace those for which reported has only an earlier run. Runs that have not
// been listed for runRetention are removed.
func (l latestRuns) resolveAll(reported, current *Snapshot, now vm.Instant) *Snapshot {
	out := make([]*Leaf, 0, len(reported.leaves))
	changed := false
	for _, leaf := range reported.leaves {
		resolved := l.resolve(leaf, current, now)
		changed = changed || resolved != leaf
		if resolved != nil {
			out = append(out, resolved)
		}
	}
	for id, last := range l {
		if now.Sub(last.listedAt) > runRetention {
			delete(l, id)
		}
	}
	if !changed {
		return reported
	}
	return newSnapshot(out)
}

// resolve returns the leaf that a list entry stands for, or nil if there is none.
func (l latestRuns) resolve(leaf *Leaf, current *Snapshot, now vm.Instant) *Leaf {
	last, known := l[leaf.ID]
	known = known && now.Sub(last.listedAt) <= runRetention
	switch {
	case leaf.StartMs == 0 && !known:
		return leaf
	case leaf.StartMs == 0:
		// The entry states no start time: assume the known run.
		l[leaf.ID] = latestRun{last.startMs, now}
		withStart := *leaf
		withStart.StartMs = last.startMs
		if old, ok := current.byID[leaf.ID]; ok && old.equalState(&withStart, now) {
			return old
		}
		return &withStart
	case !known || leaf.StartMs >= last.startMs:
		l[leaf.ID] = latestRun{leaf.StartMs, now}
		return leaf
	}
	// An earlier run: keep the later one if it is still in use. Otherwise return no
	// leaf, because runs of a leaf do not overlap and this one has ended.
	if old, ok := current.byID[leaf.ID]; ok && old.StartMs == last.startMs {
		return old
	}
	return nil
}

// dedupeByID returns one entry for each id: the one of the latest run, because earlier
// runs have ended. Among entries of the same run, or without a start time, the last one
// is used, because it was read last.
func dedupeByID(list []ListedLeaf) []ListedLeaf {
	index := make(map[string]int, len(list))
	out := make([]ListedLeaf, 0, len(list))
	for _, entry := range list {
		i, ok := index[entry.ID]
		switch {
		case !ok:
			index[entry.ID] = len(out)
			out = append(out, entry)
		case entry.StartMs >= out[i].StartMs:
			out[i] = entry
		}
	}
	return out
}
