package main

import (
	"context"
	"fmt"
	"slices"
	"time"

	"pearmoor/bench/tier"
	"pearmoor/internal/load"
	"pearmoor/internal/standin"
)

const (
	stragglerShare  = 0.01
	stragglerFactor = 20.0
)

// meanRunTime returns the mean time of a run with stragglers.
func meanRun() time.Duration {
	return time.Duration(float64(latency) * (1 - stragglerShare + stragglerShare*stragglerFactor))
}

func stragglers(ctx context.Context, e *env) error {
	slow := []string{fmt.Sprintf("--straggler-share=%v", stragglerShare), fmt.Sprintf("--straggler-factor=%v", stragglerFactor)}
	cfg := e.tierConfig(slow...)
	t, direct, err := e.startBoth(ctx, cfg)
	if err != nil {
		return err
	}
	defer t.Kill()
	defer direct.Stop()
	fast, err := tier.StartLeaves(ctx, e.tierConfig())
	if err != nil {
		return err
	}
	defer fast.Stop()
	var overNaive, overOracle []float64
	var rows []row
	for round := range e.rounds() {
		p := phase{rate: 0.6 * capacity(meanRun()), span: e.span(6*time.Second, 20*time.Second), deadline: 2 * time.Second, seed: uint64(round + 1)}
		n, err := e.directSide(ctx, direct, p, naive)
		if err != nil {
			return err
		}
		// The oracle runs on leaves without stragglers, as if it always knew the fast replica.
		o, err := e.directSide(ctx, fast, p, oracle())
		if err != nil {
			return err
		}
		h, err := e.tierSide(ctx, t, p)
		if err != nil {
			return err
		}
		overNaive = append(overNaive, ratio(h, n))
		overOracle = append(overOracle, ratio(h, o))
		rows = append(rows, row{fmt.Sprintf("naive-%d", round+1), n}, row{fmt.Sprintf("oracle-%d", round+1), o}, row{fmt.Sprintf("tier-%d", round+1), h})
	}
	table(rows)
	figure("stragglers", "p99 over naive", median(overNaive), "at most 0.5")
	figure("stragglers", "p99 over oracle", median(overOracle), "at most 1.3")
	figure("stragglers", "extra attempts", extraShare(rows[len(rows)-1].res), "at most 0.03")
	if err := t.Stop(); err != nil {
		return err
	}
	return e.save("stragglers", rows)
}

func ratio(a, b *load.Result) float64 { return a.Answers.P99 / b.Answers.P99 }

func median(v []float64) float64 {
	s := slices.Sorted(slices.Values(v))
	return s[len(s)/2]
}

// replicas powers off the second leaf of every service during the run, so that one
// replica of each shard is left.
func replicas(ctx context.Context, e *env) error {
	cfg := e.tierConfig()
	t, direct, err := e.startBoth(ctx, cfg)
	if err != nil {
		return err
	}
	defer t.Kill()
	defer direct.Stop()
	p := phase{rate: 0.3 * capacity(latency), span: e.span(6*time.Second, 20*time.Second), seed: 1}
	third := p.span / 3
	lose := func(l *tier.Leaves) func() error {
		return func() error { return e.powerSecond(ctx, l, standin.PowerDown) }
	}
	n, err := during(third, lose(direct), func() (*load.Result, error) { return e.directSide(ctx, direct, p, naive) })
	if err != nil {
		return err
	}
	h, err := during(third, lose(t.Leaves), func() (*load.Result, error) { return e.tierSide(ctx, t, p) })
	if err != nil {
		return err
	}
	after, err := e.tierSide(ctx, t, p)
	if err != nil {
		return err
	}
	rows := []row{{"naive, lost in mid-run", n}, {"tier, lost in mid-run", h}, {"tier, after the loss", after}}
	table(rows)
	figure("replicas", "coverage in the run of the loss", h.Coverage, "1")
	figure("replicas", "coverage after the loss", after.Coverage, "1")
	if err := t.Stop(); err != nil {
		return err
	}
	return e.save("replicas", rows)
}

func (e *env) powerSecond(ctx context.Context, l *tier.Leaves, p standin.Power) error {
	for i := range services {
		if err := e.command(ctx, l, standin.Command{Leaf: tier.ServiceName(i) + "-2", Power: p}); err != nil {
			return err
		}
	}
	return nil
}

// runWithAction calls run, and act once the given time after its start.
func during(after time.Duration, act func() error, run func() (*load.Result, error)) (*load.Result, error) {
	acted := make(chan error, 1)
	timer := time.AfterFunc(after, func() { acted <- act() })
	res, err := run()
	if timer.Stop() {
		return res, err
	}
	if actErr := <-acted; err == nil {
		err = actErr
	}
	return res, err
}
