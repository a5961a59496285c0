package baseline

import (
	"context"
	"math"
	"math/rand/v2"
	"time"
)

// Naive picks a random leaf and never waits.
type Naive struct{}

// Acquire implements Policy.
func (Naive) Acquire(_ context.Context, t *Target) (*Leaf, error) {
	return t.Leaves[rand.IntN(len(t.Leaves))], nil
}

// Release implements Policy.
func (Naive) Release(*Leaf, time.Duration, bool) {}

// Oracle knows the attempts of all clients that are in flight at each leaf. All clients
// share one Oracle, which separate processes could not do without communication.
type Oracle struct{ limiter *limiter }

// NewOracle returns an Oracle that all clients can share.
func NewOracle() *Oracle {
	return &Oracle{limiter: newLimiter(func(l *Leaf) int { return l.Slots })}
}

// Acquire implements Policy.
func (o *Oracle) Acquire(ctx context.Context, t *Target) (*Leaf, error) {
	return o.limiter.acquire(ctx, t)
}

// Release implements Policy.
func (o *Oracle) Release(l *Leaf, _ time.Duration, _ bool) { o.limiter.release(l, nil) }

// Parameters of Adaptive, with the usual values for additive increase and
// multiplicative decrease driven by latency.
const (
	adaptiveInitialLimit     = 1.0
	adaptiveMinLimit         = 1.0
	adaptiveMaxLimit         = 64.0
	adaptiveBackoff          = 0.7
	adaptiveTolerance        = 2.0  // multiple of the minimum latency above which a reply counts as congestion
	adaptiveMinLatencyGrowth = 1.01 // factor on the minimum latency at each sample, so that old minima expire
)

// Adaptive adapts a limit for each leaf to the latencies and rejections that its
// own client sees. The limit grows by one for a full window of good replies and
// shrinks by a factor on congestion.
type Adaptive struct {
	limiter *limiter
	limits  map[*Leaf]*leafLimit
}

type leafLimit struct {
	limit      float64
	minLatency time.Duration
}

// NewAdaptive returns the policy of one client.
func NewAdaptive() *Adaptive {
	a := &Adaptive{limits: map[*Leaf]*leafLimit{}}
	a.limiter = newLimiter(func(l *Leaf) int { return int(a.limitOf(l).limit) })
	return a
}

func (a *Adaptive) limitOf(l *Leaf) *leafLimit {
	state := a.limits[l]
	if state == nil {
		state = &leafLimit{limit: adaptiveInitialLimit, minLatency: math.MaxInt64}
		a.limits[l] = state
	}
	return state
}

// Acquire implements Policy.
func (a *Adaptive) Acquire(ctx context.Context, t *Target) (*Leaf, error) {
	return a.limiter.acquire(ctx, t)
}

// Release implements Policy.
func (a *Adaptive) Release(l *Leaf, latency time.Duration, rejected bool) {
	a.limiter.release(l, func() {
		state := a.limitOf(l)
		if state.minLatency != math.MaxInt64 {
			state.minLatency = time.Duration(float64(state.minLatency) * adaptiveMinLatencyGrowth)
		}
		state.minLatency = min(state.minLatency, latency)
		if rejected || float64(latency) > adaptiveTolerance*float64(state.minLatency) {
			state.limit = max(adaptiveMinLimit, state.limit*adaptiveBackoff)
			return
		}
		state.limit = min(adaptiveMaxLimit, state.limit+1/state.limit)
	})
}
