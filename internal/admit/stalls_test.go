package admit

import (
	"testing"
	"time"
)

// run moves time on with the process running.
func (w *world) run(d time.Duration) {
	for ; d > 0; d -= stallTick {
		w.advance(min(d, stallTick))
		w.stalls.tick(w.now)
	}
}

// Guards against a stall of the process being taken for a leaf's service time, which refuses what the leaf could serve.
func TestStallIsNoServiceTime(t *testing.T) {
	for _, late := range []bool{false, true} {
		w := newWorld()
		w.Configure(leafA, Limits{Slots: 1, Queue: 10})
		w.run(100 * time.Millisecond)
		p, _, err := w.ask(time.Second, 0)
		if p == nil {
			t.Fatal(err)
		}
		w.run(20 * time.Millisecond)
		w.advance(400 * time.Millisecond) // stopped
		if late {
			w.stalls.tick(w.now)
		}
		p.Done(Answered, 0)
		if got := w.Load(leafA).Service; got > 80*time.Millisecond {
			t.Errorf("noted before: %v: a reply after 20 ms counts as %v", late, got)
		}
	}
}
