package admit

import "time"

const (
	// ewmaShift makes a sample weigh 1/16: 1% of attempts being 20 times slow
	// then moves the mean by little, and a lasting change is learnt in some tens.
	ewmaShift = 4
	// clipFactor bounds one sample to a multiple of the mean, so that a single
	// straggler does not make the gate refuse the requests after it.
	clipFactor = 4
)

// ewma is a clipped exponentially weighted moving average of durations.
type ewma struct{ mean time.Duration }

func (e *ewma) add(d time.Duration) {
	if e.mean == 0 {
		e.mean = max(d, 1)
		return
	}
	d = min(d, clipFactor*e.mean)
	e.mean = max(1, e.mean+(d-e.mean)>>ewmaShift)
}

// residual is how much longer a request is expected to run that has run for
// elapsed: the rest of the mean, and past it as long as it has run so far,
// because what is late by an unknown cause stays late.
func (e *ewma) residual(elapsed time.Duration) time.Duration {
	if elapsed < e.mean {
		return e.mean - elapsed
	}
	return elapsed
}
