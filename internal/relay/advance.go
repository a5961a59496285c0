package relay

import (
	"github.com/cockroachdb/errors"

	"pearmoor/internal/link/wire"
	"pearmoor/internal/settings"
	"pearmoor/internal/vm"
)

// Errors for a reply whose state is rejected.
var (
	errDigestMismatch = errors.New("relay: settings tree digest mismatch")
	errStateGap       = errors.New("relay: reply does not continue the known state")
)

// mergeReply returns the view that results from applying the state in a reply to v, or
// v itself if the reply has nothing newer. If the state cannot be applied to v, it
// returns an error and the caller must request the full state.
//
// Replies may arrive out of order, and one upstream may lag behind another that was
// contacted earlier. Every part of the state is ordered by a number that only the
// replicated log increases. A part that is not newer is ignored, so a daemon's state
// never goes back.
func mergeReply(v *View, r *wire.SyncReply) (*View, error) {
	next := *v
	if err := mergeConfig(&next, r); err != nil {
		return v, err
	}
	if err := mergeMembership(&next, r); err != nil {
		return v, err
	}
	next.InForce = max(next.InForce, r.GetInForce())
	next.OlderVersions = versionsFrom(next.OlderVersions, next.InForce)
	sameTree := next.ConfigVersion == v.ConfigVersion && next.ConfigDigest == v.ConfigDigest
	sameMembers := next.Settled == v.Settled && next.Pending == v.Pending
	if sameTree && sameMembers && next.InForce == v.InForce {
		return v, nil
	}
	next.cache = v.cache.successor(v, &next)
	return &next, nil
}

// covers reports whether v is at least as new as the state described by a reply.
func covers(v *View, r *wire.SyncReply) bool {
	return v.Tree != nil && v.ConfigVersion >= r.GetConfigVersion() &&
		epochOf(v.Settled) >= r.GetSettledEpoch() &&
		v.Epoch() >= max(r.GetSettledEpoch(), r.GetPendingEpoch())
}

func mergeConfig(v *View, r *wire.SyncReply) error {
	if len(r.GetSnapshot()) > 0 {
		return applySnapshot(v, r)
	}
	for _, d := range r.GetDeltas() {
		if d.GetVersion() <= v.ConfigVersion {
			continue
		}
		if err := applyDelta(v, d); err != nil {
			return err
		}
	}
	if r.GetConfigVersion() > v.ConfigVersion {
		return errors.Wrapf(errStateGap, "version %d is stated, %d is reached", r.GetConfigVersion(), v.ConfigVersion)
	}
	hasDigest := r.GetConfigDigest() != 0 // a control VM that is not the leader sends no digest
	if hasDigest && r.GetConfigVersion() == v.ConfigVersion && v.Tree != nil && r.GetConfigDigest() != v.ConfigDigest {
		return errors.Wrapf(errDigestMismatch, "version %d", v.ConfigVersion)
	}
	return nil
}

// applySnapshot replaces the tree. The versions in between are unknown, so View.Share
// returns 0 until InForce has reached the version of the snapshot.
func applySnapshot(v *View, r *wire.SyncReply) error {
	same := r.GetConfigVersion() == v.ConfigVersion && r.GetConfigDigest() == v.ConfigDigest
	if r.GetConfigVersion() < v.ConfigVersion || (same && v.Tree != nil) {
		return nil
	}
	t, err := settings.Decode(r.GetSnapshot())
	if err != nil {
		return errors.Wrapf(err, "relay: snapshot of version %d", r.GetConfigVersion())
	}
	if t.Digest() != r.GetConfigDigest() {
		return errors.Wrapf(errDigestMismatch, "snapshot of version %d", r.GetConfigVersion())
	}
	v.Tree, v.ConfigVersion, v.ConfigDigest, v.OlderVersions = t, r.GetConfigVersion(), r.GetConfigDigest(), nil
	return nil
}

func applyDelta(v *View, d *wire.TreeDelta) error {
	if v.Tree == nil || d.GetVersion() != v.ConfigVersion+1 {
		return errors.Wrapf(errStateGap, "change %d after version %d", d.GetVersion(), v.ConfigVersion)
	}
	t := v.Tree.Replay(d.GetVersion(), settings.EditsFromWire(d.GetEdits()))
	if t.Digest() != d.GetDigest() {
		return errors.Wrapf(errDigestMismatch, "change %d", d.GetVersion())
	}
	older := make([]VersionedTree, len(v.OlderVersions), len(v.OlderVersions)+1)
	copy(older, v.OlderVersions)
	v.OlderVersions = append(older, VersionedTree{Number: v.ConfigVersion, Tree: v.Tree})
	v.Tree, v.ConfigVersion, v.ConfigDigest = t, d.GetVersion(), d.GetDigest()
	return nil
}

// mergeMembership applies a newer settled or pending membership. The daemon has
// acknowledged the smaller shares of a pending membership, so only a settled
// membership that is at least as new replaces it.
func mergeMembership(v *View, r *wire.SyncReply) error {
	if settled := r.GetSettledEpoch(); settled > epochOf(v.Settled) {
		m, err := settledMembership(v, r)
		if err != nil {
			return err
		}
		v.Settled = m
		if v.Pending != nil && v.Pending.Epoch <= settled {
			v.Pending = nil
		}
	}
	stale := r.GetSettledEpoch() < epochOf(v.Settled) || r.GetPendingEpoch() <= v.Epoch()
	if r.GetPendingEpoch() == 0 || stale {
		return nil
	}
	m, err := vm.ApplyDelta(v.Settled, r.GetPending())
	if err != nil {
		return err
	}
	if m.Epoch != r.GetPendingEpoch() {
		return errors.Wrapf(errStateGap, "reply is for pending epoch %d, its delta leads to %d", r.GetPendingEpoch(), m.Epoch)
	}
	v.Pending = m
	return nil
}

func settledMembership(v *View, r *wire.SyncReply) (*vm.Membership, error) {
	if v.Pending != nil && v.Pending.Epoch == r.GetSettledEpoch() {
		return v.Pending, nil
	}
	m, err := vm.ApplyDelta(v.Settled, r.GetSettled())
	if err != nil {
		return nil, err
	}
	if m.Epoch != r.GetSettledEpoch() {
		return nil, errors.Wrapf(errStateGap, "reply is for settled epoch %d, its delta leads to %d", r.GetSettledEpoch(), m.Epoch)
	}
	return m, nil
}

// versionsFrom returns the versions that are not lower than number. It does not modify
// vs.
func versionsFrom(vs []VersionedTree, number uint64) []VersionedTree {
	for len(vs) > 0 && vs[0].Number < number {
		vs = vs[1:]
	}
	return vs
}
