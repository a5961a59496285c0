package baseline

import (
	"context"
	"math/rand/v2"
	"sync"
)

// limiter bounds the attempts in flight for each leaf. Attempts wait in the order of
// their arrival; a free slot of a leaf goes to the first attempt that may use that leaf.
type limiter struct {
	mu       sync.Mutex
	inFlight map[*Leaf]int
	queues   map[*Leaf][]*waiter
	limit    func(*Leaf) int
}

// waiter is an attempt that waits in the queue of each leaf of its target.
type waiter struct {
	granted chan *Leaf // buffered, so that granting never blocks
	settled bool       // granted a leaf or cancelled
}

func newLimiter(limit func(*Leaf) int) *limiter {
	return &limiter{inFlight: map[*Leaf]int{}, queues: map[*Leaf][]*waiter{}, limit: limit}
}

// acquire takes a slot of the leaf with the most free slots. If there is none, it waits for one.
func (l *limiter) acquire(ctx context.Context, t *Target) (*Leaf, error) {
	l.mu.Lock()
	if best := l.mostFree(t); best != nil {
		l.inFlight[best]++
		l.mu.Unlock()
		return best, nil
	}
	w := &waiter{granted: make(chan *Leaf, 1)}
	for _, r := range t.Leaves {
		l.queues[r] = append(l.queues[r], w)
	}
	l.mu.Unlock()
	select {
	case leaf := <-w.granted:
		return leaf, nil
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if w.settled {
		return <-w.granted, nil
	}
	w.settled = true
	return nil, ctx.Err()
}

func (l *limiter) mostFree(t *Target) *Leaf {
	var best *Leaf
	mostFreeSlots := 0
	for _, i := range rand.Perm(len(t.Leaves)) {
		r := t.Leaves[i]
		if free := l.limit(r) - l.inFlight[r]; free > mostFreeSlots {
			best, mostFreeSlots = r, free
		}
	}
	return best
}

// release ends an attempt and grants freed slots. update, if not nil, is called with the lock held.
func (l *limiter) release(leaf *Leaf, update func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight[leaf]--
	if update != nil {
		update()
	}
	for l.inFlight[leaf] < l.limit(leaf) && len(l.queues[leaf]) > 0 {
		w := l.queues[leaf][0]
		l.queues[leaf] = l.queues[leaf][1:]
		if w.settled {
			continue
		}
		w.settled = true
		l.inFlight[leaf]++
		w.granted <- leaf
	}
}
