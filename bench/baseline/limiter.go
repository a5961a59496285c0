package baseline

import (
	"context"
	"math/rand/v2"
	"sync"
)

// limiter bounds what is in flight per leaf. Attempts wait in order; a leaf
// with room goes to the first attempt that it can serve.
type limiter struct {
	mu     sync.Mutex
	flight map[*Leaf]int
	queues map[*Leaf][]*waiter
	limit  func(*Leaf) int
}

// waiter stands in the queue of each replica of its target.
type waiter struct {
	granted chan *Leaf // buffered: the grant never waits
	done    bool
}

func newLimiter(limit func(*Leaf) int) *limiter {
	return &limiter{flight: map[*Leaf]int{}, queues: map[*Leaf][]*waiter{}, limit: limit}
}

// acquire takes the replica with the most room, waiting until there is some.
func (l *limiter) acquire(ctx context.Context, t *Target) (*Leaf, error) {
	l.mu.Lock()
	if best := l.roomiest(t); best != nil {
		l.flight[best]++
		l.mu.Unlock()
		return best, nil
	}
	w := &waiter{granted: make(chan *Leaf, 1)}
	for _, r := range t.Replicas {
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
	if w.done {
		return <-w.granted, nil
	}
	w.done = true
	return nil, ctx.Err()
}

func (l *limiter) roomiest(t *Target) *Leaf {
	var best *Leaf
	room := 0
	for _, i := range rand.Perm(len(t.Replicas)) {
		r := t.Replicas[i]
		if free := l.limit(r) - l.flight[r]; free > room {
			best, room = r, free
		}
	}
	return best
}

// release ends one attempt; change, where given, runs under the lock.
func (l *limiter) release(leaf *Leaf, change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.flight[leaf]--
	if change != nil {
		change()
	}
	for l.flight[leaf] < l.limit(leaf) && len(l.queues[leaf]) > 0 {
		w := l.queues[leaf][0]
		l.queues[leaf] = l.queues[leaf][1:]
		if w.done {
			continue
		}
		w.done = true
		l.flight[leaf]++
		w.granted <- leaf
	}
}
