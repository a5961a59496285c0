package control

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"pearmoor/internal/control/state"
	"pearmoor/internal/link/peer"
	"pearmoor/internal/link/wire"
	"pearmoor/internal/quorum"
	"pearmoor/internal/settings"
)

// Limits of one change request.
const (
	maxEdits       = 100_000
	maxChangeBytes = 8 << 20
	maxNameBytes   = 256 // length of a change id and of an operator's name
	maxReasonBytes = 4096
)

var (
	acceptedMeter = metrics.GetOrRegisterMeter("control.changes.accepted", metrics.DefaultRegistry)
	refusedMeter  = metrics.GetOrRegisterMeter("control.changes.refused", metrics.DefaultRegistry)
	changeTimer   = metrics.GetOrRegisterTimer("control.changes.latency", metrics.DefaultRegistry)
)

// operatorServer serves operators' tools.
type operatorServer struct{ *Node }

// leaderRedirect returns "" on the leader. On any other VM it returns the leader's
// address, or an error if no leader is known.
func (n *Node) leaderRedirect() (redirect string, err error) {
	l := n.leadership.Load()
	if l.isLeader {
		return "", nil
	}
	if l.leaderAddr == "" || l.leader == n.cfg.ID {
		return "", errNoLeader
	}
	return l.leaderAddr, nil
}

// Change implements wire.DRPCControlServer. It makes one change of the settings tree.
func (s *operatorServer) Change(ctx context.Context, req *wire.ChangeRequest) (*wire.ChangeReply, error) {
	redirect, err := s.leaderRedirect()
	if err != nil || redirect != "" {
		return &wire.ChangeReply{Redirect: redirect}, err
	}
	if faults := s.releaseFaults(req); len(faults) > 0 {
		refusedMeter.Mark(1)
		return &wire.ChangeReply{Outcome: wire.Outcome_INVALID, Faults: faults}, nil
	}
	start := time.Now()
	reply, err := s.change(ctx, req)
	switch {
	case err != nil:
		return s.redirectIfNotProposed(err)
	case reply.Outcome == wire.Outcome_ACCEPTED && !req.DryRun:
		acceptedMeter.Mark(1)
		changeTimer.UpdateSince(start)
	case reply.Outcome != wire.Outcome_ACCEPTED:
		refusedMeter.Mark(1)
	}
	return reply, nil
}

// redirectIfNotProposed turns errors which mean that another leader took over into a
// redirect to that leader. With these errors it is certain that nothing was accepted, so
// sending the change to the other leader is safe. Other errors are returned unchanged.
func (s *operatorServer) redirectIfNotProposed(err error) (*wire.ChangeReply, error) {
	var notLeader *quorum.NotLeaderError
	if errors.As(err, &notLeader) || errors.Is(err, errLeadershipLost) || errors.Is(err, quorum.ErrTransferring) {
		if redirect, _ := s.leaderRedirect(); redirect != "" {
			return &wire.ChangeReply{Redirect: redirect}, nil
		}
	}
	return nil, err
}

func (s *operatorServer) change(ctx context.Context, req *wire.ChangeRequest) (*wire.ChangeReply, error) {
	op, verified, err := operatorIdentity(ctx, req)
	if err != nil {
		return nil, err
	}
	return s.changeAs(ctx, req, op, verified)
}

// changeAs makes a change on behalf of operator op. verified tells whether the name was
// authenticated.
func (s *operatorServer) changeAs(ctx context.Context, req *wire.ChangeRequest, op string, verified bool) (*wire.ChangeReply, error) {
	if faults := validateChange(req); len(faults) > 0 {
		return &wire.ChangeReply{Outcome: wire.Outcome_INVALID, Faults: faults}, nil
	}
	req.Edits = settings.EditsToWire(settings.Canonical(settings.EditsFromWire(req.Edits)))
	s.mu.RLock()
	reply := s.state.Check(req)
	s.mu.RUnlock()
	if reply.Outcome == wire.Outcome_CONFLICT {
		return s.withConflictRecord(req, reply)
	}
	if reply.Outcome != wire.Outcome_ACCEPTED || reply.Resend || req.DryRun {
		return reply, nil
	}
	if err := s.checkFreeSpace(); err != nil {
		return nil, err
	}
	if err := s.waitUntilGrown(ctx); err != nil {
		return nil, err
	}
	res, err := s.propose(ctx, &wire.Command{Body: &wire.Command_Change{Change: &wire.ChangeCommand{
		ChangeId: req.ChangeId, BaseVersion: req.BaseVersion, Edits: req.Edits, Reason: req.Reason,
		Operator: op, Unauthenticated: !verified, UnixMs: time.Now().UnixMilli(),
	}}})
	if err != nil {
		return nil, err
	}
	if res.Accepted != nil {
		klog.Infof("control: version %d accepted from %q: %d edits, %s", res.Accepted.Version, op, len(req.Edits), req.Reason)
	}
	if res.Reply.GetConflict() != nil {
		return s.withConflictRecord(req, res.Reply)
	}
	return res.Reply, nil
}

