package forward

import (
	"net/http"
	"time"

	"pearmoor/internal/contract"
	"pearmoor/internal/discovery"
	"pearmoor/internal/link/target"
)

func (r *run) attempts() int { return max(1, r.entry.Attempts) }

// launch sends to the best leaf of a shard. Without one it makes the shard wait.
func (r *run) launch(i int, hedge bool) {
	s := &r.shards[i]
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
	if s.sends+len(s.flights) > 0 && !r.e.cfg.Budgets.Spend(s.service, hedge) {
		r.denied++
		if !hedge {
			r.noBudget(s)
		}
		return
	}
	link := r.e.cfg.Board.Link(leaf, func(service string) int { return r.e.limits(r.a)(service) })
	call := &target.Call{}
	s.flights = append(s.flights, flight{call, leaf})
	s.tried = append(s.tried, leaf)
	s.tries++
	s.stuck = false
	r.sends++
	if hedge {
		r.hedges++
	}
	r.e.sends.Run(send{r, i, leaf, link, call})
}

// roundOver makes a shard wait after every leaf was tried, a little longer each
// time.
func (r *run) roundOver(s *shard) {
	s.stuck = true
	if s.tries >= mostSends {
		return
	}
	s.pause = min(max(2*s.pause, pauseAfterRound), pauseLongest)
	s.wake = time.Now().Add(s.pause)
	s.tried = nil
	for _, f := range s.flights {
		s.tried = append(s.tried, f.leaf)
	}
}

// end leaves a shard without another send for good.
func (s *shard) end() { s.stuck, s.tries = true, mostSends }

// noBudget leaves a shard whose leaf has failed without another send for now. A
// caller whose one reply is a failure gets it at once.
func (r *run) noBudget(s *shard) {
	if !r.entry.Gathers() && r.last != nil {
		s.end()
		return
	}
	r.roundOver(s)
}

// send is one request on its way to a leaf.
type send struct {
	r    *run
	i    int
	leaf *discovery.Leaf
	link *target.Link
	call *target.Call
}

// perform sends and tells what is learned from it.
func (s send) perform() {
	r, i, leaf, link, call := s.r, s.i, s.leaf, s.link, s.call
	board := r.e.cfg.Board
	life := leaf.Life()
	began := board.Begin(life)
	reply, err := link.Do(call, &r.send)
	took := r.e.cfg.Clock().Sub(began)
	usual := r.know.pace.Usual()
	out := r.learned(reply, err)
	board.End(life, began, out, usual, reply)
	switch {
	case out == replied, out == overdue:
		r.know.pace.Observe(took)
	case out == unlearned && err != nil && err.Reason == contract.ReasonTargetFailed:
		board.Unreachable(life)
	case reply != nil && reply.Status == http.StatusMisdirectedRequest:
		board.Misplaced(life)
	}
	select {
	case r.results <- result{i, call, leaf, reply, err}:
	case <-r.over:
		if reply != nil && reply.Rest != nil {
			reply.Rest.Close()
		}
	}
}

// learned says what an exchange tells of the leaf.
func (r *run) learned(reply *target.Reply, err *contract.Error) outcome {
	switch {
	case err == nil && r.e.cfg.Dialect.Refused(reply):
		return rejected
	case err == nil && reply.Status < http.StatusInternalServerError:
		return replied
	case err == nil:
		return failed
	case err.Verdict == contract.NotRun:
		return unlearned
	case err.Reason == contract.ReasonDeadline:
		return overdue
	case isStale(err):
		return unlearned
	}
	return misbehaved
}

// take handles the end of one send.
func (r *run) take(res result) {
	s := &r.shards[res.shard]
	for k, f := range s.flights {
		if f.call == res.call {
			s.flights = append(s.flights[:k], s.flights[k+1:]...)
			break
		}
	}
	if s.done {
		if res.reply != nil && res.reply.Rest != nil {
			res.reply.Rest.Close()
		}
		return
	}
	r.count(s, &res)
	if r.accept(s, &res) {
		s.done = true
		r.have++
		for _, f := range s.flights {
			f.call.Abandon(linger)
		}
		return
	}
	r.failed(res.shard, &res)
}

// count keeps what the sends so far allow.
func (r *run) count(s *shard, res *result) {
	switch {
	case res.err == nil && r.e.cfg.Dialect.Refused(res.reply):
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
	if res.err != nil || r.e.cfg.Dialect.Refused(res.reply) {
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
	if !reply.OK() || reply.Stamp == "" || r.hasStamp(reply.Stamp) {
		return false
	}
	s.stamp = reply.Stamp
	r.top.add(reply.Body)
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
	r.logFailed(s, res)
	s.gone = res.err != nil && res.err.Verdict == contract.NotRun && res.err.Reason == contract.ReasonTargetFailed
	notRun := res.err != nil && res.err.Verdict == contract.NotRun || res.err == nil && r.e.cfg.Dialect.Refused(res.reply)
	switch {
	case len(s.flights) > 0:
		return
	case s.runs > 0 && !r.mayRepeat(s), s.tries >= mostSends, r.send.Stream != nil && !notRun:
		s.end()
		return
	case r.send.Stream != nil && res.err == nil:
		s.end() // part of the body is gone
		return
	case isStale(res.err) && r.entry.Repeatable:
		// The leaf itself is well: it only dropped a connection.
		s.tried = nil
	}
	r.launch(i, false)
}
