package control

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"pearmoor/internal/link/peer"
	"pearmoor/internal/link/wire"
	"pearmoor/internal/settings"
)

const (
	maxAuditRecords = 1_000
	maxInForceWait  = 30 * time.Second
)

var errUnconfirmed = peer.Retryable(errors.New("control: this leader has not heard enough of its group to be sure that its state is the newest; try again"))

func errNoSuchVersion(version, newest uint64) error {
	return peer.Permanent(errors.Newf("control: version=%d does not exist; the newest is %d", version, newest))
}

// confirmLeadership returns an error unless this VM leads and no other leader can have
// been elected. Handlers call it after reading the state: on success, the state that they
// have read was the newest one.
func (n *Node) confirmLeadership() error {
	if n.leadership.Load().confirmed(n.cfg.Clock()) {
		return nil
	}
	return errUnconfirmed
}

// Read implements wire.DRPCControlServer. It returns the settings tree of a version.
func (s *operatorServer) Read(_ context.Context, req *wire.ReadRequest) (*wire.ReadReply, error) {
	redirect, err := s.leaderRedirect()
	if err != nil || redirect != "" {
		return &wire.ReadReply{Redirect: redirect}, err
	}
	tree, version, err := s.treeAt(req.Version)
	if err != nil {
		return nil, err
	}
	return &wire.ReadReply{Version: version, Snapshot: tree.Encode()}, s.confirmLeadership()
}

// treeAt returns the settings tree of a version and its number; version 0 means the
// newest. An older tree is built by undoing the later changes. Its values are those of
// the requested version, but they are attributed to the changes that were undone.
func (n *Node) treeAt(version uint64) (*settings.Tree, uint64, error) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	st := n.state
	if version == 0 || version == st.Version() {
		return st.Tree(), st.Version(), nil
	}
	if version > st.Version() {
		return nil, 0, errNoSuchVersion(version, st.Version())
	}
	if first := st.FirstRecord(); version+1 < first {
		return nil, 0, peer.Permanent(errors.Newf("control: version=%d is too old to be read; the oldest that can be is %d", version, first-1))
	}
	var undo []settings.Edit
	for v := st.Version(); v > version; v-- {
		undo = append(undo, settings.EditsFromWire(st.Record(v).Before)...)
	}
	return st.Tree().Replay(version, undo), version, nil
}

// Audit implements wire.DRPCControlServer. It returns audit records in ascending order
// from req.FromVersion, or the newest ones in descending order if that is 0.
func (s *operatorServer) Audit(_ context.Context, req *wire.AuditRequest) (*wire.AuditReply, error) {
	redirect, err := s.leaderRedirect()
	if err != nil || redirect != "" {
		return &wire.AuditReply{Redirect: redirect}, err
	}
	limit := int(req.Limit)
	if limit <= 0 || limit > maxAuditRecords {
		limit = maxAuditRecords
	}
	s.mu.RLock()
	newest := s.state.Version()
	s.mu.RUnlock()
	from := req.FromVersion
	if from == 0 && newest > uint64(limit) {
		from = newest - uint64(limit) + 1
	}
	records, err := s.records(max(from, 1), limit)
	if err != nil {
		return nil, err
	}
	if req.FromVersion == 0 {
		slices.Reverse(records)
	}
	return &wire.AuditReply{Records: records}, s.confirmLeadership()
}

// records returns up to limit audit records starting at version from, with fingerprints in
// place of secret values. Records that are no longer in memory are read from the audit trail
// on disk.
func (n *Node) records(from uint64, limit int) ([]*wire.AuditRecord, error) {
	n.mu.RLock()
	first := n.state.FirstRecord()
	n.mu.RUnlock()
	var out []*wire.AuditRecord
	if first == 0 || from < first {
		old, err := n.trail.Read(from, limit)
		if err != nil {
			return nil, err
		}
		for _, r := range old {
			// A record that an older release wrote may have values that are secret now.
			out = append(out, settings.RedactRecord(r))
		}
	}
	n.mu.RLock()
	defer n.mu.RUnlock()
	if len(out) > 0 {
		from = out[len(out)-1].Version + 1
	}
	for v := max(from, n.state.FirstRecord()); v <= n.state.Version() && len(out) < limit; v++ {
		if r := n.state.Record(v); r != nil {
			out = append(out, settings.RedactRecord(r))
		}
	}
	return out, nil
}

// InForce implements wire.DRPCControlServer. It waits until a version is in force
// everywhere. If that does not happen within the wait time, it returns the names of the
// daemons that have not confirmed the version.
func (s *operatorServer) InForce(ctx context.Context, req *wire.InForceRequest) (*wire.InForceReply, error) {
	redirect, err := s.leaderRedirect()
	if err != nil || redirect != "" {
		return &wire.InForceReply{Redirect: redirect}, err
	}
	timer := time.NewTimer(min(time.Duration(req.WaitMs)*time.Millisecond, maxInForceWait))
	defer timer.Stop()
	steppedDown := s.leadership.Load().steppedDown
	for {
		st, changed := s.history.State()
		if req.Version > st.ConfigVersion {
			return nil, errNoSuchVersion(req.Version, st.ConfigVersion)
		}
		if st.InForce >= req.Version {
			return &wire.InForceReply{InForce: true, InForceUnixMs: s.inForceUnixMs(req.Version)}, nil
		}
		select {
		case <-changed:
			continue
		case <-timer.C:
		case <-ctx.Done():
		case <-steppedDown:
		}
		return &wire.InForceReply{Unconfirmed: s.daemons.UnconfirmedDaemons(req.Version, s.cfg.Clock())}, s.confirmLeadership()
	}
}

// inForceUnixMs returns when a version came into force everywhere, or 0 if that is unknown.
func (n *Node) inForceUnixMs(version uint64) int64 {
	records, err := n.records(max(version, 1), 1)
	if err != nil || len(records) == 0 || records[0].Version != version {
		return 0
	}
	return records[0].InForceUnixMs
}

// Status implements wire.DRPCControlServer. Every control VM answers from its own state.
// Only the leader returns the status of daemons.
func (s *operatorServer) Status(context.Context, *wire.StatusRequest) (*wire.StatusReply, error) {
	l := s.leadership.Load()
	v := s.stateView()
	out := &wire.StatusReply{
		Redirect: l.redirectAddr(), Term: l.term, Commit: l.status.Commit,
		ConfigVersion: v.version, SettledEpoch: v.settled.Epoch, Group: s.groupStatus(),
		GroupId: l.group().Wire(),
	}
	if v.pending != nil {
		out.PendingEpoch = v.pending.Epoch
	}
	if l.isLeader {
		out.Daemons = s.daemons.DaemonStatuses(s.cfg.Clock())
	}
	return out, nil
}
