package control

import (
	"context"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"pearmoor/internal/control/state"
	"pearmoor/internal/link/peer"
	"pearmoor/internal/link/wire"
	"pearmoor/internal/quorum"
)

// Errors whose text is returned to callers of a control VM. If an error is marked with
// peer.Retryable, it is certain that nothing was changed.
var (
	errStopped                = peer.Retryable(errors.New("control: this control VM is stopping; ask another one"))
	errNoLeader               = peer.Retryable(errors.New("control: no leader is known; try again"))
	errDiskFull               = peer.Retryable(errors.New("control: the disk of the leading control VM is full, the change was not accepted; free space in its data folder"))
	errLeadershipLost         = peer.Retryable(errors.New("control: another leader took over, nothing was accepted; ask it"))
	errOutcomeUnknown         = errors.New("control: leadership changed and the outcome is not known here; resend with the same change id")
	errDiskFullOutcomeUnknown = errors.New("control: the disk of this control VM is full, and the outcome is not known; resend with the same change id")
	errStoppedOutcomeUnknown  = errors.New("control: this control VM stopped, and the outcome is not known; resend with the same change id")
)

// proposalResult is the result of a proposal.
type proposalResult struct {
	applied state.Result
	err     error
}

// waiter waits until the entry that was proposed in a term is applied.
type waiter struct {
	term uint64
	done chan proposalResult // buffered, capacity 1
}

func (w waiter) finish(result proposalResult) { w.done <- result }

// complete finishes the waiter when an entry with the given term has been applied at its
// index. If the term differs, a new leader has replaced the proposed entry with its own.
func (w waiter) complete(term uint64, res state.Result) {
	if term != w.term {
		w.finish(proposalResult{err: errLeadershipLost})
		return
	}
	w.finish(proposalResult{applied: res})
}

func (d *driver) failWaiters(err error) {
	for index, w := range d.waiters {
		delete(d.waiters, index)
		w.finish(proposalResult{err: err})
	}
}

// propose appends a command to the log and waits until this VM has applied it.
func (n *Node) propose(ctx context.Context, c *wire.Command) (state.Result, error) {
	data, err := proto.Marshal(c)
	if err != nil {
		return state.Result{}, err
	}
	return n.proposeAndWait(ctx, func(m *quorum.Machine) (uint64, uint64, error) { return m.Propose(data) })
}

// proposeConf proposes one membership change of the control group and waits until this
// VM has applied it.
func (n *Node) proposeConf(ctx context.Context, c quorum.ConfChange) error {
	_, err := n.proposeAndWait(ctx, func(m *quorum.Machine) (uint64, uint64, error) { return m.ProposeConf(c) })
	return err
}

// proposeAndWait calls propose, which returns the index and term of the new entry, on the
// driver's goroutine and waits until this VM has applied the entry.
func (n *Node) proposeAndWait(ctx context.Context, propose func(*quorum.Machine) (uint64, uint64, error)) (state.Result, error) {
	if n.diskFull.Load() {
		return state.Result{}, errDiskFull
	}
	w := waiter{done: make(chan proposalResult, 1)}
	d := n.driver
	err := d.call(ctx, func() {
		index, term, err := propose(d.machine)
		if err != nil {
			w.finish(proposalResult{err: peer.Retryable(err)})
			return
		}
		w.term = term
		d.waiters[index] = w
	})
	if err != nil {
		return state.Result{}, err
	}
	select {
	case result := <-w.done:
		return result.applied, result.err
	case <-ctx.Done():
		return state.Result{}, errors.Wrap(ctx.Err(), "control: outcome not known; resend with the same change id")
	case <-n.stopped:
		return state.Result{}, errStoppedOutcomeUnknown
	}
}
