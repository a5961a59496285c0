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
	shortestRound = 5 * time.Millisecond // between two rounds over the same replicas
	longestPause  = time.Minute
)

// shardRun drives the attempts of one shard; only its own goroutine uses it.
type shardRun struct {
	*run
	shard   uint32
	holders []settings.Leaf
	ctx     context.Context
	cancel  context.CancelFunc // of all attempts
	results chan attemptDone
	hedges  chan acquired // nil while no hedge waits for a permit
	flights []flight      // in the order they were sent
	sent    int           // attempts of this home
	asked   int           // attempts that another home was asked for
	tried   uint64        // bit by index in holders
	verdict contract.Verdict
	last    contract.Error // of the attempt that failed last
	buf     [4]choice
}

func newShardRun(r *run, shard uint32) *shardRun {
	holders := r.job.Holders[shard]
	if len(holders) > maxReplicas {
		holders = holders[:maxReplicas]
	}
	s := &shardRun{run: r, shard: shard, holders: holders, verdict: contract.NotRun}
	s.ctx, s.cancel = context.WithCancel(r.ctx)
	for i := range holders {
		if slices.Contains(r.job.Avoid, holders[i].Addr) {
			s.tried |= 1 << i
		}
	}
	s.results = make(chan attemptDone, s.maxAttempts()+borrowsAtATime)
	return s
}

// maxAttempts bounds the attempts of one shard, whatever the budgets allow.
func (s *shardRun) maxAttempts() int { return 2 * len(s.holders) }

// do runs the shard to its outcome. Attempts still in flight are cancelled.
func (s *shardRun) do() Shard {
	defer s.cancel()
	if len(s.holders) == 0 {
		return s.missing(contract.ReasonNoReplica)
	}
	s.g.hedges.Primary()
	s.g.retries.Primary()
	if err := s.start(); err != nil {
		return s.missing(err.Reason)
	}
	return s.wait()
}

// wait collects attempts until one succeeds or nothing more may be sent.
func (s *shardRun) wait() Shard {
	timer := time.NewTimer(s.hedgeDelay())
	defer timer.Stop()
	for {
		select {
		case d := <-s.results:
			if out, ended := s.take(d); ended {
				return out
			}
			timer.Reset(s.hedgeDelay())
		case <-timer.C:
			s.straggle()
			timer.Reset(s.hedgeDelay())
		case a := <-s.hedges:
			if out, ended := s.hedgeGranted(a); ended {
				return out
			}
			timer.Reset(s.hedgeDelay())
		case <-s.ctx.Done():
			return s.expired()
		}
	}
}

// take handles the end of one attempt and reports whether it ends the shard.
func (s *shardRun) take(d attemptDone) (Shard, bool) {
	s.landed(d.id)
	s.guard.landed(&d)
	if d.err == nil {
		return s.answered(d), true
	}
	if d.declined() {
		return s.declined(d)
	}
	s.failed(d)
	return s.goOn()
}

// goOn retries when nothing is under way any more, and ends the shard when that
// can't be.
func (s *shardRun) goOn() (Shard, bool) {
	if len(s.flights) > 0 || s.hedges != nil {
		return Shard{}, false
	}
	if reason, ok := s.retry(); !ok {
		return s.missing(reason), true
	}
	return Shard{}, false
}

// expired ends the shard at its deadline. The attempts end at once as well; their
// results tell whether they had been sent, and one may just have been a reply.
func (s *shardRun) expired() Shard {
	for len(s.flights) > 0 {
		d := <-s.results
		s.landed(d.id)
		s.guard.landed(&d)
		if d.err == nil {
			return s.answered(d)
		}
		s.failed(d)
	}
	return s.missing(contract.ReasonDeadline)
}

func (s *shardRun) answered(d attemptDone) Shard {
	if d.hedge {
		s.g.meter.hedgesWon.Inc(1)
	}
	return Shard{Answered: true, Hits: d.hits, Verdict: contract.Ran}
}

func (s *shardRun) failed(d attemptDone) {
	s.verdict = s.verdict.Join(d.err.Verdict)
	s.last = *d.err
	s.noteRetryAfter(d.err.RetryAfter)
}

