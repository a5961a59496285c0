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
	replyLimit  = 16 << 20 // bytes; a longer reply is a failure
	statusLimit = 1 << 20  // bytes
	keepBuffer  = 1 << 20  // bytes; a larger read buffer is not returned to bufferPool
)

var errTooLong = errors.New("the reply is longer than the limit")

var queryHeader = http.Header{"Content-Type": {"application/json"}}

// newQueryRequest builds the HTTP request. It has no GetBody and no Idempotency-Key, so that
// net/http never resends it: a resend that the verdict does not account for could run the
// request twice.
func newQuery(addr string, req *contract.LeafRequest) (*http.Request, error) {
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
// after a complete exchange.
func (x *exchange) roundTrip(c *conn) outcome {
	r, err := newQuery(x.pool.addr, &x.req)
	if err != nil {
		x.pool.put(c)
		return outcome{err: contract.Refuse(contract.ReasonInvalid, err), learnt: admit.Unused}
	}
	c.wire.first.Store(x)
	resp, err := c.client.RoundTrip(r)
	if err != nil {
		return x.failed(c, err)
	}
	buf := buffers.Get().(*bytes.Buffer)
	defer putBuffer(buf)
	if err := readAll(buf, resp, replyLimit); err != nil {
		return x.failed(c, err)
	}
	x.setConn(nil)
	half := c.wire.half.Load()
	if resp.Close {
		c.end()
	} else {
		x.pool.put(c)
	}
	out := judge(resp, buf.Bytes(), &x.req)
	if half {
		x.told(&out)
	}
	return out
}

// recordCancelResult handles the outcome of an exchange whose cancellation was sent. Any end
// other than a matching reply means that the leaf has stopped, and does not count as a failure.
// A reply that arrives within expectedConnectTime of the cancellation may have been sent before
// the leaf saw it, so it does not count as an ignored cancellation.
func (x *exchange) told(out *outcome) {
	x.mu.Lock()
	after := x.clock().Sub(x.toldAt)
	x.mu.Unlock()
	if out.reply == nil || after > x.pool.connectCost() {
		x.pool.cancelled(out.reply == nil)
	}
	if out.reply == nil && out.learnt == admit.Failed {
		out.learnt = admit.Cancelled
	}
}

// handleError returns the outcome of an exchange that ended without a complete response, and
// closes its connection.
func (x *exchange) failed(c *conn, err error) outcome {
	nothingSent := x.disarm(c)
	x.setConn(nil)
	half := c.wire.half.Load()
	c.end()
	var refused *contract.Error
	switch {
	case nothingSent && errors.As(err, &refused):
		return notSent(refused)
	case nothingSent && x.left.Load():
		return notSent(errAborted)
	case nothingSent:
		return deadConn(err)
	}
	if !half && !x.killed.Load() && !x.left.Load() && x.pool.refuses() {
		err = errors.Mark(err, contract.ErrLeafEnded)
	}
	out := broken(contract.ReasonTargetFailed, err)
	if half && !x.killed.Load() {
		x.told(&out)
	}
	return out
}

var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

func putBuffer(b *bytes.Buffer) {
	if b.Cap() <= keepBuffer {
		b.Reset()
		buffers.Put(b)
	}
}

// readAll reads the whole body of resp into buf and closes the body.
func readAll(buf *bytes.Buffer, resp *http.Response, limit int64) error {
	defer resp.Body.Close()
	if resp.ContentLength > limit {
		return errTooLong
	}
	n, err := buf.ReadFrom(io.LimitReader(resp.Body, limit+1))
	if err == nil && n > limit {
		err = errTooLong
	}
	return err
}
