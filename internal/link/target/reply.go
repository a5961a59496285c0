package target

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
)

// bodySent reports whether the whole request body is known to have been written.
func bodySent(sent chan bool) bool {
	select {
	case ok := <-sent:
		return ok
	default:
		return false
	}
}

var (
	errBodyAboveLimit = errors.New("target: the body of the reply is longer than the limit")
	// errReplyTooLong is the error of a reply whose headers or whose encoding of the body exceed
	// their limits. The rest of such a reply is not read.
	errReplyTooLong = errors.New("target: the reply is longer than any valid one")

	repliesExtra   = metrics.GetOrRegisterCounter("target.replies.extra", metrics.DefaultRegistry)
	repliesTooLong = metrics.GetOrRegisterCounter("target.replies.too_long", metrics.DefaultRegistry)
)

// encodedBodyBytes returns the limit on the encoding of a body of up to limit bytes, in chunks with
// their extensions and with a trailer.
func encodedBodyBytes(limit int) int64 { return maxReplyHeadBytes + chunkOverhead*int64(limit) }

// chunkOverhead is the number of bytes in the encoding of a chunk of one byte.
const chunkOverhead = 6

// readLimited reads a body of at most limit bytes. Of a longer one it returns the first limit+1
// bytes and errBodyAboveLimit.
func readLimited(resp *http.Response, limit int) ([]byte, error) {
	size := 512
	if n := resp.ContentLength; n >= 0 {
		size = int(min(n, int64(limit))) + 1
	}
	buf := make([]byte, 0, size)
	for len(buf) < limit {
		if len(buf) == cap(buf) {
			buf = append(buf, 0)[:len(buf)]
		}
		n, err := resp.Body.Read(buf[len(buf):min(cap(buf), limit)])
		buf = buf[:len(buf)+n]
		if err == io.EOF {
			return buf, nil
		}
		if err != nil {
			return buf, err
		}
	}
	var next [1]byte
	n, err := io.ReadFull(resp.Body, next[:])
	switch {
	case n == 1:
		return append(buf, next[0]), errBodyAboveLimit
	case err == io.EOF:
		return buf, nil
	}
	return buf, err
}

// keepAliveTimeout returns the timeout of the Keep-Alive header, if there is one.
func keepAliveTimeout(h http.Header) (time.Duration, bool) {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if s, err := strconv.Atoi(v); err == nil && s >= 0 {
				return time.Duration(s) * time.Second, true
			}
		}
	}
	return 0, false
}

// maxRetryAfter caps the Retry-After that a leaf may request.
const maxRetryAfter = time.Minute

// parseRetryAfter returns the Retry-After header in seconds, or 0 if it is missing or invalid.
func parseRetryAfter(h http.Header) time.Duration {
	v := h.Get("Retry-After")
	if v == "" {
		return 0
	}
	s, err := strconv.ParseFloat(v, 64)
	if err != nil || !(s >= 0) {
		return 0
	}
	return time.Duration(min(s, maxRetryAfter.Seconds()) * float64(time.Second))
}

// Rest is the unread part of a reply's body.
type Rest struct {
	body    io.ReadCloser
	release func(whole bool)
	once    sync.Once
}

// Read implements io.Reader. An error other than io.EOF means that the reply is incomplete.
func (r *Rest) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	if err != nil {
		r.finish(err == io.EOF)
	}
	return n, err
}

// Close ends the exchange. If the body was not read to its end, the connection is closed.
func (r *Rest) Close() { r.finish(false) }

// finish ends the exchange once; whole tells whether the body was read to its end.
func (r *Rest) finish(whole bool) { r.once.Do(func() { r.release(whole) }) }
