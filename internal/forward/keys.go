package forward

import (
	"bytes"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"pearmoor/internal/contract"
	"pearmoor/internal/link/target"
	"pearmoor/internal/policy"
	"pearmoor/internal/route"
)

// maxKeyBytes is the longest API key that is looked up.
const maxKeyBytes = 4 << 10

// keysRefused counts the requests, and the calls of other daemons, that are refused because of
// their API keys, by cause.
var keysRefused = func() map[policy.KeyCause]metrics.Counter {
	out := make(map[policy.KeyCause]metrics.Counter, len(policy.KeyCauses))
	for _, cause := range policy.KeyCauses {
		out[cause] = metrics.GetOrRegisterCounter("forward.keys.refused."+string(cause), metrics.DefaultRegistry)
	}
	return out
}()

// identity is the organisation that a request is served for. It does not contain the API key.
type identity struct {
	digest       route.KeyDigest     // of the API key; zero if organisation is nil
	organisation *route.Organisation // nil: none
	keysRequired bool                // the table that admitted the request requires keys
	public       bool                // the route needs no key
}

// name returns the name of the organisation, "" if there is none.
func (id *identity) name() string {
	if id.organisation == nil {
		return ""
	}
	return id.organisation.Name
}

// wireDigest returns the digest for a call to another daemon, nil if there is none.
func (id *identity) wireDigest() []byte {
	if id.organisation == nil {
		return nil
	}
	return bytes.Clone(id.digest[:])
}

// priority returns the priority of the organisation if it has one, otherwise that of the route.
func (id *identity) priority(entry *route.Entry) int {
	if id.organisation != nil && id.organisation.HasPriority {
		return id.organisation.Priority
	}
	return entry.Priority
}

// keyRefusal says why the API key of a request does not allow it. It implements error and does
// not contain the key.
type keyRefusal struct {
	cause  policy.KeyCause
	ruling policy.KeyRuling
}

// Error implements error.
func (k *keyRefusal) Error() string {
	return "forward: the API key does not allow the request: " + string(k.cause)
}

func (k *keyRefusal) reason() contract.Reason {
	if k.ruling == policy.KeyUnauthorized {
		return contract.ReasonUnauthorized
	}
	return contract.ReasonUnconfirmed
}

// sendError returns the error of a send that was refused.
func (k *keyRefusal) sendError() *contract.Error { return contract.Refuse(k.reason(), k) }

// answer returns the answer to a request that was refused.
func (k *keyRefusal) answer() *Answer {
	a := unconfirmedAnswer()
	if k.ruling == policy.KeyUnauthorized {
		a = &Answer{Status: http.StatusUnauthorized, Verdict: contract.NotRun, Reason: contract.ReasonUnauthorized}
	}
	a.Cause = k
	return a
}

// confirmedTable returns the table in use, nil if there is none, and when it was confirmed. The
// confirmation is read first: the table is then at least as new as what was confirmed. In the
// other order a table that still has a revoked key could be taken for confirmed after the
// revocation.
func (e *Engine) confirmedTable() (*activeTable, policy.Confirmation) {
	confirmation := e.confirmation()
	return e.active.Load(), confirmation
}

// mayAllowKeys reports whether requests may be served because a table confirmed at confirmation
// has their API keys.
func (e *Engine) mayAllowKeys(confirmation policy.Confirmation) bool {
	return e.cfg.RevokeTime <= 0 || e.cfg.Confirmation == nil || confirmation.MayAllowKeys(e.now(), e.cfg.RevokeTime)
}

// checkOf returns the state that decides about a request whose key has the given cause to be
// refused.
func (e *Engine) checkOf(cause policy.KeyCause, confirmation policy.Confirmation, public bool) policy.KeyCheck {
	return policy.KeyCheck{Cause: cause, Public: public, MayDeny: e.mayDenyBy(confirmation)}
}

