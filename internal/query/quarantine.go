package query

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"pearmoor/internal/contract"
	"pearmoor/internal/policy"
	"pearmoor/internal/quarantine"
)

// canaryAttemptBase keeps the attempt numbers of a canary distinct from those of the query
// that follows it.
const canaryAttemptBase = (maxRepins + 1) * attemptStride * attemptStride

// trialTimeout bounds how long a suspected query waits for permission to run as a trial.
const trialTimeout = 300 * time.Millisecond

var errQuarantined = errors.New("query: it is known or suspected to crash the targets that run it")

// blocked reports, at a home, whether the quarantine blocks q from being sent to leaves.
func (e *Engine) blocked(q *subquery) bool {
	e.updateQuarantine()
	return !e.Quarantine.Empty() && e.Quarantine.Check(q.fingerprints) == quarantine.Blocked
}

// updateQuarantine updates the quarantine registry from the current view. It is called for
// each query, so that a daemon that has just started serves none before it has the registry's
// entries.
func (e *Engine) updateQuarantine() {
	if v := e.Source.Current(); v != nil {
		e.Quarantine.Update(v.ConfigVersion, v.Tree)
	}
}

// runWithQuarantine runs p unless the quarantine refuses it, and reports leaves that crashed
// or exited during the query.
func (e *Engine) runWithQuarantine(ctx context.Context, st tierView, p *plan) (*contract.Answer, *contract.Error) {
	start := time.Now()
	e.updateQuarantine()
	ruling := quarantine.Unrestricted
	if !e.Quarantine.Empty() {
		ruling = e.Quarantine.Check(p.fingerprints)
	}
	if ruling != quarantine.Unrestricted {
		if err := e.runCanary(ctx, st, p, ruling, start); err != nil {
			return nil, err
		}
	}
	a, err := e.execute(ctx, st, p)
	if p.leafExits > 0 && !p.leafAnswered {
		e.reportLeafExits(p, start)
	}
	return a, err
}

// runCanary sends a suspected query to a single leaf. It returns an error unless that leaf
// answered.
func (e *Engine) runCanary(ctx context.Context, st tierView, p *plan, ruling quarantine.Ruling, start time.Time) *contract.Error {
	grant, tried := quarantine.Denied, p.fingerprints[quarantine.Exact]
	switch ruling {
	case quarantine.Canary:
		grant = quarantine.Granted
	case quarantine.Suspect:
		trialCtx, cancel := context.WithTimeout(ctx, trialTimeout)
		defer cancel()
		const confirmed = true // queries are accepted only under a lease
		tried = p.fingerprints[e.Quarantine.TrialScope(p.fingerprints)]
		grant = e.Quarantine.Try(trialCtx, tried, confirmed)
	}
	klog.Infof("query: id=%s request=%s ruling=%v trial=%v", p.id, p.fingerprints[quarantine.Exact], ruling, grant)
	switch {
	case grant == quarantine.Wait:
		return quarantinedError(policy.TrialRetryAfter)
	case grant != quarantine.Granted:
		return quarantinedError(policy.QuarantinedRetryAfter)
	case !p.req.IsRepeatable():
		return nil // a canary would make it run twice on one leaf
	}
	g := versionScopes(st, p)[0][0]
	answer := e.queryGroup(ctx, st, g, &subquery{
		leafGroup: g.leafGroup, id: p.id, body: p.req.Body, repeatable: true, partial: true, attemptBase: canaryAttemptBase, canary: true, fingerprints: p.fingerprints,
	})
	p.leafExits, p.leafAnswered = answer.leafExits, answer.answered > 0
	switch {
	case p.leafAnswered:
		e.reportLeafExits(p, start)
		return nil
	case answer.mayHaveRun():
		e.reportLeafExits(p, start)
		return &contract.Error{Verdict: contract.MayHaveRun, Reason: contract.ReasonQuarantined, Cause: errQuarantined, RetryAfter: policy.TrialRetryAfter.Milliseconds()}
	}
	if ruling == quarantine.Suspect {
		e.Quarantine.Release(tried)
	}
	return &contract.Error{Verdict: contract.NotRun, Reason: answer.refusal, RetryAfter: answer.retryAfter.Milliseconds()}
}

func quarantinedError(retryAfter time.Duration) *contract.Error {
	return &contract.Error{Verdict: contract.NotRun, Reason: contract.ReasonQuarantined, Cause: errQuarantined, RetryAfter: retryAfter.Milliseconds()}
}

// reportLeafExits reports to the quarantine registry how many leaves exited during the query
// and whether any leaf answered it.
func (e *Engine) reportLeafExits(p *plan, start time.Time) {
	if e.Quarantine == nil {
		return
	}
	r := &quarantine.Report{Fingerprints: p.fingerprints, LeafExits: p.leafExits, Answered: p.leafAnswered, Age: time.Since(start)}
	for w := range r.Descriptions {
		r.Descriptions[w] = p.content.Describe(quarantine.Scope(w))
	}
	klog.Infof("query: id=%s request=%s leaf_ends=%d survived=%v", p.id, p.fingerprints[quarantine.Exact], r.LeafExits, r.Answered)
	e.Quarantine.Report(r)
}
