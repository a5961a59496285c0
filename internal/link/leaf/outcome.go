package leaf

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"pearmoor/internal/admit"
	"pearmoor/internal/contract"
)

// outcome is how an exchange ended: for the caller, and for the leaf's gate.
type outcome struct {
	reply      *contract.LeafReply
	err        *contract.Error
	learnt     admit.Outcome
	retryAfter time.Duration
	dead       bool // the connection failed before a byte was written
}

// notSent ends an exchange before its first byte, by no fault of the leaf.
func notSent(err error) outcome {
	var e *contract.Error
	if !errors.As(err, &e) {
		e = contract.Refuse(contract.ReasonDeadline, err)
	}
	return outcome{err: e, learnt: admit.Unused}
}

// notConnected ends an exchange that got no connection.
func notConnected(err error) outcome {
	switch {
	case errors.Is(err, errNoShare), errors.Is(err, errNoConns):
		return outcome{err: contract.Refuse(contract.ReasonOverload, err), learnt: admit.Unused}
	case errors.Is(err, context.Canceled):
		return notSent(err)
	}
	return outcome{err: contract.Refuse(contract.ReasonTargetFailed, err), learnt: admit.Failed}
}

// deadConn ends an exchange whose connection failed before its first byte.
func deadConn(err error) outcome {
	e := contract.Refuse(contract.ReasonTargetFailed, err)
	return outcome{err: e, learnt: admit.Failed, dead: true}
}

// broken ends an exchange that failed after its first byte may have left.
func broken(reason contract.Reason, err error) outcome {
	e := &contract.Error{Verdict: contract.MayHaveRun, Reason: reason, Cause: err}
	return outcome{err: e, learnt: admit.Failed}
}
