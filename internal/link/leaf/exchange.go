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

// The states of an exchange. The transition from statePending to stateSent or stateAborted
// is a compare-and-swap, so that nothing is written after the caller was told NotRun.
const (
	statePending int32 = iota // nothing has been written
	stateSent                 // the first write has begun
	stateUnsent               // the first write failed and wrote no bytes
	stateAborted              // cancelled before the first write; nothing will be written
)

// defaultAbandonTimeout is how long after its deadline an exchange may keep its slot and
// connection without a reply. Leaves honour deadlines, so a leaf that sends nothing for this
// long has crashed, hangs or is unreachable; its gate counts a failure.
const defaultAbandonTimeout = 5 * time.Second

// exchange is one request and its reply. It may outlive the call to Send that started it:
// the leaf's slot is in use until the leaf has finished, whether or not the caller still
// waits.
type exchange struct {
	pool     *pool
	permit   *admit.Permit
	clock    vm.Clock
	req      contract.LeafRequest
	deadline vm.Instant

	state       atomic.Int32
	callerGone  atomic.Bool        // the caller no longer waits for the reply
	forceClosed atomic.Bool        // the connection was closed by forceClose
	cancel      context.CancelFunc // ends the wait for a connection

	mu           sync.Mutex
	conn         *conn // nil unless in use by this exchange: another exchange may use it before and after
	timer        *time.Timer
	cancelSentAt vm.Instant // when the cancellation was sent; 0: not sent

	done  chan struct{}
	reply *contract.LeafReply
	err   *contract.Error
}

var errAborted = errors.New("the caller gave up before anything was sent")

// beforeFirstWrite runs immediately before the first byte is written. If it returns an error,
// nothing may be written.
func (x *exchange) beforeFirstWrite() error {
	if err := x.permit.Check(); err != nil {
		return err
	}
	if !x.state.CompareAndSwap(statePending, stateSent) {
		return errAborted
	}
	return nil
}

// run performs the exchange and returns the permit once the leaf has finished.
func (x *exchange) run(ctx context.Context) {
	out := x.perform(ctx)
	x.reply, x.err = out.reply, out.err
	x.permit.Done(out.gateOutcome, out.retryAfter)
	x.mu.Lock()
	if x.timer != nil {
		x.timer.Stop()
	}
	close(x.done)
	x.mu.Unlock()
}

// perform sends the request on a connection of the pool. If a reused connection fails before
// a byte was written, the request cannot have run and is sent on another connection.
func (x *exchange) perform(ctx context.Context) outcome {
	for {
		c, err := x.pool.get(ctx)
		if err != nil {
			return notConnected(err)
		}
		out, retry := x.attempt(c)
		if !retry {
			return out
		}
	}
}

// attempt sends the request on c. It reports retry if c had been closed and nothing was
// written.
func (x *exchange) attempt(c *conn) (out outcome, retry bool) {
	if x.state.Load() == stateAborted {
		x.pool.put(c)
		return notSent(errAborted), false
	}
	if err := x.permit.Check(); err != nil {
		x.pool.put(c)
		return notSent(err), false
	}
	remaining := x.deadline.Sub(x.clock())
	if remaining < time.Millisecond {
		x.pool.put(c)
		return notSent(context.DeadlineExceeded), false
	}
	x.req.DeadlineMS = remaining.Milliseconds()
	x.setConn(c)
	reused := c.reused // read now: after roundTrip another exchange may use c
	out = x.roundTrip(c)
	return out, reused && x.resetForRetry(out)
}

// resetForRetry prepares an exchange that wrote nothing for another connection. It reports
// false if something may have been written or the caller no longer waits.
func (x *exchange) resetForRetry(out outcome) bool {
	if out.err == nil || !out.nothingWritten {
		return false
	}
	x.state.CompareAndSwap(stateUnsent, statePending)
	if x.callerGone.Load() {
		x.state.CompareAndSwap(statePending, stateAborted)
	}
	return x.state.Load() == statePending
}

// setConn sets the connection that sendCancel and forceClose act on.
func (x *exchange) setConn(c *conn) {
	x.mu.Lock()
	x.conn = c
	x.mu.Unlock()
}

// detach removes the exchange's write hook from a connection that failed. It reports whether
// it is certain that no byte was written. A concurrent write that has already taken the hook
// but has not called beforeFirstWrite is stopped by stateAborted.
func (x *exchange) detach(c *conn) (nothingSent bool) {
	if c.netConn.firstWrite.Swap(nil) != nil {
		return true
	}
	x.state.CompareAndSwap(statePending, stateAborted)
	return x.state.Load() != stateSent
}

// callerDone is called when the caller no longer waits. It reports whether nothing was sent
// and nothing will be. Otherwise it leaves the reply as much time to arrive as opening a new
// connection takes, or until the deadline if the leaf is known to ignore cancellation. After
// that sendCancel cancels the request on the leaf, and forceClose closes the connection if the
// leaf still does not finish.
func (x *exchange) callerDone() (nothingSent bool) {
	x.callerGone.Store(true)
	if x.state.CompareAndSwap(statePending, stateAborted) {
		x.cancel()
		return true
	}
	delay := x.pool.expectedConnectTime()
	if !x.pool.shouldCancel() {
		delay = max(delay, x.deadline.Sub(x.clock()))
	}
	x.schedule(delay, x.sendCancel)
	return false
}

// schedule calls f after d unless the exchange has finished by now.
func (x *exchange) schedule(d time.Duration, f func()) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.finished() {
		x.timer = time.AfterFunc(d, f)
	}
}

// sendCancel shuts down the write side of the connection, which tells the leaf that the
// request is cancelled, and schedules forceClose.
func (x *exchange) sendCancel() {
	x.mu.Lock()
	if x.conn != nil {
		attemptsCancelled.Inc(1)
		x.cancelSentAt = x.clock()
		x.conn.netConn.closeWrite()
	}
	x.mu.Unlock()
	remaining := max(0, x.deadline.Sub(x.clock()))
	x.schedule(remaining+x.pool.sender.abandonTimeout, x.forceClose)
}

// forceClose closes the connection of an exchange that has not finished within the abandon
// timeout after its deadline.
func (x *exchange) forceClose() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.conn != nil {
		attemptsAbandoned.Inc(1)
		x.forceClosed.Store(true)
		x.conn.close()
	}
}

func (x *exchange) finished() bool {
	select {
	case <-x.done:
		return true
	default:
		return false
	}
}
