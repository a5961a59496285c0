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
	Extra   float64  // sends beyond the first of a shard, over all
	Denied  int      // further sends that the budget did not allow

	cfg                  Config
	services             []string
	sends, extra, denied int
}

// Tally is what callers of one route got.
type Tally struct {
	Name             string
	Requests         int
	InTime, Whole    int // answers; Whole: with all parts
	Late, NotServed  int
	worth, most      float64
	latency          *hdrhistogram.Histogram
	P50, P99         time.Duration
	Worth            float64 // of what could be earned
	parts, allOfThem int
	Parts            float64 // share that answers held
}

// Second is one second's worth.
type Second struct{ earned, most float64 }

// Worth is the share that was earned of what could be.
func (s Second) Worth() float64 {
	if s.most == 0 {
		return 1
	}
	return s.earned / s.most
}

func newResult(cfg Config) *Result {
	r := &Result{cfg: cfg, Seconds: make([]Second, int(cfg.Length/time.Second)+1)}
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
	var t *Tally
	for i := range r.Routes {
		if r.Routes[i].Name == g.route.Name {
			t = &r.Routes[i]
		}
	}
	sec := &r.Seconds[int(time.Duration(g.arrived-1)/time.Second)]
	t.Requests++
	t.most += g.route.Worth
	sec.most += g.route.Worth
	if !served {
		t.NotServed++
		return
	}
	took := g.d.w.now.Sub(g.arrived) + 2*r.cfg.ToCaller
	_ = t.latency.RecordValue(took.Microseconds()) // it lies within a minute
	share := float64(g.have) / float64(len(g.shards))
	t.parts += g.have
	t.allOfThem += len(g.shards)
	worth := g.route.Worth * share * share
	if took <= g.route.Aim {
		t.InTime++
	} else {
		t.Late++
		worth *= g.route.LateWorth
	}
	if g.have == len(g.shards) {
		t.Whole++
	}
	t.worth += worth
	sec.earned += worth
}

// Sum works out the figures; it is called once, after the play.
func (r *Result) Sum() *Result {
	for i := range r.Routes {
		t := &r.Routes[i]
		t.P50 = time.Duration(t.latency.ValueAtQuantile(50)) * time.Microsecond
		t.P99 = time.Duration(t.latency.ValueAtQuantile(99)) * time.Microsecond
		t.Worth = ratio(t.worth, t.most)
		t.Parts = ratio(float64(t.parts), float64(t.allOfThem))
	}
	r.Extra = ratio(float64(r.extra), float64(r.sends-r.extra))
	r.Denied = r.denied
	return r
}

// Worth is the share of what all routes' callers could earn.
func (r *Result) Worth() float64 {
	earned, most := 0.0, 0.0
	for i := range r.Routes {
		earned, most = earned+r.Routes[i].worth, most+r.Routes[i].most
	}
	return ratio(earned, most)
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
