package peer

import "storj.io/drpc/drpcerr"

// Error codes sent to the other side with an error.
const (
	codeRetryable = 5031
	codePermanent = 4001
	codeDenied    = 4031
)

// Retryable marks an error of a handler as one after which the call has certainly changed
// nothing and a retry, at this or another VM, may succeed.
func Retryable(err error) error { return drpcerr.WithCode(err, codeRetryable) }

// IsRetryable reports whether the other side marked err with Retryable.
func IsRetryable(err error) bool { return drpcerr.Code(err) == codeRetryable }

// Permanent marks an error of a handler as one after which the call has changed nothing
// and would fail in the same way at any other VM.
func Permanent(err error) error { return drpcerr.WithCode(err, codePermanent) }

// IsPermanent reports whether the other side marked err with Permanent.
func IsPermanent(err error) bool { return drpcerr.Code(err) == codePermanent }

// IsDenied reports whether the other side refused a call because of the kind of this
// side's certificate. Every other process of the tier would refuse it as well.
func IsDenied(err error) bool { return drpcerr.Code(err) == codeDenied }
