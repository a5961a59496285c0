package forward

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"pearmoor/internal/contract"
	"pearmoor/internal/discovery"
	"pearmoor/internal/link/peer"
	"pearmoor/internal/link/target"
	"pearmoor/internal/policy"
	"pearmoor/internal/vm"
)

// maxAttempts returns the maximum number of runs of a repeatable request per shard.
func (r *run) maxAttempts() int { return max(1, r.entry.MaxAttempts) }

// launch sends to the best leaf of a shard. If there is no leaf, it schedules a retry.
func (r *run) launch(i int, hedge bool) {
	s := &r.shards[i]
	if !r.maySend() {
		if !hedge {
			s.held, s.unsendable, r.hasHeldShards = true, false, true
		}
		return
	}
	restricted := r.restrictions()
	leaves := restricted.leavesFor(r.e.cfg.Leaves.Snapshot(), s.service)
	leaf := r.choose(&restricted, leaves, s.tried)
	if leaf == nil {
		if hedge {
			return
		}
		s.hasLeaves = len(leaves) > 0
		r.scheduleRetry(s)
		return
	}
	s.hasLeaves = true
	r.sendTo(i, leaf, hedge)
}

// sendTo sends to a leaf. After the first send of the shard, it sends only if the budget
// allows it.
func (r *run) sendTo(i int, leaf *discovery.Leaf, hedge bool) {
	s := &r.shards[i]
	if s.reachedSends+len(s.pending) > 0 && !r.e.cfg.Budgets.Spend(s.service, hedge) {
		r.budgetDenials++
		if !hedge {
			r.handleBudgetDenied(s)
		}
		return
	}
	link := r.e.link(r.active, leaf)
	call := &target.Call{}
	r.recordStart(i, pendingSend{call: call, leaf: leaf})
	if hedge {
		r.hedgeCount++
	}
	r.e.sendPool.Run(sendTask{owner: r, request: &r.leafRequest, i: i, leaf: leaf, link: link, call: call})
}

// recordStart records a send as pending.
func (r *run) recordStart(i int, send pendingSend) {
	s := &r.shards[i]
	s.held = false
	r.suspicion.RecordSend()
	r.watchConnect(&send)
	s.pending = append(s.pending, send)
	s.tried = append(s.tried, send.leaf)
	s.totalSends++
	s.unsendable = false
	s.hasLeaves = true
	r.sendCount++
}

// scheduleRetry schedules a new round of attempts after all leaves of the shard have been
// tried. The wait increases with each round.
func (r *run) scheduleRetry(s *shard) {
	s.unsendable = true
	if s.totalSends >= policy.MaxSends {
		return
	}
	s.backoff = policy.RoundPause(s.backoff)
	s.retryAt = time.Now().Add(s.backoff)
	s.tried = nil
	for _, p := range s.pending {
		s.tried = append(s.tried, p.leaf)
	}
}

// stopSending prevents any further send for the shard.
func (s *shard) stopSending() { s.unsendable, s.totalSends = true, policy.MaxSends }

// handleBudgetDenied handles a retry that the budget does not allow. It schedules a later
// retry, unless a single request already has a failure reply, which is then the answer.
func (r *run) handleBudgetDenied(s *shard) {
	if !r.entry.IsGather() && r.lastReply != nil {
		s.stopSending()
		return
	}
	r.scheduleRetry(s)
}

// sendOwner receives the result of a send.
type sendOwner interface {
	deliver(result)
	// paceStats returns the usual reply time and the statistics to add the reply time to,
	// nil if there are none.
	paceStats() (usual time.Duration, pace *policy.LatencyEstimator)
}

// sendTask is one send of a request to a leaf.
type sendTask struct {
	owner   sendOwner
	request *target.Request
	i       int // index of the send, as the owner counts it
	leaf    *discovery.Leaf
	link    *target.Link
	call    *target.Call
}

// perform makes a send, records its outcome and delivers the result to the owner.
func (e *Engine) perform(s sendTask) {
	began := e.cfg.Tracker.Begin(s.leaf.RunID())
	reply, err := s.link.Do(s.call, s.request)
	took := e.cfg.Clock().Sub(began)
	outcome := outcomeOfError(err)
	if err == nil {
		outcome = outcomeOfReply(reply)
	}
	usual, pace := s.owner.paceStats()
	e.recordSend(sendOutcome{leaf: s.leaf, began: began, took: took, outcome: outcome, usual: usual, reply: reply, fault: err, pace: pace})
	s.owner.deliver(result{shard: s.i, call: s.call, leaf: s.leaf, reply: reply, err: err, took: took})
}

