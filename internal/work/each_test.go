package work

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Tasks of different keys must run concurrently, and those of one key one at a time.
func TestOneTaskPerKey(t *testing.T) {
	var r KeyedRunner
	gate := make(chan struct{})
	var runs atomic.Int32
	task := func() { runs.Add(1); <-gate }
	if !r.Go("a", task) || !r.Go("b", task) || r.Go("a", task) {
		t.Error("a second task of a key was started, or the first task of another key was not")
	}
	close(gate)
	r.Wait()
	if !r.Go("a", task) {
		t.Error("a key is still busy after its task has ended")
	}
	r.Wait()
	if n := runs.Load(); n != 3 {
		t.Errorf("got %d task runs", n)
	}
}

// The task of the first key blocks, as a call to a VM that does not answer. The tasks of
// other keys must be started meanwhile, until one of them has the answer.
func TestRunStaggeredSkipsUnresponsiveKey(t *testing.T) {
	var r KeyedRunner
	var known atomic.Bool
	var mu sync.Mutex
	var asked []string
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	answered := make(chan struct{})
	r.RunStaggered(ctx, time.Millisecond, func() []string { return []string{"a", "b", "c"} }, known.Load, func(key string) {
		mu.Lock()
		asked = append(asked, key)
		mu.Unlock()
		switch key {
		case "a":
			<-answered
		case "b":
			known.Store(true)
			close(answered)
		}
	})
	if ctx.Err() != nil || !slices.Contains(asked, "a") || !slices.Contains(asked, "b") {
		t.Errorf("asked %q, %v", asked, ctx.Err())
	}
}
