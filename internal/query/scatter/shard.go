package scatter

import (
	"context"
	"slices"
	"time"

	"pearmoor/internal/admit"
	"pearmoor/internal/contract"
	"pearmoor/internal/settings"
)

const (
	minRoundPause = 5 * time.Millisecond // minimum pause between two rounds over the same replicas
	maxRoundPause = time.Minute
)

// shardRun drives the attempts of one shard. Only its own goroutine uses it.
type shardRun struct {
	*jobRun
	shard        uint32
	replicas     []settings.Leaf
	ctx          context.Context
	cancel       context.CancelFunc // cancels all attempts
	results      chan attemptResult
	hedgePermits chan reservation  // delivers the permit of a hedge; nil while none waits
	inFlight     []inFlightAttempt // in the order in which they were sent
	sent         int               // attempts of this home
	borrowed     int               // attempts that another home was asked for
	tried        uint64            // bit set by index in replicas
	verdict      contract.Verdict  // joined over all ended attempts
	lastErr      contract.Error    // of the last failed attempt
	rankBuf      [4]candidate      // avoids an allocation in rank
}

func newShardRun(r *jobRun, shard uint32) *shardRun {
	replicas := r.job.Replicas[shard]
	if len(replicas) > maxReplicas {
		replicas = replicas[:maxReplicas]
	}
	s := &shardRun{jobRun: r, shard: shard, replicas: replicas, verdict: contract.NotRun}
	s.ctx, s.cancel = context.WithCancel(r.ctx)
	for i := range replicas {
		if slices.Contains(r.job.AvoidAddrs, replicas[i].Addr) {
			s.tried |= 1 << i
		}
	}
	s.results = make(chan attemptResult, s.maxAttempts()+maxConcurrentBorrows)
	return s
}

// maxAttempts bounds the attempts at one shard, whatever the budgets allow.
func (s *shardRun) maxAttempts() int { return 2 * len(s.replicas) }

// execute runs the shard until it has a result. Attempts still in flight are cancelled.
func (s *shardRun) execute() ShardResult {
	defer s.cancel()
	if len(s.replicas) == 0 {
		return s.missing(contract.ReasonNoLiveTarget)
	}
	s.g.hedges.Primary()
	s.g.retries.Primary()
	if err := s.start(); err != nil {
		return s.missing(err.Reason)
	}
	return s.wait()
}

// wait handles results until one succeeds or nothing more may be sent.
func (s *shardRun) wait() ShardResult {
	timer := time.NewTimer(s.hedgeDelay())
	defer timer.Stop()
	for {
		select {
		case d := <-s.results:
			if out, ended := s.handleResult(d); ended {
				return out
			}
			timer.Reset(s.hedgeDelay())
		case <-timer.C:
			s.handleStraggler()
			timer.Reset(s.hedgeDelay())
		case a := <-s.hedgePermits:
			if out, ended := s.handleHedgePermit(a); ended {
				return out
			}
			timer.Reset(s.hedgeDelay())
		case <-s.ctx.Done():
			return s.finishExpired()
		}
	}
}

// handleResult handles the end of one attempt and reports whether the shard is finished.
func (s *shardRun) handleResult(result attemptResult) (ShardResult, bool) {
	s.end(result.id)
	s.guard.recordResult(&result)
	if result.err == nil {
		return s.answered(result), true
	}
	if result.borrowRefused() {
		return s.handleBorrowRefused(result)
	}
	s.recordFailure(result)
	return s.retryOrFinish()
}

// retryOrFinish retries if no attempt is in flight and no hedge waits, and finishes the
// shard if no retry is possible.
func (s *shardRun) retryOrFinish() (ShardResult, bool) {
	if len(s.inFlight) > 0 || s.hedgePermits != nil {
		return ShardResult{}, false
	}
	if reason, ok := s.retry(); !ok {
		return s.missing(reason), true
	}
	return ShardResult{}, false
}

// finishExpired finishes the shard at its deadline. The attempts in flight end at once as
// well. Their results show whether they had been sent, and one may still be a success.
func (s *shardRun) finishExpired() ShardResult {
	for len(s.inFlight) > 0 {
		result := <-s.results
		s.end(result.id)
		s.guard.recordResult(&result)
		if result.err == nil {
			return s.answered(result)
		}
		s.recordFailure(result)
	}
	return s.missing(contract.ReasonDeadline)
}

func (s *shardRun) answered(result attemptResult) ShardResult {
	if result.hedge {
		s.g.meter.hedgesWon.Inc(1)
	}
	return ShardResult{Answered: true, Hits: result.hits, Verdict: contract.Ran}
}

func (s *shardRun) recordFailure(result attemptResult) {
	s.verdict = s.verdict.Combine(result.err.Verdict)
	s.lastErr = *result.err
	s.recordRetryAfter(result.err.RetryAfter)
}

