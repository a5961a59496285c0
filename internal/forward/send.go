package forward

import (
	"net/http"
	"time"

	"pearmoor/internal/contract"
	"pearmoor/internal/discovery"
	"pearmoor/internal/link/peer"
	"pearmoor/internal/link/target"
	"pearmoor/internal/policy"
	"pearmoor/internal/vm"
)

// maxAttempts returns the maximum number of runs of a repeatable request per shard.
func (r *run) attempts() int { return max(1, r.entry.Attempts) }

// launch sends to the best leaf of a shard. If there is no leaf, it schedules a retry.
func (r *run) launch(i int, hedge bool) {
	s := &r.shards[i]
	if !r.maySend() {
		if !hedge {
			s.held, s.stuck, r.held = true, false, true
		}
		return
	}
	leaves := r.e.cfg.Book.Snapshot().Of(s.service)
	leaf := r.e.cfg.Board.Choose(leaves, s.tried, r.know.pace.Usual())
	if leaf == nil {
		if hedge {
			return
		}
		s.listed = len(leaves) > 0
		r.roundOver(s)
		return
	}
	s.listed = true
	r.sendTo(i, leaf, hedge)
}

// sendTo sends to a leaf. After the first send of the shard, it sends only if the budget
// allows it.
func (r *run) sendTo(i int, leaf *discovery.Leaf, hedge bool) {
	s := &r.shards[i]
	if s.sends+len(s.flights) > 0 && !r.e.cfg.Budgets.Spend(s.service, hedge) {
		r.denied++
		if !hedge {
			r.noBudget(s)
		}
		return
	}
	link := r.e.cfg.Board.Link(leaf, r.a.limit)
	call := &target.Call{}
	r.started(i, flight{call: call, leaf: leaf})
	if hedge {
		r.hedges++
	}
	r.e.sends.Run(send{to: r, request: &r.send, i: i, leaf: leaf, link: link, call: call})
}

// recordStart records a send as pending.
func (r *run) started(i int, f flight) {
	s := &r.shards[i]
	s.held = false
	r.suspicion.Sent()
	s.flights = append(s.flights, f)
	s.tried = append(s.tried, f.leaf)
	s.tries++
	s.stuck = false
	s.listed = true
	r.sends++
}

// scheduleRetry schedules a new round of attempts after all leaves of the shard have been
// tried. The wait increases with each round.
func (r *run) roundOver(s *shard) {
	s.stuck = true
	if s.tries >= policy.MostSends {
		return
	}
	s.pause = policy.RoundPause(s.pause)
	s.wake = time.Now().Add(s.pause)
	s.tried = nil
	for _, f := range s.flights {
		s.tried = append(s.tried, f.leaf)
	}
}

// stopSending prevents any further send for the shard.
func (s *shard) end() { s.stuck, s.tries = true, policy.MostSends }

// handleBudgetDenied handles a retry that the budget does not allow. It schedules a later
// retry, unless a single request already has a failure reply, which is then the answer.
func (r *run) noBudget(s *shard) {
	if !r.entry.Gathers() && r.last != nil {
		s.end()
		return
	}
	r.roundOver(s)
}

// sendOwner receives the result of a send.
type sender interface {
	deliver(result)
	// paceStats returns the usual reply time and the statistics to add the reply time to,
	// nil if there are none.
	learner() (usual time.Duration, pace *policy.Pace)
}

// sendTask is one send of a request to a leaf.
type send struct {
	to      sender
	request *target.Request
	i       int // index of the send, as the owner counts it
	leaf    *discovery.Leaf
	link    *target.Link
	call    *target.Call
}

// perform makes a send, records its outcome and delivers the result to the owner.
func (e *Engine) perform(s send) {
	began := e.cfg.Board.Begin(s.leaf.Life())
	reply, err := s.link.Do(s.call, s.request)
	took := e.cfg.Clock().Sub(began)
	out := learnedOf(err)
	if err == nil {
		out = learnedFrom(reply)
	}
	usual, pace := s.to.learner()
	e.note(noted{leaf: s.leaf, began: began, took: took, out: out, usual: usual, reply: reply, fault: err, pace: pace})
	s.to.deliver(result{shard: s.i, call: s.call, leaf: s.leaf, reply: reply, err: err, took: took})
}

