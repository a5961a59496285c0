package quorum

import "sort"

// entryLog holds the log entries at and above firstIndex. Invariants:
//   - entries have consecutive indexes and terms that never decrease;
//   - firstIndex-1 <= applied <= commit <= lastIndex, and stable <= lastIndex;
//   - an entry at or below commit is never changed or truncated.
type entryLog struct {
	firstIndex uint64 // index of entries[0]
	prevTerm   uint64 // term of the entry at firstIndex-1
	entries    []*Entry
	stable     uint64 // index of the last synced entry
	commit     uint64
	applied    uint64 // index of the last entry that the application applied
}

func (l *entryLog) lastIndex() uint64 { return l.firstIndex + uint64(len(l.entries)) - 1 }

// term returns the term of the entry at i, or false if the log does not hold it.
func (l *entryLog) term(i uint64) (uint64, bool) {
	switch {
	case i+1 == l.firstIndex:
		return l.prevTerm, true
	case i < l.firstIndex || i > l.lastIndex():
		return 0, false
	}
	return l.entries[i-l.firstIndex].Term, true
}

func (l *entryLog) lastTerm() uint64 {
	t, _ := l.term(l.lastIndex())
	return t
}

func (l *entryLog) matchTerm(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// upToDate reports whether a log that ends with an entry of this index and term is
// at least as up to date as this one. Only such a candidate gets a vote, so every
// leader holds every committed entry.
func (l *entryLog) upToDate(index, term uint64) bool {
	ownTerm := l.lastTerm()
	return term > ownTerm || term == ownTerm && index >= l.lastIndex()
}

// slice returns the entries in [lo, hi] up to maxBytes in total, but at least one.
func (l *entryLog) slice(lo, hi uint64, maxBytes int) []*Entry {
	hi = min(hi, l.lastIndex())
	if lo < l.firstIndex || lo > hi {
		return nil
	}
	es := l.entries[lo-l.firstIndex : hi+1-l.firstIndex]
	size := 0
	for i, e := range es {
		size += entrySize(e)
		if size > maxBytes && i > 0 {
			return es[:i:i]
		}
	}
	return es[:len(es):len(es)]
}

func (l *entryLog) append(es ...*Entry) { l.entries = append(l.entries, es...) }

// truncate drops the entries at and above index. It limits the slice's capacity, so
// that the next append copies it: slices returned earlier may still be in use.
func (l *entryLog) truncate(index uint64) {
	n := index - l.firstIndex
	l.entries = l.entries[:n:n]
	l.stable = min(l.stable, index-1)
}

// stableTo marks the entries up to index as synced, unless the entry at index was
// replaced in the meantime.
func (l *entryLog) stableTo(index, term uint64) {
	if index > l.stable && l.matchTerm(index, term) {
		l.stable = index
	}
}

func (l *entryLog) commitTo(index uint64) {
	l.commit = max(l.commit, min(index, l.lastIndex()))
}

// findConflictByTerm returns the highest index at or below index whose term is not
// above term, and the term there. With it, the leader skips all conflicting entries
// of a term in one round trip.
func (l *entryLog) findConflictByTerm(index, term uint64) (uint64, uint64) {
	index = min(index, l.lastIndex())
	if index+1 < l.firstIndex {
		return index, 0
	}
	n := sort.Search(int(index+1-l.firstIndex), func(i int) bool { return l.entries[i].Term > term })
	index = l.firstIndex + uint64(n) - 1
	t, _ := l.term(index)
	return index, t
}

// compact drops the entries below first, which becomes firstIndex.
func (l *entryLog) compact(first uint64) {
	if first <= l.firstIndex {
		return
	}
	l.prevTerm, _ = l.term(first - 1)
	l.entries = append([]*Entry(nil), l.entries[first-l.firstIndex:]...)
	l.firstIndex = first
}

// reset empties the log and continues it after the snapshot at index and term.
func (l *entryLog) reset(index, term uint64) {
	*l = entryLog{firstIndex: index + 1, prevTerm: term, stable: index, commit: index, applied: index}
}

// entryOverhead is the encoded size of index, term and kind of an entry, in bytes.
const entryOverhead = 24

func entrySize(e *Entry) int { return len(e.Data) + entryOverhead }
