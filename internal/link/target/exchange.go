package target

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"pearmoor/internal/contract"
)

// Request is one request as it goes to a leaf.
type Request struct {
	Dialect *Dialect
	Method  string
	ID      string
	// Head is the request line and the headers that are the same for every leaf,
	// each line ended, without the empty line that ends the head.
	Head []byte
	// Body is the whole body, or its beginning when Stream has the rest.
	Body   []byte
	Stream *Stream
	// Deadline is when the sender stops waiting; the leaf is told what is left.
	Deadline time.Time
	// ConnWait is how long the request may wait for a connection while all that may be
	// open are in use.
	ConnWait time.Duration
	// Repeatable requests may be sent on a connection that has been idle for long,
	// and are never harmed by its loss.
	Repeatable bool
	// BodyLimit is the most bytes of a reply read into Body; beyond it the reply's
	// Rest is left to the caller. WholeOnly makes a longer one a failure instead.
	BodyLimit int
	WholeOnly bool
}

// Stream is the rest of a long body.
type Stream struct {
	Reader  io.Reader
	Length  int64 // of the whole body; -1: sent in chunks
	Trailer func() http.Header
}

// unrepeatableIdle is how long a connection may have been idle to carry a request
// that can't be sent again: the longer, the likelier the leaf has dropped it, and
// the request could not be told from one that ran.
const unrepeatableIdle = time.Second

// lateGrace is how long after its deadline a reply is still read: the leaf's own
// word on the deadline comes then, and keeps the connection.
const lateGrace = 60 * time.Millisecond

// ErrStale marks a failure on a connection that had been idle, before any byte of
// a reply: most likely the leaf had dropped the connection.
var ErrStale = errors.New("target: an idle connection was lost")

// Call is one exchange under way.
type Call struct {
	mu        sync.Mutex
	conn      *conn
	attached  bool // to a connection, be it given back since
	abandoned bool
	cancel    context.CancelFunc
}

// Abandon says that nobody waits for the reply any more. Its connection is closed, and
// the leaf drops the request with it: left to work on it, a leaf that has paused or is
// slow would first go through all that nobody waits for.
func (c *Call) Abandon() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.abandoned {
		return
	}
	c.abandoned = true
	switch {
	case c.conn != nil:
		_ = c.conn.SetDeadline(time.Now()) // its exchange sees it and drops the connection
	case c.cancel != nil:
		c.cancel() // nothing was sent yet
	}
}

// Sent reports whether any of the request may have been sent. Of a call that was abandoned
// before, nothing will be.
func (c *Call) Sent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.attached
}

// attach binds the call to a connection right before the first byte is written.
// It reports false when the call has been abandoned: nothing may be sent then.
func (c *Call) attach(cn *conn, deadline time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.abandoned {
		return false
	}
	c.conn, c.attached = cn, true
	_ = cn.SetDeadline(deadline.Add(lateGrace))
	return true
}

func (c *Call) detach() {
	c.mu.Lock()
	c.conn = nil
	c.mu.Unlock()
}

func (c *Call) setCancel(f context.CancelFunc) {
	c.mu.Lock()
	c.cancel = f
	if c.abandoned && f != nil {
		f()
	}
	c.mu.Unlock()
}

func notRun(reason contract.Reason, err error) *contract.Error { return contract.Refuse(reason, err) }

func mayHaveRun(reason contract.Reason, err error) *contract.Error {
	return &contract.Error{Verdict: contract.MayHaveRun, Reason: reason, Cause: err}
}

var errAbandoned = errors.New("target: the caller gave up before anything was sent")

