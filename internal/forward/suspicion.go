package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"pearmoor/internal/contract"
	"pearmoor/internal/policy"
	"pearmoor/internal/quarantine"
)

var (
	leafCrashes        = metrics.GetOrRegisterCounter("forward.leaf_ends", metrics.DefaultRegistry)
	quarantineRefusals = metrics.GetOrRegisterCounter("forward.quarantined", metrics.DefaultRegistry)
	quarantineTrials   = metrics.GetOrRegisterCounter("forward.quarantine_trials", metrics.DefaultRegistry)
)

var errQuarantined = errors.New("forward: the request is known or suspected to crash the leaves that run it")

// trialGrantTimeout bounds the wait for permission to try a suspected request.
const trialGrantTimeout = 300 * time.Millisecond

// quarantineRequest returns the content that identifies the request in the quarantine. It is
// the same for every attempt.
func (r *Request) quarantineRequest() *quarantine.Request {
	q := &quarantine.Request{Method: r.Method, Host: r.Host, URI: r.URI, Caller: r.Caller, Body: r.Body, Length: int64(len(r.Body))}
	if r.Stream != nil {
		q.Length = r.Stream.Length()
	}
	return q
}

// fingerprints returns the quarantine fingerprints of the request, computed on first use.
func (r *run) fingerprints() quarantine.Fingerprints {
	if r.cachedFingerprints == nil {
		fingerprints := r.req.quarantineRequest().Fingerprints()
		r.cachedFingerprints = &fingerprints
	}
	return *r.cachedFingerprints
}

// checkQuarantine returns the answer to a request that must not be sent to a leaf now, nil if
// the request may proceed.
func (r *run) checkQuarantine(ctx context.Context) *Answer {
	registry, confirmed := r.e.cfg.Quarantine, r.e.confirmation().Exists()
	// Without a confirmation the request may have been blocked by a newer configuration.
	r.suspicion.Unconfirmed = registry != nil && !confirmed
	if registry.Empty() {
		return nil
	}
	fingerprints := r.fingerprints()
	ruling := registry.Check(fingerprints)
	grant := quarantine.Denied
	switch ruling {
	case quarantine.Unrestricted:
		return nil
	case quarantine.Canary:
		grant = quarantine.Granted
	case quarantine.Suspect:
		ctx, cancel := context.WithTimeout(ctx, trialGrantTimeout)
		defer cancel()
		tried := fingerprints[registry.TrialScope(fingerprints)]
		grant = registry.Try(ctx, tried, confirmed)
		if grant == quarantine.Granted {
			r.grantedTrial = &tried
		}
	}
	r.e.cfg.Log.Line("quarantine", "request checked").Str("id", r.req.ID).Str("request", fingerprints[quarantine.Exact].String()).
		Str("ruling", ruling.String()).Str("trial", grant.String()).End()
	if grant == quarantine.Granted {
		quarantineTrials.Inc(1)
		r.isTrial, r.suspicion.Suspected = true, true
		return nil
	}
	retryAfter := policy.QuarantinedRetryAfter
	if grant == quarantine.Wait {
		retryAfter = policy.TrialRetryAfter
	}
	return quarantinedAnswer(retryAfter)
}

// quarantinedAnswer counts a refusal by the quarantine and returns its answer.
func quarantinedAnswer(retryAfter time.Duration) *Answer {
	quarantineRefusals.Inc(1)
	return &Answer{Status: http.StatusServiceUnavailable, RetryAfter: retryAfter, Verdict: contract.NotRun, Reason: contract.ReasonQuarantined, Cause: errQuarantined}
}

// refuseBlocked returns the answer to a request that the quarantine blocks, otherwise nil. Unlike
// checkQuarantine it asks for no trial, so a daemon that hands the request over may call it too.
func (r *run) refuseBlocked() *Answer {
	registry := r.e.cfg.Quarantine
	if registry.Empty() || registry.Check(r.fingerprints()) != quarantine.Blocked {
		return nil
	}
	return quarantinedAnswer(policy.QuarantinedRetryAfter)
}

// maySend reports whether the quarantine rules allow one more send now.
func (r *run) maySend() bool {
	switch {
	case r.quarantined:
		return false
	case !r.suspicion.Guarded():
		return true
	case r.suspicion.LeafExits > 0 && r.e.cfg.Quarantine != nil && r.e.cfg.Quarantine.Check(r.fingerprints()) == quarantine.Blocked:
		r.quarantined = true
		return false
	}
	return r.suspicion.MaySend(r.inFlight())
}

