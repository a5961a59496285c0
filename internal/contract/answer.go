package contract

import "encoding/json"

// Reason is the reason why a shard is missing from an answer or a request failed.
type Reason string

// Reasons reported to callers.
const (
	ReasonDeadline        Reason = "deadline"          // no reply before the deadline
	ReasonNoLiveTarget    Reason = "no_live_replica"   // no live target has the shard at the pinned index version
	ReasonTargetRefused   Reason = "target_refused"    // every target asked refused before running
	ReasonTargetFailed    Reason = "target_failed"     // the target failed after it may have run the request
	ReasonWrongReply      Reason = "wrong_reply"       // the reply belongs to another request, shard or version
	ReasonOverload        Reason = "overload"          // the wait for a slot would exceed the deadline
	ReasonHomeUnreachable Reason = "home_unreachable"  // the daemon that serves the shard's leaves did not answer
	ReasonEarlyAnswer     Reason = "early_answer"      // the answer was sent early, as the settings and the caller allow
	ReasonDraining        Reason = "draining"          // the daemon is draining and accepts no new requests
	ReasonUnconfirmed     Reason = "unconfirmed"       // the daemon's configuration lease has expired
	ReasonInvalidRequest  Reason = "invalid_request"   // the request is not valid
	ReasonUnknownPath     Reason = "unknown_path"      // there is no query service at the path
	ReasonNoCommonVersion Reason = "no_common_version" // the queried services have no index version in common
	ReasonKeyInDoubt      Reason = "key_in_doubt"      // an earlier attempt under this key may have run
	ReasonKeyInProgress   Reason = "key_in_progress"   // an attempt under this key is running now
	ReasonRetryBudget     Reason = "budget"            // a retry would exceed the retry budget
	ReasonAnswerNotKept   Reason = "answer_not_kept"   // the request of a resent key ran, but its answer was too large to keep
	ReasonQuarantined     Reason = "quarantined"       // the request is known, or suspected, to crash the targets that run it
	ReasonUnauthorized    Reason = "unauthorized"      // the request has no valid API key
	ReasonQuota           Reason = "quota"             // the organisation has used up its quota
	ReasonInternal        Reason = "internal"          // an internal error of the daemon
)

// Request is a caller's query, the body of POST /v1/query.
type Request struct {
	Path        string          `json:"path"`                   // a node of the settings tree
	Body        json.RawMessage `json:"body"`                   // passed to the targets without being parsed
	DeadlineMS  int64           `json:"deadline_ms,omitempty"`  // milliseconds from arrival; 0 means the default of the settings tree
	Repeatable  *bool           `json:"repeatable,omitempty"`   // absent means true
	Key         string          `json:"key,omitempty"`          // caller's request key; required when not repeatable
	Session     string          `json:"session,omitempty"`      // from GET /v1/addresses; required when not repeatable
	MinCoverage *float64        `json:"min_coverage,omitempty"` // 0..1: coverage from which the caller accepts an early answer
	Limit       int             `json:"limit,omitempty"`        // maximum number of hits; 0 means all

	Caller string `json:"-"` // IP address of the caller, without the port
}

// IsRepeatable reports whether the request may be sent more than once.
func (r *Request) IsRepeatable() bool { return r.Repeatable == nil || *r.Repeatable }

// Hit is one result from a shard. Data is set by the target and not parsed.
type Hit struct {
	ID    string          `json:"id"`
	Score float64         `json:"score"`
	Data  json.RawMessage `json:"data,omitempty"`
}

// ServiceHit is a hit with the query service it came from.
type ServiceHit struct {
	Service string `json:"service"`
	Shard   uint32 `json:"shard"`
	Hit
}

// Missing is a shard that did not answer, with the reason. A service whose partition map
// is unknown counts as one missing shard.
type Missing struct {
	Service string  `json:"service"`
	Shard   uint32  `json:"shard"`
	Reason  Reason  `json:"reason"`
	Verdict Verdict `json:"verdict"`
}

// Coverage reports how many shards answered and which did not. Total is the size of the
// partition map of the pinned index version, so Answered + len(Missing) == Total.
type Coverage struct {
	Answered int       `json:"answered"`
	Total    int       `json:"total"`
	Missing  []Missing `json:"missing,omitempty"`
}

// Fraction returns Answered/Total, and 0 for an empty coverage.
func (c Coverage) Fraction() float64 {
	if c.Total == 0 {
		return 0
	}
	return float64(c.Answered) / float64(c.Total)
}

// Answer is the reply to POST /v1/query.
type Answer struct {
	RequestID     string            `json:"request_id"`
	Verdict       Verdict           `json:"verdict"`
	IndexVersions map[string]uint64 `json:"index_versions"` // one version for each query service
	ConfigVersion uint64            `json:"config_version"`
	Coverage      Coverage          `json:"coverage"`
	Hits          []ServiceHit      `json:"hits"`
	HitsOmitted   int               `json:"hits_omitted,omitempty"` // hits cut off by the limit of the caller or of the settings tree
	Early         bool              `json:"early,omitempty"`        // sent at minimum coverage, before the deadline
	ServedBy      string            `json:"served_by"`              // name of the entry VM
	ElapsedMS     float64           `json:"elapsed_ms"`
	ExtraAttempts int               `json:"extra_attempts,omitempty"` // hedges and retries sent
}

// Failure is the JSON body of every response whose status is not 200.
type Failure struct {
	RequestID    string  `json:"request_id,omitempty"`
	Verdict      Verdict `json:"verdict"`
	Reason       Reason  `json:"reason"`
	Faults       []Fault `json:"faults,omitempty"`
	Message      string  `json:"message"`
	RetryAfterMS int64   `json:"retry_after_ms,omitempty"`
}

// Address is the address of an entry VM that a caller may use.
type Address struct {
	VM     string `json:"vm"`
	URL    string `json:"url"`
	Domain string `json:"domain"`
}

// Addresses is the reply to GET /v1/addresses: the entry VMs in the order to try them, the
// lifetime of the list, and the session for requests that are not repeatable.
type Addresses struct {
	Service    string    `json:"service"`
	Addresses  []Address `json:"addresses"`
	LifetimeMS int64     `json:"lifetime_ms"`
	Session    string    `json:"session"`
}
