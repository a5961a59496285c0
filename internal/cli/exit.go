package cli

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"pearmoor/internal/contract"
)

// Exit codes. They are part of the tool's interface; scripts rely on them.
const (
	ExitOK          = 0
	ExitFailed      = 1  // any other error, such as an unreadable file
	ExitUsage       = 2  // invalid command line
	ExitInvalid     = 3  // the request was refused; nothing changed
	ExitConflict    = 4  // another change was accepted first; nothing changed
	ExitUnreachable = 5  // no control VM answered; nothing changed
	ExitUnknown     = 6  // the reply to a change was lost; it may have been accepted
	ExitUnconfirmed = 7  // accepted, but not confirmed to be in force everywhere within --wait
	ExitNotRun      = 8  // a query was not run
	ExitInDoubt     = 9  // a query may have run
	ExitPartial     = 10 // the answer to a query covers less than --require-coverage
)

// exitError is an error with the exit code of the process.
type exitError struct {
	code  int
	cause error
}

// Error implements error.
func (e *exitError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.cause }

// exitErrorf returns a formatted error with an exit code.
func exitErrorf(code int, format string, args ...any) error {
	return &exitError{code: code, cause: errors.Newf(format, args...)}
}

// exitCode returns the exit code for err.
func exitCode(err error) int {
	var exitErr *exitError
	var faults contract.Faults
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &exitErr):
		return exitErr.code
	case errors.As(err, &faults):
		return ExitInvalid
	}
	return ExitFailed
}

// conflictMessage describes the conflicting change and how to proceed. The zero
// conflictingChange stands for an unknown one.
func conflictMessage(change conflictingChange) string {
	if change.Version == 0 {
		return "the tree has changed since the base version; read it again with 'pearmoor get' and repeat the command"
	}
	return fmt.Sprintf("change %d by %s won (%q); look at it with 'pearmoor audit --from=%d --limit=1', and repeat the command if it still applies",
		change.Version, change.Operator, change.Reason, change.Version)
}
