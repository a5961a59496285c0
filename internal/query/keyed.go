package query

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"pearmoor/internal/contract"
	"pearmoor/internal/link/peer"
	"pearmoor/internal/link/wire"
	"pearmoor/internal/query/session"
	"pearmoor/internal/vm"
)

const (
	inProgressRetryAfter = 100 * time.Millisecond
	maxKeyedTimeout      = time.Second // for a path without settings
)

// queryKeyed runs a non-repeatable request: here if this incarnation of the daemon issued its
// session, else on the daemon that did.
func (e *Engine) queryKeyed(ctx context.Context, st tierView, id string, r *contract.Request) (*contract.Answer, *contract.Error) {
	token, err := parseSession(r)
	if err != nil {
		return nil, err
	}
	if e.issuer.Owns(token) {
		return e.runKeyed(ctx, st, token, id, r, noTimeLimit)
	}
	owner, ok := st.Member(token.Owner)
	if !ok || owner.Incarnation != token.Incarnation {
		return nil, keyInDoubt(errors.Newf("the run of daemon %s that issued the session has ended", token.Owner))
	}
	return e.forwardToOwner(ctx, st, owner, id, r)
}

// noTimeLimit is the time left of a request that came directly from a caller: only the
// deadline in the request applies.
const noTimeLimit = time.Duration(1<<63 - 1)

// keyInDoubt returns the error for a key whose history is unknown. An earlier attempt may
// have run, so the request is not run now.
func keyInDoubt(cause error) *contract.Error {
	return &contract.Error{Verdict: contract.MayHaveRun, Reason: contract.ReasonKeyInDoubt, Cause: cause}
}

// runKeyed runs r unless the key table has its key. The table is consulted before the request
// is validated and the lease is checked: a resend that was refused for one of these would be
// answered with not_run although the request ran.
func (e *Engine) runKeyed(ctx context.Context, st tierView, token *session.Token, id string, r *contract.Request, timeLeft time.Duration) (*contract.Answer, *contract.Error) {
	if !e.issuer.Verify(token) {
		return nil, invalid(contract.ReasonInvalidRequest, fault("session", truncated([]byte(r.Session)),
			"this daemon did not issue it", "take a session from GET /v1/addresses"))
	}
	key := session.Key{Nonce: token.Nonce, Key: r.Key}
	now := e.Clock()
	if s, o, ok := e.keyTable.Lookup(key, fingerprint(r), now); ok {
		return knownOutcome(s, o, r)
	}
	if err := checkNotExpired(token, now); err != nil {
		return nil, err
	}
	p, err := validate(st, id, r)
	if err != nil {
		return nil, err
	}
	p.timeout = min(p.timeout, timeLeft)
	if s, o := e.keyTable.Begin(key, fingerprint(r), token.KeysKeptUntil(), now); s != session.New {
		return knownOutcome(s, o, r)
	}
	// The run continues when the caller disconnects, so that a resend finds a definite
	// outcome.
	a, err := e.runConfirmed(context.WithoutCancel(ctx), st, p)
	e.keyTable.Finish(key, session.Outcome{Answer: a, Err: err})
	return a, err
}

// checkNotExpired returns an error for a key that is not in the table if its session has
// expired. Until the end of the resend window it is certain that the key has not run.
func checkNotExpired(token *session.Token, now vm.Instant) *contract.Error {
	switch {
	case now >= token.KeysKeptUntil():
		return keyInDoubt(errors.New("the session and its resend window have ended"))
	case now >= token.ExpiresAt():
		return invalid(contract.ReasonInvalidRequest, fault("session", "", "it has ended, and the key has not run under it",
			"take a new session from GET /v1/addresses"))
	}
	return nil
}

// knownOutcome returns the answer or error for a key that the table did not accept as new.
func knownOutcome(s session.State, o session.Outcome, r *contract.Request) (*contract.Answer, *contract.Error) {
	switch s {
	case session.Done:
		if o.Err != nil {
			return nil, o.Err
		}
		first := *o.Answer
		return &first, nil
	case session.Running:
		return nil, &contract.Error{Verdict: contract.MayHaveRun, Reason: contract.ReasonKeyInProgress,
			RetryAfter: inProgressRetryAfter.Milliseconds()}
	case session.Mismatch:
		return nil, invalid(contract.ReasonInvalidRequest, fault("key", truncated([]byte(r.Key)),
			"it was used for another request under this session", "send a new key for a new request"))
	}
	return nil, &contract.Error{Verdict: contract.NotRun, Reason: contract.ReasonOverload, RetryAfter: unconfirmedRetryAfter.Milliseconds(),
		Cause: errors.New("no more keys can be remembered")}
}

// fingerprint returns a hash of r that distinguishes a resend from a different request under
// the same key.
func fingerprint(r *contract.Request) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(r.Path)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(r.Body)
	return d.Sum64()
}

