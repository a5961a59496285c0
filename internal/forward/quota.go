package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"pearmoor/internal/contract"
	"pearmoor/internal/policy"
	"pearmoor/internal/route"
)

// Quotas decides whether requests are within the quotas of their organisations. Implementations
// are safe for concurrent use.
type Quotas interface {
	// Take takes one request from the quota of an organisation. It returns soon: a daemon that
	// counts the quota and does not answer is passed over.
	Take(ctx context.Context, org *route.Organisation) QuotaDecision
	// GiveBack returns a request that Take admitted and that reached no leaf. It does not block,
	// since the caller is answered after it.
	GiveBack(org *route.Organisation, d QuotaDecision)
}

// QuotaDecision is the outcome of Take.
type QuotaDecision struct {
	Admitted   bool
	Known      bool          // a daemon that counts the quota has answered
	RetryAfter time.Duration // if the request is not admitted: when one may be
	Owner      string        // address of the daemon that has admitted the request
	Grant      QuotaGrant
}

// QuotaGrant identifies a grant to its owner, which needs it to know what may be given back.
type QuotaGrant struct {
	Bucket, GrantedAt uint64
}

var (
	quotaRefused = metrics.GetOrRegisterCounter("forward.quota.refused", metrics.DefaultRegistry)
	quotaUnknown = metrics.GetOrRegisterCounter("forward.quota.unknown", metrics.DefaultRegistry)
)

// takeQuota takes the request from the quota of its organisation, and returns its answer if it is
// refused. A daemon that a gather is handed over to does not take it again.
func (r *run) takeQuota(ctx context.Context) *Answer {
	organisation := r.req.identity.organisation
	if r.e.cfg.Quotas == nil || organisation == nil || organisation.Rate <= 0 || r.req.HandedOver {
		return nil
	}
	if refused := r.refuseBlocked(); refused != nil {
		r.logAnswer(refused)
		return refused
	}
	r.quota = r.e.cfg.Quotas.Take(ctx, organisation)
	if r.quota.Admitted {
		r.quotaTaken = true
		return nil
	}
	a := &Answer{Verdict: contract.NotRun, Status: http.StatusTooManyRequests, Reason: contract.ReasonQuota, RetryAfter: r.quota.RetryAfter}
	event := "refused"
	if r.quota.Known {
		quotaRefused.Inc(1)
		if a.RetryAfter <= 0 {
			a.RetryAfter = policy.RetryAfter(0)
		}
	} else {
		quotaUnknown.Inc(1)
		event = "unknown"
		a.Status, a.Reason, a.RetryAfter = http.StatusServiceUnavailable, contract.ReasonUnconfirmed, policy.UnknownQuotaRetryAfter()
	}
	r.e.cfg.Log.Line("quota", event).Str("id", r.req.ID).Str("route", r.entry.Name).Str("organisation", organisation.Name).
		Str("owner", r.quota.Owner).Ms("retry_after", a.RetryAfter).End()
	return a
}

// returnQuota gives the request back to the quota of its organisation if it has reached no leaf.
// It is called when the run has ended and its sends are abandoned.
func (r *run) returnQuota() {
	if !r.quotaTaken || r.handoverBegun || r.mayHaveSent() {
		return
	}
	for i := range r.shards {
		if r.shards[i].reachedSends > 0 {
			return
		}
	}
	r.e.cfg.Quotas.GiveBack(r.req.identity.organisation, r.quota)
}
