package main

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"pearmoor/bench/tier"
	"pearmoor/internal/load"
)

const (
	loadFactor      = 1.2 // load as a multiple of the capacity, so that every slot is always in demand
	disruptedDaemon = daemonCount - 1
	exitTimeout     = 90 * time.Second
)

// homes measures the requests in flight at the leaves while one home daemon restarts,
// is killed or is paused. The load exceeds the capacity of the slots all the time.
func homes(ctx context.Context, e *env) error {
	t, err := e.startTier(ctx, e.tierConfig())
	if err != nil {
		return err
	}
	defer t.Kill()
	pause := e.duration(10*time.Second, 30*time.Second)
	cases := []struct {
		name string
		span time.Duration
		act  func() error
	}{
		{"steady", e.duration(5*time.Second, 20*time.Second), func() error { return nil }},
		{"hand-over", e.duration(25*time.Second, 40*time.Second), func() error { return e.restartOne(ctx, t, disruptedDaemon) }},
		{"kill -9", e.duration(20*time.Second, 40*time.Second), func() error { return e.killOne(ctx, t, disruptedDaemon) }},
		{"pause", pause + 15*time.Second, func() error { return pauseOne(t, disruptedDaemon, pause) }},
	}
	var rows []row
	for i, c := range cases {
		spec := loadSpec{rate: loadFactor * capacity(latency), duration: c.span, seed: uint64(i + 1)}
		res, err := runWithAction(2*time.Second, c.act, func() (*load.Result, error) { return e.runTier(ctx, t, spec) })
		if err != nil {
			return errors.Wrap(err, c.name)
		}
		rows = append(rows, row{c.name, res})
		printFigure("homes", c.name+": most in flight over slots", res.Leaves.PeakOverSlots, "at most 1")
	}
	printTable(rows)
	if err := t.Stop(); err != nil {
		return err
	}
	return e.save("homes", rows)
}

// restartOne stops daemon i gracefully and starts it again.
func (e *env) restartOne(ctx context.Context, t *tier.Tier, i int) error {
	if err := t.Signal(i, syscall.SIGTERM); err != nil {
		return err
	}
	if err := t.WaitExit(i, exitTimeout); err != nil {
		return err
	}
	if err := t.Restart(i); err != nil {
		return err
	}
	return t.WaitServing(ctx, i)
}

func (e *env) killOne(ctx context.Context, t *tier.Tier, i int) error {
	if err := t.Signal(i, syscall.SIGKILL); err != nil {
		return err
	}
	_ = t.WaitExit(i, exitTimeout)
	// Longer than a lease, so that its shares have been reassigned before it restarts.
	time.Sleep(e.duration(9*time.Second, 15*time.Second))
	if err := t.Restart(i); err != nil {
		return err
	}
	return t.WaitServing(ctx, i)
}

func pauseOne(t *tier.Tier, i int, d time.Duration) error {
	if err := t.Signal(i, syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(d)
	return t.Signal(i, syscall.SIGCONT)
}
