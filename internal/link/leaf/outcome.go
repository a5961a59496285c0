package leaf

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"pearmoor/internal/admit"
	"pearmoor/internal/contract"
)

// outcome is the result of an exchange, both for the caller and for the leaf's gate.
type outcome struct {
	reply          *contract.LeafReply
	err            *contract.Error
	gateOutcome    admit.Outcome
	retryAfter     time.Duration
	nothingWritten bool // the connection failed before a byte was written
}

// isWrongReply reports whether the response was not one to the request.
func (o *outcome) isWrongReply() bool {
	return o.err != nil && o.err.Reason == contract.ReasonWrongReply
}

// notSent is the outcome of an exchange that stopped before its first byte for a reason that
// is not the leaf's fault.
func notSent(err error) outcome {
	var e *contract.Error
	if !errors.As(err, &e) {
		e = contract.Refuse(contract.ReasonDeadline, err)
	}
	return outcome{err: e, gateOutcome: admit.Unused}
}

// notConnected is the outcome of an exchange that got no connection.
func notConnected(err error) outcome {
	switch {
	case errors.Is(err, errNoShare), errors.Is(err, errNoConns):
		return outcome{err: contract.Refuse(contract.ReasonOverload, err), gateOutcome: admit.Unused}
	case errors.Is(err, context.Canceled):
		return notSent(err)
	}
	return outcome{err: contract.Refuse(contract.ReasonTargetFailed, err), gateOutcome: admit.Failed}
}

// failedBeforeWrite is the outcome of an exchange whose connection failed before its first byte.
func failedBeforeWrite(err error) outcome {
	e := contract.Refuse(contract.ReasonTargetFailed, err)
	return outcome{err: e, gateOutcome: admit.Failed, nothingWritten: true}
}

// failedAfterWrite is the outcome of an exchange that failed when bytes may have been sent.
func failedAfterWrite(reason contract.Reason, err error) outcome {
	e := &contract.Error{Verdict: contract.MayHaveRun, Reason: reason, Cause: err}
	return outcome{err: e, gateOutcome: admit.Failed}
}
