package state

import (
	"google.golang.org/protobuf/proto"

	"pearmoor/internal/link/wire"
)

// Limits of the changes kept in memory and in snapshots. A connected daemon is never
// this many changes behind; older changes are in the files of the audit trail.
const (
	maxRecentChanges     = 10_000
	maxRecentChangeBytes = 8 << 20
)

// recentChange is one accepted change. The record and the digest are immutable.
type recentChange struct {
	record *wire.AuditRecord
	digest uint64
	size   int
}

// recentChanges holds the newest accepted changes, with consecutive versions.
type recentChanges struct {
	list        []recentChange
	versionByID map[string]uint64 // by change id
	bytes       int
}

func newRecentChanges() recentChanges { return recentChanges{versionByID: make(map[string]uint64)} }

func (s *recentChanges) add(record *wire.AuditRecord, digest uint64) {
	change := recentChange{record: record, digest: digest, size: proto.Size(record)}
	s.list = append(s.list, change)
	s.bytes += change.size
	if record.ChangeId != "" {
		s.versionByID[record.ChangeId] = record.Version
	}
	for len(s.list) > maxRecentChanges || (s.bytes > maxRecentChangeBytes && len(s.list) > 1) {
		s.evictOldest()
	}
}

func (s *recentChanges) evictOldest() {
	old := s.list[0]
	s.list[0] = recentChange{}
	s.list = s.list[1:]
	s.bytes -= old.size
	if s.versionByID[old.record.ChangeId] == old.record.Version {
		delete(s.versionByID, old.record.ChangeId)
	}
}

// oldestVersion returns the oldest version kept, or 0 if there is none.
func (s *recentChanges) oldestVersion() uint64 {
	if len(s.list) == 0 {
		return 0
	}
	return s.list[0].record.Version
}

func (s *recentChanges) find(version uint64) *recentChange {
	oldest := s.oldestVersion()
	if oldest == 0 || version < oldest || version-oldest >= uint64(len(s.list)) {
		return nil
	}
	return &s.list[version-oldest]
}

func (s *recentChanges) record(version uint64) *wire.AuditRecord {
	if change := s.find(version); change != nil {
		return change.record
	}
	return nil
}

func (s *recentChanges) recordByID(id string) *wire.AuditRecord {
	v, ok := s.versionByID[id]
	if !ok {
		return nil
	}
	return s.record(v)
}

// markInForce replaces the records of the versions from..to by copies with the time at
// which they came into force.
func (s *recentChanges) markInForce(from, to uint64, unixMS int64) {
	for v := max(from, s.oldestVersion()); v <= to; v++ {
		change := s.find(v)
		if change == nil {
			return
		}
		r := change.record
		change.record = &wire.AuditRecord{
			Version: r.Version, ChangeId: r.ChangeId, Operator: r.Operator, Reason: r.Reason,
			AcceptedUnixMs: r.AcceptedUnixMs, InForceUnixMs: unixMS, Edits: r.Edits, Before: r.Before,
			Unauthenticated: r.Unauthenticated, BaseVersion: r.BaseVersion,
		}
	}
}