// lookUpKey returns the organisation that holds the key, or why the key does not allow a request.
func (e *Engine) lookUpKey(table *route.Table, confirmation policy.Confirmation, digest route.KeyDigest) (*route.Organisation, policy.KeyCause) {
	organisation, ok := table.OrganisationByKey(digest)
	switch {
	case !ok:
		return nil, policy.KeyUnknown
	case !e.mayAllowKeys(confirmation):
		return nil, policy.KeyLeaseEnded
	}
	return organisation, policy.KeyValid
}

// checkArrival checks the API key of a request that has arrived from a caller, and returns its
// answer if it is refused. If the table requires keys, it removes the key from the headers and
// sets the organisation of the request and the header that names it.
func (e *Engine) checkArrival(active *activeTable, confirmation policy.Confirmation, entry *route.Entry, req *Request) *Answer {
	if !active.table.RequiresKeys() {
		return nil
	}
	dialect := e.cfg.Dialect
	key, cause := parseKey(req.Header[http.CanonicalHeaderKey(dialect.Key)], dialect.KeyScheme)
	id := identity{keysRequired: true, public: entry.Public}
	var digest route.KeyDigest
	if cause == policy.KeyValid {
		digest = route.DigestKey(key)
		id.organisation, cause = e.lookUpKey(active.table, confirmation, digest)
	}
	ruling := e.checkOf(cause, confirmation, entry.Public).AtArrival()
	if ruling == policy.KeyUnauthorized || ruling == policy.KeyUnconfirmed {
		refusal := &keyRefusal{cause, ruling}
		e.recordKeyRefusal("arrival", req.ID, entry.Name, digest, refusal, confirmation)
		return refusal.answer()
	}
	stripKey(dialect, req)
	if ruling == policy.KeyServe {
		id.digest = digest
		req.Header.Set(dialect.Organisation, id.organisation.Name)
	}
	req.identity = id
	return nil
}

// stripKey removes the API key, and what the caller states as its organisation, from the headers
// and the trailers of a request.
func stripKey(dialect *target.Dialect, req *Request) {
	if req.Header == nil {
		req.Header = make(http.Header)
	}
	req.Header.Del(dialect.Key)
	req.Header.Del(dialect.Organisation)
	if req.Stream != nil {
		req.Stream.HideTrailers(dialect.Key, dialect.Organisation)
	}
}

// parseKey returns the API key in the values of the key header.
func parseKey(values []string, scheme string) (string, policy.KeyCause) {
	switch {
	case len(values) == 0:
		return "", policy.KeyMissing
	case len(values) > 1:
		return "", policy.KeyDuplicate
	}
	value := values[0]
	if len(value) <= len(scheme) || !strings.EqualFold(value[:len(scheme)], scheme) || value[len(scheme)] != ' ' {
		return "", policy.KeyMalformed
	}
	key := strings.TrimLeft(value[len(scheme):], " ")
	if key == "" || len(key) > maxKeyBytes {
		return "", policy.KeyMalformed
	}
	for i := range len(key) {
		if key[i] <= ' ' || key[i] == 0x7f {
			return "", policy.KeyMalformed
		}
	}
	return key, policy.KeyValid
}

// keyCheck returns the check that is made right before a request is written to a leaf, which may
// be long after it was admitted. The key must still belong to the organisation in the newest
// table, and the table must have been confirmed recently enough.
func (e *Engine) keyCheck(id *identity) func() *contract.Error {
	return func() *contract.Error {
		if refusal := e.recheckKey(id); refusal != nil {
			return refusal.sendError()
		}
		return nil
	}
}

// recheckKey returns why the request of an identity may not be written to a leaf now, nil if it
// may.
func (e *Engine) recheckKey(id *identity) *keyRefusal {
	active, confirmation := e.confirmedTable()
	cause := policy.KeyValid
	switch {
	case id.organisation != nil:
		var holder *route.Organisation
		holder, cause = e.lookUpKey(active.table, confirmation, id.digest)
		if holder != nil && holder.Name != id.organisation.Name {
			cause = policy.KeyMoved
		}
	case !id.keysRequired && active.table.RequiresKeys():
		cause = policy.KeyUnchecked // its headers may contain a key
	}
	if cause == policy.KeyValid {
		return nil
	}
	return &keyRefusal{cause, e.checkOf(cause, confirmation, id.public).BeforeWrite()}
}

