package contract

import "encoding/json"

// Reason says why a shard is missing from an answer or why a request was refused.
type Reason string

// The reasons given to callers.
const (
	ReasonDeadline      Reason = "deadline"          // no reply before the deadline
	ReasonNoReplica     Reason = "no_live_replica"   // no live target holds the shard at the pinned version
	ReasonRefused       Reason = "target_refused"    // every target asked refused before running
	ReasonTargetFailed  Reason = "target_failed"     // the target failed after it may have run the request
	ReasonWrongReply    Reason = "wrong_reply"       // the reply was of another request, shard or version
	ReasonOverload      Reason = "overload"          // the wait for a slot would not fit the deadline
	ReasonHomeLost      Reason = "home_unreachable"  // the daemon that serves the shard's leaves did not answer
	ReasonEarly         Reason = "early_answer"      // left out by an early answer that tree and caller allow
	ReasonDraining      Reason = "draining"          // the daemon is leaving and takes no new work
	ReasonUnconfirmed   Reason = "unconfirmed"       // the daemon's configuration lease has run out
	ReasonInvalid       Reason = "invalid_request"   // the request itself is at fault
	ReasonUnknownPath   Reason = "unknown_path"      // the path names no query service
	ReasonNoSnapshot    Reason = "no_common_version" // no index version is common to all services asked
	ReasonKeyInDoubt    Reason = "key_in_doubt"      // an earlier attempt under this key may have run
	ReasonKeyInProgress Reason = "key_in_progress"   // an attempt under this key is running now
	ReasonBudget        Reason = "budget"            // a retry would exceed the retry budget
	ReasonAnswerNotKept Reason = "answer_not_kept"   // a resent key ran; its hits were too large to keep
	ReasonQuarantined   Reason = "quarantined"       // the request is known, or suspected, to crash the targets that run it
	ReasonInternal      Reason = "internal"          // a fault of the daemon itself
)

// Request is a caller's query, the body of POST /v1/query.
type Request struct {
	Path        string          `json:"path"`                   // a node of the settings tree
	Body        json.RawMessage `json:"body"`                   // passed to the targets unread
	DeadlineMS  int64           `json:"deadline_ms,omitempty"`  // milliseconds from arrival; 0 takes the tree's default
	Repeatable  *bool           `json:"repeatable,omitempty"`   // absent means true
	Key         string          `json:"key,omitempty"`          // caller's request key; required when not repeatable
	Session     string          `json:"session,omitempty"`      // from GET /v1/addresses; required when not repeatable
	MinCoverage *float64        `json:"min_coverage,omitempty"` // 0..1: the caller accepts an early answer from here on
	Limit       int             `json:"limit,omitempty"`        // most hits wanted; 0 means all

	Caller string `json:"-"` // address that it came from, without the port
}

// IsRepeatable reports whether the request may be sent more than once.
func (r *Request) IsRepeatable() bool { return r.Repeatable == nil || *r.Repeatable }

// Hit is one result found by a shard. Data is the target's own and is not read.
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

// Missing names one shard that did not answer, and why. Total shards of a
// service whose partition map is unknown are counted as one missing shard.
type Missing struct {
	Service string  `json:"service"`
	Shard   uint32  `json:"shard"`
	Reason  Reason  `json:"reason"`
	Verdict Verdict `json:"verdict"`
}

// Coverage tells truly which shards answered. Total is the partition map of the
// pinned index version, so Answered + len(Missing) == Total.
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
	IndexVersions map[string]uint64 `json:"index_versions"` // by query service; one each
	ConfigVersion uint64            `json:"config_version"`
	Coverage      Coverage          `json:"coverage"`
	Hits          []ServiceHit      `json:"hits"`
	HitsOmitted   int               `json:"hits_omitted,omitempty"` // hits cut by the caller's limit or the tree's
	Early         bool              `json:"early,omitempty"`        // answered at minimum coverage, before the deadline
	ServedBy      string            `json:"served_by"`              // VM name
	ElapsedMS     float64           `json:"elapsed_ms"`
	ExtraAttempts int               `json:"extra_attempts,omitempty"` // hedges and retries sent
}

// Failure is the JSON body of every answer that is not 200.
type Failure struct {
	RequestID    string  `json:"request_id,omitempty"`
	Verdict      Verdict `json:"verdict"`
	Reason       Reason  `json:"reason"`
	Faults       []Fault `json:"faults,omitempty"`
	Message      string  `json:"message"`
	RetryAfterMS int64   `json:"retry_after_ms,omitempty"`
}

// Address is one entry address a caller may use.
type Address struct {
	VM     string `json:"vm"`
	URL    string `json:"url"`
	Domain string `json:"domain"`
}

// Addresses is the reply to GET /v1/addresses: entries to try in order, how long
// to keep the list, and the session under which not-repeatable requests are sent.
type Addresses struct {
	Service    string    `json:"service"`
	Addresses  []Address `json:"addresses"`
	LifetimeMS int64     `json:"lifetime_ms"`
	Session    string    `json:"session"`
}
