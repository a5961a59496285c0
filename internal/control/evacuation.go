package control

import (
	"context"
	"fmt"
	"math/rand/v2"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"pearmoor/internal/evacuation"
	"pearmoor/internal/link/peer"
	"pearmoor/internal/link/wire"
	"pearmoor/internal/settings"
)

// maxEvacuationAttempts is how often an order is attempted when other changes of the tree
// are accepted at the same time.
const maxEvacuationAttempts = 32

// Evacuate implements wire.DRPCControlServer. It returns after the order has been committed.
func (s *operatorServer) Evacuate(ctx context.Context, req *wire.EvacuationRequest) (*wire.EvacuationReply, error) {
	if err := s.checkGroup(req.Group, "an evacuation order", "a daemon"); err != nil {
		return nil, err
	}
	redirect, err := s.leaderRedirect()
	if err != nil || redirect != "" {
		return &wire.EvacuationReply{Redirect: redirect}, err
	}
	if req.Domain == "" || len(req.Domain) > maxNameBytes {
		return nil, peer.Permanent(errors.Newf("control: the name of a failure domain has 1 to %d bytes, not %d", maxNameBytes, len(req.Domain)))
	}
	order := evacuation.Order{Domain: req.Domain, Evacuate: req.Evacuate, SeenVersion: req.SeenVersion}
	for range maxEvacuationAttempts {
		tree, version, err := s.treeAt(0)
		if err != nil {
			return nil, err
		}
		current := evacuation.FromTree(tree)[req.Domain]
		if !current.Accepts(order) {
			klog.Warningf("control: evacuation order refused as outdated domain=%q evacuate=%v seen=%d newest=%d", req.Domain, req.Evacuate, req.SeenVersion, current.Revision)
			return &wire.EvacuationReply{Outdated: true, Version: current.Revision}, nil
		}
		reply, err := s.change(ctx, &wire.ChangeRequest{
			ChangeId:    fmt.Sprintf("evacuation-%d-%x", version, rand.Uint64()),
			BaseVersion: version,
			Edits:       settings.EditsToWire(evacuation.Edits(req.Domain, req.Evacuate, version+1)),
			Reason:      evacuationReason(order),
			Operator:    req.Operator,
		})
		if err != nil {
			if redirected, rerr := s.redirectIfNotProposed(err); rerr == nil && redirected.Redirect != "" {
				return &wire.EvacuationReply{Redirect: redirected.Redirect}, nil
			}
			return nil, err
		}
		switch reply.Outcome {
		case wire.Outcome_ACCEPTED:
			klog.Infof("control: evacuation order accepted domain=%q evacuate=%v before=%v seen=%d version=%d", req.Domain, req.Evacuate, current.Evacuated, req.SeenVersion, reply.Version)
			return &wire.EvacuationReply{Version: reply.Version}, nil
		case wire.Outcome_INVALID:
			return nil, peer.Permanent(errors.Newf("control: change for the evacuation order is invalid: %v", reply.Faults))
		}
	}
	return nil, peer.Retryable(errors.Newf("control: the evacuation order lost %d races with other changes; send it again", maxEvacuationAttempts))
}

func evacuationReason(o evacuation.Order) string {
	if o.Evacuate {
		return "evacuate failure domain " + o.Domain
	}
	return "end the evacuation of failure domain " + o.Domain
}
