package forward

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"pearmoor/internal/contract"
	"pearmoor/internal/link/target"
)

func isStale(err *contract.Error) bool {
	return err != nil && err.Cause != nil && errors.Is(err.Cause, target.ErrStale)
}

// decide returns the answer if it is due at now, and nil to go on.
//
// Before answerBy there is nothing to gain by leaving parts out. From then on an
// answer with enough parts goes out at once: one that waits for the rest would
// come later than its caller wants it.
func (r *run) decide(now time.Time) *Answer {
	open, stuck, gone, ended := 0, 0, 0, 0
	for i := range r.shards {
		s := &r.shards[i]
		switch {
		case s.done:
		case s.stuck && len(s.flights) == 0:
			stuck++
			if s.wake.IsZero() {
				ended++
			} else if s.gone {
				gone++
			}
		default:
			open++
		}
	}
	if !now.Before(r.answerBy) {
		r.due = true
	}
	enough := r.have >= r.need
	switch {
	case open+stuck == 0:
		return r.answer()
	case enough && (r.due || open == 0 && gone+ended == stuck):
		return r.answer()
	case !now.Before(r.end):
		return r.giveUp(contract.ReasonDeadline)
	case len(r.shards)-ended < r.need:
		return r.giveUp("")
	case open == 0 && r.unlisted() > len(r.shards)-r.need:
		return r.giveUp(contract.ReasonNoReplica)
	case open == 0 && r.have == 0 && r.verdict == contract.NotRun && now.Sub(r.req.Arrived) > r.patience():
		// Nothing could be sent, and holding the caller would not change that.
		return r.giveUp(contract.ReasonOverload)
	}
	return nil
}

// lastWord returns the answer of a request that can't be waited for any longer.
func (r *run) lastWord() *Answer {
	if r.have > 0 && r.have >= r.need {
		return r.answer()
	}
	return r.giveUp(contract.ReasonDraining)
}

// unlisted returns how many shards have no leaf at all. What the list does not
// name can't be waited for within a request's time.
func (r *run) unlisted() int {
	n := 0
	for i := range r.shards {
		if s := &r.shards[i]; !s.done && !s.listed {
			n++
		}
	}
	return n
}

// patienceShare is the part of the target latency for which a request that could
// not be sent anywhere is kept: refused by then, its caller still has the time for
// another attempt.
const patienceShare = 0.2

func (r *run) patience() time.Duration {
	if aim := r.entry.TargetLatency; aim > 0 {
		return time.Duration(patienceShare * float64(aim))
	}
	return unlearnedLate
}

// answer returns what has been gathered, or the one reply.
func (r *run) answer() *Answer {
	if !r.entry.Gathers() {
		return &Answer{
			Status: r.last.Status, Header: http.Header(r.last.Header), Body: r.last.Body, Rest: r.last.Rest,
			Verdict: contract.Ran,
		}
	}
	a := &Answer{Status: http.StatusOK, Merged: true, Verdict: contract.Ran, Missing: len(r.shards) - r.have}
	a.Parts = make([]string, 0, r.have)
	for i := range r.shards {
		if s := &r.shards[i]; s.done {
			a.Parts = append(a.Parts, s.stamp)
		}
	}
	a.Body = r.merge()
	return a
}

// merge returns the greatest records of the parts, falling.
func (r *run) merge() []byte {
	merged := top{k: r.entry.Top}
	used := make(map[*partSet]bool)
	for i := range r.shards {
		switch s := &r.shards[i]; {
		case !s.done:
		case s.set == nil:
			merged.add(s.body)
		case !used[s.set]:
			used[s.set] = true
			merged.add(s.set.records)
		}
	}
	return merged.bytes()
}

// comeBack bounds what a caller whose request did not run is told to wait.
const (
	comeBackFirst = 60 * time.Millisecond
	comeBackMost  = time.Second
)

