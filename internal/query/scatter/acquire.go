package scatter

import (
	"context"

	"github.com/cockroachdb/errors"

	"pearmoor/internal/admit"
	"pearmoor/internal/contract"
)

// reservation is a permit to send to a replica.
type reservation struct {
	candidate
	permit *admit.Permit
}

// acquire gets a permit at one of the ranked replicas: the first free one in order of cost,
// or else the first that any of their queues grants.
//
// Waiting in a single queue would tie the attempt to the replica that was cheapest on
// arrival. If a straggler later occupies a slot there, the attempt would wait for it while
// another replica is idle.
func (s *shardRun) acquire(ctx context.Context, ranked []candidate, ask admit.PermitRequest) (reservation, *contract.Error) {
	if a, ok := s.tryAcquire(ranked); ok {
		return a, nil
	}
	addrs := make([]string, len(ranked))
	for i := range ranked {
		addrs[i] = ranked[i].leaf.Addr
	}
	permit, at, err := s.g.gates.AcquireAny(ctx, addrs, ask)
	if err != nil {
		return reservation{}, refusalOf(ctx, err)
	}
	return reservation{ranked[at], permit}, nil
}

// tryAcquire takes a free permit at a replica whose cost is at most maxCostRatio times that
// of the cheapest one.
func (s *shardRun) tryAcquire(ranked []candidate) (reservation, bool) {
	for _, c := range ranked {
		if c.cost() > maxCostRatio*ranked[0].cost() {
			break
		}
		if permit, ok := s.g.gates.TryAcquire(c.leaf.Addr); ok {
			return reservation{c, permit}, true
		}
	}
	return reservation{}, false
}

// refusalOf converts an error of AcquireAny, after which nothing was sent, to a typed
// refusal.
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
