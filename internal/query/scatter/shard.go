package scatter

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"pearmoor/internal/admit"
	"pearmoor/internal/contract"
	"pearmoor/internal/settings"
)

const (
	hedgesAtATime = 1                    // beside the first attempt
	shortestRound = 5 * time.Millisecond // between two rounds over the same replicas
	longestPause  = time.Minute
)

// attempt is one send of one shard's request.
type attempt struct {
	leaf  settings.Leaf
	hedge bool
}

type attemptDone struct {
	attempt
	hits []contract.Hit
	err  *contract.Error
}

// shardRun drives the attempts of one shard; only its own goroutine uses it.
type shardRun struct {
	*run
	shard    uint32
	holders  []settings.Leaf
	ctx      context.Context
	cancel   context.CancelFunc // of all attempts
	results  chan attemptDone
	hedges   chan acquired // nil while no hedge waits for a permit
	sent     int
	inFlight int
	tried    uint64 // bit by index in holders
	verdict  contract.Verdict
	last     contract.Error // of the attempt that failed last
	buf      [4]choice
}

func newShardRun(r *run, shard uint32) *shardRun {
	holders := r.job.Holders[shard]
	if len(holders) > maxReplicas {
		holders = holders[:maxReplicas]
	}
	s := &shardRun{run: r, shard: shard, holders: holders, verdict: contract.NotRun}
	s.ctx, s.cancel = context.WithCancel(r.ctx)
	s.results = make(chan attemptDone, s.maxAttempts())
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
			s.inFlight--
			if d.err == nil {
				return s.answered(d)
			}
			s.failed(d)
			if s.inFlight > 0 {
				continue
			}
			if reason, ok := s.retry(); !ok {
				return s.missing(reason)
			}
			timer.Reset(s.hedgeDelay())
		case <-timer.C:
			s.queueHedge()
			timer.Reset(s.hedgeDelay())
		case a := <-s.hedges:
			s.hedge(a)
		case <-s.ctx.Done():
			return s.expired()
		}
	}
}

// expired ends the shard at its deadline. The attempts end at once as well; their
// results tell whether they had been sent, and one may just have been a reply.
func (s *shardRun) expired() Shard {
	for ; s.inFlight > 0; s.inFlight-- {
		d := <-s.results
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
	if s.inFlight > 0 {
		v = v.Join(contract.MayHaveRun)
	}
	return Shard{Reason: reason, Verdict: v}
}

// start queues for a permit at the best replica and sends there.
func (s *shardRun) start() *contract.Error {
	a, err := s.acquire()
	if err != nil {
		s.noteRetryAfter(err.RetryAfter)
		return err
	}
	s.send(a.choice, a.permit, false)
	return nil
}

// retry sends again after all attempts have failed, if the verdict, the budget
// and the time left allow it. It returns why not.
func (s *shardRun) retry() (contract.Reason, bool) {
	if s.ctx.Err() != nil {
		return contract.ReasonDeadline, false
	}
	if !s.job.Repeatable && s.verdict != contract.NotRun {
		return s.last.Reason, false
	}
	free := s.untried() && costless(&s.last)
	if s.sent >= s.maxAttempts() || !s.anotherRound() {
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

// queueHedge begins to wait for a permit at another replica, if the request is
// repeatable and the budget allows it. The straggler goes on meanwhile.
//
// The wait goes before that of first attempts. Were it to take only a permit that
// nobody waits for, hedges would end just when they are needed: a straggler keeps
// its slot for long, which makes a queue at the other replica, which keeps the
// hedge out. The hedge gives back more than it takes, since the straggler is
// cancelled when it wins.
func (s *shardRun) queueHedge() {
	if !s.job.Repeatable || s.hedges != nil || s.inFlight == 0 || s.inFlight > hedgesAtATime || s.sent >= s.maxAttempts() || !s.untried() {
		return
	}
	if !s.g.hedges.Spend() {
		return
	}
	ranked := s.g.rank(nil, s.holders, s.tried, 0)
	s.hedges = make(chan acquired)
	go s.acquireHedge(ranked, s.hedges)
}

// acquireHedge delivers a permit for a hedge, or gives it back when the shard has
// been answered meanwhile.
func (s *shardRun) acquireHedge(ranked []choice, to chan<- acquired) {
	a, err := s.acquireAt(ranked, admit.Ask{Priority: s.job.Priority, Order: s.job.Order, Hedge: true})
	if err != nil {
		s.g.hedges.Refund()
		return
	}
	select {
	case to <- a:
	case <-s.ctx.Done():
		a.permit.Release()
		s.g.hedges.Refund()
	}
}

// hedge sends the straggling request to another replica as well.
func (s *shardRun) hedge(a acquired) {
	s.hedges = nil
	if s.inFlight == 0 {
		a.permit.Release()
		s.g.hedges.Refund()
		return
	}
	s.extra.Add(1)
	s.g.meter.hedges.Inc(1)
	s.send(a.choice, a.permit, true)
}

// send starts one attempt; its result arrives on s.results.
func (s *shardRun) send(c choice, permit *admit.Permit, hedge bool) {
	s.tried |= 1 << c.index
	s.sent++
	s.inFlight++
	req := &contract.LeafRequest{
		ID:           s.job.ID,
		Attempt:      s.job.AttemptBase + uint32(s.sent),
		Service:      s.job.Service,
		Shard:        s.shard,
		IndexVersion: s.job.Version,
		Repeatable:   s.job.Repeatable,
		Body:         s.job.Body,
	}
	s.g.pending.Add(1)
	go func() {
		defer s.g.pending.Done()
		hits, err := s.perform(c.leaf, req, permit)
		s.results <- attemptDone{attempt{c.leaf, hedge}, hits, err}
	}()
}

// perform sends req; the Sender gives the permit back.
func (s *shardRun) perform(leaf settings.Leaf, req *contract.LeafRequest, permit *admit.Permit) ([]contract.Hit, *contract.Error) {
	s.g.meter.attempts.Inc(1)
	began := s.g.clock()
	reply, err := s.g.sender.Send(s.ctx, leaf, req, permit)
	took := s.g.clock().Sub(began)
	if err != nil {
		e := attemptError(err)
		if e.Verdict != contract.NotRun && s.ctx.Err() != nil {
			s.g.latency.Observe(took)
		}
		if e.Reason == contract.ReasonWrongReply {
			s.g.meter.wrongReply.Inc(1)
		}
		return nil, e
	}
	if !reply.Matches(req) {
		s.g.meter.wrongReply.Inc(1)
		return nil, &contract.Error{Verdict: contract.MayHaveRun, Reason: contract.ReasonWrongReply}
	}
	s.g.latency.Observe(took)
	s.g.meter.reply.Update(took)
	return reply.Hits, nil
}

// attemptError types the error of a Sender; one that is not typed may have run.
func attemptError(err error) *contract.Error {
	var e *contract.Error
	if errors.As(err, &e) {
		return e
	}
	return &contract.Error{Verdict: contract.MayHaveRun, Reason: contract.ReasonTargetFailed, Cause: err}
}
