package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"pearmoor/internal/contract"
	"pearmoor/internal/link/target"
	"pearmoor/internal/policy"
)

// isStaleConn reports whether err is a failure on a connection that had been idle.
func isStaleConn(err *contract.Error) bool {
	return err != nil && err.Cause != nil && errors.Is(err.Cause, target.ErrStaleConn)
}

// decide returns the answer if the request is to be answered at now, otherwise nil.
func (r *run) decide(now time.Time) *Answer {
	if r.keyRefusal != nil && r.verdict == contract.NotRun && !r.mayHaveSent() {
		return r.giveUp(r.keyRefusal.reason()) // further sends would be refused as well
	}
	switch r.progress(now).Decide(r.times) {
	case policy.AnswerNow:
		return r.successAnswer()
	case policy.GiveUpDeadline:
		return r.giveUp(contract.ReasonDeadline)
	case policy.GiveUpFailed:
		if r.quarantined {
			return r.giveUp(contract.ReasonQuarantined)
		}
		return r.giveUp("")
	case policy.GiveUpNoLeaf:
		return r.giveUp(contract.ReasonNoLiveTarget)
	case policy.GiveUpUnsent:
		return r.giveUp(contract.ReasonOverload)
	}
	return nil
}

// progress summarizes the states of the shards for policy.Progress.Decide.
func (r *run) progress(now time.Time) policy.Progress {
	p := policy.Progress{
		Shards: len(r.shards), Required: r.requiredParts, Received: r.receivedParts,
		NotRun: r.verdict == contract.NotRun, Elapsed: now.Sub(r.req.Arrived),
	}
	for i := range r.shards {
		s := &r.shards[i]
		if s.done {
			continue
		}
		if !s.hasLeaves {
			p.NoLeaf++
		}
		switch {
		case !s.unsendable || len(s.pending) > 0:
			p.Pending++
			continue
		case s.retryAt.IsZero():
			p.Abandoned++
		case s.unreachable:
			p.Unreachable++
		}
		p.Blocked++
	}
	return p
}

// finalAnswer returns the answer of a request that must end now because the process shuts
// down.
func (r *run) finalAnswer() *Answer {
	if r.receivedParts > 0 && r.receivedParts >= r.requiredParts {
		return r.successAnswer()
	}
	return r.giveUp(contract.ReasonDraining)
}

// successAnswer returns the merged parts of a gather, or the reply to a single request.
func (r *run) successAnswer() *Answer {
	if !r.entry.IsGather() {
		return &Answer{
			Status: r.lastReply.Status, Header: http.Header(r.lastReply.Header), Body: r.lastReply.Body, Rest: r.lastReply.Rest,
			Verdict: contract.Ran,
		}
	}
	a := &Answer{Status: http.StatusOK, Merged: true, Verdict: contract.Ran, Missing: len(r.shards) - r.receivedParts}
	a.Parts = make([]string, 0, r.receivedParts)
	for i := range r.shards {
		if s := &r.shards[i]; s.done {
			a.Parts = append(a.Parts, s.signature)
		}
	}
	a.Body = r.mergeParts()
	return a
}

