package control

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"pearmoor/internal/journal"
	"pearmoor/internal/link/wire"
	"pearmoor/internal/quorum"
	"pearmoor/internal/vm"
)

const (
	messageQueueSize = 4096
	callQueueSize    = 1024
	maxBatch         = 256             // messages and calls handled in one turn, after which overdue ticks are delivered
	transferTimeout  = 2 * time.Second // how long a stopping leader waits until another member has taken over
	maxCatchUpTicks  = 100             // missed ticks that are delivered after a pause; more would have no further effect
	// slowTurnTicks is the duration of one turn of the driver, in ticks, from which it is
	// logged. A leader that is blocked for ElectionTicks loses its leadership.
	slowTurnTicks = 3
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

	waiters        map[uint64]waiter // callers waiting for their proposals, by log index
	firstTickAt    vm.Instant        // instant of tick 0; moved forward when missed ticks are skipped
	deliveredTicks int64
	appliedIndex   uint64
	appliedTerm    uint64
	snapshotIndex  uint64             // index of the newest snapshot
	identity       *wire.DiskIdentity // as on the disk
	identityTried  vm.Instant         // when writing identity was last tried
	announcedTerm  uint64             // last term in which this VM started to lead, see startLeading
	lastFlush      vm.Instant
	// Time that the current turn has spent writing the journal and applying entries.
	saveTime, applyTime time.Duration
}

func newDriver(n *Node, m *quorum.Machine, j *journal.Journal, stored *journal.StoredState) *driver {
	index := stored.Snapshot.GetIndex()
	return &driver{
		node: n, machine: m, journal: j, clock: n.cfg.Clock, tick: n.cfg.Tick,
		inbox: make(chan *quorum.Message, messageQueueSize), calls: make(chan func(), callQueueSize),
		waiters: make(map[uint64]waiter), appliedIndex: index, snapshotIndex: index, identity: stored.Identity,
	}
}

// run executes the driver's loop. When ctx is done it transfers leadership, if this VM
// leads, and returns. It returns an error if the journal or the state has failed.
func (d *driver) run(ctx context.Context) error {
	defer d.failWaiters(errStoppedOutcomeUnknown)
	ticker := time.NewTicker(d.tick)
	defer ticker.Stop()
	d.firstTickAt = d.clock()
	done, transferDeadline := ctx.Done(), (<-chan time.Time)(nil)
	for {
		var call func()
		var msg *quorum.Message
		select {
		case <-ticker.C:
		case call = <-d.calls:
		case msg = <-d.inbox:
		case <-done:
			done, transferDeadline = nil, d.transferLeadership()
		case <-transferDeadline:
			return nil
		}
		// Deliver ticks first: after a pause the machine has to account for the
		// elapsed time before it handles messages that were queued meanwhile.
		start := d.clock()
		d.deliverTicks()
		d.dispatch(call, msg)
		if err := d.processAllReady(ctx); err != nil {
			return err
		}
		d.logSlowTurn(start)
		if done == nil && !d.node.leadership.Load().isLeader {
			return nil
		}
	}
}

func (d *driver) deliverTicks() {
	due := int64(d.clock().Sub(d.firstTickAt) / d.tick)
	if behind := due - d.deliveredTicks; behind > maxCatchUpTicks {
		d.firstTickAt = d.firstTickAt.Add(time.Duration(behind-maxCatchUpTicks) * d.tick)
		due = d.deliveredTicks + maxCatchUpTicks
	}
	for ; d.deliveredTicks < due; d.deliveredTicks++ {
		d.machine.Tick()
	}
}

