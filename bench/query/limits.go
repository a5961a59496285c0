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
		p := phase{rate: factor * capacity(latency), span: e.span(4*time.Second, 15*time.Second), seed: 1}
		for _, side := range []struct {
			name   string
			policy func(int) baseline.Policy
		}{{"naive", naive}, {"adaptive", adaptive}, {"oracle", oracle()}} {
			res, err := e.directSide(ctx, direct, p, side.policy)
			if err != nil {
				return err
			}
			rows = append(rows, row{fmt.Sprintf("%s-%.1fx", side.name, factor), res})
		}
	}
	table(rows)
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
		p := phase{rate: factor * capacity(latency), span: e.span(5*time.Second, 20*time.Second), seed: 1}
		n, err := e.directSide(ctx, direct, p, naive)
		if err != nil {
			return err
		}
		a, err := e.directSide(ctx, direct, p, adaptive)
		if err != nil {
			return err
		}
		h, err := e.tierSide(ctx, t, p)
		if err != nil {
			return err
		}
		for _, r := range []row{{"naive", n}, {"adaptive", a}, {"homes", h}} {
			r.side = fmt.Sprintf("%s-%.1fx", r.side, factor)
			rows = append(rows, r)
		}
		figure("limits", fmt.Sprintf("most in flight over slots at %.1fx", factor), h.Leaves.MostOverSlots, "at most 1")
	}
	table(rows)
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
	var kept, refusal []float64
	for round := range e.rounds() {
		p := phase{rate: capacity(latency), span: e.span(6*time.Second, 20*time.Second), seed: uint64(round + 1)}
		at, err := e.tierSide(ctx, t, p)
		if err != nil {
			return err
		}
		p.rate *= 2
		over, err := e.tierSide(ctx, t, p)
		if err != nil {
			return err
		}
		rows = append(rows, row{fmt.Sprintf("capacity-%d", round+1), at}, row{fmt.Sprintf("twice-%d", round+1), over})
		kept = append(kept, over.Goodput/at.Goodput)
		refusal = append(refusal, over.Refusals.P99)
	}
	table(rows)
	last := rows[len(rows)-1].res
	fmt.Printf("refusals at twice the capacity: %s; reasons %v\n", last.Refusals, last.Reasons)
	figure("overload", "goodput at 2x over goodput at capacity", median(kept), "at least 0.95")
	figure("overload", "refusal p99 ms", median(refusal), "at most 10")
	figure("overload", "refusals that are not a true not_run", float64(last.InDoubt+last.Failed), "0")
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
	p := phase{rate: 0.6 * capacity(latency), span: e.span(5*time.Second, 30*time.Second), seed: 1}
	n, err := e.directSide(ctx, direct, p, naive)
	if err != nil {
		return err
	}
	h, err := e.tierSide(ctx, t, p)
	if err != nil {
		return err
	}
	idle, err := e.tierSide(ctx, t, phase{rate: 1, span: p.span, seed: 2})
	if err != nil {
		return err
	}
	rows := []row{{"naive", n}, {"tier", h}, {"tier at rest", idle}}
	table(rows)
	for _, r := range rows {
		l := r.res.Leaves
		fmt.Printf("%s: opened %d in %v (%.4f per leaf request), refused by leaves %d, most open %d of 30\n",
			r.side, l.Opened, p.span, float64(l.Opened)/float64(max(l.Runs.Total, 1)), l.ConnsRefused, l.MostOpen)
	}
	figure("connections", "most open over cap", max(h.Leaves.MostOverCap, idle.Leaves.MostOverCap), "at most 1")
	figure("connections", "opened per leaf and second, warm", perLeafSecond(h.Leaves, p.span), "near 0")
	figure("connections", "opened per leaf and second, at rest", perLeafSecond(idle.Leaves, p.span), "near 0")
	if err := t.Stop(); err != nil {
		return err
	}
	return e.save("connections", rows)
}

func perLeafSecond(l *load.LeafReport, span time.Duration) float64 {
	return float64(l.Opened) / float64(services*leavesEach) / span.Seconds()
}
