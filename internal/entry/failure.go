package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"

	"pearmoor/internal/contract"
)

// httpError is a request rejected by this package, with its HTTP status.
type httpError struct {
	contract.Failure
	status                    int
	location, value, why, fix string
}

// Error implements error.
func (e *httpError) Error() string { return e.fault().String() }

func (e *httpError) fault() contract.Fault {
	why := e.why
	if why == "" {
		why = "there is nothing there"
	}
	return contract.Fault{Field: e.location, Value: e.value, Why: why, Fix: e.fix}
}

// toFailure returns the HTTP status and the response body for an error.
func toFailure(err error) (int, contract.Failure) {
	var refusal *httpError
	var faults contract.Faults
	var typed *contract.Error
	switch {
	case errors.As(err, &refusal):
		f := refusal.Failure
		f.Faults = contract.Faults{refusal.fault()}
		f.Message = refusal.Error()
		return refusal.status, f
	case errors.As(err, &typed):
		f := contract.Failure{
			Verdict:      typed.Verdict,
			Reason:       typed.Reason,
			Message:      typed.Error(),
			RetryAfterMS: typed.RetryAfter,
		}
		if errors.As(err, &faults) {
			f.Faults = faults
		}
		return statusOf(typed), f
	case errors.As(err, &faults):
		return http.StatusBadRequest, contract.Failure{
			Verdict: contract.NotRun,
			Reason:  contract.ReasonInvalidRequest,
			Faults:  faults,
			Message: faults.Error(),
		}
	}
	return http.StatusInternalServerError, contract.Failure{
		Verdict: contract.MayHaveRun,
		Reason:  contract.ReasonInternal,
		Message: err.Error(),
	}
}

// statusOf returns the HTTP status for an error. HTTP clients resend automatically on
// 429 and 503, so these are returned only with verdict not_run.
func statusOf(e *contract.Error) int {
	switch e.Reason {
	case contract.ReasonInvalidRequest:
		return http.StatusBadRequest
	case contract.ReasonUnknownPath:
		return http.StatusNotFound
	case contract.ReasonKeyInDoubt, contract.ReasonKeyInProgress, contract.ReasonAnswerNotKept:
		return http.StatusConflict
	case contract.ReasonDeadline:
		return http.StatusGatewayTimeout
	case contract.ReasonInternal:
		return http.StatusInternalServerError
	case contract.ReasonOverload:
		if e.Verdict == contract.NotRun {
			return http.StatusTooManyRequests
		}
	}
	if e.Verdict == contract.NotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

// minRetryAfter is the shortest Retry-After; the header counts whole seconds.
const minRetryAfter = time.Second

func writeFailure(w responseWriter, id string, err error) {
	status, f := toFailure(err)
	f.RequestID = id
	countFailure(f.Reason)
	logFailure(id, status, err)
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		after := max(minRetryAfter, time.Duration(f.RetryAfterMS)*time.Millisecond)
		seconds := (after + time.Second - 1) / time.Second
		w.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	if status == http.StatusRequestEntityTooLarge {
		w.Header().Set("Connection", "close") // the rest of the body is not read
	}
	writeJSON(w, status, f)
}

// writeJSON sends body with its Content-Length, so that a caller can detect a
// truncated answer.
func writeJSON(w responseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		klog.Errorf("entry: can't encode answer: %v", err)
		status, raw = http.StatusInternalServerError, encodeFailedBody
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(status)
	if err := writeAll(w, raw); err != nil {
		writeErrors.Inc(1) // the caller closed the connection or stopped reading
	}
}

// responseWriter is the response writer of iris. Naive returns the underlying
// net/http writer, which supports write deadlines.
type responseWriter interface {
	http.ResponseWriter
	Naive() http.ResponseWriter
}

// writeAll writes raw in chunks with a deadline for each chunk. A slow caller receives
// the whole of a large answer, and a caller that reads nothing loses its connection.
func writeAll(w responseWriter, raw []byte) error {
	control := http.NewResponseController(w.Naive())
	for len(raw) > 0 {
		chunk := raw[:min(len(raw), writeChunkBytes)]
		if err := control.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return err
		}
		if _, err := w.Write(chunk); err != nil {
			return err
		}
		raw = raw[len(chunk):]
	}
	return nil
}

// encodeFailedBody is sent when the answer can't be encoded, which invalid JSON from
// a target may cause.
var encodeFailedBody = []byte(`{"verdict":"may_have_run","reason":"internal","message":"the answer can't be encoded"}`)

func countFailure(reason contract.Reason) {
	metrics.GetOrRegisterCounter("entry.failures."+string(reason), metrics.DefaultRegistry).Inc(1)
}

var (
	requestTimer = metrics.GetOrRegisterTimer("entry.requests", metrics.DefaultRegistry)
	panics       = metrics.GetOrRegisterCounter("entry.panics", metrics.DefaultRegistry)
	writeErrors  = metrics.GetOrRegisterCounter("entry.write_errors", metrics.DefaultRegistry)
)
