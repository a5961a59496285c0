package contract

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Verdict says whether a request, or one attempt of it, may have run at a target.
// The zero value is MayHaveRun, so that a forgotten verdict never promises
// something that is not known.
type Verdict uint8

const (
	// MayHaveRun means the request may have reached a target; a request that is
	// not repeatable must not be sent again.
	MayHaveRun Verdict = iota
	// NotRun means it is certain that no target ran the request: it never left,
	// or the target itself refused it before running.
	NotRun
	// Ran means a target's reply proves that the request ran.
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

// Join combines the verdicts of two attempts of one request: it is NotRun only
// when both are, and Ran when either is.
func (v Verdict) Join(o Verdict) Verdict {
	if v == Ran || o == Ran {
		return Ran
	}
	if v == NotRun && o == NotRun {
		return NotRun
	}
	return MayHaveRun
}

// Error is a failed request or attempt with the verdict that says if a resend is safe.
type Error struct {
	Verdict    Verdict
	Reason     Reason
	RetryAfter int64 // milliseconds after which the caller may come back; 0 if unknown
	Cause      error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("%s (%s)", e.Reason, e.Verdict)
	}
	return fmt.Sprintf("%s (%s): %v", e.Reason, e.Verdict, e.Cause)
}

// ErrLeafEnded marks the cause of a failure under which the target itself has ended: nothing
// listens at its address, or another incarnation has taken its place.
var ErrLeafEnded = errors.New("the leaf ended under the request")

// LeafEnded reports whether the target ended under a request that it may have run.
func (e *Error) LeafEnded() bool {
	return e != nil && e.Verdict != NotRun && e.Cause != nil && errors.Is(e.Cause, ErrLeafEnded)
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
