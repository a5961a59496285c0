package work

import "time"

const (
	// computeSlice is the time that a computation runs before it sleeps for yieldSleep.
	// It sleeps because runtime.Gosched does not poll the network.
	computeSlice = time.Millisecond
	yieldSleep   = 50 * time.Microsecond
)

// Pacer splits a long computation into short slices. On one core the scheduler preempts a
// computing goroutine only after 10 ms, and each step of a request would wait that long.
// The zero value is ready for use.
type Pacer struct{ sliceStart time.Time }

// Step must be called regularly by the computation. It sleeps if the slice has ended.
func (p *Pacer) Step() {
	now := time.Now()
	switch {
	case p.sliceStart.IsZero():
		p.sliceStart = now
	case now.Sub(p.sliceStart) >= computeSlice:
		time.Sleep(yieldSleep)
		p.sliceStart = time.Now()
	}
}
