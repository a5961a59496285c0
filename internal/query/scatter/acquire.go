package scatter

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"pearmoor/internal/admit"
	"pearmoor/internal/contract"
)

type acquired struct {
	permit *admit.Permit
	err    error
}

// acquire gets a permit at the replica with the least expected cost: at once
// where one is free, else by queueing. A refused queue leads to the next one;
// the error is that of the last.
func (s *shardRun) acquire() (choice, *admit.Permit, *contract.Error) {
	ranked := s.g.rank(s.buf[:0], s.holders, s.tried, int(s.g.turn.Add(1)))
	if len(ranked) == 0 {
		return choice{}, nil, contract.Refuse(contract.ReasonNoReplica, nil)
	}
	if c, permit, ok := s.takeFree(ranked); ok {
		return c, permit, nil
	}
	var refused *contract.Error
	for _, c := range ranked {
		at, permit, err := s.queue(c, ranked)
		if err == nil {
			return at, permit, nil
		}
		refused = shorter(refused, refusalOf(s.ctx, err))
		if s.ctx.Err() != nil {
			break
		}
	}
	return choice{}, nil, refused
}

// takeFree takes a free permit at a replica that is not much slower than the best.
func (s *shardRun) takeFree(ranked []choice) (choice, *admit.Permit, bool) {
	for _, c := range ranked {
		if c.cost() > detourFactor*ranked[0].cost() {
			break
		}
		if permit, ok := s.g.gates.TryAcquire(c.leaf.Addr); ok {
			return c, permit, true
		}
	}
	return choice{}, nil, false
}

// queue waits at c, and leaves the queue for a replica that has become free.
// Nothing has been sent yet, so that moving is no extra attempt and safe for a
// request that is not repeatable.
func (s *shardRun) queue(c choice, ranked []choice) (choice, *admit.Permit, error) {
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	got := make(chan acquired, 1)
	go func() {
		permit, err := s.g.gates.Acquire(ctx, c.leaf.Addr, s.job.Priority)
		got <- acquired{permit, err}
	}()
	ticker := time.NewTicker(s.hedgeDelay())
	defer ticker.Stop()
	for {
		select {
		case a := <-got:
			return c, a.permit, a.err
		case <-ticker.C:
			other, permit, ok := s.takeFree(without(ranked, c.index))
			if !ok {
				continue
			}
			cancel()
			if a := <-got; a.err == nil {
				a.permit.Release()
			}
			s.g.meter.rerouted.Inc(1)
			return other, permit, nil
		}
	}
}

func without(ranked []choice, index int) []choice {
	rest := make([]choice, 0, len(ranked))
	for _, c := range ranked {
		if c.index != index {
			rest = append(rest, c)
		}
	}
	return rest
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

// shorter returns the refusal with the sooner RetryAfter.
func shorter(a, b *contract.Error) *contract.Error {
	if a == nil || (b.RetryAfter > 0 && (a.RetryAfter == 0 || b.RetryAfter < a.RetryAfter)) {
		return b
	}
	return a
}
