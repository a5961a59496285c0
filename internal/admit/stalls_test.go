package admit

import (
	"testing"
	"time"
)

// advanceRunning moves the clock forward while the process records its ticks.
func (w *testGates) advanceRunning(d time.Duration) {
	for ; d > 0; d -= stallTickInterval {
		w.advance(min(d, stallTickInterval))
		w.stalls.tick(w.now)
	}
}

// A stall of the process must not count as service time of the leaf, or requests that
// the leaf could serve would be refused.
func TestStallNotCountedAsServiceTime(t *testing.T) {
	for _, tickBeforeReply := range []bool{false, true} {
		w := newTestGates()
		w.Configure(leafA, Limits{Slots: 1, MaxQueue: 10})
		w.advanceRunning(100 * time.Millisecond)
		p, _, err := w.request(time.Second, 0)
		if p == nil {
			t.Fatal(err)
		}
		w.advanceRunning(20 * time.Millisecond)
		w.advance(400 * time.Millisecond) // the process is stopped
		if tickBeforeReply {
			w.stalls.tick(w.now)
		}
		p.Done(Answered, 0)
		if got := w.Load(leafA).ServiceTime; got > 80*time.Millisecond {
			t.Errorf("tick before the reply: %v: a reply after 20 ms gives service time %v", tickBeforeReply, got)
		}
	}
}
