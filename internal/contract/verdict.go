package contract

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Verdict says whether a request, or one attempt of it, may have run on a target. The
// zero value is MayHaveRun, so that a verdict that was not set is never read as NotRun.
type Verdict uint8

const (
	// MayHaveRun means the request may have reached a target; a request that is
	// not repeatable must not be sent again.
	MayHaveRun Verdict = iota
	// NotRun means that certainly no target ran the request: it was never sent, or
	// the target rejected it before running it.
	NotRun
	// Ran means that a target's reply proves that the request ran.
	Ran
)

var verdictNames = [...]string{MayHaveRun: "may_have_run", NotRun: "not_run", Ran: "ran"}

// String returns the name used in answers: may_have_run, not_run or ran.
func (v Verdict) String() string {
	if int(v) < len(verdictNames) {
		return verdictNames[v]
	}
	return verdictNames[MayHaveRun]
}

// MarshalText implements encoding.TextMarshaler.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler; an unknown name is an error.
func (v *Verdict) UnmarshalText(text []byte) error {
	for i, name := range verdictNames {
		if name == string(text) {
			*v = Verdict(i)
			return nil
		}
	}
	return errors.Newf("verdict %q is unknown; use may_have_run, not_run or ran", text)
}

// Combine returns the verdict of a request from the verdicts of two attempts: Ran if
// either is Ran, NotRun only if both are NotRun, and MayHaveRun otherwise.
func (v Verdict) Combine(other Verdict) Verdict {
	if v == Ran || other == Ran {
		return Ran
	}
	if v == NotRun && other == NotRun {
		return NotRun
	}
	return MayHaveRun
}

// Error is the failure of a request or of one attempt. Its verdict says whether a resend
// is safe.
type Error struct {
	Verdict    Verdict
	Reason     Reason
	RetryAfter int64 // milliseconds after which the caller may retry; 0 if unknown
	Cause      error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("%s (%s)", e.Reason, e.Verdict)
	}
	return fmt.Sprintf("%s (%s): %v", e.Reason, e.Verdict, e.Cause)
}

// ErrLeafExited marks the cause of a failure after which the target no longer runs: nothing
// listens on its address, or another incarnation has replaced it.
var ErrLeafExited = errors.New("the leaf ended under the request")

// LeafExited reports whether the target exited during a request that it may have run.
func (e *Error) LeafExited() bool {
	return e != nil && e.Verdict != NotRun && e.Cause != nil && errors.Is(e.Cause, ErrLeafExited)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Refuse returns an Error with verdict NotRun.
func Refuse(reason Reason, cause error) *Error {
	return &Error{Verdict: NotRun, Reason: reason, Cause: cause}
}

// VerdictOf returns the verdict carried by err, and MayHaveRun for any other error.
func VerdictOf(err error) Verdict {
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}