// peerCall is what another daemon states about a request that it sends here.
type peerCall struct {
	id           string
	head         []byte
	digest       []byte // empty: the request has no valid key
	organisation string
}

// checkPeer checks the API key of a request that another daemon sends here. Its configuration may
// be older or newer than the one of this daemon. What is refused here the other daemon answers
// itself.
func (e *Engine) checkPeer(active *activeTable, confirmation policy.Confirmation, call peerCall) (identity, *keyRefusal) {
	uri, host := parseHead(call.head)
	entry, ok := active.table.Find(host, pathOf(uri))
	id := identity{keysRequired: active.table.RequiresKeys(), public: ok && entry.Public}
	var digest route.KeyDigest
	cause := policy.KeyValid
	switch {
	case len(call.digest) == len(digest):
		digest = route.KeyDigest(call.digest)
		id.digest = digest
		id.organisation, cause = e.lookUpKey(active.table, confirmation, digest)
		if id.organisation != nil && id.organisation.Name != call.organisation {
			cause = policy.KeyMoved
		}
	case len(call.digest) > 0 || call.organisation != "":
		cause = policy.KeyMalformed
	case id.keysRequired && (!id.public || headHas(call.head, e.cfg.Dialect.Organisation)):
		cause = policy.KeyMissing
	}
	if cause == policy.KeyValid && id.keysRequired && headHas(call.head, e.cfg.Dialect.Key) {
		cause = policy.KeyUnchecked // the other daemon does not require keys and has left the key in
	}
	if cause == policy.KeyValid {
		return id, nil
	}
	refusal := &keyRefusal{cause, e.checkOf(cause, confirmation, id.public).BeforeWrite()}
	name := ""
	if ok {
		name = entry.Name
	}
	e.recordKeyRefusal("daemon", call.id, name, digest, refusal, confirmation)
	return identity{}, refusal
}

// headHas reports whether a head rendered by renderHead has the header.
func headHas(head []byte, name string) bool {
	return name != "" && bytes.Contains(head, []byte("\r\n"+http.CanonicalHeaderKey(name)+":"))
}

// noteKeyRefusal reports whether err is the refusal of a send by the key check of this daemon,
// and stores it.
func (r *run) noteKeyRefusal(err *contract.Error) bool {
	var refusal *keyRefusal
	if err == nil || !errors.As(err.Cause, &refusal) {
		return false
	}
	r.lastErr = err
	if r.keyRefusal == nil {
		r.e.recordKeyRefusal("write", r.req.ID, r.entry.Name, r.req.identity.digest, refusal, r.e.confirmation())
	}
	r.keyRefusal = refusal
	return true
}

// isKeyRefusal reports whether another daemon has answered the gather that its configuration does
// not allow the API key, and has not run it.
func (r *run) isKeyRefusal(a *Answer) bool {
	return a != nil && r.req.identity.keysRequired && a.Verdict == contract.NotRun &&
		(a.Reason == contract.ReasonUnauthorized || a.Reason == contract.ReasonUnconfirmed)
}

// recordKeyRefusal counts and logs a refused request. stage says which check has refused it.
func (e *Engine) recordKeyRefusal(stage, id, routeName string, digest route.KeyDigest, refusal *keyRefusal, confirmation policy.Confirmation) {
	keysRefused[refusal.cause].Inc(1)
	l := e.cfg.Log.Line("caller", "key refused").Str("id", id).Str("route", routeName).Str("cause", string(refusal.cause)).
		Str("stage", stage).Str("reason", string(refusal.reason())).Bool("confirmed", confirmation.Exists()).Ms("confirmed_ago", confirmation.Age(e.now()))
	if !digest.IsZero() {
		l = l.Str("key", digest.Fingerprint())
	}
	l.End()
}
