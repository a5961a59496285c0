// Package work provides helpers that run tasks on goroutines: a pool of reusable
// goroutines, at most one task per key, and long computations in short slices.
package work

import "sync"

// maxIdle is the maximum number of idle goroutines of a pool: enough for one gather over
// 90 shards, with some reserve.
const idleMost = 128

// Pool runs tasks on reusable goroutines. The stack of a new goroutine has to grow several
// times in each exchange with a leaf, which costs 8% of the sender's processor time.
type Pool[T any] struct {
	do   func(T)
	work chan T
	idle chan struct{} // one token for each idle goroutine
	quit chan struct{}
	once sync.Once
}

// NewPool returns a pool whose goroutines call run for each task.
func NewPool[T any](do func(T)) *Pool[T] {
	return &Pool[T]{
		do:   do,
		work: make(chan T),
		idle: make(chan struct{}, idleMost),
		quit: make(chan struct{}),
	}
}

// Run starts t on an idle goroutine, or on a new one if there is none.
func (p *Pool[T]) Run(t T) {
	select {
	case p.work <- t:
	default:
		go p.serve(t)
	}
}

// runTasks runs t and then further tasks, until the pool is closed or has enough idle
// goroutines.
func (p *Pool[T]) serve(t T) {
	var none T
	for {
		p.do(t)
		t = none
		select {
		case p.idle <- struct{}{}:
		default:
			return
		}
		select {
		case t = <-p.work:
			<-p.idle
		case <-p.quit:
			return
		}
	}
}

// Close ends the idle goroutines. The others end after their current task.
func (p *Pool[T]) Close() { p.once.Do(func() { close(p.quit) }) }
