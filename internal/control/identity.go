package control

import (
	"github.com/cockroachdb/errors"

	"pearmoor/internal/link/peer"
	"pearmoor/internal/vm"
)

var errOtherGroup = peer.Retryable(errors.New("control: the call is for another control group; nothing was done"))

// GroupID returns the identity of the control group that this VM belongs to, or the zero
// value while none is committed.
func (n *Node) GroupID() vm.GroupID { return n.leadership.Load().group() }

// checkGroup returns an error if a call of kind what is for a group other than this VM's.
// Calls that name no group, such as those of operators' tools, pass.
func (n *Node) checkGroup(group []byte, what, caller string) error {
	if n.groupGuard.Refuses(n.GroupID(), vm.GroupID(group), what, caller) {
		return errOtherGroup
	}
	return nil
}
