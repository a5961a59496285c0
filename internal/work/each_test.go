package work

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Tasks of different keys run beside one another; of one key only one at a time.
func TestEach(t *testing.T) {
	var e Each
	gate := make(chan struct{})
	var runs atomic.Int32
	task := func() { runs.Add(1); <-gate }
	if !e.Go("a", task) || !e.Go("b", task) || e.Go("a", task) {
		t.Error("a second task of a key was started, or the first of another was not")
	}
	close(gate)
	e.Wait()
	if !e.Go("a", task) {
		t.Error("a key stays busy after its task")
	}
	e.Wait()
	if n := runs.Load(); n != 3 {
		t.Errorf("%d tasks ran", n)
	}
}

// Of three VMs that are asked in turn the first does not answer. Others are asked while
// that call is still under way, until the answer is there.
func TestInTurnPassesOverASilentOne(t *testing.T) {
	var e Each
	var known atomic.Bool
	var mu sync.Mutex
	var asked []string
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	answered := make(chan struct{})
	e.InTurn(ctx, time.Millisecond, func() []string { return []string{"a", "b", "c"} }, known.Load, func(key string) {
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
