package scatter

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pearmoor/internal/settings"
)

const (
	minLatency         = 10 * time.Microsecond
	maxLatency         = time.Minute
	significantDigits  = 2
	minSamples         = 16   // samples needed for a threshold
	refreshInterval    = 64   // samples between two computations of the threshold
	windowSamples      = 4096 // samples after which the older histogram is discarded
	minHedgeDelay      = 500 * time.Microsecond
	coverageCeiling    = 4    // multiple of the median
	tailCeiling        = 3    // multiple of the median
	tailBudgetPart     = 0.75 // part of the hedge budget that the learned threshold uses
	coverageBudgetPart = 0.5  // part of the hedge budget that the learned threshold uses
)

// Latency learns the reply times of a service's leaves over a sliding window of one to two
// times windowSamples samples. It is safe for concurrent use.
type Latency struct {
	mu                sync.Mutex
	current, previous *hdrhistogram.Histogram
	currentSamples    int
	share             float64
	median            atomic.Int64
	tail              atomic.Int64 // quantile 1 - tailBudgetPart*share
	coverage          atomic.Int64 // quantile 1 - coverageBudgetPart*share
	samples           atomic.Int64
}

// NewLatency returns an empty Latency. share is the part of attempts that may be hedged. The
// learned thresholds are quantiles that use only a part of this budget; if they used all of
// it, it would often be empty when a real straggler occurs.
func NewLatency(share float64) *Latency {
	return &Latency{current: newHistogram(), previous: newHistogram(), share: share}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(int64(minLatency/time.Microsecond), int64(maxLatency/time.Microsecond), significantDigits)
}

// Observe adds the duration of one attempt. A cancelled attempt is added with the time until
// its cancellation: leaving it out would drop the slowest replies, and the threshold would
// decrease until everything is hedged.
func (l *Latency) Observe(d time.Duration) {
	us := min(max(d, minLatency), maxLatency) / time.Microsecond
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.current.RecordValue(int64(us)) // in range after clamping
	l.samples.Add(1)
	l.currentSamples++
	if l.currentSamples%refreshInterval == 0 || l.samples.Load() == minSamples {
		l.refresh()
	}
	if l.currentSamples >= windowSamples {
		l.current, l.previous = l.previous, l.current
		l.current.Reset()
		l.currentSamples = 0
	}
}

// SetShare changes the hedge share that the thresholds are computed for.
func (l *Latency) SetShare(share float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.share != share {
		l.share = share
		l.refresh()
	}
}

func (l *Latency) refresh() {
	h := newHistogram()
	h.Merge(l.previous)
	h.Merge(l.current)
	l.median.Store(h.ValueAtQuantile(50))
	l.tail.Store(h.ValueAtQuantile(100 * (1 - tailBudgetPart*l.share)))
	l.coverage.Store(h.ValueAtQuantile(100 * (1 - coverageBudgetPart*l.share)))
}

// Median returns the learned median, or 0 while there are too few samples.
func (l *Latency) Median() time.Duration {
	if l.samples.Load() < minSamples {
		return 0
	}
	return time.Duration(l.median.Load()) * time.Microsecond
}

// Threshold returns the time after which an attempt counts as a straggler, or false while
// there are too few samples. The ceiling, a multiple of the median, keeps hedging effective
// when more attempts straggle than the budget covers, because the quantile alone would then
// be the reply time of a straggler.
func (l *Latency) Threshold(goal settings.Goal) (time.Duration, bool) {
	median := l.Median()
	if median == 0 {
		return 0, false
	}
	quantile, ceiling := l.coverage.Load(), time.Duration(coverageCeiling)
	if goal == settings.Tail {
		quantile, ceiling = l.tail.Load(), tailCeiling
	}
	d := min(time.Duration(quantile)*time.Microsecond, ceiling*median)
	return max(d, minHedgeDelay), true
}
