package entry

import (
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/kataras/iris/v12"
	"k8s.io/klog/v2"

	"pearmoor/internal/contract"
	"pearmoor/internal/directory"
	"pearmoor/internal/intake"
	"pearmoor/internal/query"
	"pearmoor/internal/relay"
	"pearmoor/internal/vm"
)

// handler answers one request: body is sent as JSON with status 200 unless err is set.
type handler func(r *http.Request, id string) (body any, err error)

// handle returns an iris handler that assigns a request id, calls h and writes its
// result. A panic of h is answered as a failure.
func (s *Server) handle(h handler) iris.Handler {
	return func(ctx iris.Context) {
		start := time.Now()
		id := s.ids.new()
		w := ctx.ResponseWriter()
		w.Header().Set("X-Request-ID", id)
		if s.conf.Draining() {
			// The header makes callers connect to another daemon while this one still
			// answers. A request sent on a connection that is just being closed is lost,
			// and its caller does not know whether it ran.
			w.Header().Set("Connection", "close")
		}
		body, err := callRecovering(h, ctx.Request(), id)
		if err != nil {
			writeFailure(w, id, err)
		} else {
			writeJSON(w, http.StatusOK, body)
		}
		requestTimer.UpdateSince(start)
	}
}

// callRecovering calls h and turns a panic into an error with verdict may_have_run:
// it is unknown how far the request got.
func callRecovering(h handler, r *http.Request, id string) (body any, err error) {
	defer func() {
		if p := recover(); p != nil {
			panics.Inc(1)
			klog.Errorf("entry: request %s panicked: %v\n%s", id, p, debug.Stack())
			body = nil
			err = &contract.Error{
				Verdict: contract.MayHaveRun,
				Reason:  contract.ReasonInternal,
				Cause:   errors.New("the daemon failed on this request; its log has the request id"),
			}
		}
	}()
	return h(r, id)
}

func (s *Server) query(r *http.Request, id string) (any, error) {
	view := s.conf.Source.Current()
	raw, err := s.readBody(r, view)
	if err != nil {
		return nil, err
	}
	req, err := query.DecodeRequest(raw, 0)
	if err != nil {
		return nil, err
	}
	req.Caller = r.RemoteAddr
	if host, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		req.Caller = host
	}
	if err := s.checkRequest(view, req); err != nil {
		return nil, err
	}
	answer, err := s.conf.Engine.Query(r.Context(), id, req)
	if err != nil {
		return nil, err
	}
	if answer == nil {
		return nil, errors.AssertionFailedf("the engine returned neither an answer nor an error")
	}
	return answer, nil
}

// checkRequest returns an error for a request that must not be passed to the engine.
func (s *Server) checkRequest(v *relay.View, req *contract.Request) error {
	if !req.IsRepeatable() {
		// This may be a resend of a request that ran. Only the engine knows the keys
		// of earlier requests and can report not_run.
		if !hasConfig(v) {
			return notReadyError(contract.MayHaveRun, contract.ReasonKeyInDoubt)
		}
		return nil
	}
	if !hasConfig(v) {
		return notReadyError(contract.NotRun, contract.ReasonUnconfirmed)
	}
	return checkBodyLimit(v, req)
}

// hasConfig reports whether v has a settings tree. v may be nil.
func hasConfig(v *relay.View) bool { return v != nil && v.Tree != nil }

func notReadyError(verdict contract.Verdict, reason contract.Reason) error {
	return &contract.Error{
		Verdict:    verdict,
		Reason:     reason,
		RetryAfter: startupRetryMS,
		Cause:      errors.New("this daemon has not yet learned the configuration; ask another one, or come back"),
	}
}

// startupRetryMS is the retry delay, in milliseconds, given to callers while the
// daemon is starting.
const startupRetryMS = 1000