// sendOutcome is the outcome of a send, from which the health of the leaf is updated.
type noted struct {
	leaf  *discovery.Leaf
	began vm.Instant
	took  time.Duration
	out   policy.Outcome
	usual time.Duration // usual reply time; set by recordSend if pace is not nil
	reply *target.Reply
	fault *contract.Error
	pace  *policy.Pace // reply time statistics of the route; nil if this daemon has none
	away  bool         // the send was made by another daemon
}

// policyEnded converts the outcome for LeafTracker.End.
func (n *noted) ended() policy.Ended {
	out := policy.Ended{Outcome: n.out, Took: n.took, Usual: n.usual, Heard: n.reply != nil}
	if n.reply != nil && n.reply.HasLoad {
		out.Load = &n.reply.Load
	}
	return out
}

// recordSend updates the health of the leaf and the statistics of the route.
func (e *Engine) note(n noted) {
	board, life := e.cfg.Board, n.leaf.Life()
	if n.pace != nil {
		n.usual = n.pace.Usual()
	}
	board.End(life, n.began, n.ended())
	switch {
	case n.out == policy.Replied, n.out == policy.Overdue:
		if n.pace != nil {
			n.pace.Observe(n.took)
		}
	case n.out == policy.Unlearned && n.fault != nil && n.fault.Reason == contract.ReasonTargetFailed && (!n.away || n.fault.Verdict == contract.NotRun):
		board.Unreachable(life)
	case n.fault.LeafEnded():
		board.Unreachable(life)
	case n.reply != nil && n.reply.Status == http.StatusMisdirectedRequest:
		board.Misplaced(life)
	}
}

// deliver implements sendOwner.
func (r *run) deliver(res result) {
	select {
	case r.results <- res:
	case <-r.over:
		if res.reply != nil && res.reply.Rest != nil {
			res.reply.Rest.Close()
		}
	}
}

// paceStats implements sendOwner.
func (r *run) learner() (time.Duration, *policy.Pace) { return 0, &r.know.pace }

// outcomeOfReply returns the outcome of a send that got a reply.
func learnedFrom(reply *target.Reply) policy.Outcome {
	switch {
	case reply.Refused:
		return policy.Rejected
	case reply.Status < http.StatusInternalServerError: // the leaf is healthy
		return policy.Replied
	}
	return policy.Failed
}

// outcomeOfError returns the outcome of a send that got no reply.
func learnedOf(err *contract.Error) policy.Outcome {
	switch {
	case err == nil, err.Verdict == contract.NotRun:
		return policy.Unlearned
	case err.Reason == contract.ReasonDeadline:
		return policy.Overdue
	case isStale(err) && !err.LeafEnded():
		return policy.Unlearned
	}
	return policy.Misbehaved
}

// handleResult handles the result of one send.
func (r *run) take(res result) {
	s := &r.shards[res.shard]
	for k, f := range s.flights {
		if f.call == res.call {
			if f.batch != nil {
				f.batch.heard = true
			}
			s.flights = append(s.flights[:k], s.flights[k+1:]...)
			break
		}
	}
	if s.done {
		r.late(s, &res)
		return
	}
	r.count(s, &res)
	r.follow(s, &res)
	if r.accept(s, &res) {
		s.done = true
		r.have++
		for _, f := range s.flights {
			f.call.Abandon()
		}
		return
	}
	r.failed(res.shard, &res)
}

