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

// mixedLoad returns a load of which half is not repeatable, and a fifth of that half is sent again with the same key.
func mixedLoad() loadSpec {
	return loadSpec{rate: 100, duration: time.Hour, notRepeatable: 0.5, resend: 0.2, seed: 1}
}

// rollingRestart restarts every daemon in turn, including the control VMs, under
// mixedLoad.
func rollingRestart(ctx context.Context, e *env) error {
	t, err := e.startTier(ctx, e.tierConfig())
	if err != nil {
		return err
	}
	defer t.Kill()
	count := daemonCount
	if e.quick {
		count = controlVMCount + 1
	}
	started := time.Now()
	res, err := e.underLoad(ctx, t, func() error { return e.restartAll(ctx, t, count) })
	if err != nil {
		return err
	}
	fmt.Printf("%d of %d daemons restarted in %v\n", count, daemonCount, time.Since(started).Round(time.Second))
	if err := printResult(res); err != nil {
		return err
	}
	printFigure("restart", "requests without a whole answer", float64(res.Scheduled-res.Whole), "0")
	printFigure("restart", "doubled runs of not-repeatable requests", float64(res.Leaves.Runs.Doubled), "0")
	printFigure("restart", "most in flight over slots", res.Leaves.PeakOverSlots, "at most 1")
	if err := t.Stop(); err != nil {
		return err
	}
	return e.save("restart", []row{{"tier", res}})
}

func (e *env) restartAll(ctx context.Context, t *tier.Tier, count int) error {
	time.Sleep(time.Second)
	for k := range count {
		i := (daemonCount - 1 - k + daemonCount) % daemonCount
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
func (e *env) underLoad(ctx context.Context, t *tier.Tier, act func() error) (*load.Result, error) {
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	acted := make(chan error, 1)
	go func() {
		defer stopLoad()
		acted <- act()
	}()
	res, err := e.runTier(loadCtx, t, mixedLoad())
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
	killed := []int{disruptedDaemon, disruptedDaemon - 1, 0, disruptedDaemon - 2} // one of them a control VM
	if e.quick {
		killed = killed[:2]
	}
	res, err := e.underLoad(ctx, t, func() error {
		for _, i := range killed {
			time.Sleep(2 * time.Second)
			if err := t.Signal(i, syscall.SIGKILL); err != nil {
				return err
			}
			_ = t.WaitExit(i, exitTimeout)
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
	printFigure("crashes", "doubled runs of not-repeatable requests", float64(res.Leaves.Runs.Doubled), "0")
	printFigure("crashes", "resends told another outcome than a certain first", float64(res.NonRepeatable.Changed), "0")
	printFigure("crashes", "most in flight over slots", res.Leaves.PeakOverSlots, "at most 1")
	printFigure("crashes", "mixed, lost, doubled or foreign hits", badHits(res), "0")
	if err := t.Stop(); err != nil {
		return err
	}
	return e.save("crashes", []row{{"tier", res}})
}
