package state

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"pearmoor/internal/contract"
	"pearmoor/internal/link/wire"
	"pearmoor/internal/settings"
)

// applyChange accepts a change, or recognises that it was accepted before or
// lost a race. Whether its edits are valid was decided by Check on the tree of
// the same base version, before it was proposed: were it decided here, two
// control VMs with different schemas would come to hold different trees.
//
// Only accepted changes are remembered by their id. A resend of any other one
// gets the same answer without being remembered: its base version is either
// still not the newest, or the tree it was checked against is unchanged. When
// an accepted change has been forgotten, its base version is long past and the
// resend is a conflict, so it can't be accepted twice.
func (s *State) applyChange(c *wire.ChangeCommand) Result {
	if r := s.Known(c.ChangeId, c.BaseVersion, c.Edits); r != nil {
		return Result{Reply: r}
	}
	if r := s.conflict(c.BaseVersion); r != nil {
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
		// What undoes the change, from the two trees: replaying it once more to find out
		// took half of the time in which a control VM that applies a long change stands still.
		Before: settings.EditsToWire(settings.Diff(tree, s.tree)),
	}
	s.tree, s.version = tree, rec.Version
	s.steps.add(rec, tree.Digest())
	s.leaseBound = max(s.leaseBound, tree.Tier().DaemonLease)
	return Result{Reply: &wire.ChangeReply{Outcome: wire.Outcome_ACCEPTED, Version: rec.Version}, Accepted: rec, Moved: true}
}

// Check returns the outcome that a change would have now, without making it.
func (s *State) Check(r *wire.ChangeRequest) *wire.ChangeReply {
	if known := s.Settle(r); known != nil {
		return known
	}
	if _, err := s.tree.Apply(s.version+1, settings.EditsFromWire(r.Edits)); err != nil {
		return invalid(s.version, err)
	}
	return &wire.ChangeReply{Outcome: wire.Outcome_ACCEPTED, Version: s.version + 1}
}

// Settle returns the outcome of a change that no later entry can alter: it was
// accepted before, or it lost a race. Otherwise it returns nil.
func (s *State) Settle(r *wire.ChangeRequest) *wire.ChangeReply {
	if known := s.Known(r.ChangeId, r.BaseVersion, r.Edits); known != nil {
		return known
	}
	return s.conflict(r.BaseVersion)
}

// Known returns the first outcome of a change accepted before, or nil.
func (s *State) Known(id string, base uint64, edits []*wire.Edit) *wire.ChangeReply {
	rec := s.steps.byID(id)
	if rec == nil {
		return nil
	}
	return Resend(rec, id, base, edits)
}

// Resend returns the outcome of a request whose change id rec has already used.
func Resend(rec *wire.AuditRecord, id string, base uint64, edits []*wire.Edit) *wire.ChangeReply {
	if rec.BaseVersion == base && slices.EqualFunc(rec.Edits, edits, func(a, b *wire.Edit) bool { return proto.Equal(a, b) }) {
		return &wire.ChangeReply{Outcome: wire.Outcome_ACCEPTED, Version: rec.Version, Resend: true}
	}
	return invalid(rec.Version, contract.Faults{{
		Field: "change_id", Value: id,
		Why: fmt.Sprintf("it already names another change, version %d", rec.Version),
		Fix: "choose a new change id for a new change",
	}})
}

func (s *State) conflict(base uint64) *wire.ChangeReply {
	if base == s.version {
		return nil
	}
	if base > s.version {
		return invalid(s.version, contract.Faults{{
			Field: "base_version", Value: fmt.Sprint(base),
			Why: fmt.Sprintf("the newest version is %d", s.version),
			Fix: "read the tree again and base the change on the version read",
		}})
	}
	return &wire.ChangeReply{Outcome: wire.Outcome_CONFLICT, Version: s.version, Conflict: s.steps.at(base + 1)}
}

func invalid(version uint64, err error) *wire.ChangeReply {
	return &wire.ChangeReply{Outcome: wire.Outcome_INVALID, Version: version, Faults: settings.FaultsToWire(err)}
}
