// Package work provides helpers that run tasks on goroutines: a pool of reusable
// goroutines, at most one task per key, and long computations in short slices.
package work

import "sync"

// maxIdle is the maximum number of idle goroutines of a pool: enough for one gather over
// 90 shards, with some reserve.
const maxIdle = 128

// Pool runs tasks on reusable goroutines. The stack of a new goroutine has to grow several
// times in each exchange with a leaf, which costs 8% of the sender's processor time.
type Pool[T any] struct {
	run       func(T)
	tasks     chan T
	idleSlots chan struct{} // one token for each idle goroutine
	closed    chan struct{}
	closeOnce sync.Once
}

// NewPool returns a pool whose goroutines call run for each task.
func NewPool[T any](run func(T)) *Pool[T] {
	return &Pool[T]{
		run:       run,
		tasks:     make(chan T),
		idleSlots: make(chan struct{}, maxIdle),
		closed:    make(chan struct{}),
	}
}

// Run starts t on an idle goroutine, or on a new one if there is none.
func (p *Pool[T]) Run(t T) {
	select {
	case p.tasks <- t:
	default:
		go p.runTasks(t)
	}
}

// runTasks runs t and then further tasks, until the pool is closed or has enough idle
// goroutines.
func (p *Pool[T]) runTasks(t T) {
	var zero T
	for {
		p.run(t)
		t = zero
		select {
		case p.idleSlots <- struct{}{}:
		default:
			return
		}
		select {
		case t = <-p.tasks:
			<-p.idleSlots
		case <-p.closed:
			return
		}
	}
}

// Close ends the idle goroutines. The others end after their current task.
func (p *Pool[T]) Close() { p.closeOnce.Do(func() { close(p.closed) }) }
