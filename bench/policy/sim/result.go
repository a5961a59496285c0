package sim

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is the outcome of a simulation as callers see it.
type Result struct {
	Routes  []Tally
	Seconds []Second // by the second in which requests arrived
	Denied  int      // retries and hedges that the budget did not allow

	toCaller     time.Duration
	services     []string
	first, extra int // first sends for a shard of a gather, and retries and hedges
}

// RouteResult is the outcome for the callers of one route.
type Tally struct {
	Name            string
	Requests        int
	InTime, Late    int // answers within and after the target latency
	NotServed       int
	worth           Second // of the whole simulation
	latency         *hdrhistogram.Histogram
	parts, allParts int // received and expected parts of all answers
}

// Score is the worth of the answers to some requests and the most that it could have been.
type Second struct{ earned, most float64 }

// Worth returns the earned share of the maximum worth, 1 if there were no requests.
func (s Second) Worth() float64 {
	if s.most == 0 {
		return 1
	}
	return s.earned / s.most
}

func (s *Second) add(earned, most float64) { s.earned, s.most = s.earned+earned, s.most+most }

func newResult(cfg Config) *Result {
	r := &Result{toCaller: cfg.ToCaller, Seconds: make([]Second, int(cfg.Length/time.Second)+1)}
	for i := range cfg.Shards {
		r.services = append(r.services, fmt.Sprintf("s%03d", i))
	}
	for _, rt := range cfg.Routes {
		r.Routes = append(r.Routes, Tally{Name: rt.Name, latency: hdrhistogram.New(1, time.Minute.Microseconds(), 3)})
	}
	return r
}

// recordOutcome counts a finished request.
func (r *Result) answer(g *gather, served bool) {
	t := &r.Routes[g.routeNumber]
	t.Requests++
	earned := 0.0
	if served {
		earned = t.serve(g, g.d.w.now.Sub(g.arrived)+2*r.toCaller)
	} else {
		t.NotServed++
	}
	t.worth.add(earned, g.route.Worth)
	r.Seconds[int(time.Duration(g.arrived-1)/time.Second)].add(earned, g.route.Worth)
}

// recordAnswer counts an answer with the given latency and returns the worth that it earned.
func (t *Tally) serve(g *gather, took time.Duration) float64 {
	_ = t.latency.RecordValue(took.Microseconds()) // timeouts are far below the histogram's limit of one minute
	t.parts += g.have
	t.allParts += len(g.shards)
	share := float64(g.have) / float64(len(g.shards))
	earned := g.route.Worth * share * share
	if took > g.route.Aim {
		t.Late++
		return earned * g.route.LateWorth
	}
	t.InTime++
	return earned
}

// Worth returns the earned share of the maximum worth, 0 if there were no requests.
func (t *Tally) Worth() float64 { return ratio(t.worth.earned, t.worth.most) }

// Parts returns the share of the expected parts that answers contained.
func (t *Tally) Parts() float64 { return ratio(float64(t.parts), float64(t.allParts)) }

// Percentile returns the given percentile of the latency of answers.
func (t *Tally) At(percent float64) time.Duration {
	return time.Duration(t.latency.ValueAtQuantile(percent)) * time.Microsecond
}

// Worth returns the earned share of the maximum worth of all routes, 0 if there were no requests.
func (r *Result) Worth() float64 {
	var all Second
	for i := range r.Routes {
		all.add(r.Routes[i].worth.earned, r.Routes[i].worth.most)
	}
	return ratio(all.earned, all.most)
}

// Extra returns the number of retries and hedges for each first send.
func (r *Result) Extra() float64 { return ratio(float64(r.extra), float64(r.first)) }

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
