package forward

import (
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"pearmoor/internal/contract"
	"pearmoor/internal/decision"
	"pearmoor/internal/link/target"
	"pearmoor/internal/route"
)

const (
	// defaultBodyLimit and defaultHeaderLimit apply until a configuration is installed.
	defaultBodyLimit   = 1 << 20
	defaultHeaderLimit = 64 << 10
	maxIDBytes         = 256
	maxWait            = time.Hour
)

var (
	answeredRequests = metrics.GetOrRegisterCounter("forward.answered", metrics.DefaultRegistry)
	failedRequests   = metrics.GetOrRegisterCounter("forward.gave_up", metrics.DefaultRegistry)
	refusedRequests  = metrics.GetOrRegisterCounter("forward.refused", metrics.DefaultRegistry)
	handlerPanics    = metrics.GetOrRegisterCounter("forward.panics", metrics.DefaultRegistry)
	callersLeft      = metrics.GetOrRegisterCounter("forward.callers_left", metrics.DefaultRegistry)
	brokenAnswers    = metrics.GetOrRegisterCounter("forward.broken_off", metrics.DefaultRegistry)
	badRequests      = metrics.GetOrRegisterCounter("forward.bad_requests", metrics.DefaultRegistry)
	latency          = metrics.GetOrRegisterHistogram("forward.latency_us", metrics.DefaultRegistry, metrics.NewExpDecaySample(512, 0.015))
)

// Handler serves requests of callers over net/http. It does not retry, and it does not
// rewrite paths: the request line is forwarded as the caller sent it.
type Handler struct {
	Engine  *Engine
	Dialect *target.Dialect
	Log     *decision.Log
	// Draining reports whether callers should move to other daemons. If it returns true,
	// each answer closes its connection.
	Draining func() bool
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if h.Draining() {
		w.Header().Set("Connection", "close")
	}
	conn := callerConnFrom(r.Context())
	defer conn.Intake().HandlerDone()
	body := trackBody(r)
	req, fault := h.parseRequest(r, arrived)
	if fault != nil {
		body.limitRest(w)
		badRequests.Inc(1)
		h.Log.Line("caller", "bad request").Str("id", r.Header.Get(h.Dialect.RequestID)).
			Str("from", r.RemoteAddr).Int("status", int64(fault.status)).Str("field", fault.Field).Str("why", fault.Why).End()
		if a := h.Engine.retryableAnswer(fault.status); a != nil {
			h.writeAnswer(w, conn, a)
			return
		}
		http.Error(w, fault.String(), fault.status)
		return
	}
	conn.beginRequest(req.ID, arrived)
	a := h.Engine.recoverPanic(req.ID, func() *Answer { return h.Engine.Forward(r.Context(), req) })
	if a == nil {
		callersLeft.Inc(1)
		panic(http.ErrAbortHandler)
	}
	body.limitRest(w)
	h.writeAnswer(w, conn, a)
	latency.Update(time.Since(arrived).Microseconds())
}

// badRequest describes an invalid request and the HTTP status of the answer.
type badRequest struct {
	contract.Fault
	status int
}

func newBadRequest(status int, field, value, why, fix string) *badRequest {
	return &badRequest{contract.Fault{Field: field, Value: value, Why: why, Fix: fix}, status}
}

// parseRequest validates an HTTP request and converts it to a Request.
func (h *Handler) parseRequest(r *http.Request, arrived time.Time) (*Request, *badRequest) {
	limits := h.limits()
	if n := headerBytes(r); n > limits.HeaderBytes {
		return nil, newBadRequest(http.StatusRequestHeaderFieldsTooLarge, "header", strconv.Itoa(n), "it is longer than "+strconv.Itoa(limits.HeaderBytes)+" bytes", "send less")
	}
	if !strings.HasPrefix(r.RequestURI, "/") {
		return nil, newBadRequest(http.StatusBadRequest, "path", r.RequestURI, "it does not begin with a slash", "send the path only")
	}
	id := r.Header.Get(h.Dialect.RequestID)
	if id == "" || len(id) > maxIDBytes || len(r.Header.Values(h.Dialect.RequestID)) > 1 {
		return nil, newBadRequest(http.StatusBadRequest, h.Dialect.RequestID, id, "a request needs one id of at most 256 bytes", "name each attempt")
	}
	wait, fault := h.parseWait(r)
	if fault != nil {
		return nil, fault
	}
	req := &Request{
		ID: id, Method: r.Method, URI: r.RequestURI, Path: pathOf(r.RequestURI), Host: r.Host,
		Caller: callerAddr(r), Header: r.Header, Arrived: arrived, Wait: wait,
		conn: callerConnFrom(r.Context()).Intake(),
	}
	if fault := readBody(r, req, limits.BodyBytes); fault != nil {
		return nil, fault
	}
	StripHopByHop(req.Header)
	delete(req.Header, http.CanonicalHeaderKey(h.Dialect.Deadline))
	delete(req.Header, http.CanonicalHeaderKey(h.Dialect.LeafID))
	return req, nil
}

