package sim

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is the outcome of a simulation as callers see it.
type Result struct {
	Routes  []RouteResult
	Seconds []Score // by the second in which requests arrived
	Denied  int     // retries and hedges that the budget did not allow

	callerDelay            time.Duration
	serviceNames           []string
	firstSends, extraSends int // first sends for a shard of a gather, and retries and hedges
}

// RouteResult is the outcome for the callers of one route.
type RouteResult struct {
	Name                         string
	Requests                     int
	InTime, Late                 int // answers within and after the target latency
	NotServed                    int
	score                        Score // of the whole simulation
	latency                      *hdrhistogram.Histogram
	receivedParts, expectedParts int // received and expected parts of all answers
}

// Score is the worth of the answers to some requests and the most that it could have been.
type Score struct{ earned, possible float64 }

// Worth returns the earned share of the maximum worth, 1 if there were no requests.
func (s Score) Worth() float64 {
	if s.possible == 0 {
		return 1
	}
	return s.earned / s.possible
}

func (s *Score) add(earned, possible float64) {
	s.earned, s.possible = s.earned+earned, s.possible+possible
}

func newResult(cfg Config) *Result {
	r := &Result{callerDelay: cfg.CallerDelay, Seconds: make([]Score, int(cfg.Duration/time.Second)+1)}
	for i := range cfg.Shards {
		r.serviceNames = append(r.serviceNames, fmt.Sprintf("s%03d", i))
	}
	for _, rt := range cfg.Routes {
		r.Routes = append(r.Routes, RouteResult{Name: rt.Name, latency: hdrhistogram.New(1, time.Minute.Microseconds(), 3)})
	}
	return r
}

// recordOutcome counts a finished request.
func (r *Result) recordOutcome(g *gather, answered bool) {
	t := &r.Routes[g.routeIndex]
	t.Requests++
	earned := 0.0
	if answered {
		earned = t.recordAnswer(g, g.d.sim.now.Sub(g.arrived)+2*r.callerDelay)
	} else {
		t.NotServed++
	}
	t.score.add(earned, g.route.Worth)
	r.Seconds[int(time.Duration(g.arrived-1)/time.Second)].add(earned, g.route.Worth)
}

// recordAnswer counts an answer with the given latency and returns the worth that it earned.
func (t *RouteResult) recordAnswer(g *gather, latency time.Duration) float64 {
	_ = t.latency.RecordValue(latency.Microseconds()) // timeouts are far below the histogram's limit of one minute
	t.receivedParts += g.received
	t.expectedParts += len(g.shards)
	share := float64(g.received) / float64(len(g.shards))
	earned := g.route.Worth * share * share
	if latency > g.route.TargetLatency {
		t.Late++
		return earned * g.route.LateFactor
	}
	t.InTime++
	return earned
}

// Worth returns the earned share of the maximum worth, 0 if there were no requests.
func (t *RouteResult) Worth() float64 { return ratio(t.score.earned, t.score.possible) }

// Parts returns the share of the expected parts that answers contained.
func (t *RouteResult) Parts() float64 {
	return ratio(float64(t.receivedParts), float64(t.expectedParts))
}

// Percentile returns the given percentile of the latency of answers.
func (t *RouteResult) Percentile(percent float64) time.Duration {
	return time.Duration(t.latency.ValueAtQuantile(percent)) * time.Microsecond
}

// Worth returns the earned share of the maximum worth of all routes, 0 if there were no requests.
func (r *Result) Worth() float64 {
	var total Score
	for i := range r.Routes {
		total.add(r.Routes[i].score.earned, r.Routes[i].score.possible)
	}
	return ratio(total.earned, total.possible)
}

// Extra returns the number of retries and hedges for each first send.
func (r *Result) Extra() float64 { return ratio(float64(r.extraSends), float64(r.firstSends)) }

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
