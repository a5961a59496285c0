package control

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"pearmoor/internal/link/peer"
	"pearmoor/internal/link/wire"
	"pearmoor/internal/route"
	"pearmoor/internal/settings"
)

// maxReleaseAttempts is how often a release is merged into the tree when operators change
// the tree at the same time.
const maxReleaseAttempts = 16

// PutRelease implements wire.DRPCControlServer. A release with a higher number than the
// release in the settings tree becomes a change of the tree. Any other release, including
// a resend, changes nothing, and the reply contains the number of the current release.
func (s *operatorServer) PutRelease(ctx context.Context, req *wire.ReleaseRequest) (*wire.ReleaseReply, error) {
	if err := s.checkGroup(req.Group, "a release", "a daemon"); err != nil {
		return nil, err
	}
	redirect, err := s.leaderRedirect()
	if err != nil || redirect != "" {
		return &wire.ReleaseReply{Redirect: redirect}, err
	}
	release := &route.Release{}
	if err := json.Unmarshal(req.Release, release); err != nil {
		return nil, peer.Permanent(errors.Wrap(err, "control: release can't be read"))
	}
	if err := release.Validate(); err != nil {
		return &wire.ReleaseReply{Faults: settings.FaultsToWire(err)}, nil
	}
	// Releases are merged one at a time: concurrent ones would be based on the same
	// version, so that all but one would conflict and have to be retried.
	select {
	case s.releaseSem <- struct{}{}:
		defer func() { <-s.releaseSem }()
	case <-ctx.Done():
		return nil, peer.Retryable(errors.Wrap(ctx.Err(), "control: other releases are being put"))
	}
	return s.putRelease(ctx, req, release)
}

func (s *operatorServer) putRelease(ctx context.Context, req *wire.ReleaseRequest, release *route.Release) (*wire.ReleaseReply, error) {
	for range maxReleaseAttempts {
		tree, version, err := s.treeAt(0)
		if err != nil {
			return nil, err
		}
		if held, ok := route.ReleaseNumber(tree); ok && release.Number <= held {
			return &wire.ReleaseReply{Held: held}, nil
		}
		reply, err := s.change(ctx, &wire.ChangeRequest{
			ChangeId:    fmt.Sprintf("release-%d-%x-%d", release.Number, xxhash.Sum64(req.Release), version),
			BaseVersion: version,
			Edits:       settings.EditsToWire(route.Edits(tree, release)),
			Reason:      fmt.Sprintf("release %d", release.Number),
			Operator:    req.Operator,
		})
		if err != nil {
			if redirected, rerr := s.redirectIfNotProposed(err); rerr == nil && redirected.Redirect != "" {
				return &wire.ReleaseReply{Redirect: redirected.Redirect}, nil
			}
			return nil, err
		}
		switch reply.Outcome {
		case wire.Outcome_ACCEPTED:
			return &wire.ReleaseReply{Held: release.Number, Changed: true}, nil
		case wire.Outcome_INVALID:
			klog.Errorf("control: release %d is valid and its change is not: %v", release.Number, reply.Faults)
			return &wire.ReleaseReply{Faults: reply.Faults}, nil
		}
	}
	return nil, peer.Retryable(errors.Newf("control: release %d lost %d races with operators' changes; send it again", release.Number, maxReleaseAttempts))
}

// releaseFaults returns the faults of an operator's edits after which daemons could not
// decode the release. The schema of the settings does not cover the syntax of lists.
func (s *operatorServer) releaseFaults(req *wire.ChangeRequest) []*wire.Fault {
	edits := settings.Canonical(settings.EditsFromWire(req.Edits))
	if !slices.ContainsFunc(edits, func(e settings.Edit) bool { return route.IsReleasePath(e.Path) }) {
		return nil
	}
	tree, version, err := s.treeAt(0)
	if err != nil {
		return nil // the change itself reports it
	}
	next, err := tree.Apply(version+1, edits)
	if err != nil {
		return nil // as above
	}
	var undecodable *route.DecodeError
	if _, err := route.FromTree(next); errors.As(err, &undecodable) {
		return []*wire.Fault{{Field: undecodable.Path, Why: undecodable.Err.Error(), Fix: "correct the list"}}
	}
	return nil
}

// Newest implements wire.DRPCControlServer. It returns the version and digest of the newest
// settings tree. Only a confirmed leader answers, so no newer tree has been acknowledged.
// The tree itself is not part of the reply: daemons receive it through Sync, compressed and
// as deltas, while sending a large tree with each read over a slow link would exceed the
// time limit of the call.
func (s *operatorServer) Newest(_ context.Context, req *wire.NewestRequest) (*wire.NewestReply, error) {
	if err := s.checkGroup(req.Group, "a question for the newest configuration", "a daemon"); err != nil {
		return nil, err
	}
	redirect, err := s.leaderRedirect()
	if err != nil || redirect != "" {
		return &wire.NewestReply{Redirect: redirect}, err
	}
	tree, version, err := s.treeAt(0)
	if err != nil {
		return nil, err
	}
	out := &wire.NewestReply{Version: version, Digest: tree.Digest(), Group: s.GroupID().Wire()}
	if held, ok := route.ReleaseNumber(tree); ok {
		out.Held = &held
	}
	return out, s.confirmLeadership()
}
