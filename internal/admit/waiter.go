package admit

import (
	"context"
	"sync"
	"sync/atomic"

	"pearmoor/internal/contract"
	"pearmoor/internal/settings"
	"pearmoor/internal/vm"
)

// PermitRequest describes a request for a permit.
type PermitRequest struct {
	Priority settings.Priority
	Hedge    bool   // a second attempt; granted before all first attempts of its class
	ShedRank uint64 // rank of the query, the same on every home daemon; the lowest is shed first
}

// waiter is a request that is queued at one or more gates. The first gate to claim it
// grants the permit; the other gates remove it.
type waiter struct {
	PermitRequest
	deadline     vm.Instant
	result       chan grant   // buffered; receives exactly one grant unless the caller left
	claimed      atomic.Bool  // a permit was granted, all gates refused, or the caller left
	pendingGates atomic.Int32 // gates that have not refused it

	mu  sync.Mutex
	err *contract.Error // the refusal with the shortest retry time
}

// grant is the result of a wait: a permit or the error that refuses it.
type grant struct {
	permit *Permit
	err    error
}

func newWaiter(req PermitRequest, deadline vm.Instant, numGates int) *waiter {
	w := &waiter{PermitRequest: req, deadline: deadline, result: make(chan grant, 1)}
	w.Priority = min(req.Priority, settings.Urgent)
	w.pendingGates.Store(int32(numGates))
	waitingCount.Inc(1)
	return w
}

// claim reports whether the caller may end the wait; it returns true only once.
func (w *waiter) claim() bool {
	if !w.claimed.CompareAndSwap(false, true) {
		return false
	}
	waitingCount.Dec(1)
	return true
}

// weight returns the waiter's share in the expected load of one of its queues: it
// takes a permit from only one of them.
func (w *waiter) weight() float64 { return 1 / float64(max(1, w.pendingGates.Load())) }

// refuse records one gate's refusal. The last gate's refusal ends the wait.
func (w *waiter) refuse(err *contract.Error) {
	w.mu.Lock()
	if w.err == nil || err.RetryAfter < w.err.RetryAfter {
		w.err = err
	}
	w.mu.Unlock()
	if w.pendingGates.Add(-1) == 0 && w.claim() {
		w.result <- grant{err: w.err}
	}
}

// shedBefore reports whether w is shed before other, regardless of queue positions.
func (w *waiter) shedBefore(other *waiter) bool {
	switch {
	case w.Priority != other.Priority:
		return w.Priority < other.Priority
	case w.Hedge != other.Hedge:
		return other.Hedge
	}
	return w.ShedRank < other.ShedRank
}

// grantedBefore reports whether w is granted before other of the same class.
func (w *waiter) grantedBefore(other *waiter) bool {
	if w.Hedge != other.Hedge {
		return w.Hedge
	}
	return w.deadline < other.deadline
}

// await blocks until w is granted or refused or ctx ends, and removes w from the
// queues that still hold it.
func (w *waiter) await(ctx context.Context, gates []*gate) (*Permit, error) {
	select {
	case r := <-w.result:
		w.removeFromQueues(gates)
		return r.permit, r.err
	case <-ctx.Done():
	}
	if !w.claim() {
		if r := <-w.result; r.permit != nil {
			r.permit.Release()
		}
	}
	w.removeFromQueues(gates)
	return nil, contract.Refuse(contract.ReasonDeadline, ctx.Err())
}

func (w *waiter) removeFromQueues(gates []*gate) {
	for _, gt := range gates {
		if gt != nil {
			gt.removeWaiter(w)
		}
	}
}
