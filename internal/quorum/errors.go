package quorum

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// The errors of proposals and leadership transfers. When one of them is returned,
// nothing was appended to the log.
var (
	ErrBusy         = errors.New("quorum: too many bytes wait for commit; try again later")
	ErrTransferring = errors.New("quorum: leadership is being handed over; ask the new leader")
	ErrNotReady     = errors.New("quorum: the leader has not yet committed in its term; try again")
	ErrConfPending  = errors.New("quorum: an earlier membership change is not yet committed; try again")
	ErrNotCaughtUp  = errors.New("quorum: the learner does not hold every committed entry yet; try again")
)

// NotLeaderError is returned by calls that only the leader serves.
type NotLeaderError struct{ Leader uint64 } // 0 if unknown

// Error implements error.
func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("quorum: not the leader; leader is %d (0: none known)", e.Leader)
}

// OtherGroupError is returned by Step for a message of another group, which was not
// processed.
type OtherGroupError struct {
	From  uint64
	Group []byte // identity of the other group
}

// Error implements error.
func (e *OtherGroupError) Error() string {
	return fmt.Sprintf("quorum: refused a message from member %d of another group, %x", e.From, e.Group)
}

// MessageRefusedError is returned by Step for a message that was not processed.
type MessageRefusedError struct {
	From   uint64
	Reason string
}

// Error implements error.
func (e *MessageRefusedError) Error() string {
	return fmt.Sprintf("quorum: refused a message from member %d: %s", e.From, e.Reason)
}