// giveUp returns the final answer of a request without success.
func (r *run) giveUp(reason contract.Reason) *Answer {
	verdict := r.verdict
	for i := range r.shards {
		if len(r.shards[i].flights) > 0 {
			verdict = verdict.Join(contract.MayHaveRun)
		}
	}
	a := &Answer{Verdict: verdict, Reason: reason}
	if r.lastErr != nil {
		a.Cause = r.lastErr
		if reason == "" {
			a.Reason = r.lastErr.Reason
		}
	}
	if a.Reason == "" {
		a.Reason = contract.ReasonNoReplica
	}
	switch {
	case verdict == contract.NotRun:
		a.Status = http.StatusServiceUnavailable
		a.RetryAfter = r.comeBack()
	case !r.entry.Gathers() && r.last != nil && !r.last.Refused:
		// A leaf's own word on its failure says more than ours.
		a.Status, a.Header, a.Body, a.Rest = r.last.Status, http.Header(r.last.Header), r.last.Body, r.last.Rest
	case reason == contract.ReasonDeadline:
		a.Status = http.StatusGatewayTimeout
	default:
		a.Status = http.StatusBadGateway
	}
	return a
}

func (r *run) comeBack() time.Duration {
	d := comeBackFirst
	if r.last != nil && r.last.RetryAfter > 0 {
		d = r.last.RetryAfter
	}
	return min(d, comeBackMost)
}

// abandon lets go of what is still under way.
func (r *run) abandon() {
	for i := range r.shards {
		for _, f := range r.shards[i].flights {
			f.call.Abandon()
		}
	}
	for _, b := range r.batches {
		b.release()
	}
}

func (r *run) log(a *Answer) {
	what := "answered"
	if a.Status >= http.StatusInternalServerError && a.Header == nil {
		what = "gave up"
	}
	l := r.e.cfg.Log.Line(r.part(), what).Str("id", r.req.ID).Str("route", r.entry.Name).
		Int("status", int64(a.Status)).Ms("took", time.Since(r.req.Arrived)).
		Ms("wait", r.req.Wait).Ms("answer_by", r.answerBy.Sub(r.req.Arrived)).Int("release", int64(r.a.table.Number)).Int("sends", int64(r.sends)).Int("hedges", int64(r.hedges)).
		Int("attempts", int64(r.attempts())).Bool("repeatable", r.entry.Repeatable).Int("denied", int64(r.denied))
	if r.entry.Gathers() {
		l = l.Int("parts", int64(r.have)).Int("of", int64(len(r.shards))).Int("need", int64(r.need)).Int("delegated", int64(r.delegated))
		if r.have < len(r.shards) {
			l = l.Str("missing", r.missing())
		}
	}
	if a.Reason != "" {
		l = l.Str("reason", string(a.Reason)).Str("verdict", a.Verdict.String()).Err(a.Cause)
	}
	l.Ms("list_age", r.e.cfg.Book.Age()).End()
}

// missing names the shards without a part and where each was sent.
func (r *run) missing() string {
	out := ""
	for i := range r.shards {
		s := &r.shards[i]
		if s.done {
			continue
		}
		if out != "" {
			out += ";"
		}
		out += s.service
		for _, l := range s.tried {
			out += "@" + l.ID
		}
	}
	return out
}

func (r *run) part() string {
	if r.entry.Gathers() {
		return "gather"
	}
	return "single"
}

func (r *run) logLeft() {
	r.e.cfg.Log.Line(r.part(), "caller left").Str("id", r.req.ID).Str("route", r.entry.Name).
		Ms("took", time.Since(r.req.Arrived)).Int("parts", int64(r.have)).End()
}

func (r *run) logFailed(s *shard, res *result) {
	l := r.e.cfg.Log.Line(r.part(), "send failed").Str("id", r.req.ID).Str("service", s.service).
		Str("leaf", res.leaf.ID).Ms("after", time.Since(r.req.Arrived)).Int("runs", int64(s.runs))
	if res.err != nil {
		l.Str("verdict", res.err.Verdict.String()).Str("reason", string(res.err.Reason)).Err(res.err.Cause).End()
		return
	}
	l.Int("status", int64(res.reply.Status)).End()
}
