package target

import (
	"bytes"
	"cmp"
	"context"
	"io"
	"maps"
	"net/http"
	"net/http/httputil"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"pearmoor/internal/contract"
)

// maxIdleNonIdempotent is how long a connection may have been idle to carry a request that is
// not idempotent. The longer it was idle, the more likely the leaf has closed it, and a failed
// request cannot be told from one that ran.
const maxIdleNonIdempotent = time.Second

// ReplyGrace is how long after the deadline a reply is still read. A leaf reports that the
// deadline was exceeded at about that time, and reading its reply keeps the connection usable.
const ReplyGrace = 60 * time.Millisecond

// ErrStaleConn marks a failure on a reused connection before any byte of a reply arrived: most
// likely the leaf had closed the connection while it was idle.
var ErrStaleConn = errors.New("target: an idle connection was lost")

func notRun(reason contract.Reason, err error) *contract.Error { return contract.Refuse(reason, err) }

func mayHaveRun(reason contract.Reason, err error) *contract.Error {
	return &contract.Error{Verdict: contract.MayHaveRun, Reason: reason, Cause: err}
}

var errAbandoned = errors.New("target: the caller gave up before anything was sent")

// Do performs one exchange. The verdict of its error is NotRun only if nothing was written. A
// reply by which the leaf states that it did not run the request has Refused set.
func (l *Link) Do(call *Call, req *Request) (*Reply, *contract.Error) {
	maxIdle := time.Duration(0)
	if !req.Idempotent || req.SingleLeaf {
		maxIdle = maxIdleNonIdempotent
	}
	start := time.Now()
	c, err := l.acquire(call, hashID(req.ID), req.Deadline, maxIdle, req.ConnWait)
	switch {
	case errors.Is(err, ErrConnLimit):
		return nil, notRun(contract.ReasonOverload, err)
	case err != nil && call.isAbandoned() && time.Since(start) < minDialEvidence:
		return nil, notRun(contract.ReasonDeadline, errAbandoned)
	case err != nil:
		return nil, notRun(contract.ReasonTargetFailed, err)
	}
	remaining := time.Until(req.Deadline)
	if remaining < time.Millisecond {
		l.put(c)
		return nil, notRun(contract.ReasonDeadline, context.DeadlineExceeded)
	}
	if l.sendCheck != nil {
		if err := l.sendCheck(); err != nil {
			l.put(c)
			return nil, notRun(contract.ReasonNoLiveTarget, err)
		}
	}
	if req.Check != nil {
		if err := req.Check(); err != nil {
			l.put(c)
			return nil, err
		}
	}
	if !call.attach(l, c, req) {
		l.put(c)
		return nil, notRun(contract.ReasonDeadline, errAbandoned)
	}
	return l.exchange(call, c, req, remaining)
}

var headBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// writeHead writes the headers and Body of the request.
func (l *Link) writeHead(c *conn, req *Request, remaining time.Duration) (int, error) {
	buf := headBuffers.Get().(*bytes.Buffer)
	defer headBuffers.Put(buf)
	buf.Reset()
	buf.Write(req.Head)
	buf.WriteString(req.Dialect.Deadline)
	buf.WriteString(": ")
	buf.WriteString(strconv.FormatInt(remaining.Milliseconds(), 10))
	buf.WriteString("\r\n")
	buf.WriteString(req.Dialect.LeafID)
	buf.WriteString(": ")
	buf.WriteString(l.id)
	buf.WriteString("\r\n")
	switch {
	case req.isChunked():
		buf.WriteString("Transfer-Encoding: chunked\r\n")
		if names := req.trailerNames(); len(names) > 0 {
			buf.WriteString("Trailer: " + strings.Join(names, ", ") + "\r\n")
		}
		buf.WriteString("\r\n")
	case req.Stream != nil:
		buf.WriteString("Content-Length: " + strconv.FormatInt(req.Stream.length, 10) + "\r\n\r\n")
		buf.Write(req.Body)
	case len(req.Body) > 0 || methodHasBody(req.Method):
		buf.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n\r\n")
		if !req.writesBodyApart() {
			buf.Write(req.Body)
		}
	default:
		buf.WriteString("\r\n")
	}
	return c.Write(buf.Bytes())
}

func methodHasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// exchange writes the request on c and reads the reply. It returns c to the pool or closes it,
// except for a reply with Rest, which does so when it has been read or closed.
func (l *Link) exchange(call *Call, c *conn, req *Request, remaining time.Duration) (*Reply, *contract.Error) {
	if req.Stream != nil && !req.Stream.take() {
		call.detach()
		l.put(c)
		return nil, notRun(contract.ReasonInternal, ErrStreamTaken)
	}
	reused := c.reused
	c.carried = append(c.carried, hashID(req.ID))
	c.carriedHEAD = c.carriedHEAD || req.Method == http.MethodHead
	n, err := l.writeHead(c, req, remaining)
	if err != nil {
		cause := call.detach()
		l.closeConn(c, cause)
		if n == 0 {
			if req.Stream != nil {
				req.Stream.giveBack()
			}
			return nil, notRun(contract.ReasonTargetFailed, markStaleIf(reused, err))
		}
		return nil, mayHaveRun(contract.ReasonTargetFailed, l.markLeafEnded(cause, markStaleIf(reused, err)))
	}
	sent := make(chan bool, 1) // whether the whole body was written
	if req.writesBodyApart() {
		go func() {
			whole := writeBody(c, req)
			if whole {
				call.markWritten()
			}
			sent <- whole
		}()
	} else {
		sent <- true
		call.markWritten()
	}
	resp, err := readOwnHead(c, req)
	if err != nil {
		cause := call.detach()
		l.closeConn(c, cause)
		switch {
		case isTimeout(err):
			return nil, mayHaveRun(contract.ReasonDeadline, err)
		case errors.Is(err, errReplyTooLong):
			repliesTooLong.Inc(1)
			return nil, mayHaveRun(contract.ReasonTargetFailed, err)
		}
		return nil, mayHaveRun(contract.ReasonTargetFailed, l.markLeafEnded(cause, markStaleIf(reused, err)))
	}
	return l.readReply(call, c, req, resp, sent)
}

// markStaleIf marks err with ErrStaleConn if the connection was reused.
func markStaleIf(reused bool, err error) error {
	if reused {
		return errors.Mark(err, ErrStaleConn)
	}
	return err
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// maxReplyHeadBytes bounds the headers of a reply, together with those of all interim responses.
const maxReplyHeadBytes = 64 << 10

// maxExtraReplies bounds the replies to earlier requests that are skipped in front of a reply.
const maxExtraReplies = 4

// readOwnHead reads the headers of the reply to req. It skips complete replies to requests that
// the connection has carried before: the leaf has sent those again, and the reply to req follows.
// All that is skipped counts towards maxReplyHeadBytes.
func readOwnHead(c *conn, req *Request) (*http.Response, error) {
	c.allowance = maxReplyHeadBytes
	for skipped := 0; ; skipped++ {
		resp, err := readHead(c, req.Method)
		if err != nil {
			return nil, err
		}
		id := resp.Header.Get(req.Dialect.RequestID)
		if id == req.ID || id == "" || !c.hasCarried(hashID(id)) {
			return resp, nil
		}
		if skipped == maxExtraReplies || resp.Close || c.carriedHEAD {
			return resp, nil // where the extra reply ends is not known, or nothing follows it
		}
		c.outOfStep = true
		repliesExtra.Inc(1)
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, err
		}
	}
}

// readHead reads the headers of the final response and skips interim (1xx) responses.
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

// maxBodyWithHead is the length in bytes up to which a complete body is written with the head.
const maxBodyWithHead = 64 << 10

// writesBodyApart reports whether the body is written while the reply is read: a leaf may answer
// before it has read a long body.
func (r *Request) writesBodyApart() bool {
	return r.Stream != nil || len(r.Trailer) > 0 || len(r.Body) > maxBodyWithHead
}

// isChunked reports whether the body is sent in chunks.
func (r *Request) isChunked() bool {
	return r.Stream != nil && r.Stream.length < 0 || len(r.Trailer) > 0
}