// updateSuspicion updates the suspicion that the request crashes leaves from the result of a
// send.
func (r *run) updateSuspicion(s *shard, res *result) {
	if !res.err.LeafExited() {
		r.suspicion.Unconfirmed = false // a reset, a refusal or an error says nothing about the request
	}
	switch {
	case res.err != nil && res.err.Reason == contract.ReasonQuarantined:
		r.quarantined = true
	case res.err == nil && res.reply.Refused, res.err != nil && res.err.Verdict == contract.NotRun:
		r.suspicion.RecordNotRun()
	case res.err == nil && res.reply.Status < http.StatusInternalServerError:
		r.suspicion.Answered = true // a leaf that returns an error may not have reached the code that crashes it
	case res.err.LeafExited():
		r.suspicion.LeafExits++
		leafCrashes.Inc(1)
		r.e.cfg.Log.Line(r.logComponent(), "leaf ended").Str("id", r.req.ID).Str("request", r.fingerprints()[quarantine.Exact].String()).
			Str("service", s.service).Str("leaf", res.leaf.ID).Ms("after", time.Since(r.req.Arrived)).Ms("took", res.took).
			Int("ends", int64(r.suspicion.LeafExits)).Bool("survived", r.suspicion.Answered).Int("in_flight", int64(r.inFlight())).
			Bool("delegated", res.set != nil).End()
	}
}

// resumeHeldShards sends for held shards as far as the suspicion allows. If no further send is
// allowed, it stops the shards without a pending send.
func (r *run) resumeHeldShards() {
	if !r.hasHeldShards && !r.quarantined && !r.suspicion.Guarded() {
		return
	}
	r.hasHeldShards = false
	if r.quarantined || r.suspicion.Exhausted(r.inFlight()) {
		for i := range r.shards {
			if s := &r.shards[i]; !s.done && len(s.pending) == 0 {
				s.stopSending()
			}
		}
		return
	}
	var unsent []int
	for i := range r.shards {
		switch s := &r.shards[i]; {
		case !s.held || s.done:
		case !r.maySend():
			r.hasHeldShards = true
		case r.suspicion.Guarded() || s.totalSends > 0:
			s.held = false
			r.resend(i)
		default:
			s.held = false
			unsent = append(unsent, i)
		}
	}
	r.launchShards(unsent)
}

// endProbe sends for the held shards although the probe of an unconfirmed request has not
// ended.
func (r *run) endProbe() {
	if r.suspicion.Unconfirmed && r.suspicion.LeafExits == 0 {
		r.suspicion.Unconfirmed = false
		r.resumeHeldShards()
	}
}

// reportAttempt reports to the quarantine registry, at the end of the run, how many leaves
// crashed and whether one survived the request.
func (r *run) reportAttempt() {
	registry, s := r.e.cfg.Quarantine, &r.suspicion
	if registry == nil || !r.isTrial && (s.LeafExits == 0 || s.Answered) {
		return
	}
	fingerprints := r.fingerprints()
	if r.isTrial && !s.Answered && s.LeafExits == 0 && r.verdict == contract.NotRun && r.inFlight() == 0 {
		if r.grantedTrial != nil {
			registry.Release(*r.grantedTrial)
		}
		return
	}
	r.e.cfg.Log.Line("quarantine", "attempt reported").Str("id", r.req.ID).Str("request", fingerprints[quarantine.Exact].String()).Int("ends", int64(s.LeafExits)).
		Bool("survived", s.Answered).Bool("tried", r.isTrial).End()
	report := &quarantine.Report{Fingerprints: fingerprints, LeafExits: s.LeafExits, Answered: s.Answered, Age: time.Since(r.req.Arrived)}
	content := r.req.quarantineRequest()
	for w := range report.Descriptions {
		report.Descriptions[w] = content.Describe(quarantine.Scope(w))
	}
	registry.Report(report)
}

// inFlight returns the number of pending sends.
func (r *run) inFlight() int {
	n := 0
	for i := range r.shards {
		n += len(r.shards[i].pending)
	}
	return n
}

// isQuarantined reports whether this daemon's quarantine registry restricts the request that
// another daemon has delegated.
func (sc *scatterCall) isQuarantined() bool {
	registry := sc.e.cfg.Quarantine
	if registry.Empty() {
		return false
	}
	q := &quarantine.Request{Method: sc.req.Method, Caller: sc.req.Caller, Body: sc.req.Body, Length: int64(len(sc.req.Body))}
	q.URI, q.Host = parseHead(sc.req.Head)
	return registry.Check(q.Fingerprints()) != quarantine.Unrestricted
}