// Do performs one exchange. Its error's verdict is NotRun only if nothing was
// written; whether a reply says that the leaf ran nothing is in its Refused.
func (l *Link) Do(call *Call, req *Request) (*Reply, *contract.Error) {
	maxIdle := time.Duration(0)
	if !req.Repeatable {
		maxIdle = unrepeatableIdle
	}
	c, err := l.take(call, req.Deadline, maxIdle, req.ConnWait)
	switch {
	case errors.Is(err, ErrBusy):
		return nil, notRun(contract.ReasonOverload, err)
	case err != nil:
		return nil, notRun(contract.ReasonTargetFailed, err)
	}
	left := time.Until(req.Deadline)
	if left < time.Millisecond {
		l.put(c)
		return nil, notRun(contract.ReasonDeadline, context.DeadlineExceeded)
	}
	if !call.attach(c, req.Deadline) {
		l.put(c)
		return nil, notRun(contract.ReasonDeadline, errAbandoned)
	}
	return l.exchange(call, c, req, left)
}

var heads = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// writeHead writes the request up to and with Body.
func (l *Link) writeHead(c *conn, req *Request, left time.Duration) (int, error) {
	buf := heads.Get().(*bytes.Buffer)
	defer heads.Put(buf)
	buf.Reset()
	buf.Write(req.Head)
	buf.WriteString(req.Dialect.Deadline)
	buf.WriteString(": ")
	buf.WriteString(strconv.FormatInt(left.Milliseconds(), 10))
	buf.WriteString("\r\n")
	buf.WriteString(req.Dialect.LeafID)
	buf.WriteString(": ")
	buf.WriteString(l.id)
	buf.WriteString("\r\n")
	switch {
	case req.Stream != nil && req.Stream.Length < 0:
		buf.WriteString("Transfer-Encoding: chunked\r\n")
		if keys := trailerKeys(req.Stream); keys != "" {
			buf.WriteString("Trailer: " + keys + "\r\n")
		}
		buf.WriteString("\r\n")
	case req.Stream != nil:
		buf.WriteString("Content-Length: " + strconv.FormatInt(req.Stream.Length, 10) + "\r\n\r\n")
		buf.Write(req.Body)
	case len(req.Body) > 0 || bodyExpected(req.Method):
		buf.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n\r\n")
		buf.Write(req.Body)
	default:
		buf.WriteString("\r\n")
	}
	return c.Write(buf.Bytes())
}

func trailerKeys(s *Stream) string {
	if s.Trailer == nil {
		return ""
	}
	var keys []string
	for k := range s.Trailer() {
		keys = append(keys, k)
	}
	return strings.Join(keys, ", ")
}

func bodyExpected(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// exchange writes the request on c and reads the reply.
func (l *Link) exchange(call *Call, c *conn, req *Request, left time.Duration) (*Reply, *contract.Error) {
	reused := c.used
	n, err := l.writeHead(c, req, left)
	if err != nil {
		call.detach()
		l.drop(c)
		if n == 0 {
			return nil, notRun(contract.ReasonTargetFailed, staleIf(reused, err))
		}
		return nil, mayHaveRun(contract.ReasonTargetFailed, l.markEnded(staleIf(reused, err)))
	}
	sent := make(chan bool, 1) // whether the whole body was written
	if req.Stream != nil {
		go func() { sent <- writeStream(c, req) }()
	} else {
		sent <- true
	}
	resp, err := readHead(c, req.Method)
	if err != nil {
		call.detach()
		l.drop(c)
		if isTimeout(err) {
			return nil, mayHaveRun(contract.ReasonDeadline, err)
		}
		return nil, mayHaveRun(contract.ReasonTargetFailed, l.markEnded(staleIf(reused, err)))
	}
	return l.finish(call, c, req, resp, sent)
}

func staleIf(reused bool, err error) error {
	if reused {
		return errors.Mark(err, ErrStale)
	}
	return err
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// readHead reads the final head; interim ones are passed over.
func readHead(c *conn, method string) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= 200 {
			return resp, nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("target: the leaf wants to switch protocols")
		}
	}
}

