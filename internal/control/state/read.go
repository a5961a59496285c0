package state

import "pearmoor/internal/link/wire"

// Deltas returns the changes after version have, oldest first. ok is false when
// they don't reach back that far, or when the tree at have is not the one with
// that digest: the whole tree is needed then.
func (s *State) Deltas(have, digest uint64) (deltas []*wire.TreeDelta, ok bool) {
	if have > s.version || !s.matches(have, digest) {
		return nil, false
	}
	if have == s.version {
		return nil, true
	}
	if s.steps.find(have+1) == nil {
		return nil, false
	}
	for v := have + 1; v <= s.version; v++ {
		st := s.steps.find(v)
		deltas = append(deltas, &wire.TreeDelta{Version: v, Edits: st.rec.Edits, Digest: st.digest})
	}
	return deltas, true
}

// matches reports whether digest is that of the tree at version have. A version
// whose digest is no longer kept does not match.
func (s *State) matches(have, digest uint64) bool {
	if have == s.version {
		return digest == s.tree.Digest()
	}
	if have == 0 {
		return true // every daemon starts from the same empty tree
	}
	st := s.steps.find(have)
	return st != nil && st.digest == digest
}

// Record returns the audit record of an accepted change, nil if it is no longer kept.
func (s *State) Record(version uint64) *wire.AuditRecord { return s.steps.at(version) }

// FirstRecord returns the oldest version that Record still returns; 0 if none.
func (s *State) FirstRecord() uint64 { return s.steps.first() }
