package sim

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is what callers got.
type Result struct {
	Routes  []Tally
	Seconds []Second // by the second in which requests came
	Denied  int      // further sends that the budget did not allow

	toCaller     time.Duration
	services     []string
	first, extra int // sends for a shard, and those beyond
}

// Tally is what callers of one route got.
type Tally struct {
	Name            string
	Requests        int
	InTime, Late    int // answers
	NotServed       int
	worth           Second // over the whole play
	latency         *hdrhistogram.Histogram
	parts, allParts int // of answers, and what they could have held
}

// Second is what one second's requests earned, and what they could have.
type Second struct{ earned, most float64 }

// Worth is the share that was earned of what could be.
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

// answer counts the end of a request.
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

// serve counts an answer that took so long, and returns what it earned.
func (t *Tally) serve(g *gather, took time.Duration) float64 {
	_ = t.latency.RecordValue(took.Microseconds()) // it lies within a minute
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

// Worth is the share that was earned of what could be.
func (t *Tally) Worth() float64 { return ratio(t.worth.earned, t.worth.most) }

// Parts is the share of the parts that answers held.
func (t *Tally) Parts() float64 { return ratio(float64(t.parts), float64(t.allParts)) }

// At returns the time within which that many of a hundred answers came.
func (t *Tally) At(percent float64) time.Duration {
	return time.Duration(t.latency.ValueAtQuantile(percent)) * time.Microsecond
}

// Worth is the share of what all routes' callers could earn.
func (r *Result) Worth() float64 {
	var all Second
	for i := range r.Routes {
		all.add(r.Routes[i].worth.earned, r.Routes[i].worth.most)
	}
	return ratio(all.earned, all.most)
}

// Extra is the number of further sends over that of first ones.
func (r *Result) Extra() float64 { return ratio(float64(r.extra), float64(r.first)) }

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
