package leaf

import (
	"context"
	"sync"
)

// idleWorkers is how many goroutines a sender keeps parked for exchanges.
const idleWorkers = 64

// workers runs exchanges on goroutines that are used again: the stack of a new
// one has to grow several times in each exchange, which cost 8% of the sending
// side's processor time.
type workers struct {
	work chan task
	idle chan struct{} // one token for each worker that may park
	quit chan struct{}
	once sync.Once
}

// task is an exchange and the context that ends its wait for a connection.
type task struct {
	ctx context.Context
	x   *exchange
}

func newWorkers() *workers {
	return &workers{
		work: make(chan task),
		idle: make(chan struct{}, idleWorkers),
		quit: make(chan struct{}),
	}
}

// run starts t on a parked worker, or on a new one.
func (w *workers) run(t task) {
	select {
	case w.work <- t:
	default:
		go w.serve(t)
	}
}

// serve runs t, and then what comes while the worker may park.
func (w *workers) serve(t task) {
	for {
		t.x.run(t.ctx)
		t = task{}
		select {
		case w.idle <- struct{}{}:
		default:
			return
		}
		select {
		case t = <-w.work:
			<-w.idle
		case <-w.quit:
			return
		}
	}
}

// close ends the parked workers; those at work end after their exchange.
func (w *workers) close() { w.once.Do(func() { close(w.quit) }) }
