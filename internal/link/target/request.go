package target

import (
	"net/http"
	"time"

	"pearmoor/internal/contract"
)

// Request is one request to a leaf.
type Request struct {
	Dialect *Dialect
	Method  string
	ID      string
	// Head is the request line and the headers that are the same for every leaf. Each line
	// ends in CRLF; the empty line that ends the header section is not included.
	Head []byte
	// Body is the complete body, or its beginning if Stream is set. It may be shared by sends.
	Body []byte
	// Trailer is the trailer of a complete body; it is then sent in chunks.
	Trailer http.Header
	Stream  *Stream
	// Deadline is when the sender stops waiting. The remaining time is sent to the leaf.
	Deadline time.Time
	// ConnWait is how long the request may wait for a connection while as many as allowed
	// are in use.
	ConnWait time.Duration
	// Idempotent requests may run more than once. They may be sent on a connection that has
	// been idle for long, because they can be sent again if it turns out to be lost.
	Idempotent bool
	// SingleLeaf requests are idempotent, but may be sent to one leaf only. They use connections
	// as those do that are not idempotent.
	SingleLeaf bool
	// BodyLimit is the maximum number of bytes of a reply that are read into its Body. The
	// caller reads the remainder from the reply's Rest. With FailOverLimit, a longer reply
	// is a failure instead.
	BodyLimit     int
	FailOverLimit bool
	// RestLimit is the maximum number of bytes that are read into a reply's Rest, with the
	// encoding of the body; 0: defaultRestLimit.
	RestLimit int64
	// Check is called right before the request is written; nil: it is not checked. If it
	// returns an error, which must have the verdict NotRun, the request is not sent.
	Check func() *contract.Error
}

// defaultRestLimit is the RestLimit, in bytes, of a request that states none.
const defaultRestLimit = 64 << 20
