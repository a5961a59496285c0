package sim

import (
	"reflect"
	"testing"
	"time"
)

// runScenario simulates the named scenario with three seeds.
func runScenario(t *testing.T, name string, disabled Disabled) []*Result {
	t.Helper()
	for _, s := range Scenarios {
		if s.Name != name {
			continue
		}
		var out []*Result
		for seed := range uint64(3) {
			c := s.Config(seed + 1)
			c.Disabled = disabled
			out = append(out, Run(c))
		}
		return out
	}
	t.Fatalf("unknown scenario %q", name)
	return nil
}

func meanWorth(results []*Result) float64 {
	sum := 0.0
	for _, r := range results {
		sum += r.Worth()
	}
	return sum / float64(len(results))
}

// While a leaf pauses for 150 ms, a hedge to the shard's other leaf must get the part in
// time. With hedges one in a hundred parts is missing, without them one in thirty, where
// a missing part of twenty costs a tenth of an answer's worth.
func TestHedgesCoverLeafPauses(t *testing.T) {
	with, without := runScenario(t, "calm", Disabled{}), runScenario(t, "calm", Disabled{Hedges: true})
	for _, r := range with {
		for _, rt := range r.Routes {
			if inTime := float64(rt.InTime) / float64(rt.Requests); inTime < 0.99 || rt.Parts() < 0.98 {
				t.Errorf("%s: %.3f in time, %.3f of the parts", rt.Name, inTime, rt.Parts())
			}
		}
	}
	if a, b := meanWorth(with), meanWorth(without); a < b+0.02 {
		t.Errorf("worth %.3f with hedges, %.3f without; want a difference of at least 0.02", a, b)
	}
}

// If no more shards are slow than an answer may omit, answers must be in time and
// contain the parts of all other shards.
func TestOmittableSlowShardsDoNotDelayAnswers(t *testing.T) {
	for _, r := range runScenario(t, "few slow", Disabled{}) {
		for _, rt := range r.Routes {
			if inTime := float64(rt.InTime) / float64(rt.Requests); inTime < 0.96 || rt.Parts() < 0.93 {
				t.Errorf("%s: %.3f in time, %.3f of the parts", rt.Name, inTime, rt.Parts())
			}
		}
	}
}

// If more shards are slow than an answer may omit, and their capacity is below the load,
// most answers are late. Nearly all callers must still get one, and the queues must have
// drained half a second after the slowdown.
func TestRecoversFromManySlowShards(t *testing.T) {
	for _, r := range runScenario(t, "many slow", Disabled{}) {
		for _, rt := range r.Routes {
			if rt.NotServed > rt.Requests/20 {
				t.Errorf("%s: %d of %d not served", rt.Name, rt.NotServed, rt.Requests)
			}
		}
		for second := 9; second < 12; second++ {
			if w := r.Seconds[second].Worth(); w < 0.93 {
				t.Errorf("worth %.3f in second %d, but the slowdown ended at second 8", w, second)
			}
		}
	}
}

// While the load is doubled for three seconds, all callers must be served, and retries
// and hedges must stay within their budget: without one they would double the load again.
func TestBurstServedWithinBudget(t *testing.T) {
	for _, r := range runScenario(t, "burst", Disabled{}) {
		for _, rt := range r.Routes {
			if rt.NotServed > 0 {
				t.Errorf("%s: %d of %d not served", rt.Name, rt.NotServed, rt.Requests)
			}
		}
		if r.Extra() > 0.2 {
			t.Errorf("%.3f retries and hedges for each first send, want at most 0.2", r.Extra())
		}
	}
}

// A seed must reproduce its result, so that a failure can be examined.
func TestSameSeedSameResult(t *testing.T) {
	c := Scenarios[0].Config(7)
	c.Duration = 3 * time.Second
	if a, b := Run(c), Run(c); !reflect.DeepEqual(a.Seconds, b.Seconds) || a.Worth() != b.Worth() {
		t.Errorf("the same seed gave different results: worth %v and %v", a.Worth(), b.Worth())
	}
}
