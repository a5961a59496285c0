package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxLatency   = 10 * time.Minute // longer latencies are recorded as maxLatency
	totalDigits  = 3
	windowDigits = 2
)

// Recorder records latencies in HDR histograms for the whole run and for each window. It is
// safe for concurrent use.
type Recorder struct {
	mu      sync.Mutex
	start   time.Time
	width   time.Duration
	total   *hdrhistogram.Histogram
	windows []*hdrhistogram.Histogram
}

// NewRecorder returns a Recorder for a run that starts at start.
func NewRecorder(start time.Time, window time.Duration) *Recorder {
	return &Recorder{start: start, width: window, total: newHistogram(totalDigits)}
}

func newHistogram(digits int) *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), digits)
}

// Record adds one latency to the window of the request's scheduled start.
func (r *Recorder) Record(intended time.Time, latency time.Duration) {
	micros := min(max(latency.Microseconds(), 1), maxLatency.Microseconds())
	i := max(int(intended.Sub(r.start)/r.width), 0)
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.windows) <= i {
		r.windows = append(r.windows, newHistogram(windowDigits))
	}
	_ = r.windows[i].RecordValue(micros) // in range because of the clamp above
	_ = r.total.RecordValue(micros)
}

// Quantiles summarizes a set of latencies.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p999_ms"`
	Max   float64 `json:"max_ms"`
	Mean  float64 `json:"mean_ms"`
}

// Window has the latency quantiles of one window of a run.
type Window struct {
	StartMS int64 `json:"start_ms"` // from the start of the run
	Quantiles
}

// Total returns the quantiles of the whole run.
func (r *Recorder) Total() Quantiles {
	r.mu.Lock()
	defer r.mu.Unlock()
	return quantiles(r.total)
}

// Windows returns the quantiles of each window, oldest first.
func (r *Recorder) Windows() []Window {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Window, len(r.windows))
	for i, h := range r.windows {
		out[i] = Window{StartMS: (time.Duration(i) * r.width).Milliseconds(), Quantiles: quantiles(h)}
	}
	return out
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	ms := func(micros float64) float64 { return micros / float64(time.Millisecond/time.Microsecond) }
	at := func(q float64) float64 { return ms(float64(h.ValueAtQuantile(q))) }
	return Quantiles{
		Count: h.TotalCount(),
		P50:   at(50),
		P90:   at(90),
		P99:   at(99),
		P999:  at(99.9),
		Max:   ms(float64(h.Max())),
		Mean:  ms(h.Mean()),
	}
}
