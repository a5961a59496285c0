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

// acquire gets a permit at one of the replicas not tried: at once where one is
// free, the cheapest first, else from whichever queue gives one first.
//
// Waiting in one queue only would tie the attempt to the replica that looked best
// on arrival; a straggler that takes a slot there for long is not known yet then,
// and the attempt would wait for it while the other replica stands idle.
func (s *shardRun) acquire() (acquired, *contract.Error) {
	ranked := s.g.rank(s.buf[:0], s.holders, s.tried, int(s.g.turn.Add(1)))
	if len(ranked) == 0 {
		return acquired{}, contract.Refuse(contract.ReasonNoReplica, nil)
	}
	return s.acquireAt(ranked, admit.Ask{Priority: s.job.Priority, Order: s.job.Order})
}

func (s *shardRun) acquireAt(ranked []choice, ask admit.Ask) (acquired, *contract.Error) {
	if a, ok := s.takeFree(ranked); ok {
		return a, nil
	}
	addrs := make([]string, len(ranked))
	for i := range ranked {
		addrs[i] = ranked[i].leaf.Addr
	}
	permit, at, err := s.g.gates.AcquireAny(s.ctx, addrs, ask)
	if err != nil {
		return acquired{}, refusalOf(s.ctx, err)
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
