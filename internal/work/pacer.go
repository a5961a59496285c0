package work

import "time"

const (
	// paceSlice is how long a computation runs before it lets others run, and pacePause
	// for how long at least: a yield alone does not look for what came from the network.
	paceSlice = time.Millisecond
	pacePause = 50 * time.Microsecond
)

// Pacer breaks a long computation into slices. On one core a goroutine that computes is
// preempted after 10 ms only, and each step of a request waits for that. The zero value
// is ready for use.
type Pacer struct{ began time.Time }

// Step is called between two parts of the computation.
func (p *Pacer) Step() {
	now := time.Now()
	switch {
	case p.began.IsZero():
		p.began = now
	case now.Sub(p.began) >= paceSlice:
		time.Sleep(pacePause)
		p.began = time.Now()
	}
}
