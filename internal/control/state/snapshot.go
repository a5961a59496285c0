package state

import (
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"pearmoor/internal/link/wire"
	"pearmoor/internal/settings"
	"pearmoor/internal/vm"
)

// Encode returns a snapshot of the state.
func (s *State) Encode() ([]byte, error) {
	out := &wire.ControlState{
		Version: s.version, Tree: s.tree.Encode(), Digest: s.tree.Digest(),
		Settled: vm.MembershipToWire(s.settled), Pending: vm.MembershipToWire(s.pending),
		LastEpoch: s.lastEpoch,
		InForce:   s.inForce, LeaseBoundMs: uint32(s.leaseBound / time.Millisecond),
		LastUnixMs: s.lastUnixMS,
	}
	for _, change := range s.recent.list {
		out.Steps = append(out.Steps, &wire.ChangeStep{Record: change.record, Digest: change.digest})
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(out)
}

// Decode decodes a snapshot made by Encode. Empty input decodes to the state before
// the first entry.
func Decode(b []byte) (*State, error) {
	s := New()
	if len(b) == 0 {
		return s, nil
	}
	var in wire.ControlState
	if err := proto.Unmarshal(b, &in); err != nil {
		return nil, errors.Wrap(err, "state: cannot decode snapshot")
	}
	tree, err := settings.Decode(in.Tree)
	if err != nil {
		return nil, errors.Wrap(err, "state: cannot decode the settings tree of the snapshot")
	}
	if got := tree.Digest(); got != in.Digest {
		return nil, errors.Newf("state: settings tree of the snapshot has digest %x, expected %x; this program decodes the tree differently from the one that wrote it", got, in.Digest)
	}
	s.tree, s.version, s.inForce = tree, in.Version, in.InForce
	if in.Settled != nil {
		s.settled = vm.MembershipFromWire(in.Settled)
	}
	s.pending = vm.MembershipFromWire(in.Pending)
	s.lastEpoch = in.LastEpoch
	for _, change := range in.Steps {
		s.recent.add(change.Record, change.Digest)
	}
	s.leaseBound = max(time.Duration(in.LeaseBoundMs)*time.Millisecond, tree.Tier().DaemonLease)
	s.lastUnixMS = in.LastUnixMs
	return s, nil
}
