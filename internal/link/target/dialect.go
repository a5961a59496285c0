package target

import (
	"time"

	"pearmoor/internal/policy"
)

// Dialect names the headers that callers and leaves speak. What it holds comes
// from the adapter of the platform the tier runs on.
type Dialect struct {
	RequestID string // a caller's name for one attempt of its own
	Deadline  string // milliseconds that the sender will wait
	LeafID    string // the leaf that a request is for; another one refuses it
	Stamp     string // a leaf's signature of its reply
	Load      string // a leaf's word on its load
	NotRun    string // a leaf's word that it did not run the request

	Parts   string // signatures of the parts that an answer is made of
	Missing string // number of parts left out

	// ParseLoad reads the value of Load.
	ParseLoad func(string) (policy.Load, bool)
}

// Reply is a leaf's reply.
type Reply struct {
	Status     int
	Header     map[string][]string
	Body       []byte // whole, unless Rest is set
	Rest       *Rest  // nil when Body is whole
	Stamp      string
	Load       policy.Load
	HasLoad    bool
	RetryAfter time.Duration // 0: not stated
	// Refused says that the reply proves that the leaf did not run the request: it says
	// so itself, or it is another leaf than the request is for.
	Refused bool
}

// OK reports whether the leaf ran the request with success.
func (r *Reply) OK() bool { return r.Status >= 200 && r.Status < 300 }