func (s *Server) readBody(r *http.Request, v *relay.View) ([]byte, error) {
	limit := s.readLimit.forView(v)
	if r.ContentLength > limit {
		return nil, tooLargeError("request", r.ContentLength, limit)
	}
	raw, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if errors.Is(err, intake.ErrNoRoom) {
		// The request may be a resend of one that ran: its key has not been read.
		return nil, &contract.Error{Verdict: contract.MayHaveRun, Reason: contract.ReasonOverload, RetryAfter: startupRetryMS, Cause: err}
	}
	if err != nil {
		return nil, contract.Refuse(contract.ReasonInvalidRequest, errors.Wrap(err, "the request ended early"))
	}
	if int64(len(raw)) > limit {
		return nil, tooLargeError("request", int64(len(raw)), limit)
	}
	return raw, nil
}

// checkBodyLimit checks the body against the limit of the request's path.
func checkBodyLimit(v *relay.View, req *contract.Request) error {
	e, ok := v.Tree.Effective(req.Path)
	if ok && e.BodyLimit > 0 && len(req.Body) > e.BodyLimit {
		return tooLargeError("body", int64(len(req.Body)), int64(e.BodyLimit))
	}
	return nil
}

func (s *Server) addresses(r *http.Request, _ string) (any, error) {
	path := r.URL.Query().Get("service")
	if path == "" {
		return nil, contract.Faults{{
			Field: "service", Why: "it is missing",
			Fix: "name a query service or a node above one, as in " + AddressesPath + "?service=/region/desk",
		}}
	}
	view, now := s.conf.Source.Current(), s.conf.Clock()
	if err := s.checkCanList(view, now); err != nil {
		return nil, err
	}
	list, err := directory.List(view, path, s.conf.Self, now)
	if err != nil {
		return nil, err
	}
	return contract.Addresses{
		Service:    path,
		Addresses:  list,
		LifetimeMS: directory.Lifetime(view.Tree.Tier()).Milliseconds(),
		Session:    s.conf.Engine.IssueSession(),
	}, nil
}

// checkCanList returns an error if this daemon is draining or its lease has expired.
// The session in a list is valid only until this daemon stops, and without a lease its
// membership may name daemons that have left. Callers would keep the unusable session or
// addresses for the whole lifetime of the list.
func (s *Server) checkCanList(v *relay.View, now vm.Instant) error {
	notListing := &contract.Error{Verdict: contract.NotRun, RetryAfter: startupRetryMS}
	switch {
	case !hasConfig(v):
		return notReadyError(contract.NotRun, contract.ReasonUnconfirmed)
	case s.conf.Draining():
		notListing.Reason = contract.ReasonDraining
	case !v.HoldsLease(now):
		notListing.Reason = contract.ReasonUnconfirmed
	default:
		return nil
	}
	notListing.Cause = errors.New("this daemon gives no address lists now; ask another one")
	return notListing
}

func (s *Server) notFound(r *http.Request, _ string) (any, error) {
	return nil, &httpError{
		status:   http.StatusNotFound,
		Failure:  contract.Failure{Verdict: contract.NotRun, Reason: contract.ReasonInvalidRequest},
		location: r.URL.Path,
		fix:      "use GET " + AddressesPath + " or POST " + QueryPath,
	}
}

func (s *Server) methodNotAllowed(r *http.Request, _ string) (any, error) {
	return nil, &httpError{
		status:   http.StatusMethodNotAllowed,
		Failure:  contract.Failure{Verdict: contract.NotRun, Reason: contract.ReasonInvalidRequest},
		location: r.Method + " " + r.URL.Path,
		fix:      "use GET " + AddressesPath + " or POST " + QueryPath,
	}
}

func tooLargeError(field string, size, limit int64) error {
	return &httpError{
		status:   http.StatusRequestEntityTooLarge,
		Failure:  contract.Failure{Verdict: contract.NotRun, Reason: contract.ReasonInvalidRequest},
		location: field,
		value:    strconv.FormatInt(size, 10) + " bytes",
		why:      "it is longer than the limit of " + strconv.FormatInt(limit, 10) + " bytes",
		fix:      "send less, or have an operator raise body-limit",
	}
}
