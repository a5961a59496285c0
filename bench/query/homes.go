package main

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"pearmoor/bench/tier"
	"pearmoor/internal/load"
)

const (
	pressure  = 1.2 // load over capacity, so that every slot is wanted all the time
	victim    = daemons - 1
	exitLimit = 90 * time.Second
)

// homes counts at the leaves while one home daemon leaves, dies or pauses. All
// of it happens under more load than the slots can carry.
func homes(ctx context.Context, e *env) error {
	t, err := tier.Start(ctx, e.tierConfig())
	if err != nil {
		return err
	}
	defer t.Kill()
	if err := e.warm(ctx, t); err != nil {
		return err
	}
	pause := e.span(10*time.Second, 30*time.Second)
	cases := []struct {
		name string
		span time.Duration
		act  func() error
	}{
		{"steady", e.span(5*time.Second, 20*time.Second), func() error { return nil }},
		{"hand-over", e.span(25*time.Second, 40*time.Second), func() error { return e.restartOne(ctx, t, victim) }},
		{"kill -9", e.span(20*time.Second, 40*time.Second), func() error { return e.killOne(ctx, t, victim) }},
		{"pause", pause + 15*time.Second, func() error { return pauseOne(t, victim, pause) }},
	}
	var rows []row
	for i, c := range cases {
		p := phase{rate: pressure * capacity(latency), span: c.span, seed: uint64(i + 1)}
		res, err := during(2*time.Second, c.act, func() (*load.Result, error) { return e.tierSide(ctx, t, p) })
		if err != nil {
			return errors.Wrap(err, c.name)
		}
		rows = append(rows, row{c.name, res})
		figure("homes", c.name+": most in flight over slots", res.Leaves.MostOverSlots, "at most 1")
	}
	table(rows)
	if err := t.Stop(); err != nil {
		return err
	}
	return e.save("homes", rows)
}

// restartOne stops daemon i as planned and starts it again.
func (e *env) restartOne(ctx context.Context, t *tier.Tier, i int) error {
	if err := t.Signal(i, syscall.SIGTERM); err != nil {
		return err
	}
	if err := t.WaitExit(i, exitLimit); err != nil {
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
	_ = t.WaitExit(i, exitLimit)
	// Longer than a lease, so that its shares have moved on before it is back.
	time.Sleep(e.span(9*time.Second, 15*time.Second))
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

// rollingRestart stops and starts every daemon in turn, control VMs too. Half
// of the requests are not repeatable, and some of these are sent twice.
func rollingRestart(ctx context.Context, e *env) error {
	t, err := tier.Start(ctx, e.tierConfig())
	if err != nil {
		return err
	}
	defer t.Kill()
	if err := e.warm(ctx, t); err != nil {
		return err
	}
	count := daemons
	if e.quick {
		count = controls + 1
	}
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	acted := make(chan error, 1)
	go func() {
		defer stopLoad()
		acted <- e.restartAll(ctx, t, count)
	}()
	p := phase{rate: 100, span: time.Hour, once: 0.5, resend: 0.2, seed: 1}
	started := time.Now()
	res, err := e.tierSide(loadCtx, t, p)
	if err != nil {
		return err
	}
	if err := <-acted; err != nil {
		return err
	}
	fmt.Printf("%d of %d daemons restarted in %v\n", count, daemons, time.Since(started).Round(time.Second))
	if err := printResult(res); err != nil {
		return err
	}
	figure("restart", "requests without a whole answer", float64(res.Scheduled-res.Whole), "0")
	figure("restart", "doubled runs of not-repeatable requests", float64(res.Leaves.Runs.Doubled), "0")
	figure("restart", "most in flight over slots", res.Leaves.MostOverSlots, "at most 1")
	if err := t.Stop(); err != nil {
		return err
	}
	return e.save("restart", []row{{"tier", res}})
}

func (e *env) restartAll(ctx context.Context, t *tier.Tier, count int) error {
	time.Sleep(time.Second)
	for k := range count {
		i := (daemons - 1 - k + daemons) % daemons
		if e.quick {
			i = k // the control VMs first, then one other
		}
		if err := e.restartOne(ctx, t, i); err != nil {
			return errors.Wrap(err, t.Name(i))
		}
		time.Sleep(time.Second)
	}
	return nil
}
