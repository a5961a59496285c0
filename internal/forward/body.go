package forward

import (
	"bytes"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"pearmoor/internal/contract"
	"pearmoor/internal/intake"
	"pearmoor/internal/link/target"
)

// bodyCost is the memory, in bytes, of each byte of a body that is read completely: it is kept in a
// buffer that grows, and once more for a send.
const bodyCost = 3

// unreadBodyTimeout bounds the time for which the rest of a body is read after the answer.
const unreadBodyTimeout = time.Second

// requestBody is the body of a request.
type requestBody struct {
	io.ReadCloser
	ended atomic.Bool // its end has been read
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.ended.Store(true)
	}
	return n, err
}

func hasBody(r *http.Request) bool {
	return r.Body != nil && r.Body != http.NoBody && r.ContentLength != 0
}

// trackBody replaces the body of r by a requestBody. It returns nil if there is no body.
func trackBody(r *http.Request) *requestBody {
	if !hasBody(r) {
		return nil
	}
	b := &requestBody{ReadCloser: r.Body}
	r.Body = b
	return b
}

// limitRest bounds the time for which net/http waits for the rest of a body before it takes the
// next request.
func (b *requestBody) limitRest(w http.ResponseWriter) {
	if b != nil && !b.ended.Load() {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTimeout)) // fails if the connection is closed
	}
}

// bufferedBodyBytes is the longest body that is read before the route of its request is known.
// A longer one is streamed to the leaf, or read completely if it goes to several leaves.
const bufferedBodyBytes = 64 << 10

// readBody reads a short body completely. Of a longer body it reads the beginning and sets
// req.Stream for the rest.
func readBody(r *http.Request, req *Request, limit int64) *badRequest {
	if r.ContentLength > limit {
		return bodyTooLong(limit)
	}
	if !hasBody(r) {
		return nil
	}
	var buf bytes.Buffer
	if n := r.ContentLength; n > 0 {
		buf.Grow(int(min(n, firstBodyBytes)) + bytes.MinRead)
	}
	n, err := io.Copy(&buf, io.LimitReader(req.keep(r.Body), bufferedBodyBytes+1))
	if err != nil {
		return newBadRequest(bodyErrorStatus(err), "body", "", "it broke off: "+err.Error(), "send it whole")
	}
	req.Body = buf.Bytes()
	if n <= bufferedBodyBytes && len(r.Trailer) == 0 {
		if n > limit {
			return bodyTooLong(limit)
		}
		return nil
	}
	rest := &limitedReader{source: r.Body, remaining: limit - n}
	req.Stream = target.NewStream(rest, r.ContentLength, slices.Sorted(maps.Keys(r.Trailer)), func() http.Header { return r.Trailer })
	return nil
}

// keep returns a reader of a part of the body that is kept in memory, which counts against what the
// caller may hold.
func (r *Request) keep(part io.Reader) io.Reader { return r.conn.Body(part, bodyCost) }

// firstBodyBytes is what is allocated for a body before any of it has come.
const firstBodyBytes = 4 << 10

// bodyErrorStatus returns the status of a request whose body can't be read. It has not run.
func bodyErrorStatus(err error) int {
	switch {
	case errors.Is(err, errBodyTooLong):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, intake.ErrNoRoom):
		return http.StatusServiceUnavailable
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout
	}
	return http.StatusBadRequest
}

// noRoomRetryAfter is the Retry-After of a request whose body doesn't fit beside what other clients
// hold.
const noRoomRetryAfter = 500 * time.Millisecond

func noRoomAnswer() *Answer {
	return &Answer{Status: http.StatusServiceUnavailable, RetryAfter: noRoomRetryAfter, Verdict: contract.NotRun, Reason: contract.ReasonOverload}
}

// retryableAnswer returns the answer to a request that would be refused with the given status and
// may come back, nil if the refusal is final.
func (e *Engine) retryableAnswer(status int) *Answer {
	switch status {
	case http.StatusServiceUnavailable:
		return noRoomAnswer()
	case http.StatusRequestHeaderFieldsTooLarge, http.StatusRequestEntityTooLarge:
		if !e.mayDeny() { // a newer configuration may have a higher limit
			return unconfirmedAnswer()
		}
	}
	return nil
}

func bodyTooLong(limit int64) *badRequest {
	return newBadRequest(http.StatusRequestEntityTooLarge, "body", "", "it is longer than "+strconv.FormatInt(limit, 10)+" bytes", "send less")
}

var errBodyTooLong = errors.New("forward: the body is longer than the limit")

// limitedReader fails once more than remaining bytes have been read. The leaf then receives a
// truncated body instead of a complete request that exceeds the limit.
type limitedReader struct {
	source    io.Reader
	remaining int64
}

func (r *limitedReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	if r.remaining -= int64(n); r.remaining < 0 {
		return 0, errBodyTooLong
	}
	return n, err
}

// readWholeBody reads the rest of a long body that goes to several leaves. It returns the answer
// to a request whose body can't be read.
func (r *run) readWholeBody() *Answer {
	if r.req.Stream == nil || !r.entry.IsGather() {
		return nil
	}
	body, trailer, err := r.req.Stream.ReadAll(r.req.Body, r.req.keep)
	if err != nil {
		return r.badBodyAnswer(err)
	}
	r.req.Body, r.req.Stream = body, nil
	r.leafRequest.Body, r.leafRequest.Trailer, r.leafRequest.Stream = body, trailer, nil
	return nil
}

func (r *run) badBodyAnswer(err error) *Answer {
	status := bodyErrorStatus(err)
	a := r.e.retryableAnswer(status)
	if a == nil {
		a = &Answer{Status: status, Verdict: contract.NotRun, Reason: contract.ReasonInvalidRequest, Cause: err}
	}
	badRequests.Inc(1)
	r.e.cfg.Log.Line("caller", "bad request").Str("id", r.req.ID).Str("from", r.req.Caller).
		Int("status", int64(a.Status)).Str("field", "body").Err(err).End()
	return a
}

// hasLongBody reports whether the body is too long, or has trailers, to be passed on to other
// daemons.
func (r *run) hasLongBody() bool {
	return r.leafRequest.Stream != nil || len(r.leafRequest.Body) > bufferedBodyBytes || len(r.leafRequest.Trailer) > 0
}
