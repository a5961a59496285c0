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
const canaryBase = (maxRepins + 1) * attemptStride * attemptStride

// trialTimeout bounds how long a suspected query waits for permission to run as a trial.
const trialWait = 300 * time.Millisecond

var errQuarantined = errors.New("query: it is known or suspected to crash the targets that run it")

// blocked reports, at a home, whether the quarantine blocks q from being sent to leaves.
func (e *Engine) blocked(q *subquery) bool {
	e.observe()
	return !e.Quarantine.Empty() && e.Quarantine.Rule(q.names) == quarantine.Blocked
}

// updateQuarantine updates the quarantine registry from the current view. It is called for
// each query, so that a daemon that has just started serves none before it has the registry's
// entries.
func (e *Engine) observe() {
	if v := e.Source.Current(); v != nil {
		e.Quarantine.Observe(v.ConfigVersion, v.Tree)
	}
}

// runWithQuarantine runs p unless the quarantine refuses it, and reports leaves that crashed
// or exited during the query.
func (e *Engine) guarded(ctx context.Context, st state, p *plan) (*contract.Answer, *contract.Error) {
	began := time.Now()
	e.observe()
	ruling := quarantine.Free
	if !e.Quarantine.Empty() {
		ruling = e.Quarantine.Rule(p.names)
	}
	if ruling != quarantine.Free {
		if err := e.tryFirst(ctx, st, p, ruling, began); err != nil {
			return nil, err
		}
	}
	a, err := e.execute(ctx, st, p)
	if p.leafEnds > 0 && !p.survived {
		e.reportEnds(p, began)
	}
	return a, err
}

// runCanary sends a suspected query to a single leaf. It returns an error unless that leaf
// answered.
func (e *Engine) tryFirst(ctx context.Context, st state, p *plan, ruling quarantine.Ruling, began time.Time) *contract.Error {
	grant := quarantine.Denied
	switch ruling {
	case quarantine.Canary:
		grant = quarantine.Granted
	case quarantine.Suspect:
		wait, cancel := context.WithTimeout(ctx, trialWait)
		defer cancel()
		grant = e.Quarantine.Try(wait, p.names[quarantine.Exact])
	}
	klog.Infof("query: id=%s request=%s ruling=%v trial=%v", p.id, p.names[quarantine.Exact], ruling, grant)
	switch {
	case grant == quarantine.Wait:
		return quarantinedError(policy.TrialRetryAfter)
	case grant != quarantine.Granted:
		return quarantinedError(policy.QuarantinedRetryAfter)
	case !p.req.IsRepeatable():
		return nil // a canary would make it run twice on one leaf
	}
	t := scopesOf(st, p)[0][0]
	out := e.ask(ctx, st, t, &subquery{
		unit: t.unit, id: p.id, body: p.req.Body, repeatable: true, partial: true, attemptBase: canaryBase, canary: true, names: p.names,
	})
	p.leafEnds, p.survived = out.leafEnds, out.answered > 0
	switch {
	case p.survived:
		e.reportEnds(p, began)
		return nil
	case out.mayHaveRun():
		e.reportEnds(p, began)
		return &contract.Error{Verdict: contract.MayHaveRun, Reason: contract.ReasonQuarantined, Cause: errQuarantined, RetryAfter: policy.TrialRetryAfter.Milliseconds()}
	}
	if ruling == quarantine.Suspect {
		e.Quarantine.Release(p.names[quarantine.Exact])
	}
	return &contract.Error{Verdict: contract.NotRun, Reason: out.refusal, RetryAfter: out.retryAfter.Milliseconds()}
}

func quarantinedError(retry time.Duration) *contract.Error {
	return &contract.Error{Verdict: contract.NotRun, Reason: contract.ReasonQuarantined, Cause: errQuarantined, RetryAfter: retry.Milliseconds()}
}

// reportLeafExits reports to the quarantine registry how many leaves exited during the query
// and whether any leaf answered it.
func (e *Engine) reportEnds(p *plan, began time.Time) {
	if e.Quarantine == nil {
		return
	}
	r := &quarantine.Report{Request: p.names, Ends: p.leafEnds, Survived: p.survived, Began: time.Since(began)}
	for w := range r.Describe {
		r.Describe[w] = p.content.Describe(quarantine.Width(w))
	}
	klog.Infof("query: id=%s request=%s leaf_ends=%d survived=%v", p.id, p.names[quarantine.Exact], r.Ends, r.Survived)
	e.Quarantine.Report(r)
}