// mergeParts returns the greatest records of all parts in descending order.
func (r *run) mergeParts() []byte {
	merged := topRecords{k: r.entry.Top}
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

// giveUp abandons the sends in flight and returns the answer of a request that has failed.
func (r *run) giveUp(reason contract.Reason) *Answer {
	verdict := r.verdict
	r.abandonSends()
	if r.mayHaveSent() {
		verdict = verdict.Combine(contract.MayHaveRun)
	}
	if verdict == contract.NotRun && r.keyRefusal != nil {
		return r.keyRefusal.answer()
	}
	a := &Answer{Verdict: verdict, Reason: reason}
	if r.lastErr != nil {
		a.Cause = r.lastErr
		if reason == "" {
			a.Reason = r.lastErr.Reason
		}
	}
	if a.Reason == "" {
		a.Reason = contract.ReasonNoLiveTarget
	}
	switch {
	case verdict == contract.NotRun:
		a.Status = http.StatusServiceUnavailable
		a.RetryAfter = r.retryAfter()
		if a.Reason == contract.ReasonQuarantined {
			a.RetryAfter = policy.QuarantinedRetryAfter
		}
	case !r.entry.IsGather() && r.lastReply != nil && !r.lastReply.Refused:
		// The leaf's own error reply is more specific than an answer of this daemon.
		a.Status, a.Header, a.Body, a.Rest = r.lastReply.Status, http.Header(r.lastReply.Header), r.lastReply.Body, r.lastReply.Rest
	case reason == contract.ReasonDeadline:
		a.Status = http.StatusGatewayTimeout
	default:
		a.Status = http.StatusBadGateway
	}
	return a
}

// retryAfter returns the Retry-After of a request that did not run.
func (r *run) retryAfter() time.Duration {
	if r.refusedRetryAfter > 0 {
		return r.refusedRetryAfter
	}
	if !r.e.cfg.Leaves.HasList() {
		return unlistedRetryAfter
	}
	if r.lastReply == nil {
		return policy.RetryAfter(0)
	}
	return policy.RetryAfter(r.lastReply.RetryAfter)
}

// abandonSends abandons the sends in flight: at once if nobody waits for the answer any more.
func (r *run) abandonSends() {
	leaving := r.callerLeft || r.e.isFinishing()
	for i := range r.shards {
		for _, p := range r.shards[i].pending {
			abandon(p.call, r.stats.pace.Median(), leaving)
		}
	}
	for _, b := range r.batches {
		b.release(leaving)
	}
}

// abandon abandons a send. leaving is whether the caller has left or the process shuts down.
func abandon(call *target.Call, median time.Duration, leaving bool) {
	if leaving {
		call.Abandon()
	} else {
		call.AbandonReply(median)
	}
}

// mayHaveSent reports whether any of the sends in flight may have reached a leaf. If the sends
// were abandoned before, false means that none of them will.
func (r *run) mayHaveSent() bool {
	for i := range r.shards {
		for _, p := range r.shards[i].pending {
			if p.batch == nil && p.call.Sent() || p.batch != nil && p.batch.mayHaveSent() {
				return true
			}
		}
	}
	return false
}

func (r *run) logAnswer(a *Answer) {
	event := "answered"
	if a.Status >= http.StatusInternalServerError && a.Header == nil {
		event = "gave up"
	}
	l := r.e.cfg.Log.Line(r.logComponent(), event).Str("id", r.req.ID).Str("route", r.entry.Name).
		Int("status", int64(a.Status)).Ms("took", time.Since(r.req.Arrived)).
		Ms("wait", r.req.Wait).Ms("answer_by", r.times.PartialAfter).Int("release", int64(r.active.table.Number)).Int("sends", int64(r.sendCount)).Int("hedges", int64(r.hedgeCount)).
		Int("attempts", int64(r.maxAttempts())).Bool("repeatable", r.entry.Repeatable).Int("denied", int64(r.budgetDenials))
	if r.entry.IsGather() {
		l = l.Int("parts", int64(r.receivedParts)).Int("of", int64(len(r.shards))).Int("need", int64(r.requiredParts)).Int("delegated", int64(r.delegatedSends))
		if r.receivedParts < len(r.shards) {
			l = l.Str("missing", r.missingShards())
		}
	}
	if org := r.req.identity.organisation; org != nil {
		l = l.Str("organisation", org.Name).Str("key", r.req.identity.digest.Fingerprint())
	}
	if a.Reason != "" {
		l = l.Str("reason", string(a.Reason)).Str("verdict", a.Verdict.String()).Err(a.Cause)
	}
	if evacuated := r.e.evacuations.Load(); len(evacuated.domains) > 0 {
		l = l.Str("evacuated", evacuated.names())
	}
	if confirmation := r.e.confirmation(); confirmation.Exists() {
		l = l.Ms("confirmed_ago", confirmation.Age(r.e.now()))
	}
	l.Ms("list_age", r.e.cfg.Leaves.Age()).End()
}

// missingShards lists the shards without a part, each with the leaves it was sent to.
func (r *run) missingShards() string {
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

// logComponent returns the component name for decision log lines.
func (r *run) logComponent() string {
	if r.entry.IsGather() {
		return "gather"
	}
	return "single"
}

func (r *run) logCallerLeft(ctx context.Context) {
	r.e.cfg.Log.Line(r.logComponent(), "caller left").Str("id", r.req.ID).Str("route", r.entry.Name).
		Ms("took", time.Since(r.req.Arrived)).Int("parts", int64(r.receivedParts)).Err(callerConnFrom(ctx).cause()).End()
}

func (r *run) logSendFailed(s *shard, res *result) {
	l := r.e.cfg.Log.Line(r.logComponent(), "send failed").Str("id", r.req.ID).Str("service", s.service).
		Str("leaf", res.leaf.ID).Ms("after", time.Since(r.req.Arrived)).Int("runs", int64(s.possibleRuns))
	if res.err != nil {
		l.Str("verdict", res.err.Verdict.String()).Str("reason", string(res.err.Reason)).Err(res.err.Cause).End()
		return
	}
	l.Int("status", int64(res.reply.Status)).End()
}
