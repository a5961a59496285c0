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

// The errors that a caller of a control VM sees as text. Those marked with
// peer.NotDone are certain: nothing was changed.
var (
	errStopped     = peer.NotDone(errors.New("control: this control VM is stopping; ask another one"))
	errNoLeader    = peer.NotDone(errors.New("control: no leader is known; try again"))
	errFull        = peer.NotDone(errors.New("control: the disk of the leading control VM is full, the change was not accepted; free space in its data folder"))
	errLost        = peer.NotDone(errors.New("control: another leader took over, nothing was accepted; ask it"))
	errUnknown     = errors.New("control: leadership changed and the outcome is not known here; resend with the same change id")
	errFullUnknown = errors.New("control: the disk of this control VM is full, and the outcome is not known; resend with the same change id")
	errStopUnknown = errors.New("control: this control VM stopped, and the outcome is not known; resend with the same change id")
)

// outcome is what became of a proposal.
type outcome struct {
	result state.Result
	err    error
}

// waiter waits for the entry that was proposed in a term.
type waiter struct {
	term uint64
	done chan outcome // has room for one
}

func (w waiter) finish(o outcome) { w.done <- o }

// settle answers the waiter when the entry at its index has been applied. Another
// term there means that a new leader put its own entry in place of ours.
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

// propose adds a command to the log and waits until it is applied here.
func (n *Node) propose(ctx context.Context, c *wire.Command) (state.Result, error) {
	data, err := proto.Marshal(c)
	if err != nil {
		return state.Result{}, err
	}
	return n.await(ctx, func(m *quorum.Machine) (uint64, uint64, error) { return m.Propose(data) })
}

// proposeConf changes the control group by one step.
func (n *Node) proposeConf(ctx context.Context, c quorum.ConfChange) error {
	_, err := n.await(ctx, func(m *quorum.Machine) (uint64, uint64, error) { return m.ProposeConf(c) })
	return err
}

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
