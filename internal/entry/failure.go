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

// httpError is a refusal by this package itself, with the status that fits it.
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

func failureOf(err error) (int, contract.Failure) {
	var own *httpError
	var faults contract.Faults
	var typed *contract.Error
	switch {
	case errors.As(err, &own):
		f := own.Failure
		f.Faults = contract.Faults{own.fault()}
		f.Message = own.Error()
		return own.status, f
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
			Reason:  contract.ReasonInvalid,
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

// statusOf chooses the status by reason. 429 and 503 invite any HTTP client to
// send again, so they are given only with verdict not_run.
func statusOf(e *contract.Error) int {
	switch e.Reason {
	case contract.ReasonInvalid:
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

// minRetryAfter is the shortest Retry-After, whose unit is the second.
const minRetryAfter = time.Second

func writeFailure(w responseWriter, id string, err error) {
	status, f := failureOf(err)
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

// writeJSON sends body with its length, so that a caller tells a whole answer
// from one that was cut off.
func writeJSON(w responseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		klog.Errorf("entry: answer can't be encoded: %v", err)
		status, raw = http.StatusInternalServerError, encodeFailed
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(status)
	if err := writeAll(w, raw); err != nil {
		writeErrors.Inc(1) // the caller has left
	}
}

// responseWriter is the HTTP library's, which hides what sets deadlines.
type responseWriter interface {
	http.ResponseWriter
	Naive() http.ResponseWriter
}

// writeAll gives each part of the answer its own time: a caller on a slow line
// gets the whole of a large one, and one that takes nothing ends its connection.
func writeAll(w responseWriter, raw []byte) error {
	control := http.NewResponseController(w.Naive())
	for len(raw) > 0 {
		part := raw[:min(len(raw), writePart)]
		if err := control.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return err
		}
		if _, err := w.Write(part); err != nil {
			return err
		}
		raw = raw[len(part):]
	}
	return nil
}

// encodeFailed is sent when the engine's answer is not JSON, which a target that
// sends broken data could cause.
var encodeFailed = []byte(`{"verdict":"may_have_run","reason":"internal","message":"the answer can't be encoded"}`)

func countFailure(reason contract.Reason) {
	metrics.GetOrRegisterCounter("entry.failures."+string(reason), metrics.DefaultRegistry).Inc(1)
}

var (
	requestTime = metrics.GetOrRegisterTimer("entry.requests", metrics.DefaultRegistry)
	panics      = metrics.GetOrRegisterCounter("entry.panics", metrics.DefaultRegistry)
	writeErrors = metrics.GetOrRegisterCounter("entry.write_errors", metrics.DefaultRegistry)
)
