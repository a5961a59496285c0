package policy

import (
	"sync"
	"time"
)

// Quantiles of reply times are learned by steps: a reply above the estimate moves
// it up, one below moves it down, in the proportion that holds it at its quantile.
// It needs a few bytes a route where a histogram needs kilobytes, and follows a
// change within some tens of replies.
const (
	stepShare   = 0.04 // of the estimate, for each reply
	fewSamples  = 24
	shortestEst = 300 * time.Microsecond
)

// Pace learns the reply times of one route's leaves. It is safe for concurrent use.
type Pace struct {
	mu      sync.Mutex
	samples int
	median  float64 // ns
	high    float64 // ns, quantile highQuantile
}

const (
	// highQuantile is the quantile after which a reply counts as late.
	highQuantile = 0.9
	// trimAt is the multiple of the median beyond which a reply tells nothing of when
	// others are late: its leaf pauses or is slow. While all leaves of a sixth of the
	// shards take ten times as long, the quantile of all replies is that of the slow
	// ones, and second sends to the other shards, which the answer needs all the more,
	// went out at the last moment.
	trimAt = 4
)

// Observe adds a reply time.
func (p *Pace) Observe(d time.Duration) {
	x := float64(max(d, shortestEst))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.samples++
	if p.samples == 1 {
		p.median, p.high = x, 2*x
		return
	}
	share := stepShare
	if p.samples < fewSamples {
		share = 4 * stepShare
	}
	p.median = stepTo(p.median, x, 0.5, share)
	if x <= trimAt*p.median {
		p.high = max(stepTo(p.high, x, highQuantile, share), p.median)
	}
}

func stepTo(est, x, quantile, share float64) float64 {
	if x > est {
		return est * (1 + share*quantile)
	}
	return est * (1 - share*(1-quantile))
}

// Usual returns the median reply time, 0 while too little is known.
func (p *Pace) Usual() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.samples < fewSamples/2 {
		return 0
	}
	return time.Duration(p.median)
}

// Late returns the time after which a reply is late, and false while too little is
// known.
func (p *Pace) Late() (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(p.high), p.samples >= fewSamples
}
