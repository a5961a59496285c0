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

func (r *run) attempts() int { return max(1, r.entry.Attempts) }

// launch sends to the best leaf of a shard. Without one it makes the shard wait.
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

// sendTo sends to a leaf, if this is the first send of the shard or the budget allows a
// further one.
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

// started counts a send as under way.
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

// roundOver makes a shard wait after every leaf was tried, a little longer each
// time.
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

// end leaves a shard without another send for good.
func (s *shard) end() { s.stuck, s.tries = true, policy.MostSends }

// noBudget leaves a shard whose leaf has failed without another send for now. A
// caller whose one reply is a failure gets it at once.
func (r *run) noBudget(s *shard) {
	if !r.entry.Gathers() && r.last != nil {
		s.end()
		return
	}
	r.roundOver(s)
}

// sender is who wants to know how a send ended.
type sender interface {
	deliver(result)
	// learner returns how long replies usually take, and what learns from this one, nil
	// for nothing.
	learner() (usual time.Duration, pace *policy.Pace)
}

// send is one request on its way to a leaf.
type send struct {
	to      sender
	request *target.Request
	i       int // which one, for the sender
	leaf    *discovery.Leaf
	link    *target.Link
	call    *target.Call
}

// perform sends and tells what is learned from it.
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

// noted is the end of a send, for what is learned from it.
type noted struct {
	leaf  *discovery.Leaf
	began vm.Instant
	took  time.Duration
	out   policy.Outcome
	usual time.Duration // of pace, where that is nil
	reply *target.Reply
	fault *contract.Error
	pace  *policy.Pace // of the route; nil: not known here
	away  bool         // another daemon made the send
}

// ended is what it tells of the leaf.
func (n *noted) ended() policy.Ended {
	out := policy.Ended{Outcome: n.out, Took: n.took, Usual: n.usual, Heard: n.reply != nil}
	if n.reply != nil && n.reply.HasLoad {
		out.Load = &n.reply.Load
	}
	return out
}

// note learns from the end of a send.
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

// deliver implements sender.
func (r *run) deliver(res result) {
	select {
	case r.results <- res:
	case <-r.over:
		if res.reply != nil && res.reply.Rest != nil {
			res.reply.Rest.Close()
		}
	}
}

// learner implements sender.
func (r *run) learner() (time.Duration, *policy.Pace) { return 0, &r.know.pace }

// learnedFrom says what a reply tells of the leaf.
func learnedFrom(reply *target.Reply) policy.Outcome {
	switch {
	case reply.Refused:
		return policy.Rejected
	case reply.Status < http.StatusInternalServerError: // the leaf is well
		return policy.Replied
	}
	return policy.Failed
}

// learnedOf says what an exchange without a reply tells of the leaf.
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

// take handles the end of one send.
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

// late handles the end of a send for a shard that has its part already. The records of
// a part that came merged with others can't be told apart: it takes the place of the
// one that is there.
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

// spoil gives up parts that came merged, since one of them bears the signature of
// another part: an answer that names it twice would be wrong as a whole. With them go
// those that came after them from the same daemon.
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

// count keeps what the sends so far allow.
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

// accept takes a reply as the shard's.
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

// mayRepeat reports whether a request that may have run at the shard may be sent
// again.
func (r *run) mayRepeat(s *shard) bool {
	return r.entry.Repeatable && r.send.Stream == nil && s.runs+len(s.flights) < r.attempts()
}

// failed sends again, or leaves the shard with what it has.
func (r *run) failed(i int, res *result) {
	s := &r.shards[i]
	if res.err != nil {
		r.lastErr = res.err
	} else {
		r.last = res.reply
	}
	unreachable := res.err != nil && res.err.Verdict == contract.NotRun && res.err.Reason == contract.ReasonTargetFailed
	if !unreachable || !s.gone {
		r.logFailed(s, res) // of several connects in a row the first
	}
	s.gone = unreachable
	notRun := res.err != nil && res.err.Verdict == contract.NotRun || res.err == nil && res.reply.Refused
	switch {
	case len(s.flights) > 0:
		return
	case r.send.Stream != nil && (!notRun || res.err == nil):
		s.end() // part of the body is gone
		return
	case isStale(res.err) && !res.err.LeafEnded() && r.entry.Repeatable:
		// The leaf itself is well: it only dropped a connection.
		s.tried = nil
	case res.set != nil && notRun || res.err != nil && peer.NotSent(res.err.Cause):
		// Another daemon could not send there; this one may.
		s.tried = nil
	}
	r.again(i)
}

// again sends once more for a shard without a send under way, if it may be.
func (r *run) again(i int) {
	s := &r.shards[i]
	if s.runs > 0 && !r.mayRepeat(s) || s.tries >= policy.MostSends {
		s.end()
		return
	}
	r.launch(i, false)
}
