package target

import (
	"time"

	"pearmoor/internal/policy"
)

// Dialect names the HTTP headers that callers and leaves use. It is provided by the adapter of
// the platform that the query tier runs on.
type Dialect struct {
	RequestID string // the caller's id of one of its attempts
	Deadline  string // milliseconds that the sender waits for the reply
	LeafID    string // the leaf that a request is addressed to; any other leaf rejects it
	Signature string // the leaf's signature of its reply
	Load      string // the leaf's load
	NotRun    string // present if the leaf did not run the request

	Key          string // the caller's API key, after its scheme; not sent to leaves
	KeyScheme    string // authentication scheme of the API key
	Organisation string // the organisation that holds the caller's API key

	PartSignatures string // signatures of the partial replies that an answer was merged from
	MissingParts   string // number of partial replies that are missing

	// ParseLoad parses the value of the Load header.
	ParseLoad func(string) (policy.Load, bool)
}

// Reply is a leaf's reply.
type Reply struct {
	Status     int
	Header     map[string][]string
	Body       []byte // complete unless Rest is set
	Rest       *Rest  // remainder of a body above BodyLimit; nil if Body is complete
	Signature  string
	Load       policy.Load
	HasLoad    bool
	RetryAfter time.Duration // 0: not given
	// Refused is set if the reply proves that the leaf did not run the request: it has the
	// NotRun header, or its status says that the request is addressed to another leaf.
	Refused bool
}

// OK reports whether the status is 2xx.
func (r *Reply) OK() bool { return r.Status >= 200 && r.Status < 300 }