// missing returns the outcome of a shard that did not answer. An attempt whose
// result is not known yet may have run.
func (s *shardRun) missing(reason contract.Reason) Shard {
	v := s.verdict
	if len(s.flights) > 0 {
		v = v.Join(contract.MayHaveRun)
	}
	return Shard{Reason: reason, Verdict: v}
}

// start sends the first attempt, or the next after all have failed: with a free
// permit here, else with one of another home, else after a wait in the queue.
func (s *shardRun) start() *contract.Error {
	ranked := s.g.rank(s.buf[:0], s.holders, s.tried, int(s.g.turn.Add(1)))
	if len(ranked) == 0 {
		return contract.Refuse(contract.ReasonNoReplica, nil)
	}
	if a, ok := s.takeFree(ranked); ok {
		s.send(a, false)
		return nil
	}
	if s.job.Immediate {
		return contract.Refuse(contract.ReasonOverload, errDeclined)
	}
	if s.borrow(false) {
		return nil
	}
	return s.queue(ranked)
}

// queue waits for a permit and sends. Where another home may have a free one, it
// is asked again each threshold: the queue here may stand still behind stragglers.
// Queues go by deadline, so that leaving one costs no place.
func (s *shardRun) queue(ranked []choice) *contract.Error {
	ask := admit.Ask{Priority: s.job.Priority, Order: s.job.Order}
	for {
		ctx, cancel := s.queueContext()
		a, err := s.acquireAt(ctx, ranked, ask)
		waited := ctx.Err() != nil && s.ctx.Err() == nil
		cancel()
		switch {
		case err == nil:
			s.send(a, false)
			return nil
		case !waited:
			s.noteRetryAfter(err.RetryAfter)
			return err
		case s.borrow(false):
			return nil
		}
	}
}

// queueContext ends after a threshold when there is another home to ask. It has
// the shard's deadline, by which the queues judge whether the wait fits.
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

// retry sends again after all attempts have failed, if the verdict, the budget
// and the time left allow it. It returns why not.
func (s *shardRun) retry() (contract.Reason, bool) {
	if s.ctx.Err() != nil {
		return contract.ReasonDeadline, false
	}
	if s.job.Immediate || s.job.Canary || (!s.job.Repeatable && s.verdict != contract.NotRun) {
		return s.last.Reason, false
	}
	free := s.untried() && costless(&s.last)
	if s.sent >= s.maxAttempts() || !s.anotherRound() {
		return s.last.Reason, false
	}
	if !s.guard.enter(s.ctx) {
		return s.last.Reason, false
	}
	if !free && !s.g.retries.Spend() {
		return contract.ReasonBudget, false
	}
	if err := s.start(); err != nil {
		return s.last.Reason, false
	}
	s.extra.Add(1)
	s.g.meter.retries.Inc(1)
	return "", true
}

// costless reports whether the failed attempt cost a target nothing worth
// bounding: it never left, or the target does not hold the shard. The budget
// stands for the load of extra attempts; were these charged, the loss of one
// replica would use it up and shards that the other replica holds would be
// missing. Each replica is tried once this way, which bounds it.
func costless(e *contract.Error) bool {
	return e.Verdict == contract.NotRun && e.Reason != contract.ReasonRefused
}

func (s *shardRun) untried() bool { return s.tried != uint64(1)<<len(s.holders)-1 }

// anotherRound reports whether a replica is left to try. When each has been
// tried, a query whose goal is coverage starts over once a pause has passed.
func (s *shardRun) anotherRound() bool {
	if s.untried() {
		return true
	}
	if s.job.Goal != settings.Coverage {
		return false
	}
	pause := s.shortestPause()
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

// shortestPause returns how long until the first replica is expected to be free.
func (s *shardRun) shortestPause() time.Duration {
	shortest := longestPause
	for _, h := range s.holders {
		shortest = min(shortest, s.g.gates.Load(h.Addr).Wait)
	}
	return max(shortest, shortestRound)
}