// handleLateResult handles the result of a send for a shard that already has its part. The
// records of a merged part cannot be separated from the others, so a merged part replaces the
// existing part of the shard.
func (r *run) late(s *shard, res *result) {
	switch {
	case res.reply == nil:
	case res.reply.Rest != nil:
		res.reply.Rest.Close()
	case res.set != nil && isPart(res.reply):
		if res.set.unusable() || res.reply.Stamp != s.stamp && r.hasStamp(res.reply.Stamp) {
			r.spoil(res.set)
			return
		}
		s.stamp, s.body, s.set = res.reply.Stamp, nil, res.set
	}
}

// discardParts discards merged parts because one of them has the signature of another part:
// an answer that lists a signature twice would be invalid as a whole. Later parts from the
// same daemon are discarded as well.
func (r *run) spoil(set *partSet) {
	set.spoiled = true
	for i := range r.shards {
		s := &r.shards[i]
		if s.done && s.set.unusable() {
			s.done, s.set, s.stamp = false, nil, ""
			r.have--
			if len(s.flights) == 0 {
				r.again(i)
			}
		}
	}
}

// countSend updates the send counts of the shard and the verdict of the request.
func (r *run) count(s *shard, res *result) {
	switch {
	case res.err == nil && res.reply.Refused:
		s.sends++
	case res.err == nil:
		s.sends++
		s.runs++
		r.verdict = r.verdict.Join(contract.Ran)
	case res.err.Verdict != contract.NotRun:
		s.sends++
		s.runs++
		r.verdict = r.verdict.Join(contract.MayHaveRun)
	}
}

// acceptReply reports whether the reply completes the shard, and stores it.
func (r *run) accept(s *shard, res *result) bool {
	if res.err != nil || res.reply.Refused {
		return false
	}
	reply := res.reply
	if !r.entry.Gathers() {
		if reply.Status >= http.StatusInternalServerError && r.mayRepeat(s) {
			r.last = reply
			return false
		}
		r.last = reply
		return true
	}
	if !isPart(reply) {
		return false
	}
	if twice := r.hasStamp(reply.Stamp); twice || res.set.unusable() {
		if res.set != nil {
			r.spoil(res.set)
		}
		return false
	}
	s.stamp, s.body, s.set = reply.Stamp, reply.Body, res.set
	return true
}

func (r *run) hasStamp(stamp string) bool {
	for i := range r.shards {
		if r.shards[i].stamp == stamp {
			return true
		}
	}
	return false
}

// mayRepeat reports whether a request that may already have run for the shard may be sent
// again.
func (r *run) mayRepeat(s *shard) bool {
	return r.entry.Repeatable && r.send.Stream == nil && s.runs+len(s.flights) < r.attempts()
}

// handleFailure handles a send that did not complete the shard. It retries if allowed.
func (r *run) failed(i int, res *result) {
	s := &r.shards[i]
	if res.err != nil {
		r.lastErr = res.err
	} else {
		r.last = res.reply
	}
	unreachable := res.err != nil && res.err.Verdict == contract.NotRun && res.err.Reason == contract.ReasonTargetFailed
	if !unreachable || !s.gone {
		r.logFailed(s, res) // of consecutive failures to connect, only the first is logged
	}
	s.gone = unreachable
	notRun := res.err != nil && res.err.Verdict == contract.NotRun || res.err == nil && res.reply.Refused
	switch {
	case len(s.flights) > 0:
		return
	case r.send.Stream != nil && (!notRun || res.err == nil):
		s.end() // part of the streamed body has been consumed
		return
	case isStale(res.err) && !res.err.LeafEnded() && r.entry.Repeatable:
		// The leaf is healthy and only dropped an idle connection.
		s.tried = nil
	case res.set != nil && notRun || res.err != nil && peer.NotSent(res.err.Cause):
		// Another daemon could not send to the leaf; this one may be able to.
		s.tried = nil
	}
	r.again(i)
}

// resend sends once more for a shard without a pending send, if that is allowed.
func (r *run) again(i int) {
	s := &r.shards[i]
	if s.runs > 0 && !r.mayRepeat(s) || s.tries >= policy.MostSends {
		s.end()
		return
	}
	r.launch(i, false)
}
