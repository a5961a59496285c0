package scatter

import (
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"pearmoor/internal/contract"
	"pearmoor/internal/vm"
)

const (
	borrowsAtATime = 2                    // per shard: its first attempt and a hedge
	borrowPause    = 2 * time.Millisecond // added to the pause for each consecutive refusal
	maxAsked       = 64                   // total per shard
	borrowBackoff  = 8                    // longest pause, as a multiple of borrowPauseStep
)

// borrowBackoff limits requests to other homes that would be refused: each consecutive
// refusal lengthens the pause until the next one. Under overload no home has a free permit,
// and every shard would make a call in vain.
type lending struct {
	notBefore atomic.Int64 // vm.Instant
	refusals  atomic.Int32 // consecutive refusals
}

func (l *lending) open(now vm.Instant) bool { return now >= vm.Instant(l.notBefore.Load()) }

func (l *lending) refused(now vm.Instant) {
	n := min(l.refusals.Add(1), borrowBackoff)
	l.notBefore.Store(int64(now.Add(time.Duration(n) * borrowPause)))
}

func (l *lending) granted() { l.refusals.Store(0) }

// borrow asks another home to send the request of the shard with a free permit there, and
// reports whether it asked. The result is sent to s.results.
//
// Each home has only a share of a leaf's slots, often a single one, so requests could queue
// at one home while slots of another are idle. Asking other homes before queueing makes them
// serve almost like one pool.
func (s *shardRun) borrow(hedge bool) bool {
	if s.job.Lender == nil || s.asked >= maxAsked || !s.g.lending.open(s.g.clock()) {
		return false
	}
	base := s.attemptNumber()
	s.asked++
	id := s.attemptNumber()
	ctx := s.launch(id, notHere)
	avoid := s.triedAddrs()
	s.g.pending.Add(1)
	go func() {
		defer s.g.pending.Done()
		began := s.g.clock()
		hits, err := s.job.Lender.Lend(ctx, s.job, s.shard, base, avoid)
		d := attemptDone{attempt: attempt{id: id, hedge: hedge, borrowed: true}, hits: hits}
		if err != nil {
			d.err = attemptError(err)
		} else {
			s.g.latency.Observe(s.g.clock().Sub(began))
		}
		s.g.lending.note(d, s.g.clock())
		s.results <- d
	}()
	return true
}

// triedAddrs returns the addresses of the replicas in s.tried.
func (s *shardRun) triedAddrs() []string {
	var addrs []string
	for i, h := range s.holders {
		if s.tried&(1<<i) != 0 {
			addrs = append(addrs, h.Addr)
		}
	}
	return addrs
}

func (l *lending) note(d attemptDone, now vm.Instant) {
	switch {
	case d.declined():
		l.refused(now)
	case d.err == nil:
		l.granted()
	}
}

// borrowRefused reports whether another home had no free permit and sent nothing.
func (d *attemptDone) declined() bool {
	return d.borrowed && d.err != nil && d.err.Verdict == contract.NotRun
}

// handleBorrowRefused continues at this home after another home had no free permit.
func (s *shardRun) declined(d attemptDone) (Shard, bool) {
	if d.hedge {
		s.extra.Add(-1)
		s.waitHedge()
		return s.goOn()
	}
	if len(s.flights) > 0 || s.hedges != nil {
		return Shard{}, false
	}
	if s.ctx.Err() != nil {
		return s.missing(contract.ReasonDeadline), true
	}
	ranked := s.g.rank(s.buf[:0], s.holders, s.tried, int(s.g.turn.Add(1)))
	if len(ranked) == 0 {
		return s.missing(contract.ReasonNoReplica), true
	}
	if err := s.queue(ranked); err != nil {
		return s.missing(err.Reason), true
	}
	return Shard{}, false
}

// errNoFreePermit is the cause of the refusal of an immediate job.
var errDeclined = errors.New("no permit is free")
