package work

import (
	"context"
	"sync"
	"time"

	"pearmoor/internal/vm"
)

// KeyedRunner runs at most one task per key at a time. The zero value is ready for use.
type KeyedRunner struct {
	mu      sync.Mutex
	running map[string]bool
	wg      sync.WaitGroup
}

// Go runs f on a new goroutine unless a task for the key is running. It reports whether
// f was started.
func (r *KeyedRunner) Go(key string, f func()) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running[key] {
		return false
	}
	if r.running == nil {
		r.running = make(map[string]bool)
	}
	r.running[key] = true
	r.wg.Go(func() {
		defer func() {
			r.mu.Lock()
			delete(r.running, key)
			r.mu.Unlock()
		}()
		f()
	})
	return true
}

// RunStaggered starts f once per interval, for the first of keys that has no running task,
// until done returns true or ctx is done. It then waits for all running tasks.
func (r *KeyedRunner) RunStaggered(ctx context.Context, interval time.Duration, keys func() []string, done func() bool, f func(key string)) {
	defer r.Wait()
	for ctx.Err() == nil && !done() {
		for _, key := range keys() {
			if r.Go(key, func() { f(key) }) {
				break
			}
		}
		vm.Sleep(ctx, interval)
	}
}

// Wait waits until no task is running.
func (r *KeyedRunner) Wait() { r.wg.Wait() }
