package control

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"pearmoor/internal/journal"
	"pearmoor/internal/quorum"
	"pearmoor/internal/vm"
)

const (
	inboxSize    = 4096
	callsSize    = 1024
	maxBurst     = 256             // messages and calls handled in one turn, after which overdue ticks are delivered
	handOverTime = 2 * time.Second // how long a stopping leader waits until another member has taken over
	maxLateTicks = 100             // missed ticks that are delivered after a pause; more would have no further effect
	// slowTurnTicks is the duration of one turn of the driver, in ticks, from which it is
	// logged. A leader that is blocked for ElectionTicks loses its leadership.
	slowTicks = 3
)

// driver owns the quorum machine and the journal. Its fields are accessed only by the
// goroutine that executes run, except for the channels inbox and calls.
type driver struct {
	node    *Node
	machine *quorum.Machine
	journal *journal.Journal
	clock   vm.Clock
	tick    time.Duration

	inbox chan *quorum.Message
	calls chan func()

	waiting     map[uint64]waiter // callers waiting for their proposals, by log index
	started     vm.Instant        // instant of tick 0; moved forward when missed ticks are skipped
	ticks       int64
	applied     uint64
	appliedTerm uint64
	snapshot    uint64 // index of the newest snapshot
	ledTerm     uint64 // last term in which this VM started to lead, see startLeading
	flushed     vm.Instant
	// Time that the current turn has spent writing the journal and applying entries.
	saveTook, applyTook time.Duration
}

func newDriver(n *Node, m *quorum.Machine, j *journal.Journal, index uint64) *driver {
	return &driver{
		node: n, machine: m, journal: j, clock: n.cfg.Clock, tick: n.cfg.Tick,
		inbox: make(chan *quorum.Message, inboxSize), calls: make(chan func(), callsSize),
		waiting: make(map[uint64]waiter), applied: index, snapshot: index,
	}
}

// run executes the driver's loop. When ctx is done it transfers leadership, if this VM
// leads, and returns. It returns an error if the journal or the state has failed.
func (d *driver) run(ctx context.Context) error {
	defer d.failWaiting(errStopUnknown)
	ticker := time.NewTicker(d.tick)
	defer ticker.Stop()
	d.started = d.clock()
	done, handOver := ctx.Done(), (<-chan time.Time)(nil)
	for {
		var call func()
		var msg *quorum.Message
		select {
		case <-ticker.C:
		case call = <-d.calls:
		case msg = <-d.inbox:
		case <-done:
			done, handOver = nil, d.beginStop()
		case <-handOver:
			return nil
		}
		// Deliver ticks first: after a pause the machine has to account for the
		// elapsed time before it handles messages that were queued meanwhile.
		began := d.clock()
		d.deliverTicks()
		d.take(call, msg)
		if err := d.settle(ctx); err != nil {
			return err
		}
		d.reportSlow(began)
		if done == nil && !d.node.lead.Load().self {
			return nil
		}
	}
}

func (d *driver) deliverTicks() {
	due := int64(d.clock().Sub(d.started) / d.tick)
	if late := due - d.ticks; late > maxLateTicks {
		d.started = d.started.Add(time.Duration(late-maxLateTicks) * d.tick)
		due = d.ticks + maxLateTicks
	}
	for ; d.ticks < due; d.ticks++ {
		d.machine.Tick()
	}
}

// dispatch handles the given call or message and further queued ones, up to maxBatch,
// so that one sync of the journal covers all of them.
func (d *driver) take(call func(), msg *quorum.Message) {
	for range maxBurst {
		if call != nil {
			call()
		}
		if msg != nil {
			d.step(msg)
		}
		call, msg = nil, nil
		select {
		case call = <-d.calls:
		case msg = <-d.inbox:
		default:
			return
		}
	}
	if call != nil {
		call()
	}
	if msg != nil {
		d.step(msg)
	}
}

func (d *driver) step(msg *quorum.Message) {
	if err := d.machine.Step(msg); err != nil {
		klog.V(1).Infof("control: dropped a message from a control VM: %v", err)
	}
}

// logSlowTurn logs a turn that took slowTurnTicks or longer. During a turn the driver
// receives no messages.
func (d *driver) reportSlow(began vm.Instant) {
	if took := d.clock().Sub(began); took >= slowTicks*d.tick {
		klog.Warningf("control: stood still for %v, applied=%d save=%v apply=%v waiting=%d", took, d.applied, d.saveTook, d.applyTook, len(d.inbox))
	}
	d.saveTook, d.applyTook = 0, 0
}

// processAllReady processes the machine's pending work, writes a snapshot if one is due
// and publishes the resulting leadership.
func (d *driver) settle(ctx context.Context) error {
	for d.machine.HasReady() {
		if err := d.process(ctx); err != nil {
			return err
		}
	}
	if err := d.compact(); err != nil {
		return err
	}
	d.publish()
	return nil
}

// publishLeadership makes the current leadership visible to RPC handlers. This VM is
// published as the leader only after it has applied an entry of its own term: its state
// then contains every change accepted in earlier terms.
func (d *driver) publish() {
	st := d.machine.Status()
	ready := st.Role == quorum.Leader && d.appliedTerm == st.Term
	l := &leadership{
		term: st.Term, leader: st.Leader, addr: addrOf(st.Conf, st.Leader),
		self: ready, conf: st.Conf, status: st,
	}
	if d.machine.QuorumActive() {
		lastTick := d.started.Add(time.Duration(d.ticks) * d.tick)
		l.active = lastTick.Add(activeFor(&st, d.electionTicks(), d.tick))
	}
	if ready && d.ledTerm != st.Term {
		d.ledTerm = st.Term
		d.node.takeOver(st.Term, d.electionTime())
	}
	d.node.setLeadership(l)
}

func (d *driver) electionTicks() int { return quorum.DefaultConfig(1, 0).ElectionTicks }

func (d *driver) electionTime() time.Duration { return time.Duration(d.electionTicks()) * d.tick }

// transferLeadership starts a transfer of leadership to another member. It returns a
// channel that fires when run should stop waiting for the transfer, which is at once if
// this VM does not lead, has no peers or can't start the transfer.
func (d *driver) beginStop() <-chan time.Time {
	st := d.machine.Status()
	if st.Role != quorum.Leader || len(st.Peers) == 0 {
		return time.After(0)
	}
	if err := d.machine.Transfer(0); err != nil {
		klog.Warningf("control: leadership transfer failed: %v", err)
		return time.After(0)
	}
	klog.Infof("control: transferring leadership before stopping")
	return time.After(handOverTime)
}

// call queues f to run on the driver's goroutine. It returns an error if f was not queued
// because ctx is done or the node has stopped.
func (d *driver) call(ctx context.Context, f func()) error {
	select {
	case d.calls <- f:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-d.node.stopped:
		return errStopped
	}
}
