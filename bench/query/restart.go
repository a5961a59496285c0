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

// mixedLoad returns a load of which half is not repeatable, and a fifth of that half is sent twice.
func keyed() phase { return phase{rate: 100, span: time.Hour, once: 0.5, resend: 0.2, seed: 1} }

// rollingRestart restarts every daemon in turn, including the control VMs, under
// mixedLoad.
func rollingRestart(ctx context.Context, e *env) error {
	t, err := e.startTier(ctx, e.tierConfig())
	if err != nil {
		return err
	}
	defer t.Kill()
	count := daemons
	if e.quick {
		count = controls + 1
	}
	started := time.Now()
	res, err := e.while(ctx, t, func() error { return e.restartAll(ctx, t, count) })
	if err != nil {
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

// underLoad runs mixedLoad until act has returned.
func (e *env) while(ctx context.Context, t *tier.Tier, act func() error) (*load.Result, error) {
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	acted := make(chan error, 1)
	go func() {
		defer stopLoad()
		acted <- act()
	}()
	res, err := e.tierSide(loadCtx, t, keyed())
	if actErr := <-acted; err == nil {
		err = actErr
	}
	return res, err
}

// crashes kills daemons one after the other with SIGKILL and restarts each at once
// at the same address, under mixedLoad.
func crashes(ctx context.Context, e *env) error {
	t, err := e.startTier(ctx, e.tierConfig())
	if err != nil {
		return err
	}
	defer t.Kill()
	victims := []int{victim, victim - 1, 0, victim - 2} // one of them a control VM
	if e.quick {
		victims = victims[:2]
	}
	res, err := e.while(ctx, t, func() error {
		for _, i := range victims {
			time.Sleep(2 * time.Second)
			if err := t.Signal(i, syscall.SIGKILL); err != nil {
				return err
			}
			_ = t.WaitExit(i, exitLimit)
			if err := t.Restart(i); err != nil {
				return err
			}
			if err := t.WaitServing(ctx, i); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	if err := printResult(res); err != nil {
		return err
	}
	figure("crashes", "doubled runs of not-repeatable requests", float64(res.Leaves.Runs.Doubled), "0")
	figure("crashes", "resends told another outcome than a certain first", float64(res.Once.Changed), "0")
	figure("crashes", "most in flight over slots", res.Leaves.MostOverSlots, "at most 1")
	figure("crashes", "mixed, lost, doubled or foreign hits", badHits(res), "0")
	if err := t.Stop(); err != nil {
		return err
	}
	return e.save("crashes", []row{{"tier", res}})
}
