package leaf

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"pearmoor/internal/admit"
	"pearmoor/internal/contract"
	"pearmoor/internal/vm"
)

// The states of an exchange. They move from pending to sent or aborted by
// compare-and-swap, so that a caller who was told NotRun is right for good.
const (
	pending int32 = iota // nothing has been written
	sent                 // the first write has begun
	unsent               // the first write failed with nothing taken by the network
	aborted              // the caller left first; nothing will be written
)

// holdLimit is how long after its deadline an attempt may keep its slot and
// connection while nothing is heard from the leaf. Leaves honour deadlines, so
// one that is silent for so long has stopped, or is cut off or hung; its gate
// counts a failure.
const holdLimit = 5 * time.Second

// exchange is one request and its reply. It outlives the call that began it:
// a leaf's slot is in use until the leaf is done, whoever waits for it.
type exchange struct {
	pool     *pool
	permit   *admit.Permit
	clock    vm.Clock
	req      contract.LeafRequest
	deadline vm.Instant

	state  atomic.Int32
	left   atomic.Bool        // the caller waits no more
	killed atomic.Bool        // closed by kill
	cancel context.CancelFunc // ends the wait for a connection

	mu     sync.Mutex
	conn   *conn // nil before and after its use, when it may be another exchange's
	timer  *time.Timer
	toldAt vm.Instant // 0: not told to stop

	done  chan struct{}
	reply *contract.LeafReply
	err   *contract.Error
}

var errAborted = errors.New("the caller gave up before anything was sent")

// begin runs right before the first byte is written.
func (x *exchange) begin() error {
	if err := x.permit.Check(); err != nil {
		return err
	}
	if !x.state.CompareAndSwap(pending, sent) {
		return errAborted
	}
	return nil
}

// run performs the exchange and gives the permit back at its true end.
func (x *exchange) run(ctx context.Context) {
	out := x.perform(ctx)
	x.reply, x.err = out.reply, out.err
	x.permit.Done(out.learnt, out.retryAfter)
	x.mu.Lock()
	if x.timer != nil {
		x.timer.Stop()
	}
	close(x.done)
	x.mu.Unlock()
}

// perform takes a connection and sends. When a connection turns out dead
// before a byte was written it takes the next: nothing has run.
func (x *exchange) perform(ctx context.Context) outcome {
	for {
		c, err := x.pool.get(ctx)
		if err != nil {
			return notConnected(err)
		}
		out, again := x.try(c)
		if !again {
			return out
		}
	}
}

// try sends on c; again says that c was dead and nothing was written.
func (x *exchange) try(c *conn) (out outcome, again bool) {
	if x.state.Load() == aborted {
		x.pool.put(c)
		return notSent(errAborted), false
	}
	if err := x.permit.Check(); err != nil {
		x.pool.put(c)
		return notSent(err), false
	}
	left := x.deadline.Sub(x.clock())
	if left < time.Millisecond {
		x.pool.put(c)
		return notSent(context.DeadlineExceeded), false
	}
	x.req.DeadlineMS = left.Milliseconds()
	x.setConn(c)
	reused := c.reused // another exchange may have c afterwards
	out = x.roundTrip(c)
	return out, reused && x.rewind(out)
}

// rewind makes an exchange that wrote nothing ready for another connection. It
// reports false when something may have been written or nobody waits any more.
func (x *exchange) rewind(out outcome) bool {
	if out.err == nil || !out.dead {
		return false
	}
	x.state.CompareAndSwap(unsent, pending)
	if x.left.Load() {
		x.state.CompareAndSwap(pending, aborted)
	}
	return x.state.Load() == pending
}

func (x *exchange) setConn(c *conn) {
	x.mu.Lock()
	x.conn = c
	x.mu.Unlock()
}

// disarm takes the exchange off a connection that failed. It reports whether
// it is certain that no byte was written. A writer that has the exchange in
// hand but has not begun is stopped by the state.
func (x *exchange) disarm(c *conn) (nothingSent bool) {
	if c.wire.first.Swap(nil) != nil {
		return true
	}
	x.state.CompareAndSwap(pending, aborted)
	return x.state.Load() != sent
}

// leave is called when the caller no longer waits. It reports whether nothing
// was and will be sent. Otherwise the reply is let come in for as long as a new
// connection would cost, or until the deadline if the leaf is known not to
// listen; then the leaf is told, and at last the connection is closed.
func (x *exchange) leave() (nothingSent bool) {
	x.left.Store(true)
	if x.state.CompareAndSwap(pending, aborted) {
		x.cancel()
		return true
	}
	wait := x.pool.connectCost()
	if !x.pool.worthCancelling() {
		wait = max(wait, x.deadline.Sub(x.clock()))
	}
	x.schedule(wait, x.tell)
	return false
}

func (x *exchange) schedule(d time.Duration, f func()) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.over() {
		x.timer = time.AfterFunc(d, f)
	}
}

// tell shuts the write side, which a leaf takes as cancellation.
func (x *exchange) tell() {
	x.mu.Lock()
	if x.conn != nil {
		cancelled.Inc(1)
		x.toldAt = x.clock()
		x.conn.wire.closeWrite()
	}
	x.mu.Unlock()
	left := max(0, x.deadline.Sub(x.clock()))
	x.schedule(left+x.pool.sender.hold, x.kill)
}

// kill closes the connection of an attempt that is past every limit.
func (x *exchange) kill() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.conn != nil {
		abandoned.Inc(1)
		x.killed.Store(true)
		x.conn.close()
	}
}

func (x *exchange) over() bool {
	select {
	case <-x.done:
		return true
	default:
		return false
	}
}
