package main

import (
	"context"
	"fmt"
	"time"

	"pearmoor/bench/baseline"
	"pearmoor/bench/tier"
	"pearmoor/internal/load"
)

// policies runs the clients of package baseline against leaves, without daemons.
func policies(ctx context.Context, e *env) error {
	direct, err := tier.StartLeaves(ctx, e.tierConfig())
	if err != nil {
		return err
	}
	defer direct.Stop()
	var rows []row
	for _, factor := range []float64{0.6, 2} {
		spec := loadSpec{rate: factor * capacity(latency), duration: e.duration(4*time.Second, 15*time.Second), seed: 1}
		for _, side := range []struct {
			name   string
			policy func(int) baseline.Policy
		}{{"naive", newNaive}, {"adaptive", newAdaptive}, {"oracle", newOracle()}} {
			res, err := e.runDirect(ctx, direct, spec, side.policy)
			if err != nil {
				return err
			}
			rows = append(rows, row{fmt.Sprintf("%s-%.1fx", side.name, factor), res})
		}
	}
	printTable(rows)
	return e.save("policies", rows)
}

// limits compares naive and adaptive clients with a tier, in which home daemons enforce the limits.
func limits(ctx context.Context, e *env) error {
	cfg := e.tierConfig()
	t, direct, err := e.startBoth(ctx, cfg)
	if err != nil {
		return err
	}
	defer t.Kill()
	defer direct.Stop()
	var rows []row
	for _, factor := range []float64{0.6, 2} {
		spec := loadSpec{rate: factor * capacity(latency), duration: e.duration(5*time.Second, 20*time.Second), seed: 1}
		naiveRes, err := e.runDirect(ctx, direct, spec, newNaive)
		if err != nil {
			return err
		}
		adaptiveRes, err := e.runDirect(ctx, direct, spec, newAdaptive)
		if err != nil {
			return err
		}
		tierRes, err := e.runTier(ctx, t, spec)
		if err != nil {
			return err
		}
		for _, r := range []row{{"naive", naiveRes}, {"adaptive", adaptiveRes}, {"homes", tierRes}} {
			r.name = fmt.Sprintf("%s-%.1fx", r.name, factor)
			rows = append(rows, r)
		}
		printFigure("limits", fmt.Sprintf("most in flight over slots at %.1fx", factor), tierRes.Leaves.PeakOverSlots, "at most 1")
	}
	printTable(rows)
	if err := t.Stop(); err != nil {
		return err
	}
	return e.save("limits", rows)
}

func overload(ctx context.Context, e *env) error {
	t, err := e.startTier(ctx, e.tierConfig())
	if err != nil {
		return err
	}
	defer t.Kill()
	var rows []row
	var goodputRatios, refusalP99s []float64
	for round := range e.roundCount() {
		spec := loadSpec{rate: capacity(latency), duration: e.duration(6*time.Second, 20*time.Second), seed: uint64(round + 1)}
		atCapacity, err := e.runTier(ctx, t, spec)
		if err != nil {
			return err
		}
		spec.rate *= 2
		overloaded, err := e.runTier(ctx, t, spec)
		if err != nil {
			return err
		}
		rows = append(rows, row{fmt.Sprintf("capacity-%d", round+1), atCapacity}, row{fmt.Sprintf("twice-%d", round+1), overloaded})
		goodputRatios = append(goodputRatios, overloaded.Goodput/atCapacity.Goodput)
		refusalP99s = append(refusalP99s, overloaded.Refusals.P99)
	}
	printTable(rows)
	last := rows[len(rows)-1].res
	fmt.Printf("refusals at twice the capacity: %s; reasons %v\n", last.Refusals, last.Reasons)
	printFigure("overload", "goodput at 2x over goodput at capacity", median(goodputRatios), "at least 0.95")
	printFigure("overload", "refusal p99 ms", median(refusalP99s), "at most 10")
	printFigure("overload", "refusals that are not a true not_run", float64(last.InDoubt+last.Failed), "0")
	if err := t.Stop(); err != nil {
		return err
	}
	return e.save("overload", rows)
}

// connections compares the connections that naive clients and the tier open to the leaves.
func connections(ctx context.Context, e *env) error {
	cfg := e.tierConfig()
	t, direct, err := e.startBoth(ctx, cfg)
	if err != nil {
		return err
	}
	defer t.Kill()
	defer direct.Stop()
	spec := loadSpec{rate: 0.6 * capacity(latency), duration: e.duration(5*time.Second, 30*time.Second), seed: 1}
	naiveRes, err := e.runDirect(ctx, direct, spec, newNaive)
	if err != nil {
		return err
	}
	tierRes, err := e.runTier(ctx, t, spec)
	if err != nil {
		return err
	}
	idleRes, err := e.runTier(ctx, t, loadSpec{rate: 1, duration: spec.duration, seed: 2})
	if err != nil {
		return err
	}
	rows := []row{{"naive", naiveRes}, {"tier", tierRes}, {"tier at rest", idleRes}}
	printTable(rows)
	for _, r := range rows {
		l := r.res.Leaves
		fmt.Printf("%s: opened %d in %v (%.4f per leaf request), refused by leaves %d, most open %d of 30\n",
			r.name, l.Opened, spec.duration, float64(l.Opened)/float64(max(l.Runs.Total, 1)), l.ConnsRefused, l.PeakOpen)
	}
	printFigure("connections", "most open over cap", max(tierRes.Leaves.PeakOverLimit, idleRes.Leaves.PeakOverLimit), "at most 1")
	printFigure("connections", "opened per leaf and second, warm", perLeafSecond(tierRes.Leaves, spec.duration), "near 0")
	printFigure("connections", "opened per leaf and second, at rest", perLeafSecond(idleRes.Leaves, spec.duration), "near 0")
	if err := t.Stop(); err != nil {
		return err
	}
	return e.save("connections", rows)
}

func perLeafSecond(l *load.LeafReport, span time.Duration) float64 {
	return float64(l.Opened) / float64(serviceCount*leavesPerService) / span.Seconds()
}
