package policy

import (
	"sync"
	"time"
)

// Quantiles of reply times are estimated incrementally: a reply above the estimate raises it
// and a reply below lowers it, in the proportion that keeps the estimate at its quantile.
// This takes a few bytes per route where a histogram takes kilobytes, and follows a change
// within some tens of replies.
const (
	stepShare   = 0.04 // weight of one reply, as a fraction of the estimate
	minSamples  = 24   // replies before the threshold is used
	minEstimate = 300 * time.Microsecond
)

// LatencyEstimator estimates the median and the late threshold of the reply times of one
// route's leaves. It is safe for concurrent use.
type LatencyEstimator struct {
	mu      sync.Mutex
	samples int
	median  float64 // in nanoseconds
	late    float64 // lateQuantile of the reply times, in nanoseconds
}

const (
	// lateQuantile is the quantile above which a reply counts as late.
	lateQuantile = 0.9
	// outlierFactor is the multiple of the median above which a reply does not change the
	// late estimate, because its leaf is paused or slow. When all leaves of a sixth of the
	// shards take ten times as long, the quantile over all replies would be that of the slow
	// leaves. Hedges to the other shards, which the answer then depends on, would be sent
	// too late.
	outlierFactor = 4
)

// Observe adds a reply time.
func (p *LatencyEstimator) Observe(d time.Duration) {
	x := float64(max(d, minEstimate))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.samples++
	if p.samples == 1 {
		p.median, p.late = x, 2*x
		return
	}
	share := stepShare
	if p.samples < minSamples {
		share = 4 * stepShare
	}
	p.median = adjustQuantile(p.median, x, 0.5, share)
	if x <= outlierFactor*p.median {
		p.late = max(adjustQuantile(p.late, x, lateQuantile, share), p.median)
	}
}

// adjustQuantile moves the estimate of a quantile by one sample x.
func adjustQuantile(est, x, quantile, share float64) float64 {
	if x > est {
		return est * (1 + share*quantile)
	}
	return est * (1 - share*(1-quantile))
}

// Median returns the median reply time, or 0 while there are too few samples.
func (p *LatencyEstimator) Median() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.samples < minSamples/2 {
		return 0
	}
	return time.Duration(p.median)
}

// LateThreshold returns the time after which a reply counts as late. It returns false while
// there are too few samples.
func (p *LatencyEstimator) LateThreshold() (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(p.late), p.samples >= minSamples
}
