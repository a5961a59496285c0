package state

import (
	"google.golang.org/protobuf/proto"

	"pearmoor/internal/link/wire"
)

// Limits of the changes kept in memory and in snapshots. A connected daemon is never
// this many changes behind; older changes are in the files of the audit trail.
const (
	maxSteps     = 10_000
	maxStepBytes = 8 << 20
)

// recentChange is one accepted change. The record and the digest are immutable.
type step struct {
	rec    *wire.AuditRecord
	digest uint64
	size   int
}

// recentChanges holds the newest accepted changes, with consecutive versions.
type steps struct {
	list  []step
	ids   map[string]uint64 // by change id
	bytes int
}

func newSteps() steps { return steps{ids: make(map[string]uint64)} }

func (s *steps) add(rec *wire.AuditRecord, digest uint64) {
	st := step{rec: rec, digest: digest, size: proto.Size(rec)}
	s.list = append(s.list, st)
	s.bytes += st.size
	if rec.ChangeId != "" {
		s.ids[rec.ChangeId] = rec.Version
	}
	for len(s.list) > maxSteps || (s.bytes > maxStepBytes && len(s.list) > 1) {
		s.dropOldest()
	}
}

func (s *steps) dropOldest() {
	old := s.list[0]
	s.list[0] = step{}
	s.list = s.list[1:]
	s.bytes -= old.size
	if s.ids[old.rec.ChangeId] == old.rec.Version {
		delete(s.ids, old.rec.ChangeId)
	}
}

// oldestVersion returns the oldest version kept, or 0 if there is none.
func (s *steps) first() uint64 {
	if len(s.list) == 0 {
		return 0
	}
	return s.list[0].rec.Version
}

func (s *steps) find(version uint64) *step {
	first := s.first()
	if first == 0 || version < first || version-first >= uint64(len(s.list)) {
		return nil
	}
	return &s.list[version-first]
}

func (s *steps) at(version uint64) *wire.AuditRecord {
	if st := s.find(version); st != nil {
		return st.rec
	}
	return nil
}

func (s *steps) byID(id string) *wire.AuditRecord {
	v, ok := s.ids[id]
	if !ok {
		return nil
	}
	return s.at(v)
}

// markInForce replaces the records of the versions from..to by copies with the time at
// which they came into force.
func (s *steps) markInForce(from, to uint64, unixMS int64) {
	for v := max(from, s.first()); v <= to; v++ {
		st := s.find(v)
		if st == nil {
			return
		}
		r := st.rec
		st.rec = &wire.AuditRecord{
			Version: r.Version, ChangeId: r.ChangeId, Operator: r.Operator, Reason: r.Reason,
			AcceptedUnixMs: r.AcceptedUnixMs, InForceUnixMs: unixMS, Edits: r.Edits, Before: r.Before,
			Unauthenticated: r.Unauthenticated, BaseVersion: r.BaseVersion,
		}
	}
}