// pathOf returns the path of a request URI, unchanged.
func pathOf(uri string) string {
	path, _, _ := strings.Cut(uri, "?")
	return path
}

// callerAddr returns the address of the caller without the port.
func callerAddr(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// limits returns the request limits of the installed configuration, or the defaults.
func (h *Handler) limits() route.Limits {
	out := route.Limits{HeaderBytes: defaultHeaderLimit, BodyBytes: defaultBodyLimit}
	if t := h.Engine.Table(); t != nil {
		if t.Limits.HeaderBytes > 0 {
			out.HeaderBytes = t.Limits.HeaderBytes
		}
		if t.Limits.BodyBytes > 0 {
			out.BodyBytes = t.Limits.BodyBytes
		}
	}
	return out
}

// headerBytes returns the size of the request line and the headers in HTTP/1.1.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host) + len("  HTTP/1.1\r\nHost: \r\n\r\n")
	for k, vs := range r.Header {
		for _, v := range vs {
			n += len(k) + len(v) + len(": \r\n")
		}
	}
	return n
}

// parseWait returns the wait that the caller has stated, zero if it has stated none.
func (h *Handler) parseWait(r *http.Request) (time.Duration, *badRequest) {
	value := r.Header.Get(h.Dialect.Deadline)
	if value == "" {
		return 0, nil
	}
	ms, err := strconv.ParseFloat(value, 64)
	if err != nil || !(ms >= 0) {
		return 0, newBadRequest(http.StatusBadRequest, h.Dialect.Deadline, value, "it is no number of milliseconds", "state how long you wait")
	}
	if ms >= float64(maxWait.Milliseconds()) {
		return maxWait, nil
	}
	return max(time.Duration(ms*float64(time.Millisecond)), time.Microsecond), nil
}

// writeAnswer writes an answer to the caller.
//
// If the request was handed over, it closes the connection, so that callers keep connections
// to daemons that answer requests themselves.
func (h *Handler) writeAnswer(w http.ResponseWriter, conn *callerConn, a *Answer) {
	if a.HandedOver {
		w.Header().Set("Connection", "close")
	}
	switch {
	case a.Merged:
		answeredRequests.Inc(1)
		h.writeMerged(w, a)
	case a.Header != nil:
		answeredRequests.Inc(1)
		h.writeLeafReply(w, conn, a)
	default:
		h.writeError(w, a)
	}
}

// writeMerged writes an answer that is merged from parts.
func (h *Handler) writeMerged(w http.ResponseWriter, a *Answer) {
	header := w.Header()
	header.Set("Content-Type", "application/octet-stream")
	header.Set("Content-Length", strconv.Itoa(len(a.Body)))
	header.Set(h.Dialect.PartSignatures, strings.Join(a.Parts, ", "))
	header.Set(h.Dialect.MissingParts, strconv.Itoa(a.Missing))
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body) // callerConn logs a write error
}

// notRunStatuses are the HTTP statuses that tell a caller that its request did not run.
var notRunStatuses = []int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest}

// writeLeafReply writes the reply of a leaf as the answer.
func (h *Handler) writeLeafReply(w http.ResponseWriter, conn *callerConn, a *Answer) {
	header := w.Header()
	connection := header.Get("Connection")
	StripHopByHop(a.Header)
	for k, vs := range a.Header {
		header[k] = vs
	}
	if connection != "" {
		header.Set("Connection", connection)
	}
	if a.Header["Content-Type"] == nil {
		header["Content-Type"] = nil // prevents net/http from detecting a type from the body
	}
	status := a.Status
	if slices.Contains(notRunStatuses, status) && a.Verdict != contract.NotRun {
		// The caller would take this status to mean that the request did not run, which
		// the leaf has not stated.
		status = http.StatusBadGateway
		header.Del(h.Dialect.Signature)
	}
	if a.Rest == nil {
		header.Set("Content-Length", strconv.Itoa(len(a.Body)))
		w.WriteHeader(status)
		_, _ = w.Write(a.Body) // callerConn logs a write error
		return
	}
	defer a.Rest.Close()
	w.WriteHeader(status)
	if _, err := w.Write(a.Body); err != nil {
		return
	}
	if n, err := io.Copy(w, a.Rest); err != nil {
		brokenAnswers.Inc(1)
		conn.breakOff(int64(len(a.Body))+n, err)
		panic(http.ErrAbortHandler)
	}
}

// writeError writes an answer that has no reply of a leaf: a refusal or a failure.
func (h *Handler) writeError(w http.ResponseWriter, a *Answer) {
	if a.Verdict == contract.NotRun {
		refusedRequests.Inc(1)
	} else {
		failedRequests.Inc(1)
	}
	if a.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', 3, 64))
	}
	if a.Status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", h.Dialect.KeyScheme)
	}
	http.Error(w, string(a.Reason)+", "+a.Verdict.String(), a.Status)
}
