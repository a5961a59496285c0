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

// canaryBase keeps the attempts of a canary apart from those of the query behind it.
const canaryBase = (maxRepins + 1) * attemptStride * attemptStride

// trialWait bounds the wait for permission to try a suspected query.
const trialWait = 300 * time.Millisecond

var errQuarantined = errors.New("query: it is known or suspected to crash the targets that run it")

// blocked reports whether a query must not reach a leaf, at a home that another daemon asks.
func (e *Engine) blocked(q *subquery) bool {
	e.observe()
	return !e.Quarantine.Empty() && e.Quarantine.Rule(q.names) == quarantine.Blocked
}

// observe takes in what the newest view holds, so that a daemon that has just started
// serves nothing without it.
func (e *Engine) observe() {
	if v := e.Source.Current(); v != nil {
		e.Quarantine.Observe(v.ConfigVersion, v.Tree)
	}
}

// guarded runs p, unless it crashes leaves, and tells of those that ended under it.
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

// tryFirst sends a suspected query to one leaf. It returns an error unless that has answered.
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
		return nil // sent to one leaf first, it would run there twice
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

// reportEnds hands what became of the leaves to the registry.
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