// forwardToOwner sends r to the daemon that issued its session. If the call fails, the key is
// in doubt even when this call was provably never sent: an earlier attempt under the key may
// have run there.
func (e *Engine) forwardToOwner(ctx context.Context, st tierView, owner vm.Member, id string, r *contract.Request) (*contract.Answer, *contract.Error) {
	timeout := keyedTimeout(st, r)
	ctx, cancel := context.WithTimeout(ctx, timeout-min(replyMargin, timeout/10))
	defer cancel()
	raw, err := json.Marshal(r)
	if err != nil {
		return nil, &contract.Error{Verdict: contract.NotRun, Reason: contract.ReasonInternal, Cause: err}
	}
	conn, err := e.Conns.Conn(ctx, owner.PeerAddr)
	if err != nil {
		return nil, keyInDoubt(errors.Wrapf(err, "daemon %s can't be reached", owner.Name))
	}
	defer conn.Close()
	left := homeTimeLeft(timeout)
	if deadline, ok := ctx.Deadline(); ok {
		left = homeTimeLeft(time.Until(deadline))
	}
	reply, err := wire.NewDRPCHomeClient(conn).Keyed(ctx, &wire.KeyedQuery{
		RequestId: id, Request: raw, Caller: r.Caller, DeadlineMs: uint32(left.Milliseconds()), Incarnation: owner.Incarnation,
	})
	if err != nil {
		if peer.NotSent(err) {
			return nil, keyInDoubt(errors.Wrapf(err, "daemon %s can't be reached; this send did not run, an earlier one may have", owner.Name))
		}
		return nil, keyInDoubt(errors.Wrapf(err, "daemon %s did not answer", owner.Name))
	}
	return decodeKeyed(reply)
}

// keyedTimeout returns how long to wait for the owner of a session. The owner validates the
// deadline of r; here it is only clamped.
func keyedTimeout(st tierView, r *contract.Request) time.Duration {
	limit := maxKeyedTimeout
	if eff, ok := st.Effective(r.Path); ok {
		limit = eff.DeadlineMax
		if r.DeadlineMS <= 0 {
			return eff.DeadlineDefault
		}
	}
	return min(time.Duration(max(r.DeadlineMS, minDeadline.Milliseconds()))*time.Millisecond, limit)
}

// decodeKeyed decodes the reply of the daemon that issued the session.
func decodeKeyed(w *wire.KeyedAnswer) (*contract.Answer, *contract.Error) {
	if len(w.Answer) > 0 {
		var a contract.Answer
		if err := json.Unmarshal(w.Answer, &a); err != nil {
			return nil, keyInDoubt(err)
		}
		return &a, nil
	}
	var f contract.Failure
	if err := json.Unmarshal(w.Failure, &f); err != nil {
		return nil, keyInDoubt(err)
	}
	e := &contract.Error{Verdict: f.Verdict, Reason: f.Reason, RetryAfter: f.RetryAfterMS}
	if len(f.Faults) > 0 {
		e.Cause = contract.Faults(f.Faults)
	} else if f.Message != "" {
		e.Cause = errors.New(f.Message)
	}
	return nil, e
}

// serveKeyed answers a non-repeatable request that another daemon forwarded.
func (e *Engine) serveKeyed(ctx context.Context, w *wire.KeyedQuery) *wire.KeyedAnswer {
	a, err := e.runForwarded(ctx, w)
	if err == nil {
		raw, jsonErr := json.Marshal(a)
		if jsonErr == nil {
			return &wire.KeyedAnswer{Answer: raw}
		}
		err = &contract.Error{Verdict: a.Verdict, Reason: contract.ReasonInternal, Cause: jsonErr}
	}
	raw, _ := json.Marshal(toFailure(w.RequestId, err)) // plain fields always marshal
	return &wire.KeyedAnswer{Failure: raw}
}

// runForwarded runs a non-repeatable request that another daemon forwarded, if this
// incarnation issued its session.
func (e *Engine) runForwarded(ctx context.Context, w *wire.KeyedQuery) (*contract.Answer, *contract.Error) {
	if w.Incarnation != e.Self.Incarnation {
		return nil, keyInDoubt(errors.Newf("the run of daemon %s that issued the session has ended", e.Self.Name))
	}
	if !e.work.start() {
		return nil, keyInDoubt(errors.Newf("daemon %s is ending", e.Self.Name))
	}
	defer e.work.end()
	var r contract.Request
	if err := json.Unmarshal(w.Request, &r); err != nil {
		return nil, invalid(contract.ReasonInvalidRequest, fault("request", "", err.Error(), "send one JSON object"))
	}
	r.Caller = w.Caller
	st := e.currentView()
	if st == nil {
		return nil, keyInDoubt(errors.New("the daemon has no configuration"))
	}
	token, err := parseSession(&r)
	if err != nil {
		return nil, err
	}
	if !e.issuer.Owns(token) {
		return nil, keyInDoubt(errors.New("the session is not of this daemon"))
	}
	return e.runKeyed(ctx, st, token, w.RequestId, &r, time.Duration(w.DeadlineMs)*time.Millisecond)
}

// toFailure converts err to the failure that is returned to callers.
func toFailure(id string, err *contract.Error) *contract.Failure {
	f := &contract.Failure{RequestID: id, Verdict: err.Verdict, Reason: err.Reason, RetryAfterMS: err.RetryAfter}
	var faults contract.Faults
	if errors.As(err.Cause, &faults) {
		f.Faults = faults
	}
	f.Message = err.Error()
	return f
}
