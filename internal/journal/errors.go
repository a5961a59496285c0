package journal

import (
	"fmt"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// ErrFull means that the disk is full. The failed call left nothing behind and may
// be retried.
var ErrFull = errors.New("journal: the disk is full; free space in the data folder's file system")

// SyncError means that it is unknown which of the last writes are on the disk. A
// second sync may report success although the data is lost, so the process must end
// and read the data folder again at its next start.
type SyncError struct {
	File  string
	Cause error
}

// Error implements error.
func (e *SyncError) Error() string {
	return fmt.Sprintf("journal: write to %s failed, what the disk holds is unknown: %v", e.File, e.Cause)
}

// Unwrap returns the cause.
func (e *SyncError) Unwrap() error { return e.Cause }

// CorruptError means that data which had been synced is damaged.
type CorruptError struct {
	File   string
	Offset int64 // of the first unreadable frame
	Reason string
}

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("journal: %s is damaged at offset %d: %s; replace this control VM's disk and add it to the group as a new member", e.File, e.Offset, e.Reason)
}

func isNoSpace(err error) bool {
	return errors.Is(err, unix.ENOSPC) || errors.Is(err, unix.EDQUOT)
}