// missing returns the result of a shard that was not answered. An attempt still in flight
// may have run.
func (s *shardRun) missing(reason contract.Reason) ShardResult {
	v := s.verdict
	if len(s.inFlight) > 0 {
		v = v.Combine(contract.MayHaveRun)
	}
	return ShardResult{Reason: reason, Verdict: v}
}

// start sends the first attempt, or the next one after all earlier attempts have failed. It
// uses a free permit of this home. If there is none, it asks another home to send, and
// otherwise waits in the queue.
func (s *shardRun) start() *contract.Error {
	ranked := s.g.rank(s.rankBuf[:0], s.replicas, s.tried, int(s.g.rotation.Add(1)))
	if len(ranked) == 0 {
		return contract.Refuse(contract.ReasonNoLiveTarget, nil)
	}
	if a, ok := s.tryAcquire(ranked); ok {
		s.send(a, false)
		return nil
	}
	if s.job.Immediate {
		return contract.Refuse(contract.ReasonOverload, errNoFreePermit)
	}
	if s.borrow(false) {
		return nil
	}
	return s.queueAndSend(ranked)
}

// queueAndSend waits for a permit and sends. The queues here may be blocked by stragglers,
// so another home is asked again after each hedge delay. Queues are ordered by deadline, so
// leaving one and joining it again loses no position.
func (s *shardRun) queueAndSend(ranked []candidate) *contract.Error {
	ask := admit.PermitRequest{Priority: s.job.Priority, ShedRank: s.job.ShedOrder}
	for {
		ctx, cancel := s.queueContext()
		a, err := s.acquire(ctx, ranked, ask)
		delayElapsed := ctx.Err() != nil && s.ctx.Err() == nil
		cancel()
		switch {
		case err == nil:
			s.send(a, false)
			return nil
		case !delayElapsed:
			s.recordRetryAfter(err.RetryAfter)
			return err
		case s.borrow(false):
			return nil
		}
	}
}

// queueContext returns a context that ends after a hedge delay if there is another home to
// ask. It keeps the shard's deadline, from which the queues decide whether the expected wait
// is acceptable.
func (s *shardRun) queueContext() (context.Context, context.CancelFunc) {
	if s.job.Lender == nil {
		return s.ctx, func() {}
	}
	ctx, cancel := context.WithCancel(s.ctx)
	timer := time.AfterFunc(s.hedgeDelay(), cancel)
	return ctx, func() {
		timer.Stop()
		cancel()
	}
}

// retry sends again after all attempts have failed, if the verdict, the budget and the
// remaining time allow it. Otherwise it returns the reason.
func (s *shardRun) retry() (contract.Reason, bool) {
	if s.ctx.Err() != nil {
		return contract.ReasonDeadline, false
	}
	if s.job.Immediate || s.job.Canary || (!s.job.Repeatable && s.verdict != contract.NotRun) {
		return s.lastErr.Reason, false
	}
	exempt := s.hasUntried() && exemptFromBudget(&s.lastErr)
	if s.sent >= s.maxAttempts() || !s.nextRound() {
		return s.lastErr.Reason, false
	}
	if !s.guard.waitToSend(s.ctx) {
		return s.lastErr.Reason, false
	}
	if !exempt && !s.g.retries.Spend() {
		return contract.ReasonRetryBudget, false
	}
	if err := s.start(); err != nil {
		return s.lastErr.Reason, false
	}
	s.extraSends.Add(1)
	s.g.meter.retries.Inc(1)
	return "", true
}

// exemptFromBudget reports whether the retry after a failed attempt is not charged to the
// budget: the attempt was not sent, or the target does not hold the shard. The budget limits
// the load of extra attempts, and such an attempt causes almost none. If it were charged,
// the loss of one replica could use up the budget, and shards that the other replica holds
// would be missing. Only the first attempt at each replica is exempt, which bounds the
// number.
func exemptFromBudget(e *contract.Error) bool {
	return e.Verdict == contract.NotRun && e.Reason != contract.ReasonTargetRefused
}

// hasUntried reports whether a replica has not been tried in this round.
func (s *shardRun) hasUntried() bool { return s.tried != uint64(1)<<len(s.replicas)-1 }

// nextRound reports whether a replica is left to try. If all have been tried and the goal is
// coverage, it waits for a pause and makes all of them available again.
func (s *shardRun) nextRound() bool {
	if s.hasUntried() {
		return true
	}
	if s.job.Goal != settings.Coverage {
		return false
	}
	pause := s.roundPause()
	if at, ok := s.ctx.Deadline(); ok && time.Until(at) <= pause+s.g.latency.Median() {
		return false
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.ctx.Done():
		return false
	}
	s.tried = 0
	return true
}

// roundPause returns the time until the first replica is expected to be free.
func (s *shardRun) roundPause() time.Duration {
	shortest := maxRoundPause
	for _, leaf := range s.replicas {
		shortest = min(shortest, s.g.gates.Load(leaf.Addr).ExpectedWait)
	}
	return max(shortest, minRoundPause)
}
