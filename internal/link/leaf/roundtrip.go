package leaf

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"sync"

	"github.com/cockroachdb/errors"

	"pearmoor/internal/admit"
	"pearmoor/internal/contract"
)

const (
	maxReplySize    = 16 << 20 // bytes; a longer reply is a failure
	maxStatusSize   = 1 << 20  // bytes
	maxPooledBuffer = 1 << 20  // bytes; a larger read buffer is not returned to bufferPool

	maxHeadBytes     = 64 << 10 // limit on the headers of a reply and of all interim responses
	maxBodyEncodings = 2        // limit on the encoding of a body, as a multiple of the body's limit
)

var errReplyTooLong = errors.New("the reply is longer than the limit")

var queryHeader = http.Header{"Content-Type": {"application/json"}}

// newQueryRequest builds the HTTP request. It has no GetBody and no Idempotency-Key, so that
// net/http never resends it: a resend that the verdict does not account for could run the
// request twice.
func newQueryRequest(addr string, req *contract.LeafRequest) (*http.Request, error) {
	var body bytes.Buffer
	enc := json.NewEncoder(&body)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(req); err != nil {
		return nil, err
	}
	return &http.Request{
		Method:        http.MethodPost,
		URL:           &url.URL{Scheme: "http", Host: addr, Path: contract.LeafQueryPath},
		Host:          addr,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        queryHeader,
		Body:          io.NopCloser(&body),
		ContentLength: int64(body.Len()),
	}, nil
}

// roundTrip sends the request on c and classifies the response. c is returned to the pool only
// after a complete exchange with a response to this request.
func (x *exchange) roundTrip(c *conn) outcome {
	r, err := newQueryRequest(x.pool.addr, &x.req)
	if err != nil {
		x.pool.put(c)
		return outcome{err: contract.Refuse(contract.ReasonInvalidRequest, err), gateOutcome: admit.Unused}
	}
	c.netConn.expectReply(maxReplySize)
	c.netConn.firstWrite.Store(x)
	resp, err := c.client.RoundTrip(r)
	if err != nil {
		return x.handleError(c, err)
	}
	buf := bufferPool.Get().(*bytes.Buffer)
	defer putBuffer(buf)
	if err := readAll(buf, resp, maxReplySize); err != nil {
		return x.handleError(c, err)
	}
	x.setConn(nil)
	cancelSent := c.netConn.writeClosed.Load()
	out := classifyResponse(resp, buf.Bytes(), &x.req)
	if resp.Close || out.isWrongReply() {
		c.closeGraceful() // after a wrong reply the right one may still come
	} else {
		x.pool.put(c)
	}
	if cancelSent {
		x.recordCancelResult(&out)
	}
	return out
}

// recordCancelResult handles the outcome of an exchange whose cancellation was sent. Any end
// other than a matching reply means that the leaf has stopped, and does not count as a failure.
// A reply that arrives within expectedConnectTime of the cancellation may have been sent before
// the leaf saw it, so it does not count as an ignored cancellation.
func (x *exchange) recordCancelResult(out *outcome) {
	x.mu.Lock()
	elapsed := x.clock().Sub(x.cancelSentAt)
	x.mu.Unlock()
	if out.reply == nil || elapsed > x.pool.expectedConnectTime() {
		x.pool.recordCancel(out.reply == nil)
	}
	if out.reply == nil && out.gateOutcome == admit.Failed {
		out.gateOutcome = admit.Cancelled
	}
}

// handleError returns the outcome of an exchange that ended without a complete response, and
// closes its connection.
func (x *exchange) handleError(c *conn, err error) outcome {
	nothingSent := x.detach(c)
	x.setConn(nil)
	cancelSent := c.netConn.writeClosed.Load()
	c.closeGraceful()
	var refused *contract.Error
	switch {
	case nothingSent && errors.As(err, &refused):
		return notSent(refused)
	case nothingSent && x.callerGone.Load():
		return notSent(errAborted)
	case nothingSent:
		return failedBeforeWrite(err)
	}
	if !cancelSent && !x.forceClosed.Load() && !x.callerGone.Load() && x.pool.connectionRefused() {
		err = errors.Mark(err, contract.ErrLeafExited)
	}
	out := failedAfterWrite(contract.ReasonTargetFailed, err)
	if cancelSent && !x.forceClosed.Load() {
		x.recordCancelResult(&out)
	}
	return out
}

var bufferPool = sync.Pool{New: func() any { return new(bytes.Buffer) }}

func putBuffer(b *bytes.Buffer) {
	if b.Cap() <= maxPooledBuffer {
		b.Reset()
		bufferPool.Put(b)
	}
}

// readAll reads the whole body of resp into buf and closes the body.
func readAll(buf *bytes.Buffer, resp *http.Response, limit int64) error {
	defer resp.Body.Close()
	if resp.ContentLength > limit {
		return errReplyTooLong
	}
	n, err := buf.ReadFrom(io.LimitReader(resp.Body, limit+1))
	if err == nil && n > limit {
		err = errReplyTooLong
	}
	return err
}
