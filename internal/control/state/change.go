package state

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"pearmoor/internal/contract"
	"pearmoor/internal/link/wire"
	"pearmoor/internal/settings"
)

// applyChange accepts a change, unless it was accepted before or its base version is
// not the newest. It does not validate the edits: Check does so before the change is
// proposed, on the tree of the same base version. If applyChange validated them,
// control VMs with different schemas would build different trees from the same log.
//
// Only accepted changes are remembered by their id. A resend of a change that was not
// accepted gets the same answer: either its base version is still not the newest, or
// the tree that it was checked against is unchanged. By the time an accepted change is
// evicted, its base version is old, so a resend is a conflict and is not accepted
// twice.
func (s *State) applyChange(c *wire.ChangeCommand) Result {
	if r := s.PriorOutcome(c.ChangeId, c.BaseVersion, c.Edits); r != nil {
		return Result{Reply: r}
	}
	if r := s.conflictReply(c.BaseVersion); r != nil {
		return Result{Reply: r}
	}
	tree := s.tree.Replay(s.version+1, settings.EditsFromWire(c.Edits))
	rec := &wire.AuditRecord{
		Version:         s.version + 1,
		ChangeId:        c.ChangeId,
		Operator:        c.Operator,
		Unauthenticated: c.Unauthenticated,
		Reason:          c.Reason,
		AcceptedUnixMs:  s.advanceClock(c.UnixMs),
		BaseVersion:     c.BaseVersion,
		Edits:           c.Edits,
		// Before is computed by comparing the two trees. Applying the change a second
		// time to find the reverse edits took half of the time for which a long change
		// blocks a control VM.
		Before: settings.EditsToWire(settings.Diff(tree, s.tree)),
	}
	s.tree, s.version = tree, rec.Version
	s.recent.add(rec, tree.Digest())
	s.leaseBound = max(s.leaseBound, tree.Tier().DaemonLease)
	return Result{Reply: &wire.ChangeReply{Outcome: wire.Outcome_ACCEPTED, Version: rec.Version}, Accepted: rec, Changed: true}
}

// Check returns the outcome that a change would have now, without applying it.
func (s *State) Check(r *wire.ChangeRequest) *wire.ChangeReply {
	if outcome := s.FinalOutcome(r); outcome != nil {
		return outcome
	}
	if _, err := s.tree.Apply(s.version+1, settings.EditsFromWire(r.Edits)); err != nil {
		return invalidReply(s.version, err)
	}
	return &wire.ChangeReply{Outcome: wire.Outcome_ACCEPTED, Version: s.version + 1}
}

// FinalOutcome returns the outcome of a change if no later log entry can alter it: the
// change was accepted before, or its base version is not the newest. Otherwise it
// returns nil.
func (s *State) FinalOutcome(r *wire.ChangeRequest) *wire.ChangeReply {
	if outcome := s.PriorOutcome(r.ChangeId, r.BaseVersion, r.Edits); outcome != nil {
		return outcome
	}
	return s.conflictReply(r.BaseVersion)
}

// PriorOutcome returns the reply to a request that uses the id of an accepted change.
// It returns nil if no recent change has the id.
func (s *State) PriorOutcome(id string, base uint64, edits []*wire.Edit) *wire.ChangeReply {
	rec := s.recent.recordByID(id)
	if rec == nil {
		return nil
	}
	return ResendReply(rec, id, base, edits)
}

// ResendReply returns the reply to a request whose change id is already used by rec:
// accepted if the request is the same, otherwise invalid.
func ResendReply(rec *wire.AuditRecord, id string, base uint64, edits []*wire.Edit) *wire.ChangeReply {
	if rec.BaseVersion == base && slices.EqualFunc(rec.Edits, edits, func(a, b *wire.Edit) bool { return proto.Equal(a, b) }) {
		return &wire.ChangeReply{Outcome: wire.Outcome_ACCEPTED, Version: rec.Version, Resend: true}
	}
	return invalidReply(rec.Version, contract.Faults{{
		Field: "change_id", Value: id,
		Why: fmt.Sprintf("it already names another change, version %d", rec.Version),
		Fix: "choose a new change id for a new change",
	}})
}

func (s *State) conflictReply(base uint64) *wire.ChangeReply {
	if base == s.version {
		return nil
	}
	if base > s.version {
		return invalidReply(s.version, contract.Faults{{
			Field: "base_version", Value: fmt.Sprint(base),
			Why: fmt.Sprintf("the newest version is %d", s.version),
			Fix: "read the tree again and base the change on the version read",
		}})
	}
	return &wire.ChangeReply{Outcome: wire.Outcome_CONFLICT, Version: s.version, Conflict: s.recent.record(base + 1)}
}

func invalidReply(version uint64, err error) *wire.ChangeReply {
	return &wire.ChangeReply{Outcome: wire.Outcome_INVALID, Version: version, Faults: settings.FaultsToWire(err)}
}
