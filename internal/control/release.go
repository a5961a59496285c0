package control

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"pearmoor/internal/link/peer"
	"pearmoor/internal/link/wire"
	"pearmoor/internal/route"
	"pearmoor/internal/settings"
)

// maxReleaseTries bounds how often a release is laid over a tree that operators
// change meanwhile.
const maxReleaseTries = 16

// PutRelease implements wire.DRPCControlServer. A release with a number above the
// one held becomes a change of the settings tree; any other changes nothing, and
// the reply says which one is held. A resend is such another one, whether the
// first reply was lost or not.
func (s *operatorServer) PutRelease(ctx context.Context, req *wire.ReleaseRequest) (*wire.ReleaseReply, error) {
	redirect, err := s.toLeader()
	if err != nil || redirect != "" {
		return &wire.ReleaseReply{Redirect: redirect}, err
	}
	rel := &route.Release{}
	if err := json.Unmarshal(req.Release, rel); err != nil {
		return nil, peer.Permanent(errors.Wrap(err, "control: release can't be read"))
	}
	if err := rel.Validate(); err != nil {
		return &wire.ReleaseReply{Faults: settings.FaultsToWire(err)}, nil
	}
	// One at a time: two that are laid over the same tree would lose the race of
	// their base versions in turn.
	select {
	case s.releases <- struct{}{}:
		defer func() { <-s.releases }()
	case <-ctx.Done():
		return nil, peer.NotDone(errors.Wrap(ctx.Err(), "control: other releases are being put"))
	}
	return s.putRelease(ctx, req, rel)
}

func (s *operatorServer) putRelease(ctx context.Context, req *wire.ReleaseRequest, rel *route.Release) (*wire.ReleaseReply, error) {
	for range maxReleaseTries {
		tree, version, err := s.treeAt(0)
		if err != nil {
			return nil, err
		}
		if held, ok := route.HeldNumber(tree); ok && rel.Number <= held {
			return &wire.ReleaseReply{Held: held}, nil
		}
		reply, err := s.change(ctx, &wire.ChangeRequest{
			ChangeId:    fmt.Sprintf("release-%d-%x-%d", rel.Number, xxhash.Sum64(req.Release), version),
			BaseVersion: version,
			Edits:       settings.EditsToWire(route.Edits(tree, rel)),
			Reason:      fmt.Sprintf("release %d", rel.Number),
			Operator:    req.Operator,
		})
		if err != nil {
			if moved, rerr := s.redirected(err); rerr == nil && moved.Redirect != "" {
				return &wire.ReleaseReply{Redirect: moved.Redirect}, nil
			}
			return nil, err
		}
		switch reply.Outcome {
		case wire.Outcome_ACCEPTED:
			return &wire.ReleaseReply{Held: rel.Number, Changed: true}, nil
		case wire.Outcome_INVALID:
			klog.Errorf("control: release %d is valid and its change is not: %v", rel.Number, reply.Faults)
			return &wire.ReleaseReply{Faults: reply.Faults}, nil
		}
	}
	return nil, peer.NotDone(errors.Newf("control: release %d lost %d races with operators' changes; send it again", rel.Number, maxReleaseTries))
}

// Newest implements wire.DRPCControlServer. It answers only on a leader that is sure to
// lead, so no newer tree has been acknowledged by anybody. The tree itself comes to every
// daemon by Sync, packed and as changes: sent with each read, a long one would not come over
// a narrow link within a call's limit.
func (s *operatorServer) Newest(context.Context, *wire.NewestRequest) (*wire.NewestReply, error) {
	redirect, err := s.toLeader()
	if err != nil || redirect != "" {
		return &wire.NewestReply{Redirect: redirect}, err
	}
	tree, version, err := s.treeAt(0)
	if err != nil {
		return nil, err
	}
	out := &wire.NewestReply{Version: version, Digest: tree.Digest()}
	if held, ok := route.HeldNumber(tree); ok {
		out.Held = &held
	}
	return out, s.confirm()
}
