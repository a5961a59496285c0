package forward

import (
	"bytes"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"

	"github.com/cockroachdb/errors"

	"pearmoor/internal/contract"
	"pearmoor/internal/link/target"
)

// bufferedBodyBytes is the longest body that is read before the route of its request is known.
// A longer one is streamed to the leaf, or read completely if it goes to several leaves.
const bufferedBodyBytes = 64 << 10

// readBody reads a short body completely. Of a longer body it reads the beginning and sets
// req.Stream for the rest.
func readBody(r *http.Request, req *Request, limit int64) *badRequest {
	if r.ContentLength > limit {
		return bodyTooLong(limit)
	}
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return nil
	}
	var buf bytes.Buffer
	if n := r.ContentLength; n > 0 {
		buf.Grow(int(min(n, bufferedBodyBytes)) + bytes.MinRead)
	}
	n, err := io.Copy(&buf, io.LimitReader(r.Body, bufferedBodyBytes+1))
	if err != nil {
		return newBadRequest(http.StatusBadRequest, "body", "", "it broke off: "+err.Error(), "send it whole")
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
	body, trailer, err := r.req.Stream.ReadAll(r.req.Body)
	if err != nil {
		return r.badBodyAnswer(err)
	}
	r.req.Body, r.req.Stream = body, nil
	r.leafRequest.Body, r.leafRequest.Trailer, r.leafRequest.Stream = body, trailer, nil
	return nil
}

func (r *run) badBodyAnswer(err error) *Answer {
	a := &Answer{Status: http.StatusBadRequest, Verdict: contract.NotRun, Reason: contract.ReasonInvalidRequest, Cause: err}
	if errors.Is(err, errBodyTooLong) {
		a.Status = http.StatusRequestEntityTooLarge
		if !r.e.mayDeny() {
			a = unconfirmedAnswer()
		}
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
