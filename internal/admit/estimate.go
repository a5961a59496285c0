package admit

import "time"

const (
	// ewmaShift gives a sample a weight of 1/16: if 1% of attempts take 20 times as
	// long, the mean changes little, and a lasting change shows after some tens of samples.
	ewmaShift = 4
	// clipFactor limits one sample to a multiple of the mean, so that a single
	// straggler does not cause the following requests to be refused.
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

// residual returns the expected remaining time of a request that has run for
// elapsed: the rest of the mean, or elapsed again once the mean has passed, because
// a request that is late for an unknown reason is likely to stay late.
func (e *ewma) residual(elapsed time.Duration) time.Duration {
	if elapsed < e.mean {
		return e.mean - elapsed
	}
	return elapsed
}
