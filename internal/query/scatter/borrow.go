package scatter

import (
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"pearmoor/internal/contract"
	"pearmoor/internal/vm"
)

const (
	maxConcurrentBorrows = 2                    // per shard: its first attempt and a hedge
	borrowPauseStep      = 2 * time.Millisecond // added to the pause for each consecutive refusal
	maxBorrowsPerShard   = 64                   // total per shard
	maxBorrowPauseSteps  = 8                    // longest pause, as a multiple of borrowPauseStep
)

// borrowBackoff limits how often other homes are asked in vain: each consecutive refusal
// lengthens the pause before another home is asked again. Under overload no home has a free
// permit, and every shard would make a call in vain.
type borrowBackoff struct {
	notBefore atomic.Int64 // vm.Instant
	refusals  atomic.Int32 // consecutive refusals
}

func (l *borrowBackoff) ready(now vm.Instant) bool { return now >= vm.Instant(l.notBefore.Load()) }

func (l *borrowBackoff) refused(now vm.Instant) {
	n := min(l.refusals.Add(1), maxBorrowPauseSteps)
	l.notBefore.Store(int64(now.Add(time.Duration(n) * borrowPauseStep)))
}

func (l *borrowBackoff) granted() { l.refusals.Store(0) }

// borrow asks another home to send the request of the shard with a free permit there, and
// reports whether it asked. The result is sent to s.results.
//
// Each home has only a share of a leaf's slots, often a single one, so requests could queue
// at one home while slots of another are idle. Asking other homes before queueing makes them
// serve almost like one pool.
func (s *shardRun) borrow(hedge bool) bool {
	if s.job.Lender == nil || s.borrowed >= maxBorrowsPerShard || !s.g.borrowBackoff.ready(s.g.clock()) {
		return false
	}
	base := s.attemptID()
	s.borrowed++
	id := s.attemptID()
	ctx := s.begin(id, remoteReplica)
	avoid := s.triedAddrs()
	s.g.pending.Add(1)
	go func() {
		defer s.g.pending.Done()
		began := s.g.clock()
		hits, err := s.job.Lender.Lend(ctx, s.job, s.shard, base, avoid)
		result := attemptResult{attempt: attempt{id: id, hedge: hedge, borrowed: true}, hits: hits}
		if err != nil {
			result.err = attemptError(err)
		} else {
			s.g.latency.Observe(s.g.clock().Sub(began))
		}
		s.g.borrowBackoff.record(result, s.g.clock())
		s.results <- result
	}()
	return true
}

// triedAddrs returns the addresses of the replicas in s.tried.
func (s *shardRun) triedAddrs() []string {
	var addrs []string
	for i, leaf := range s.replicas {
		if s.tried&(1<<i) != 0 {
			addrs = append(addrs, leaf.Addr)
		}
	}
	return addrs
}

func (l *borrowBackoff) record(result attemptResult, now vm.Instant) {
	switch {
	case result.borrowRefused():
		l.refused(now)
	case result.err == nil:
		l.granted()
	}
}

// borrowRefused reports whether another home had no free permit and sent nothing.
func (d *attemptResult) borrowRefused() bool {
	return d.borrowed && d.err != nil && d.err.Verdict == contract.NotRun
}

// handleBorrowRefused continues at this home after another home had no free permit.
func (s *shardRun) handleBorrowRefused(result attemptResult) (ShardResult, bool) {
	if result.hedge {
		s.extraSends.Add(-1)
		s.queueHedge()
		return s.retryOrFinish()
	}
	if len(s.inFlight) > 0 || s.hedgePermits != nil {
		return ShardResult{}, false
	}
	if s.ctx.Err() != nil {
		return s.missing(contract.ReasonDeadline), true
	}
	ranked := s.g.rank(s.rankBuf[:0], s.replicas, s.tried, int(s.g.rotation.Add(1)))
	if len(ranked) == 0 {
		return s.missing(contract.ReasonNoLiveTarget), true
	}
	if err := s.queueAndSend(ranked); err != nil {
		return s.missing(err.Reason), true
	}
	return ShardResult{}, false
}

// errNoFreePermit is the cause of the refusal of an immediate job.
var errNoFreePermit = errors.New("no permit is free")