// withConflictRecord adds the record of the change that won the conflict to reply,
// reading it from the audit trail on disk if it is no longer in memory. That change may
// be this one, resent after its id was dropped from memory: the reply is then that of a
// resend.
func (s *operatorServer) withConflictRecord(req *wire.ChangeRequest, reply *wire.ChangeReply) (*wire.ChangeReply, error) {
	if reply.Conflict == nil {
		recs, err := s.trail.Read(req.BaseVersion+1, 1)
		if err != nil {
			return nil, err
		}
		if len(recs) == 1 && recs[0].Version == req.BaseVersion+1 {
			reply.Conflict = recs[0]
		}
	}
	if reply.Conflict == nil {
		return reply, nil
	}
	reply.Conflict = settings.RedactRecord(reply.Conflict)
	if c := reply.Conflict; req.ChangeId != "" && c.ChangeId == req.ChangeId {
		// The record on disk has fingerprints in place of secrets, and so must what it is
		// compared with.
		return state.ResendReply(c, req.ChangeId, req.BaseVersion, settings.RedactWireEdits(req.Edits)), nil
	}
	return reply, nil
}

// operatorIdentity returns the name of the operator. It is verified if it comes from a
// client certificate. On a plain-text connection it is the name that the peer states.
func operatorIdentity(ctx context.Context, req *wire.ChangeRequest) (name string, verified bool, err error) {
	id, ok := peer.FromContext(ctx)
	if ok && id.Verified {
		if id.Kind != peer.Operator {
			return "", false, peer.Permanent(errors.Newf("control: %q is a %s certificate; changes need an operator's", id.Name, id.Kind))
		}
		return id.Name, true, nil
	}
	if ok && id.Name != "" {
		return id.Name, false, nil
	}
	return req.Operator, false, nil
}

func validateChange(req *wire.ChangeRequest) []*wire.Fault {
	var faults []*wire.Fault
	requireAtMost := func(field, value string, got, limit int, fix string) {
		if got > limit {
			faults = append(faults, &wire.Fault{Field: field, Value: value, Why: fmt.Sprintf("it has %d, at most %d are allowed", got, limit), Fix: fix})
		}
	}
	if len(req.Edits) == 0 {
		faults = append(faults, &wire.Fault{Field: "edits", Why: "there is none", Fix: "state at least one edit"})
	}
	if req.ChangeId == "" && !req.DryRun {
		faults = append(faults, &wire.Fault{Field: "change_id", Why: "a resend could not be recognised", Fix: "choose a random one for each change"})
	}
	requireAtMost("change_id", truncate(req.ChangeId), len(req.ChangeId), maxNameBytes, "choose a shorter one, in bytes")
	requireAtMost("operator", truncate(req.Operator), len(req.Operator), maxNameBytes, "use a shorter name, in bytes")
	requireAtMost("reason", truncate(req.Reason), len(req.Reason), maxReasonBytes, "shorten it, in bytes")
	requireAtMost("edits", "", len(req.Edits), maxEdits, "split the change")
	requireAtMost("edits", "", proto.Size(req), maxChangeBytes, "split the change, in bytes")
	return faults
}

// truncate shortens s for use in an error message.
func truncate(s string) string {
	const maxLen = 64
	if len(s) <= maxLen {
		return s
	}
	return s[:maxLen] + "..."
}

// checkFreeSpace returns an error if less than ReserveBytes are free on the disk. The
// reserve is kept for writes that the group needs to keep running: votes, epochs and
// snapshots.
func (n *Node) checkFreeSpace() error {
	free, err := n.driver.journal.Free()
	if err != nil {
		return err
	}
	if free < n.cfg.ReserveBytes {
		return errors.Wrapf(errDiskFull, "%d bytes are free, %d are kept in reserve", free, n.cfg.ReserveBytes)
	}
	return nil
}
