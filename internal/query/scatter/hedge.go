package scatter

import (
	"time"

	"pearmoor/internal/admit"
)

// minDelaysLeft is how many hedge delays must remain until the deadline for a straggler to
// be cancelled in favour of another attempt.
const minDelaysLeft = 4

// handleStraggler is called after each hedge delay without a reply. The first time it sends
// a hedge. If the hedge gets no permit or straggles as well, it cancels the oldest attempt
// and reuses its slot.
//
// Otherwise two stragglers that occupy all slots of a home would each wait for the other's
// slot, and all later requests would wait until the faster one ends. One such pair in one
// service determines the tail latency of every query to it.
func (s *shardRun) handleStraggler() {
	if !s.job.Repeatable || s.job.Immediate || s.job.Canary || len(s.inFlight) == 0 || s.guard.restricts() {
		return
	}
	if s.hedgePermits != nil {
		if s.hasTimeLeft() {
			s.cancelOldest()
		}
		return
	}
	second := len(s.inFlight) > 1
	if s.sent >= s.maxAttempts() || (second && !s.hasTimeLeft()) || !s.g.hedges.Spend() {
		return
	}
	if second {
		s.cancelOldest()
	}
	s.startHedge()
}

// hasTimeLeft reports whether minDelaysLeft hedge delays remain until the deadline.
func (s *shardRun) hasTimeLeft() bool {
	at, ok := s.ctx.Deadline()
	return !ok || time.Until(at) >= minDelaysLeft*s.hedgeDelay()
}

// startHedge sends the request once more, charged to the hedge budget: with a free permit
// here, else with one of another home, else after a wait. The straggler continues meanwhile.
func (s *shardRun) startHedge() {
	if a, ok := s.tryAcquire(s.g.rank(s.rankBuf[:0], s.replicas, s.tried, 0)); ok {
		s.sendHedge(a)
		return
	}
	if s.borrow(true) {
		s.extraSends.Add(1)
		return
	}
	s.queueHedge()
}

// queueHedge starts to wait for a permit at another replica.
//
// A hedge has precedence over first attempts in the queue. If hedges used only permits that
// nobody waits for, hedging would stop when it is needed most: a straggler occupies its slot
// for a long time, so a queue forms at the other replica and keeps the hedge out. A hedge
// frees more capacity than it uses, because the straggler is cancelled when the hedge wins.
func (s *shardRun) queueHedge() {
	ranked := s.g.rank(nil, s.replicas, s.tried, 0)
	if len(ranked) == 0 || s.hedgePermits != nil {
		s.g.hedges.Refund()
		return
	}
	s.hedgePermits = make(chan reservation)
	go s.acquireHedge(ranked, s.hedgePermits)
}

// acquireHedge delivers a permit for a hedge, or a reservation without permit if it is
// refused. It returns the permit if the shard has been answered meanwhile.
func (s *shardRun) acquireHedge(ranked []candidate, granted chan<- reservation) {
	a, err := s.acquire(s.ctx, ranked, admit.PermitRequest{Priority: s.job.Priority, ShedRank: s.job.ShedOrder, Hedge: true})
	if err != nil {
		a = reservation{}
		s.g.hedges.Refund()
	}
	select {
	case granted <- a:
	case <-s.ctx.Done():
		if a.permit != nil {
			a.permit.Release()
			s.g.hedges.Refund()
		}
	}
}

// handleHedgePermit sends the hedge that waited, if it got a permit.
func (s *shardRun) handleHedgePermit(a reservation) (ShardResult, bool) {
	s.hedgePermits = nil
	if a.permit == nil {
		return s.retryOrFinish()
	}
	s.sendHedge(a)
	return ShardResult{}, false
}

func (s *shardRun) sendHedge(a reservation) {
	s.extraSends.Add(1)
	s.g.meter.hedges.Inc(1)
	s.send(a, true)
}
