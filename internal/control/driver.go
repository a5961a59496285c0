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
	maxBurst     = 256             // messages and calls taken between two looks at the clock
	handOverTime = 2 * time.Second // a stopping leader waits this long for its successor
	maxLateTicks = 100             // more missed ticks than this say nothing new
	// slowTicks is how long one turn of the driver may take before it is told of. A VM
	// that stands still for ElectionTicks is replaced as the leader.
	slowTicks = 3
)

// driver owns the quorum machine and the journal; everything in it is touched by
// its goroutine only, but for the two channels.
type driver struct {
	node    *Node
	machine *quorum.Machine
	journal *journal.Journal
	clock   vm.Clock
	tick    time.Duration

	inbox chan *quorum.Message
	calls chan func()

	waiting     map[uint64]waiter // proposals by log index
	started     vm.Instant        // instant of tick 0
	ticks       int64
	applied     uint64
	appliedTerm uint64
	snapshot    uint64 // index of the newest snapshot
	ledTerm     uint64 // term in which this VM last became a ready leader
	flushed     vm.Instant
	// What the turn under way spent on the journal and on the state.
	saveTook, applyTook time.Duration
}

func newDriver(n *Node, m *quorum.Machine, j *journal.Journal, index uint64) *driver {
	return &driver{
		node: n, machine: m, journal: j, clock: n.cfg.Clock, tick: n.cfg.Tick,
		inbox: make(chan *quorum.Message, inboxSize), calls: make(chan func(), callsSize),
		waiting: make(map[uint64]waiter), applied: index, snapshot: index,
	}
}

// run drives the machine until ctx ends or something fails for good.
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
		// Ticks first: after a pause the machine has to know that time has
		// passed before it believes anything that waited meanwhile.
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

// take passes on the given call or message and what else waits, up to a burst:
// one sync of the journal then serves them all.
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
		klog.V(1).Infof("control: message dropped: %v", err)
	}
}

// reportSlow tells of a turn during which no message was taken and none sent.
func (d *driver) reportSlow(began vm.Instant) {
	if took := d.clock().Sub(began); took >= slowTicks*d.tick {
		klog.Warningf("control: stood still for %v, applied=%d save=%v apply=%v waiting=%d", took, d.applied, d.saveTook, d.applyTook, len(d.inbox))
	}
	d.saveTook, d.applyTook = 0, 0
}

// settle carries out all work that the machine has, and shows the outcome.
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

// publish shows who leads. A leader is shown only once it has applied an entry
// of its own term, so that its state holds every change accepted before it.
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

// beginStop hands leadership over, if there is somebody to take it.
func (d *driver) beginStop() <-chan time.Time {
	st := d.machine.Status()
	if st.Role != quorum.Leader || len(st.Peers) == 0 {
		return time.After(0)
	}
	if err := d.machine.Transfer(0); err != nil {
		klog.Warningf("control: leadership is not handed over: %v", err)
		return time.After(0)
	}
	klog.Infof("control: handing leadership over before the stop")
	return time.After(handOverTime)
}

// call runs f on the driver's goroutine; false means that it never will.
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
