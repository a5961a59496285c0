package sim

import (
	"reflect"
	"testing"
	"time"
)

// scenario plays a load with three seeds.
func scenario(t *testing.T, name string, without Without) []*Result {
	t.Helper()
	for _, s := range Scenarios {
		if s.Name != name {
			continue
		}
		var out []*Result
		for seed := range uint64(3) {
			c := s.Config(seed + 1)
			c.Without = without
			out = append(out, Run(c))
		}
		return out
	}
	t.Fatalf("there is no scenario %q", name)
	return nil
}

func worth(results []*Result) float64 {
	sum := 0.0
	for _, r := range results {
		sum += r.Worth()
	}
	return sum / float64(len(results))
}

// Of each shard's two leaves one pauses for 150 ms now and then. Callers get all but one
// in a hundred parts in time, since a second send goes to the other leaf; without it one
// in thirty is missing, at a tenth of the worth for each of twenty.
func TestPausesAreCoveredBySecondSends(t *testing.T) {
	with, without := scenario(t, "calm", Without{}), scenario(t, "calm", Without{Hedges: true})
	for _, r := range with {
		for _, rt := range r.Routes {
			if inTime := float64(rt.InTime) / float64(rt.Requests); inTime < 0.99 || rt.Parts() < 0.98 {
				t.Errorf("%s: %.3f in time, %.3f of the parts", rt.Name, inTime, rt.Parts())
			}
		}
	}
	if a, b := worth(with), worth(without); a < b+0.02 {
		t.Errorf("worth %.3f with second sends, %.3f without", a, b)
	}
}

// As many shards are slow as an answer may leave out. Callers are not kept waiting for
// them: answers go out in time, and shards that are well are all in them.
func TestSlowShardsThatMayBeMissingHoldNobodyUp(t *testing.T) {
	for _, r := range scenario(t, "few slow", Without{}) {
		for _, rt := range r.Routes {
			if inTime := float64(rt.InTime) / float64(rt.Requests); inTime < 0.96 || rt.Parts() < 0.93 {
				t.Errorf("%s: %.3f in time, %.3f of the parts", rt.Name, inTime, rt.Parts())
			}
		}
	}
}

// More shards are slow than an answer may leave out, with less room than callers ask of
// them. Most answers are late meanwhile, but nearly all callers have one, and what has
// piled up is over half a second after the shards are well again.
func TestManySlowShardsLeaveNothingBehind(t *testing.T) {
	for _, r := range scenario(t, "many slow", Without{}) {
		for _, rt := range r.Routes {
			if rt.NotServed > rt.Requests/20 {
				t.Errorf("%s: %d of %d not served", rt.Name, rt.NotServed, rt.Requests)
			}
		}
		for second := 9; second < 12; second++ {
			if w := r.Seconds[second].Worth(); w < 0.93 {
				t.Errorf("worth %.3f in second %d, the shards were well from 8 on", w, second)
			}
		}
	}
}

// Twice as many callers come for three seconds. All are served, and further sends stay
// within their budget: sent for all that is late, they would double the load once more.
func TestBurstIsServedWithinTheBudget(t *testing.T) {
	for _, r := range scenario(t, "burst", Without{}) {
		for _, rt := range r.Routes {
			if rt.NotServed > 0 {
				t.Errorf("%s: %d of %d not served", rt.Name, rt.NotServed, rt.Requests)
			}
		}
		if r.Extra() > 0.2 {
			t.Errorf("%.3f further sends for each first one", r.Extra())
		}
	}
}

// A play that shows a fault can be looked at again.
func TestOneSeedOneResult(t *testing.T) {
	c := Scenarios[0].Config(7)
	c.Length = 3 * time.Second
	if a, b := Run(c), Run(c); !reflect.DeepEqual(a.Seconds, b.Seconds) || a.Worth() != b.Worth() {
		t.Errorf("worth %v and %v", a.Worth(), b.Worth())
	}
}
