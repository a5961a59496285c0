package cli

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"pearmoor/internal/link/wire"
	"pearmoor/internal/vm"
)

// memberArgs are the arguments that describe a control VM to add.
type memberArgs struct {
	id   uint64
	name string
	addr string
}

func (m *memberArgs) declare(c *kingpin.CmdClause) {
	c.Arg("id", "Its --control-id, which no control VM has ever had.").Required().Uint64Var(&m.id)
	c.Arg("name", "Its name.").Required().StringVar(&m.name)
	c.Arg("address", "Its peer address, host:port.").Required().StringVar(&m.addr)
}

// defaultVoterWait is how long 'replace' waits for the new control VM to become a
// voter; after that it keeps the old one and fails.
const defaultVoterWait = time.Minute

// groupChangeResult is the output of the control commands.
type groupChangeResult struct {
	Message string      `json:"done"`
	Group   []controlVM `json:"control"`
}

func (a *app) declareGroup(k *kingpin.Application) {
	parent := k.Command("control", "Change the control group, one VM at a time.")

	var added memberArgs
	var addChangeID string
	c := parent.Command("add", `Add a control VM. It learns the log first and votes once it has caught up.

Example: pearmoor control add 4 control-4 10.0.2.7:7401`)
	added.declare(c)
	c.Flag("change-id", "Identifies the change when it is sent again after a lost reply.").StringVar(&addChangeID)
	c.Action(func(*kingpin.ParseContext) error {
		return a.changeGroup(addRequest(added, addChangeID), fmt.Sprintf("control VM %d is added", added.id))
	})

	var removedID uint64
	var removeChangeID string
	c = parent.Command("remove", `Remove a control VM. Its id is never used again.

Example: pearmoor control remove 2`)
	c.Arg("id", "Its id.").Required().Uint64Var(&removedID)
	c.Flag("change-id", "Identifies the change when it is sent again after a lost reply.").StringVar(&removeChangeID)
	c.Action(func(*kingpin.ParseContext) error {
		return a.changeGroup(removeRequest(removedID, removeChangeID), fmt.Sprintf("control VM %d is removed", removedID))
	})

	var oldID uint64
	var replacement memberArgs
	var wait time.Duration
	c = parent.Command("replace", `Replace a control VM, as after the loss of its disk: add the new one, wait until it votes, then remove the old one.

Example: pearmoor control replace 2 5 control-5 10.0.2.9:7401`)
	c.Arg("old", "Id of the control VM that goes.").Required().Uint64Var(&oldID)
	replacement.declare(c)
	c.Flag("wait", "How long the new one may take to catch up.").Default(defaultVoterWait.String()).DurationVar(&wait)
	c.Action(func(*kingpin.ParseContext) error { return a.replaceControlVM(oldID, replacement, wait) })
}

func addRequest(m memberArgs, changeID string) *wire.GroupRequest {
	return &wire.GroupRequest{Op: wire.GroupOp_GROUP_ADD, Id: m.id, Name: m.name, PeerAddr: m.addr, ChangeId: idOrRandom(changeID)}
}

func removeRequest(id uint64, changeID string) *wire.GroupRequest {
	return &wire.GroupRequest{Op: wire.GroupOp_GROUP_REMOVE, Id: id, ChangeId: idOrRandom(changeID)}
}

// idOrRandom returns id, or a random one if id is empty.
func idOrRandom(id string) string {
	if id == "" {
		return rand.Text()
	}
	return id
}

func (a *app) changeGroup(req *wire.GroupRequest, message string) error {
	group, err := a.sendGroupRequest(req)
	if err != nil {
		return err
	}
	return a.print(&groupChangeResult{Message: message, Group: group})
}

// sendGroupRequest sends req and returns the members of the control group after the
// change. A control VM answers only when the change is done, so an attempt may take
// up to --timeout longer than usual.
func (a *app) sendGroupRequest(req *wire.GroupRequest) ([]controlVM, error) {
	c, err := a.connect()
	if err != nil {
		return nil, err
	}
	reply, sent, err := call(a.ctx, c, c.timeout, func(ctx context.Context, cc wire.DRPCControlClient) (*wire.GroupReply, error) {
		return cc.Group(ctx, req)
	})
	recoveryHint := "look at 'pearmoor status', or repeat the command with --change-id=" + req.GetChangeId()
	if err := changeCallError(err, sent, recoveryHint); err != nil {
		return nil, err
	}
	if !reply.GetDone() {
		return nil, exitErrorf(ExitInvalid, "not done: %s", reply.GetError())
	}
	return controlVMsFromWire(reply.GetGroup()), nil
}

// replaceControlVM adds the new control VM and waits until it votes before it
// removes the old one. If it removed the old one first, a group of three would be
// left with two, and one more loss would stop all changes. A new voter that has not
// caught up would raise the size of a majority without being able to be part of it.
func (a *app) replaceControlVM(oldID uint64, replacement memberArgs, wait time.Duration) error {
	if _, err := a.sendGroupRequest(addRequest(replacement, "")); err != nil {
		return err
	}
	if err := a.awaitVoter(replacement.id, wait); err != nil {
		return err
	}
	return a.changeGroup(removeRequest(oldID, ""), fmt.Sprintf("control VM %d is replaced by %d", oldID, replacement.id))
}

// awaitVoter polls until the control VM is a voter or wait has elapsed.
func (a *app) awaitVoter(id uint64, wait time.Duration) error {
	deadline := time.Now().Add(wait)
	for {
		reply, err := readCall(a, func(ctx context.Context, c wire.DRPCControlClient) (*wire.StatusReply, error) {
			return c.Status(ctx, &wire.StatusRequest{})
		})
		if err != nil {
			return err
		}
		for _, m := range reply.GetGroup() {
			if m.GetId() == id && m.GetVoter() {
				return nil
			}
		}
		if time.Now().After(deadline) {
			return exitErrorf(ExitUnconfirmed, "control VM %d is added and did not catch up within %v; the old one is kept: once 'pearmoor status' shows %d as a voter, run 'pearmoor control remove'", id, wait, id)
		}
		if !vm.Sleep(a.ctx, retryInterval) {
			return a.ctx.Err()
		}
	}
}

func (g *groupChangeResult) writeText(w io.Writer) {
	fmt.Fprintln(w, g.Message)
	writeGroup(w, g.Group)
}
