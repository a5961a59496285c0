package work

import (
	"context"
	"sync"
	"time"

	"pearmoor/internal/vm"
)

// Each runs at most one task for a key at a time. The zero value is ready for use.
type Each struct {
	mu   sync.Mutex
	busy map[string]bool
	wait sync.WaitGroup
}

// Go runs f on a goroutine of its own, unless a task for the key is under way. It
// reports whether it does.
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

// InTurn starts f for one more key every pause, of those that keys names the first that
// has no task, until done or the end of ctx, and waits for what it has started.
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

// Wait returns when no task is under way.
func (e *Each) Wait() { e.wait.Wait() }
