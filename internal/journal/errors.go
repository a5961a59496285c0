package journal

import (
	"fmt"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// ErrFull means that the disk has no room. Nothing of the call was kept; it may
// be made again.
var ErrFull = errors.New("journal: the disk is full; free space in the data folder's file system")

// SyncError means that it is unknown what of the last writes the disk holds. A
// second sync may report success with the data gone, so the process has to end
// and read back what is there.
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

// CorruptError means that bytes which were synced read back differently.
type CorruptError struct {
	File   string
	Offset int64 // of the first frame that can't be read
	Why    string
}

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("journal: %s is damaged at offset %d: %s; replace this control VM's disk and add it to the group as a new member", e.File, e.Offset, e.Why)
}

func isFull(err error) bool {
	return errors.Is(err, unix.ENOSPC) || errors.Is(err, unix.EDQUOT)
}
