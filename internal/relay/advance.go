package relay

import (
	"github.com/cockroachdb/errors"

	"pearmoor/internal/link/wire"
	"pearmoor/internal/settings"
	"pearmoor/internal/vm"
)

// The reasons for which a reply's state is not taken.
var (
	errDigest = errors.New("relay: the tree's digest differs from the one stated")
	errGap    = errors.New("relay: the reply's state does not continue what is known")
)

// advance returns the view that a reply makes of v; v itself when the reply holds
// nothing newer. A reply whose state can't be joined to v is an error, and the
// whole state has to be asked for.
//
// Replies cross, and a source may lag behind one asked before. Every part of the
// state is ordered by a number that only the agreed log raises, and a part that
// is not newer is left out, so a daemon never goes back whatever it is sent.
func advance(v *View, r *wire.SyncReply) (*View, error) {
	next := *v
	if err := advanceConfig(&next, r); err != nil {
		return v, err
	}
	if err := advanceMembers(&next, r); err != nil {
		return v, err
	}
	next.InForce = max(next.InForce, r.GetInForce())
	next.Older = dropBefore(next.Older, next.InForce)
	sameTree := next.ConfigVersion == v.ConfigVersion && next.ConfigDigest == v.ConfigDigest
	sameMembers := next.Settled == v.Settled && next.Pending == v.Pending
	if sameTree && sameMembers && next.InForce == v.InForce {
		return v, nil
	}
	next.placements = v.placements.follow(v, &next)
	return &next, nil
}

// covers reports whether v is at least as new as the state a reply states.
func covers(v *View, r *wire.SyncReply) bool {
	return v.Tree != nil && v.ConfigVersion >= r.GetConfigVersion() &&
		epochOf(v.Settled) >= r.GetSettledEpoch() &&
		v.Epoch() >= max(r.GetSettledEpoch(), r.GetPendingEpoch())
}

func advanceConfig(v *View, r *wire.SyncReply) error {
	if len(r.GetSnapshot()) > 0 {
		return takeSnapshot(v, r)
	}
	for _, d := range r.GetDeltas() {
		if d.GetVersion() <= v.ConfigVersion {
			continue
		}
		if err := takeDelta(v, d); err != nil {
			return err
		}
	}
	if r.GetConfigVersion() > v.ConfigVersion {
		return errors.Wrapf(errGap, "version %d is stated, %d is reached", r.GetConfigVersion(), v.ConfigVersion)
	}
	statesTree := r.GetConfigDigest() != 0 // a VM that does not lead states none
	if statesTree && r.GetConfigVersion() == v.ConfigVersion && v.Tree != nil && r.GetConfigDigest() != v.ConfigDigest {
		return errors.Wrapf(errDigest, "version %d", v.ConfigVersion)
	}
	return nil
}

// takeSnapshot replaces the tree. The versions between are not known, so shares
// stay 0 until InForce has reached the snapshot's version; see View.Share.
func takeSnapshot(v *View, r *wire.SyncReply) error {
	same := r.GetConfigVersion() == v.ConfigVersion && r.GetConfigDigest() == v.ConfigDigest
	if r.GetConfigVersion() < v.ConfigVersion || (same && v.Tree != nil) {
		return nil
	}
	t, err := settings.Decode(r.GetSnapshot())
	if err != nil {
		return errors.Wrapf(err, "relay: snapshot of version %d", r.GetConfigVersion())
	}
	if t.Digest() != r.GetConfigDigest() {
		return errors.Wrapf(errDigest, "snapshot of version %d", r.GetConfigVersion())
	}
	v.Tree, v.ConfigVersion, v.ConfigDigest, v.Older = t, r.GetConfigVersion(), r.GetConfigDigest(), nil
	return nil
}

func takeDelta(v *View, d *wire.TreeDelta) error {
	if v.Tree == nil || d.GetVersion() != v.ConfigVersion+1 {
		return errors.Wrapf(errGap, "change %d after version %d", d.GetVersion(), v.ConfigVersion)
	}
	t := v.Tree.Replay(d.GetVersion(), settings.EditsFromWire(d.GetEdits()))
	if t.Digest() != d.GetDigest() {
		return errors.Wrapf(errDigest, "change %d", d.GetVersion())
	}
	older := make([]Version, len(v.Older), len(v.Older)+1)
	copy(older, v.Older)
	v.Older = append(older, Version{Number: v.ConfigVersion, Tree: v.Tree})
	v.Tree, v.ConfigVersion, v.ConfigDigest = t, d.GetVersion(), d.GetDigest()
	return nil
}

// advanceMembers takes a newer settled or pending membership. A pending one is
// given up only for a settled one that is at least as new: the daemon has
// promised its smaller shares.
func advanceMembers(v *View, r *wire.SyncReply) error {
	if settled := r.GetSettledEpoch(); settled > epochOf(v.Settled) {
		m, err := settle(v, r)
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
	m, err := vm.Apply(v.Settled, r.GetPending())
	if err != nil {
		return err
	}
	if m.Epoch != r.GetPendingEpoch() {
		return errors.Wrapf(errGap, "pending epoch %d is stated, the delta leads to %d", r.GetPendingEpoch(), m.Epoch)
	}
	v.Pending = m
	return nil
}

func settle(v *View, r *wire.SyncReply) (*vm.Membership, error) {
	if v.Pending != nil && v.Pending.Epoch == r.GetSettledEpoch() {
		return v.Pending, nil
	}
	m, err := vm.Apply(v.Settled, r.GetSettled())
	if err != nil {
		return nil, err
	}
	if m.Epoch != r.GetSettledEpoch() {
		return nil, errors.Wrapf(errGap, "settled epoch %d is stated, the delta leads to %d", r.GetSettledEpoch(), m.Epoch)
	}
	return m, nil
}

// dropBefore returns the versions from number on; vs stays unchanged.
func dropBefore(vs []Version, number uint64) []Version {
	for len(vs) > 0 && vs[0].Number < number {
		vs = vs[1:]
	}
	return vs
}
