package scatter

import (
	"context"

	"github.com/cockroachdb/errors"

	"pearmoor/internal/admit"
	"pearmoor/internal/contract"
)

// acquired is a permit at a replica.
type acquired struct {
	choice
	permit *admit.Permit
}

// acquireAt gets a permit at one of the replicas ranked: at once where one is free,
// the cheapest first, else from whichever queue gives one first.
//
// Waiting in one queue only would tie the attempt to the replica that looked best
// on arrival; a straggler that takes a slot there for long is not known yet then,
// and the attempt would wait for it while the other replica stands idle.
func (s *shardRun) acquireAt(ctx context.Context, ranked []choice, ask admit.Ask) (acquired, *contract.Error) {
	if a, ok := s.takeFree(ranked); ok {
		return a, nil
	}
	addrs := make([]string, len(ranked))
	for i := range ranked {
		addrs[i] = ranked[i].leaf.Addr
	}
	permit, at, err := s.g.gates.AcquireAny(ctx, addrs, ask)
	if err != nil {
		return acquired{}, refusalOf(ctx, err)
	}
	return acquired{ranked[at], permit}, nil
}

// takeFree takes a free permit at a replica that is not much slower than the best.
func (s *shardRun) takeFree(ranked []choice) (acquired, bool) {
	for _, c := range ranked {
		if c.cost() > detourFactor*ranked[0].cost() {
			break
		}
		if permit, ok := s.g.gates.TryAcquire(c.leaf.Addr); ok {
			return acquired{c, permit}, true
		}
	}
	return acquired{}, false
}

// refusalOf types an error of Acquire: nothing was sent.
func refusalOf(ctx context.Context, err error) *contract.Error {
	var e *contract.Error
	if errors.As(err, &e) {
		return e
	}
	if ctx.Err() != nil {
		return contract.Refuse(contract.ReasonDeadline, err)
	}
	return contract.Refuse(contract.ReasonOverload, err)
}
