package work

import (
	"context"
	"sync"
	"time"

	"pearmoor/internal/vm"
)

// KeyedRunner runs at most one task per key at a time. The zero value is ready for use.
type Each struct {
	mu   sync.Mutex
	busy map[string]bool
	wait sync.WaitGroup
}

// Go runs f on a new goroutine unless a task for the key is running. It reports whether
// f was started.
func (e *Each) Go(key string, f func()) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.busy[key] {
		return false
	}
	if e.busy == nil {
		e.busy = make(map[string]bool)
	}
	e.busy[key] = true
	e.wait.Go(func() {
		defer func() {
			e.mu.Lock()
			delete(e.busy, key)
			e.mu.Unlock()
		}()
		f()
	})
	return true
}

// RunStaggered starts f once per interval, for the first of keys that has no running task,
// until done returns true or ctx is done. It then waits for all running tasks.
func (e *Each) InTurn(ctx context.Context, pause time.Duration, keys func() []string, done func() bool, f func(key string)) {
	defer e.Wait()
	for ctx.Err() == nil && !done() {
		for _, key := range keys() {
			if e.Go(key, func() { f(key) }) {
				break
			}
		}
		vm.Sleep(ctx, pause)
	}
}

// Wait waits until no task is running.
func (e *Each) Wait() { e.wait.Wait() }