// sendOutcome is the outcome of a send, from which the health of the leaf is updated.
type sendOutcome struct {
	leaf      *discovery.Leaf
	began     vm.Instant
	took      time.Duration
	outcome   policy.Outcome
	usual     time.Duration // usual reply time; set by recordSend if pace is not nil
	reply     *target.Reply
	fault     *contract.Error
	pace      *policy.LatencyEstimator // reply time statistics of the route; nil if this daemon has none
	delegated bool                     // the send was made by another daemon
}

// policyEnded converts the outcome for LeafTracker.End.
func (o *sendOutcome) policyEnded() policy.RequestResult {
	ended := policy.RequestResult{Outcome: o.outcome, Elapsed: o.took, MedianLatency: o.usual, ReplyReceived: o.reply != nil}
	if o.reply != nil && o.reply.HasLoad {
		ended.Load = &o.reply.Load
	}
	return ended
}

// recordSend updates the health of the leaf and the statistics of the route.
func (e *Engine) recordSend(o sendOutcome) {
	tracker, life := e.cfg.Tracker, o.leaf.RunID()
	if o.pace != nil {
		o.usual = o.pace.Median()
	}
	tracker.End(life, o.began, o.policyEnded())
	switch {
	case o.outcome == policy.Replied, o.outcome == policy.Overdue:
		if o.pace != nil {
			o.pace.Observe(o.took)
		}
	case o.outcome == policy.Inconclusive && o.fault != nil && o.fault.Reason == contract.ReasonTargetFailed && (!o.delegated || o.fault.Verdict == contract.NotRun):
		tracker.MarkUnreachable(life)
	case o.fault.LeafExited():
		tracker.MarkUnreachable(life)
	case o.reply != nil && o.reply.Status == http.StatusMisdirectedRequest:
		tracker.MarkMisplaced(life)
	}
}

// deliver implements sendOwner.
func (r *run) deliver(res result) {
	select {
	case r.results <- res:
	case <-r.finished:
		closeRest(res.reply)
		return
	}
	select {
	case <-r.finished: // execute may have returned before the result was in the channel
		r.closeUnusedResults()
	default:
	}
}

// closeUnusedResults closes the replies that were delivered after execute has returned.
func (r *run) closeUnusedResults() {
	for {
		select {
		case res := <-r.results:
			closeRest(res.reply)
		default:
			return
		}
	}
}

// closeUnusedReply closes the last reply unless its rest is passed on with the answer.
func (r *run) closeUnusedReply(answer *Answer) {
	if r.lastReply != nil && (answer == nil || answer.Rest != r.lastReply.Rest) {
		closeRest(r.lastReply)
	}
}

// setLastReply replaces the last reply. The rest of a refusal is closed, since it is never passed on.
func (r *run) setLastReply(reply *target.Reply) {
	if r.lastReply != reply {
		closeRest(r.lastReply)
	}
	r.lastReply = reply
	if reply.Refused {
		closeRest(reply)
	}
}

// closeRest ends the exchange of a reply that is not read to its end; its connection is not used
// again. Without that the connection would count as in use for good.
func closeRest(reply *target.Reply) {
	if reply != nil && reply.Rest != nil {
		reply.Rest.Close()
	}
}

// paceStats implements sendOwner.
func (r *run) paceStats() (time.Duration, *policy.LatencyEstimator) { return 0, &r.stats.pace }

// outcomeOfReply returns the outcome of a send that got a reply.
func outcomeOfReply(reply *target.Reply) policy.Outcome {
	switch {
	case reply.Refused:
		return policy.Rejected
	case reply.Status < http.StatusInternalServerError: // the leaf is healthy
		return policy.Replied
	}
	return policy.Failed
}

// outcomeOfError returns the outcome of a send that got no reply.
func outcomeOfError(err *contract.Error) policy.Outcome {
	switch {
	case err == nil, err.Verdict == contract.NotRun:
		return policy.Inconclusive
	case err.Reason == contract.ReasonDeadline:
		return policy.Overdue
	case isStaleConn(err) && !err.LeafExited():
		return policy.Inconclusive
	}
	return policy.InvalidReply
}

// handleResult handles the result of one send.
func (r *run) handleResult(res result) {
	s := &r.shards[res.shard]
	for k, p := range s.pending {
		if p.call == res.call {
			if p.batch != nil {
				p.batch.replied = true
			}
			s.pending = append(s.pending[:k], s.pending[k+1:]...)
			break
		}
	}
	if s.done {
		r.handleLateResult(s, &res)
		return
	}
	r.countSend(s, &res)
	r.updateSuspicion(s, &res)
	if r.acceptReply(s, &res) {
		s.done = true
		r.receivedParts++
		for _, p := range s.pending {
			p.call.AbandonReply(r.stats.pace.Median())
		}
		return
	}
	r.handleFailure(res.shard, &res)
}

