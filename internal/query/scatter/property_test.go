package scatter

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"pearmoor/internal/contract"
	"pearmoor/internal/settings"
)

// scenario is a random schedule: the leaves, the shards that they hold and what each attempt
// does.
type scenario struct {
	names    []string
	job      *Job
	timeout  time.Duration
	queries  int
	behavior []behavior // used in turn, one per attempt
}

func drawScenario(t *rapid.T) *scenario {
	s := &scenario{names: []string{"a", "b", "c"}[:rapid.IntRange(1, 3).Draw(t, "leaves")]}
	s.job = &Job{ID: "q", Service: "/s", Version: 7, HedgeShare: 0.1}
	s.job.Repeatable = rapid.Bool().Draw(t, "repeatable")
	s.job.Goal = settings.Goal(rapid.IntRange(0, 1).Draw(t, "goal"))
	s.job.HedgeAfter = time.Duration(rapid.IntRange(0, 20).Draw(t, "hedge")) * time.Millisecond
	s.job.EarlyCoverage = rapid.SampledFrom([]float64{0, 0, 0.5, 0.9}).Draw(t, "early")
	for range rapid.IntRange(1, 5).Draw(t, "shards") {
		mask := rapid.IntRange(0, 1<<len(s.names)-1).Draw(t, "holders")
		var held []string
		for i, n := range s.names {
			if mask&(1<<i) != 0 {
				held = append(held, n)
			}
		}
		s.job.Replicas = append(s.job.Replicas, leavesOf(held...))
	}
	s.timeout = time.Duration(rapid.IntRange(5, 200).Draw(t, "timeout")) * time.Millisecond
	s.queries = rapid.IntRange(1, 4).Draw(t, "queries")
	s.behavior = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) behavior {
		return behavior{
			action: leafAction(rapid.IntRange(0, int(actionCount)-1).Draw(t, "act")),
			delay:  time.Duration(rapid.IntRange(0, 50).Draw(t, "delay")) * time.Millisecond,
		}
	}), 1, 24).Draw(t, "behavior")
	return s
}

// Whatever the leaves do, each shard has exactly one result: either the hits of its own
// request, shard and version, or a verdict that agrees with the leaves' own count of runs.
// No leaf receives more concurrent attempts than it has slots.
func TestResultsMatchLeafRunsUnderAnySchedule(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScenario(rt)
		var err error
		inBubble(t, func() { err = s.run() })
		if err != nil {
			rt.Fatal(err)
		}
	})
}

func (s *scenario) run() error {
	at := 0
	r := newFixture(func(string, *contract.LeafRequest) behavior { return behavior{} }, s.names)
	r.leaves.behave = func(string, *contract.LeafRequest) behavior {
		r.leaves.mu.Lock()
		defer r.leaves.mu.Unlock()
		at++
		return s.behavior[at%len(s.behavior)]
	}
	for range s.queries {
		clear(r.leaves.runs)
		began := time.Now()
		res := r.run(s.job, s.timeout)
		if took := time.Since(began); took > s.timeout {
			return errors.Newf("took %v of %v", took, s.timeout)
		}
		r.waitIdle()
		if err := s.check(r, res); err != nil {
			return err
		}
	}
	for leaf, peak := range r.leaves.peak {
		if peak > testSlots {
			return errors.Newf("%d in flight at %s", peak, leaf)
		}
	}
	return nil
}

func (s *scenario) check(r *fixture, res *Result) error {
	for i, sh := range res.Shards {
		runs := r.leaves.runs[uint32(i)]
		want := hitID(&contract.LeafRequest{ID: "q", Shard: uint32(i), IndexVersion: 7})
		switch {
		case sh.Answered && (len(sh.Hits) != 1 || sh.Hits[0].ID != want):
			return errors.Newf("shard %d has hits %v", i, sh.Hits)
		case sh.Answered && sh.Verdict != contract.Ran:
			return errors.Newf("shard %d answered with verdict %v", i, sh.Verdict)
		case sh.Verdict == contract.NotRun && runs > 0:
			return errors.Newf("shard %d ran %d times and has the verdict that it did not run", i, runs)
		case !s.job.Repeatable && runs > 1:
			return errors.Newf("shard %d of a request that is not repeatable ran %d times", i, runs)
		case !sh.Answered && sh.Reason == "":
			return errors.Newf("shard %d is missing without a reason", i)
		}
	}
	return nil
}
