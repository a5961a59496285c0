package scatter

import (
	"time"

	"pearmoor/internal/admit"
)

// dropRoom is how many thresholds must be left until the deadline for a straggler
// to be cancelled before another attempt has its place.
const dropRoom = 4

// straggle is called each threshold that passes without a reply. The first time
// it hedges. When the hedge gets no permit, or straggles as well, the oldest
// attempt is cancelled and its slot used again.
//
// Two stragglers that hold all slots of a home wait for each other's slot, and
// everything behind them waits too, for as long as the faster of them takes: one
// such pair in a service made the tail of every query that touched it.
func (s *shardRun) straggle() {
	if !s.job.Repeatable || s.job.Immediate || s.job.Canary || len(s.flights) == 0 || s.guard.holds() {
		return
	}
	if s.hedges != nil {
		if s.hasRoom() {
			s.drop()
		}
		return
	}
	second := len(s.flights) > 1
	if s.sent >= s.maxAttempts() || (second && !s.hasRoom()) || !s.g.hedges.Spend() {
		return
	}
	if second {
		s.drop()
	}
	s.startHedge()
}

func (s *shardRun) hasRoom() bool {
	at, ok := s.ctx.Deadline()
	return !ok || time.Until(at) >= dropRoom*s.hedgeDelay()
}

// startHedge sends the request once more, paid for from the budget: with a free
// permit here, else with one of another home, else after a wait. The straggler
// goes on meanwhile.
func (s *shardRun) startHedge() {
	if a, ok := s.takeFree(s.g.rank(s.buf[:0], s.holders, s.tried, 0)); ok {
		s.sendHedge(a)
		return
	}
	if s.borrow(true) {
		s.extra.Add(1)
		return
	}
	s.waitHedge()
}

// waitHedge begins to wait for a permit at another replica.
//
// The wait goes before that of first attempts. Were a hedge to take only a permit
// that nobody waits for, hedges would end just when they are needed: a straggler
// keeps its slot for long, which makes a queue at the other replica, which keeps
// the hedge out. The hedge gives back more than it takes, since the straggler is
// cancelled when it wins.
func (s *shardRun) waitHedge() {
	ranked := s.g.rank(nil, s.holders, s.tried, 0)
	if len(ranked) == 0 || s.hedges != nil {
		s.g.hedges.Refund()
		return
	}
	s.hedges = make(chan acquired)
	go s.acquireHedge(ranked, s.hedges)
}

// acquireHedge delivers a permit for a hedge, none if it is refused, or gives it
// back when the shard has been answered meanwhile.
func (s *shardRun) acquireHedge(ranked []choice, to chan<- acquired) {
	a, err := s.acquireAt(s.ctx, ranked, admit.Ask{Priority: s.job.Priority, Order: s.job.Order, Hedge: true})
	if err != nil {
		a = acquired{}
		s.g.hedges.Refund()
	}
	select {
	case to <- a:
	case <-s.ctx.Done():
		if a.permit != nil {
			a.permit.Release()
			s.g.hedges.Refund()
		}
	}
}

// hedgeGranted ends the wait of a hedge.
func (s *shardRun) hedgeGranted(a acquired) (Shard, bool) {
	s.hedges = nil
	if a.permit == nil {
		return s.goOn()
	}
	s.sendHedge(a)
	return Shard{}, false
}

func (s *shardRun) sendHedge(a acquired) {
	s.extra.Add(1)
	s.g.meter.hedges.Inc(1)
	s.send(a, true)
}
