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
func meanRunTime() time.Duration {
	return time.Duration(float64(latency) * (1 - stragglerShare + stragglerShare*stragglerFactor))
}

func stragglers(ctx context.Context, e *env) error {
	stragglerFlags := []string{fmt.Sprintf("--straggler-share=%v", stragglerShare), fmt.Sprintf("--straggler-factor=%v", stragglerFactor)}
	cfg := e.tierConfig(stragglerFlags...)
	t, direct, err := e.startBoth(ctx, cfg)
	if err != nil {
		return err
	}
	defer t.Kill()
	defer direct.Stop()
	fastLeaves, err := tier.StartLeaves(ctx, e.tierConfig())
	if err != nil {
		return err
	}
	defer fastLeaves.Stop()
	var overNaive, overOracle []float64
	var rows []row
	for round := range e.roundCount() {
		spec := loadSpec{rate: 0.6 * capacity(meanRunTime()), duration: e.duration(6*time.Second, 20*time.Second), deadline: 2 * time.Second, seed: uint64(round + 1)}
		naiveRes, err := e.runDirect(ctx, direct, spec, newNaive)
		if err != nil {
			return err
		}
		// The oracle runs on leaves without stragglers, as if it always knew the fast replica.
		oracleRes, err := e.runDirect(ctx, fastLeaves, spec, newOracle())
		if err != nil {
			return err
		}
		tierRes, err := e.runTier(ctx, t, spec)
		if err != nil {
			return err
		}
		overNaive = append(overNaive, p99Ratio(tierRes, naiveRes))
		overOracle = append(overOracle, p99Ratio(tierRes, oracleRes))
		rows = append(rows, row{fmt.Sprintf("naive-%d", round+1), naiveRes}, row{fmt.Sprintf("oracle-%d", round+1), oracleRes}, row{fmt.Sprintf("tier-%d", round+1), tierRes})
	}
	printTable(rows)
	printFigure("stragglers", "p99 over naive", median(overNaive), "at most 0.5")
	printFigure("stragglers", "p99 over oracle", median(overOracle), "at most 1.3")
	printFigure("stragglers", "extra attempts", extraShare(rows[len(rows)-1].res), "at most 0.03")
	if err := t.Stop(); err != nil {
		return err
	}
	return e.save("stragglers", rows)
}

func p99Ratio(a, b *load.Result) float64 { return a.Answers.P99 / b.Answers.P99 }

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
	spec := loadSpec{rate: 0.3 * capacity(latency), duration: e.duration(6*time.Second, 20*time.Second), seed: 1}
	third := spec.duration / 3
	powerOff := func(l *tier.Leaves) func() error {
		return func() error { return e.setSecondLeafPower(ctx, l, standin.PowerDown) }
	}
	naiveRes, err := runWithAction(third, powerOff(direct), func() (*load.Result, error) { return e.runDirect(ctx, direct, spec, newNaive) })
	if err != nil {
		return err
	}
	tierRes, err := runWithAction(third, powerOff(t.Leaves), func() (*load.Result, error) { return e.runTier(ctx, t, spec) })
	if err != nil {
		return err
	}
	afterRes, err := e.runTier(ctx, t, spec)
	if err != nil {
		return err
	}
	rows := []row{{"naive, lost in mid-run", naiveRes}, {"tier, lost in mid-run", tierRes}, {"tier, after the loss", afterRes}}
	printTable(rows)
	printFigure("replicas", "coverage in the run of the loss", tierRes.Coverage, "1")
	printFigure("replicas", "coverage after the loss", afterRes.Coverage, "1")
	if err := t.Stop(); err != nil {
		return err
	}
	return e.save("replicas", rows)
}

func (e *env) setSecondLeafPower(ctx context.Context, l *tier.Leaves, p standin.Power) error {
	for i := range serviceCount {
		if err := e.command(ctx, l, standin.Command{Leaf: tier.ServiceName(i) + "-2", Power: p}); err != nil {
			return err
		}
	}
	return nil
}

// runWithAction calls run, and act once the given time after its start.
func runWithAction(after time.Duration, act func() error, run func() (*load.Result, error)) (*load.Result, error) {
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
