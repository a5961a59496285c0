package scatter

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"

	"pearmoor/internal/admit"
	"pearmoor/internal/contract"
	"pearmoor/internal/settings"
)

// attempt is one send of the request for one shard.
type attempt struct {
	id       uint32
	hedge    bool
	borrowed bool // sent by another home
}

// attemptResult is the result of an ended attempt; err is nil if it succeeded.
type attemptDone struct {
	attempt
	hits []contract.Hit
	err  *contract.Error
}

// remoteReplica is the replica index of an attempt that another home sends.
const notHere = -1

// inFlightAttempt is an attempt that has not ended.
type flight struct {
	id      uint32
	cancel  context.CancelFunc
	replica int // index in replicas, or remoteReplica
	dropped bool
}

// begin records an attempt as in flight and returns its context.
func (s *shardRun) launch(id uint32, replica int) context.Context {
	ctx, cancel := context.WithCancel(s.ctx)
	s.guard.sent()
	s.flights = append(s.flights, flight{id: id, cancel: cancel, replica: replica})
	return ctx
}

// end removes an attempt that has ended.
func (s *shardRun) landed(id uint32) {
	at := slices.IndexFunc(s.flights, func(f flight) bool { return f.id == id })
	s.flights[at].cancel()
	s.flights = slices.Delete(s.flights, at, at+1)
}

// cancelOldest cancels the oldest attempt so that its slot at the leaf becomes free, and
// makes its replica available to the next attempt. It reports whether there was an attempt
// to cancel.
func (s *shardRun) drop() bool {
	for i := range s.flights {
		f := &s.flights[i]
		if f.dropped {
			continue
		}
		f.dropped = true
		f.cancel()
		if f.replica != notHere {
			s.tried &^= 1 << f.replica
		}
		return true
	}
	return false
}

// send starts one attempt. The result is sent to s.results.
func (s *shardRun) send(a acquired, hedge bool) {
	s.sent++
	id := s.attemptNumber()
	s.tried |= 1 << a.index
	ctx := s.launch(id, a.index)
	req := &contract.LeafRequest{
		ID:           s.job.ID,
		Attempt:      id,
		Service:      s.job.Service,
		Shard:        s.shard,
		IndexVersion: s.job.Version,
		Repeatable:   s.job.Repeatable,
		Body:         s.job.Body,
	}
	s.g.pending.Add(1)
	go func() {
		defer s.g.pending.Done()
		hits, err := s.perform(ctx, a.leaf, req, a.permit)
		s.results <- attemptDone{attempt{id: id, hedge: hedge}, hits, err}
	}()
}

// attemptID returns the number of the latest attempt. Attempts of this home and those
// borrowed from other homes share one sequence.
func (s *shardRun) attemptNumber() uint32 { return s.job.AttemptBase + uint32(s.sent+s.asked) }

// perform sends req and returns the hits of a valid reply. The Sender returns the permit.
func (s *shardRun) perform(ctx context.Context, leaf settings.Leaf, req *contract.LeafRequest, permit *admit.Permit) ([]contract.Hit, *contract.Error) {
	s.g.meter.attempts.Inc(1)
	began := s.g.clock()
	reply, err := s.g.sender.Send(ctx, leaf, req, permit)
	took := s.g.clock().Sub(began)
	if err != nil {
		e := attemptError(err)
		if e.Verdict != contract.NotRun && ctx.Err() != nil {
			s.g.latency.Observe(took)
		}
		switch {
		case e.Reason == contract.ReasonWrongReply:
			s.g.meter.wrongReply.Inc(1)
		case e.Reason == contract.ReasonNoReplica && e.Verdict == contract.NotRun:
			s.g.declines.add(held{leaf.Addr, req.IndexVersion, req.Shard}, s.g.clock())
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

// attemptError returns the typed error of a Sender. After an untyped error the request may
// have run.
func attemptError(err error) *contract.Error {
	var e *contract.Error
	if errors.As(err, &e) {
		return e
	}
	return &contract.Error{Verdict: contract.MayHaveRun, Reason: contract.ReasonTargetFailed, Cause: err}
}
