package work

import (
	"sync/atomic"
	"testing"
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
