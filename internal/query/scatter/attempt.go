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
type attemptResult struct {
	attempt
	hits []contract.Hit
	err  *contract.Error
}

// remoteReplica is the replica index of an attempt that another home sends.
const remoteReplica = -1

// inFlightAttempt is an attempt that has not ended.
type inFlightAttempt struct {
	id        uint32
	cancel    context.CancelFunc
	replica   int // index in replicas, or remoteReplica
	cancelled bool
}

// begin records an attempt as in flight and returns its context.
func (s *shardRun) begin(id uint32, replica int) context.Context {
	ctx, cancel := context.WithCancel(s.ctx)
	s.guard.recordSend()
	s.inFlight = append(s.inFlight, inFlightAttempt{id: id, cancel: cancel, replica: replica})
	return ctx
}

// end removes an attempt that has ended.
func (s *shardRun) end(id uint32) {
	at := slices.IndexFunc(s.inFlight, func(f inFlightAttempt) bool { return f.id == id })
	s.inFlight[at].cancel()
	s.inFlight = slices.Delete(s.inFlight, at, at+1)
}

// cancelOldest cancels the oldest attempt so that its slot at the leaf becomes free, and
// makes its replica available to the next attempt. It reports whether there was an attempt
// to cancel.
func (s *shardRun) cancelOldest() bool {
	for i := range s.inFlight {
		f := &s.inFlight[i]
		if f.cancelled {
			continue
		}
		f.cancelled = true
		f.cancel()
		if f.replica != remoteReplica {
			s.tried &^= 1 << f.replica
		}
		return true
	}
	return false
}

// send starts one attempt. The result is sent to s.results.
func (s *shardRun) send(a reservation, hedge bool) {
	s.sent++
	id := s.attemptID()
	s.tried |= 1 << a.index
	ctx := s.begin(id, a.index)
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
		s.results <- attemptResult{attempt{id: id, hedge: hedge}, hits, err}
	}()
}

// attemptID returns the number of the latest attempt. Attempts of this home and those
// borrowed from other homes share one sequence.
func (s *shardRun) attemptID() uint32 { return s.job.AttemptBase + uint32(s.sent+s.borrowed) }

// perform sends req and returns the hits of a valid reply. The Sender returns the permit.
func (s *shardRun) perform(ctx context.Context, leaf settings.Leaf, req *contract.LeafRequest, permit *admit.Permit) ([]contract.Hit, *contract.Error) {
	s.g.meter.attempts.Inc(1)
	began := s.g.clock()
	reply, err := s.g.sender.Send(ctx, leaf, req, permit)
	elapsed := s.g.clock().Sub(began)
	if err != nil {
		e := attemptError(err)
		if e.Verdict != contract.NotRun && ctx.Err() != nil {
			s.g.latency.Observe(elapsed)
		}
		switch {
		case e.Reason == contract.ReasonWrongReply:
			s.g.meter.wrongReply.Inc(1)
		case e.Reason == contract.ReasonNoLiveTarget && e.Verdict == contract.NotRun:
			s.g.notHeld.add(shardKey{leaf.Addr, req.IndexVersion, req.Shard}, s.g.clock())
		}
		return nil, e
	}
	if !reply.Matches(req) {
		s.g.meter.wrongReply.Inc(1)
		return nil, &contract.Error{Verdict: contract.MayHaveRun, Reason: contract.ReasonWrongReply}
	}
	s.g.latency.Observe(elapsed)
	s.g.meter.reply.Update(elapsed)
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
