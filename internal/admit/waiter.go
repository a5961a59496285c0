package admit

import (
	"context"
	"sync"
	"sync/atomic"

	"pearmoor/internal/contract"
	"pearmoor/internal/settings"
	"pearmoor/internal/vm"
)

// Ask is a request for a permit.
type Ask struct {
	Priority settings.Priority
	Hedge    bool   // a second attempt; goes before every first attempt of its class
	Order    uint64 // of the query; what has to be shed is shed by lowest Order, the same at every home
}

// waiter is an ask that waits, in the queues of one or more gates at once. The
// gate that claims it first grants to it; the others drop it when they see it.
type waiter struct {
	Ask
	deadline vm.Instant
	result   chan grant   // buffered; receives exactly one grant unless the caller left
	claimed  atomic.Bool  // granted, refused for good, or left
	left     atomic.Int32 // gates that have not refused it

	mu  sync.Mutex
	err *contract.Error // the refusal with the shortest time to come back
}

// grant is the end of a wait: a permit or the error that refuses it.
type grant struct {
	permit *Permit
	err    error
}

func newWaiter(a Ask, deadline vm.Instant, gates int) *waiter {
	w := &waiter{Ask: a, deadline: deadline, result: make(chan grant, 1)}
	w.Priority = min(a.Priority, settings.Urgent)
	w.left.Store(int32(gates))
	waiting.Inc(1)
	return w
}

// claim decides who ends the wait.
func (w *waiter) claim() bool {
	if !w.claimed.CompareAndSwap(false, true) {
		return false
	}
	waiting.Dec(1)
	return true
}

// weight is the part of the waiter that one of its queues has to expect: it
// takes a permit of one of them only.
func (w *waiter) weight() float64 { return 1 / float64(max(1, w.left.Load())) }

// refuse is one gate's refusal; the last one ends the wait.
func (w *waiter) refuse(err *contract.Error) {
	w.mu.Lock()
	if w.err == nil || err.RetryAfter < w.err.RetryAfter {
		w.err = err
	}
	w.mu.Unlock()
	if w.left.Add(-1) == 0 && w.claim() {
		w.result <- grant{err: w.err}
	}
}

// weaker reports whether w is shed before o, whatever their places.
func (w *waiter) weaker(o *waiter) bool {
	switch {
	case w.Priority != o.Priority:
		return w.Priority < o.Priority
	case w.Hedge != o.Hedge:
		return o.Hedge
	}
	return w.Order < o.Order
}

// before reports whether w is granted before o of the same class.
func (w *waiter) before(o *waiter) bool {
	if w.Hedge != o.Hedge {
		return w.Hedge
	}
	return w.deadline < o.deadline
}

// await blocks until w is granted or refused, or ctx ends, and takes w out of
// the queues that still have it.
func (w *waiter) await(ctx context.Context, gates []*gate) (*Permit, error) {
	select {
	case r := <-w.result:
		w.leaveQueues(gates)
		return r.permit, r.err
	case <-ctx.Done():
	}
	if !w.claim() {
		if r := <-w.result; r.permit != nil {
			r.permit.Release()
		}
	}
	w.leaveQueues(gates)
	return nil, contract.Refuse(contract.ReasonDeadline, ctx.Err())
}

func (w *waiter) leaveQueues(gates []*gate) {
	for _, gt := range gates {
		if gt != nil {
			gt.drop(w)
		}
	}
}
