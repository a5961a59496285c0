package policy

import (
	"math/rand/v2"
	"time"
)

// KeyCause is why a request's API key does not allow the request. The values appear in log lines
// and in the names of counters.
type KeyCause string

// The causes; KeyValid: there is none.
const (
	KeyValid      KeyCause = ""
	KeyMissing    KeyCause = "missing"
	KeyMalformed  KeyCause = "malformed"
	KeyDuplicate  KeyCause = "duplicate"   // more than one key was sent
	KeyUnknown    KeyCause = "unknown"     // no organisation holds the key
	KeyMoved      KeyCause = "moved"       // another organisation holds the key since the request arrived
	KeyLeaseEnded KeyCause = "lease_ended" // the configuration was confirmed too long ago
	KeyUnchecked  KeyCause = "unchecked"   // keys have been required since the request arrived
)

// KeyCauses lists the causes of refusals.
var KeyCauses = []KeyCause{KeyMissing, KeyMalformed, KeyDuplicate, KeyUnknown, KeyMoved, KeyLeaseEnded, KeyUnchecked}

// KeyRuling is what to do with a request because of its API key.
type KeyRuling uint8

// The rulings.
const (
	KeyServe          KeyRuling = iota // serve it for the organisation that holds the key
	KeyServeAnonymous                  // serve it without an organisation
	KeyUnauthorized                    // deny it
	KeyUnconfirmed                     // refuse it without denying it; the caller may come back
)

// KeyCheck is the state that decides about a request with an API key.
type KeyCheck struct {
	Cause   KeyCause
	Public  bool // the route needs no key
	MayDeny bool // the configuration was confirmed recently enough for a denial
}

// AtArrival returns the ruling for a request that has just arrived.
func (c KeyCheck) AtArrival() KeyRuling {
	switch {
	case c.Cause == KeyValid:
		return KeyServe
	case c.Public:
		return KeyServeAnonymous
	}
	return c.refuse()
}

// BeforeWrite returns the ruling for a request that is about to be written to a leaf. It names
// its organisation already, so on a public route it can't go on without one.
func (c KeyCheck) BeforeWrite() KeyRuling {
	if c.Cause == KeyValid {
		return KeyServe
	}
	return c.refuse()
}

func (c KeyCheck) refuse() KeyRuling {
	switch {
	case c.Public, !c.MayDeny:
		return KeyUnconfirmed
	case c.Cause == KeyLeaseEnded, c.Cause == KeyMoved, c.Cause == KeyUnchecked:
		return KeyUnconfirmed // the same request may be served on its next arrival
	}
	return KeyUnauthorized
}

// minUnknownQuotaRetryAfter and maxUnknownQuotaRetryAfter bound the Retry-After of a request whose quota no
// daemon could tell. Spread out, the callers do not come back together.
const (
	minUnknownQuotaRetryAfter = 300 * time.Millisecond
	maxUnknownQuotaRetryAfter = 600 * time.Millisecond
)

// UnknownQuotaRetryAfter returns the Retry-After of a request whose quota no daemon could tell.
func UnknownQuotaRetryAfter() time.Duration {
	return minUnknownQuotaRetryAfter + rand.N(maxUnknownQuotaRetryAfter-minUnknownQuotaRetryAfter)
}
