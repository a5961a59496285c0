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
// peer.NotDone, it is certain that nothing was changed.
var (
	errStopped     = peer.NotDone(errors.New("control: this control VM is stopping; ask another one"))
	errNoLeader    = peer.NotDone(errors.New("control: no leader is known; try again"))
	errFull        = peer.NotDone(errors.New("control: the disk of the leading control VM is full, the change was not accepted; free space in its data folder"))
	errLost        = peer.NotDone(errors.New("control: another leader took over, nothing was accepted; ask it"))
	errUnknown     = errors.New("control: leadership changed and the outcome is not known here; resend with the same change id")
	errFullUnknown = errors.New("control: the disk of this control VM is full, and the outcome is not known; resend with the same change id")
	errStopUnknown = errors.New("control: this control VM stopped, and the outcome is not known; resend with the same change id")
)

// proposalResult is the result of a proposal.
type outcome struct {
	result state.Result
	err    error
}

// waiter waits until the entry that was proposed in a term is applied.
type waiter struct {
	term uint64
	done chan outcome // buffered, capacity 1
}

func (w waiter) finish(o outcome) { w.done <- o }

// complete finishes the waiter when an entry with the given term has been applied at its
// index. If the term differs, a new leader has replaced the proposed entry with its own.
func (w waiter) settle(term uint64, res state.Result) {
	if term != w.term {
		w.finish(outcome{err: errLost})
		return
	}
	w.finish(outcome{result: res})
}

func (d *driver) failWaiting(err error) {
	for index, w := range d.waiting {
		delete(d.waiting, index)
		w.finish(outcome{err: err})
	}
}

// propose appends a command to the log and waits until this VM has applied it.
func (n *Node) propose(ctx context.Context, c *wire.Command) (state.Result, error) {
	data, err := proto.Marshal(c)
	if err != nil {
		return state.Result{}, err
	}
	return n.await(ctx, func(m *quorum.Machine) (uint64, uint64, error) { return m.Propose(data) })
}

// proposeConf proposes one membership change of the control group and waits until this
// VM has applied it.
func (n *Node) proposeConf(ctx context.Context, c quorum.ConfChange) error {
	_, err := n.await(ctx, func(m *quorum.Machine) (uint64, uint64, error) { return m.ProposeConf(c) })
	return err
}

// proposeAndWait calls propose, which returns the index and term of the new entry, on the
// driver's goroutine and waits until this VM has applied the entry.
func (n *Node) await(ctx context.Context, put func(*quorum.Machine) (uint64, uint64, error)) (state.Result, error) {
	if n.full.Load() {
		return state.Result{}, errFull
	}
	w := waiter{done: make(chan outcome, 1)}
	d := n.driver
	err := d.call(ctx, func() {
		index, term, err := put(d.machine)
		if err != nil {
			w.finish(outcome{err: peer.NotDone(err)})
			return
		}
		w.term = term
		d.waiting[index] = w
	})
	if err != nil {
		return state.Result{}, err
	}
	select {
	case o := <-w.done:
		return o.result, o.err
	case <-ctx.Done():
		return state.Result{}, errors.Wrap(ctx.Err(), "control: outcome not known; resend with the same change id")
	case <-n.stopped:
		return state.Result{}, errStopUnknown
	}
}