// handleLateResult handles the result of a send for a shard that already has its part. The
// records of a merged part cannot be separated from the others, so a merged part replaces the
// existing part of the shard.
func (r *run) handleLateResult(s *shard, res *result) {
	switch {
	case res.reply == nil:
	case res.reply.Rest != nil:
		closeRest(res.reply)
	case res.set != nil && isPart(res.reply):
		if res.set.unusable() || res.reply.Signature != s.signature && r.hasSignature(res.reply.Signature) {
			r.discardParts(res.set)
			return
		}
		s.signature, s.body, s.set = res.reply.Signature, nil, res.set
	}
}

// discardParts discards merged parts because one of them has the signature of another part:
// an answer that lists a signature twice would be invalid as a whole. Later parts from the
// same daemon are discarded as well.
func (r *run) discardParts(set *partSet) {
	set.discarded = true
	for i := range r.shards {
		s := &r.shards[i]
		if s.done && s.set.unusable() {
			s.done, s.set, s.signature = false, nil, ""
			r.receivedParts--
			if len(s.pending) == 0 {
				r.resend(i)
			}
		}
	}
}

// countSend updates the send counts of the shard and the verdict of the request.
func (r *run) countSend(s *shard, res *result) {
	switch {
	case res.err == nil && res.reply.Refused:
		s.reachedSends++
	case res.err == nil:
		s.reachedSends++
		s.possibleRuns++
		r.verdict = r.verdict.Combine(contract.Ran)
	case res.err.Verdict != contract.NotRun:
		s.reachedSends++
		s.possibleRuns++
		r.verdict = r.verdict.Combine(contract.MayHaveRun)
	}
}

// acceptReply reports whether the reply completes the shard, and stores it.
func (r *run) acceptReply(s *shard, res *result) bool {
	if res.err != nil || res.reply.Refused {
		return false
	}
	reply := res.reply
	if !r.entry.IsGather() {
		if reply.Status >= http.StatusInternalServerError && r.mayRepeat(s) {
			r.setLastReply(reply)
			return false
		}
		r.setLastReply(reply)
		return true
	}
	if !isPart(reply) {
		return false
	}
	if duplicate := r.hasSignature(reply.Signature); duplicate || res.set.unusable() {
		if res.set != nil {
			r.discardParts(res.set)
		}
		return false
	}
	s.signature, s.body, s.set = reply.Signature, reply.Body, res.set
	return true
}

func (r *run) hasSignature(signature string) bool {
	for i := range r.shards {
		if r.shards[i].signature == signature {
			return true
		}
	}
	return false
}

// mayRepeat reports whether a request that may already have run for the shard may be sent
// again.
func (r *run) mayRepeat(s *shard) bool {
	return r.entry.Repeatable && r.leafRequest.Stream == nil && s.possibleRuns+len(s.pending) < r.maxAttempts()
}

// handleFailure handles a send that did not complete the shard. It retries if allowed.
func (r *run) handleFailure(i int, res *result) {
	s := &r.shards[i]
	if res.err != nil {
		r.lastErr = res.err
	} else {
		r.setLastReply(res.reply)
	}
	if r.noteKeyRefusal(res.err) {
		s.stopSending()
		return
	}
	unreachable := res.err != nil && res.err.Verdict == contract.NotRun && res.err.Reason == contract.ReasonTargetFailed
	if !unreachable || !s.unreachable {
		r.logSendFailed(s, res) // of consecutive failures to connect, only the first is logged
	}
	s.unreachable = unreachable
	notRun := res.err != nil && res.err.Verdict == contract.NotRun || res.err == nil && res.reply.Refused
	switch {
	case len(s.pending) > 0:
		return
	case r.leafRequest.Stream != nil && (!notRun || res.err == nil || errors.Is(res.err.Cause, target.ErrStreamTaken)):
		s.stopSending() // the streamed body has been consumed, in part at least
		return
	case isStaleConn(res.err) && !res.err.LeafExited() && r.entry.Repeatable:
		// The leaf is healthy and only dropped an idle connection.
		s.tried = nil
	case res.set != nil && notRun || res.err != nil && peer.NotSent(res.err.Cause):
		// Another daemon could not send to the leaf; this one may be able to.
		s.tried = nil
	}
	r.resend(i)
}

// resend sends once more for a shard without a pending send, if that is allowed.
func (r *run) resend(i int) {
	s := &r.shards[i]
	if s.possibleRuns > 0 && !r.mayRepeat(s) || s.totalSends >= policy.MaxSends {
		s.stopSending()
		return
	}
	r.launch(i, false)
}
