package peer

import "storj.io/drpc/drpcerr"

// The codes that travel with an error to the other side.
const (
	codeNotDone   = 5031
	codePermanent = 4001
	codeDenied    = 4031
)

// NotDone marks an error that a handler returns when it is certain that the call
// changed nothing, and asking again, or another VM, may help.
func NotDone(err error) error { return drpcerr.WithCode(err, codeNotDone) }

// IsNotDone reports whether the other side marked err with NotDone.
func IsNotDone(err error) bool { return drpcerr.Code(err) == codeNotDone }

// Permanent marks an error that a handler returns when the call changed nothing
// and would fail alike wherever it is sent.
func Permanent(err error) error { return drpcerr.WithCode(err, codePermanent) }

// IsPermanent reports whether the other side marked err with Permanent.
func IsPermanent(err error) bool { return drpcerr.Code(err) == codePermanent }

// Denied reports whether the other side refused a call for the kind of this
// side's certificate. Another process of the tier would refuse it as well.
func Denied(err error) bool { return drpcerr.Code(err) == codeDenied }