// writeStream writes a long body as it comes. It reports whether all was written.
func writeStream(c *conn, req *Request) bool {
	s := req.Stream
	if s.Length >= 0 {
		_, err := io.Copy(c, s.Reader)
		return err == nil
	}
	w := httputil.NewChunkedWriter(c)
	if len(req.Body) > 0 {
		if _, err := w.Write(req.Body); err != nil {
			return false
		}
	}
	if _, err := io.Copy(w, s.Reader); err != nil {
		return false // without the last chunk the leaf knows that the body is cut
	}
	if w.Close() != nil {
		return false
	}
	var end bytes.Buffer
	if s.Trailer != nil {
		_ = s.Trailer().Write(&end)
	}
	end.WriteString("\r\n")
	_, err := c.Write(end.Bytes())
	return err == nil
}

// finish judges a head and reads the body.
func (l *Link) finish(call *Call, c *conn, req *Request, resp *http.Response, sent chan bool) (*Reply, *contract.Error) {
	d := req.Dialect
	fail := func(reason contract.Reason, err error) (*Reply, *contract.Error) {
		call.detach()
		l.drop(c)
		return nil, mayHaveRun(reason, err)
	}
	if got := resp.Header.Get(d.RequestID); got != req.ID {
		return fail(contract.ReasonWrongReply, errors.Newf("target: the reply is to %.64q", got))
	}
	out := &Reply{
		Status: resp.StatusCode, Header: resp.Header,
		Stamp: resp.Header.Get(d.Stamp), RetryAfter: retryAfter(resp.Header),
		Refused: resp.StatusCode == http.StatusMisdirectedRequest || resp.Header.Get(d.NotRun) != "",
	}
	if v := resp.Header.Get(d.Load); v != "" {
		out.Load, out.HasLoad = d.ParseLoad(v)
	}
	if limit, ok := keepAlive(resp.Header); ok {
		c.limit = min(idleLimit, max(0, limit-idleMargin))
	}
	after := func(whole bool) {
		call.detach()
		_ = resp.Body.Close()
		// A leaf that answered before it had the whole body reads on: on a kept
		// connection it would take the next request for the rest of that body.
		whole = whole && bodySent(sent)
		if !whole || resp.Close || c.reader.Buffered() > 0 {
			l.drop(c)
			return
		}
		l.put(c)
	}
	body, err := readUpTo(resp, req.BodyLimit)
	switch {
	case err == nil:
		out.Body = body
		after(true)
	case errors.Is(err, errLonger) && !req.WholeOnly:
		out.Body = body
		out.Rest = &Rest{body: resp.Body, after: after}
	default:
		err = errors.Wrap(err, "target: the reply broke off")
		out, fault := fail(contract.ReasonTargetFailed, err)
		if !isTimeout(err) {
			fault.Cause = l.markEnded(err)
		}
		return out, fault
	}
	return out, nil
}

func bodySent(sent chan bool) bool {
	select {
	case ok := <-sent:
		return ok
	default:
		return false
	}
}

var errLonger = errors.New("target: the reply is longer than the limit")

// readUpTo reads a body of at most limit bytes whole. A longer one is read up to
// the limit and errLonger is returned.
func readUpTo(resp *http.Response, limit int) ([]byte, error) {
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
	var probe [1]byte
	n, err := io.ReadFull(resp.Body, probe[:])
	switch {
	case n == 1:
		return append(buf, probe[0]), errLonger
	case err == io.EOF:
		return buf, nil
	}
	return buf, err
}

func keepAlive(h http.Header) (time.Duration, bool) {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if s, err := strconv.Atoi(v); err == nil && s >= 0 {
				return time.Duration(s) * time.Second, true
			}
		}
	}
	return 0, false
}

// longestRetryAfter bounds a leaf's word on when to come back.
const longestRetryAfter = time.Minute

func retryAfter(h http.Header) time.Duration {
	v := h.Get("Retry-After")
	if v == "" {
		return 0
	}
	s, err := strconv.ParseFloat(v, 64)
	if err != nil || !(s >= 0) {
		return 0
	}
	return time.Duration(min(s, longestRetryAfter.Seconds()) * float64(time.Second))
}
