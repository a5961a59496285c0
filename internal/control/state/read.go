package state

import "pearmoor/internal/link/wire"

// Deltas returns the recent changes after a version, oldest first.
func (s *State) Deltas(after uint64) []*wire.TreeDelta {
	var out []*wire.TreeDelta
	for v := max(after+1, s.recent.oldestVersion()); v <= s.version; v++ {
		change := s.recent.find(v)
		if change == nil {
			return nil
		}
		out = append(out, &wire.TreeDelta{Version: v, Edits: change.record.Edits, Digest: change.digest})
	}
	return out
}

// Record returns the audit record of an accepted change, or nil if it has been
// evicted.
func (s *State) Record(version uint64) *wire.AuditRecord { return s.recent.record(version) }

// FirstRecord returns the oldest version that Record still returns, or 0 if there is
// none.
func (s *State) FirstRecord() uint64 { return s.recent.oldestVersion() }
