package state

import "pearmoor/internal/link/wire"

// Deltas returns the kept changes after a version, oldest first.
func (s *State) Deltas(after uint64) []*wire.TreeDelta {
	var out []*wire.TreeDelta
	for v := max(after+1, s.steps.first()); v <= s.version; v++ {
		st := s.steps.find(v)
		if st == nil {
			return nil
		}
		out = append(out, &wire.TreeDelta{Version: v, Edits: st.rec.Edits, Digest: st.digest})
	}
	return out
}

// Record returns the audit record of an accepted change, nil if it is no longer kept.
func (s *State) Record(version uint64) *wire.AuditRecord { return s.steps.at(version) }

// FirstRecord returns the oldest version that Record still returns; 0 if none.
func (s *State) FirstRecord() uint64 { return s.steps.first() }