// dispatch handles the given call or message and further queued ones, up to maxBatch,
// so that one sync of the journal covers all of them.
func (d *driver) dispatch(call func(), msg *quorum.Message) {
	for range maxBatch {
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
	err := d.machine.Step(msg)
	var other *quorum.OtherGroupError
	if errors.As(err, &other) {
		d.node.groupGuard.Refuses(d.node.GroupID(), vm.GroupID(other.Group), "a message of the quorum", fmt.Sprintf("member %d", other.From))
	} else if err != nil {
		klog.V(1).Infof("control: dropped a message from a control VM: %v", err)
	}
}

// logSlowTurn logs a turn that took slowTurnTicks or longer. During a turn the driver
// receives no messages.
func (d *driver) logSlowTurn(start vm.Instant) {
	if elapsed := d.clock().Sub(start); elapsed >= slowTurnTicks*d.tick {
		klog.Warningf("control: stood still for %v, applied=%d save=%v apply=%v waiting=%d", elapsed, d.appliedIndex, d.saveTime, d.applyTime, len(d.inbox))
	}
	d.saveTime, d.applyTime = 0, 0
}

// processAllReady processes the machine's pending work, writes a snapshot if one is due
// and publishes the resulting leadership.
func (d *driver) processAllReady(ctx context.Context) error {
	for d.machine.HasReady() {
		if err := d.processReady(ctx); err != nil {
			return err
		}
	}
	if err := d.compact(); err != nil {
		return err
	}
	d.publishLeadership()
	return d.saveGroup()
}

// saveGroup records the group's identity on the disk once it is committed, so that the disk
// is known to be of this group also without its log.
func (d *driver) saveGroup() error {
	group, recorded := d.node.GroupID(), vm.GroupID(d.identity.Group)
	if group == "" || group == recorded || d.clock().Sub(d.identityTried) < diskFullRetryInterval {
		return nil
	}
	if recorded != "" {
		return errors.Newf("control: the group is %s, the disk belongs to group %s", group, recorded)
	}
	d.identityTried = d.clock()
	next := proto.CloneOf(d.identity)
	next.Group = group.Wire()
	err := d.journal.WriteIdentity(next)
	if errors.Is(err, journal.ErrFull) {
		klog.Warningf("control: identity of the group not written: %v", err)
		return nil
	}
	if err != nil {
		return err
	}
	d.identity = next
	klog.Infof("control: member %d belongs to group=%s", next.Id, group)
	return nil
}

// publishLeadership makes the current leadership visible to RPC handlers. This VM is
// published as the leader only after it has applied an entry of its own term: its state
// then contains every change accepted in earlier terms.
func (d *driver) publishLeadership() {
	st := d.machine.Status()
	leads := st.Role == quorum.Leader && d.appliedTerm == st.Term
	l := &leadership{
		term: st.Term, leader: st.Leader, leaderAddr: memberAddr(st.Conf, st.Leader),
		isLeader: leads, conf: st.Conf, status: st,
	}
	if d.machine.QuorumActive() {
		lastTick := d.firstTickAt.Add(time.Duration(d.deliveredTicks) * d.tick)
		l.activeUntil = lastTick.Add(quorumActiveFor(&st, d.electionTicks(), d.tick))
	}
	if leads && d.announcedTerm != st.Term {
		d.announcedTerm = st.Term
		d.node.startLeading(st.Term, d.electionTimeout())
	}
	d.node.setLeadership(l)
}

func (d *driver) electionTicks() int { return quorum.DefaultConfig(1, 0).ElectionTicks }

func (d *driver) electionTimeout() time.Duration { return time.Duration(d.electionTicks()) * d.tick }

// transferLeadership starts a transfer of leadership to another member. It returns a
// channel that fires when run should stop waiting for the transfer, which is at once if
// this VM does not lead, has no peers or can't start the transfer.
func (d *driver) transferLeadership() <-chan time.Time {
	st := d.machine.Status()
	if st.Role != quorum.Leader || len(st.Peers) == 0 {
		return time.After(0)
	}
	if err := d.machine.TransferLeadership(0); err != nil {
		klog.Warningf("control: leadership transfer failed: %v", err)
		return time.After(0)
	}
	klog.Infof("control: transferring leadership before stopping")
	return time.After(transferTimeout)
}

// callAndWait runs f on the driver's goroutine and reports whether it has run. If not, because
// ctx is done or the node has stopped, f may still run.
func (d *driver) callAndWait(ctx context.Context, f func()) bool {
	done := make(chan struct{})
	if err := d.call(ctx, func() { defer close(done); f() }); err != nil {
		return false
	}
	select {
	case <-done:
		return true
	case <-ctx.Done():
	case <-d.node.stopped:
	}
	return false
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