// trailerNames returns the names that are announced before the body.
func (r *Request) trailerNames() []string {
	if r.Stream != nil {
		return r.Stream.trailerNames
	}
	return slices.Sorted(maps.Keys(r.Trailer))
}

// writeBody writes the part of the body that was not written with the head, and reports whether
// all of it was written.
func writeBody(c *conn, req *Request) bool {
	if !req.isChunked() {
		if req.Stream != nil {
			_, err := io.Copy(c, req.Stream.reader)
			return err == nil
		}
		_, err := c.Write(req.Body)
		return err == nil
	}
	w := httputil.NewChunkedWriter(c)
	if len(req.Body) > 0 {
		if _, err := w.Write(req.Body); err != nil {
			return false
		}
	}
	trailer := req.Trailer
	if s := req.Stream; s != nil {
		if _, err := io.Copy(w, s.reader); err != nil {
			return false // the missing last chunk tells the leaf that the body is truncated
		}
		trailer = s.finalTrailer()
	}
	if w.Close() != nil {
		return false
	}
	var end bytes.Buffer
	_ = trailer.Write(&end) // writes to a bytes.Buffer do not fail
	end.WriteString("\r\n")
	_, err := c.Write(end.Bytes())
	return err == nil
}

// readReply checks the headers of a response and reads its body. sent receives whether the
// whole request body was written.
func (l *Link) readReply(call *Call, c *conn, req *Request, resp *http.Response, sent chan bool) (*Reply, *contract.Error) {
	d := req.Dialect
	cause := closedAfterFailure
	fail := func(reason contract.Reason, err error) (*Reply, *contract.Error) {
		cause = call.detach()
		l.closeConn(c, cause)
		return nil, mayHaveRun(reason, err)
	}
	if got := resp.Header.Get(d.RequestID); got != req.ID {
		return fail(contract.ReasonWrongReply, errors.Newf("target: the reply is to %.64q", got))
	}
	out := &Reply{
		Status: resp.StatusCode, Header: resp.Header,
		Signature: resp.Header.Get(d.Signature), RetryAfter: parseRetryAfter(resp.Header),
		Refused: resp.StatusCode == http.StatusMisdirectedRequest || resp.Header.Get(d.NotRun) != "",
	}
	if v := resp.Header.Get(d.Load); v != "" {
		out.Load, out.HasLoad = d.ParseLoad(v)
	}
	if limit, ok := keepAliveTimeout(resp.Header); ok {
		c.idleTimeout = min(maxIdleTime, max(0, limit-idleTimeoutMargin))
	}
	release := func(whole bool) {
		cause := call.detach()
		_ = resp.Body.Close()
		// A leaf that answered before it had read the whole request body may still be
		// reading: on a reused connection it would take the next request as the
		// remainder of that body.
		whole = whole && bodySent(sent)
		switch {
		case whole && resp.Close:
			l.closeConn(c, closedByLeaf)
			return
		case !whole || c.outOfStep || c.reader.Buffered() > 0:
			l.closeConn(c, cause)
			return
		case cause == closedAfterAbandon:
			connsKept.Inc(1)
		}
		l.put(c)
	}
	c.allowance = encodedBodyBytes(req.BodyLimit)
	body, err := readLimited(resp, req.BodyLimit)
	switch {
	case err == nil:
		out.Body = body
		release(true)
	case errors.Is(err, errBodyAboveLimit) && !req.FailOverLimit:
		out.Body = body
		c.allowance = cmp.Or(req.RestLimit, defaultRestLimit)
		out.Rest = &Rest{body: resp.Body, release: release}
	default:
		tooLong := errors.Is(err, errBodyAboveLimit) || errors.Is(err, errReplyTooLong)
		if tooLong {
			repliesTooLong.Inc(1)
		}
		err = errors.Wrap(err, "target: the reply broke off")
		out, fault := fail(contract.ReasonTargetFailed, err)
		if !isTimeout(err) && !tooLong {
			fault.Cause = l.markLeafEnded(cause, err)
		}
		return out, fault
	}
	return out, nil
}
