package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"pearmoor/bench/tier"
	"pearmoor/internal/load"
	"pearmoor/internal/standin"
)

const rollOutInterval = 50 * time.Millisecond // between two leaves

// indexChange rolls out a new index version leaf by leaf, and then versions with
// other partition maps. Each leaf drops the old version when it gets the new one,
// so a query that was pinned to the old version just before reaches leaves that no
// longer have it.
func indexChange(ctx context.Context, e *env) error {
	t, err := e.startTier(ctx, e.tierConfig())
	if err != nil {
		return err
	}
	defer t.Kill()
	settle := e.duration(3*time.Second, 6*time.Second)
	duration := 3*settle + 2*serviceCount*rollOutInterval
	var rows []row
	for _, c := range []struct {
		name    string
		version standin.Version
	}{
		{"rolling change", standin.Version{Version: 2, Shards: shardsPerService}},
		{"split", standin.Version{Version: 3, Shards: shardsPerService + 1}},
		{"merge", standin.Version{Version: 4, Shards: shardsPerService}},
	} {
		spec := loadSpec{rate: 0.3 * capacity(latency), duration: duration, seed: c.version.Version}
		act := func() error { return e.rollOut(ctx, t.Leaves, c.version, settle) }
		res, err := runWithAction(settle/2, act, func() (*load.Result, error) { return e.runTier(ctx, t, spec) })
		if err != nil {
			return err
		}
		rows = append(rows, row{c.name, res})
		printFigure("index", c.name+": mean coverage", res.Coverage, "1")
		printFigure("index", c.name+": mixed, lost, doubled or foreign hits", badHits(res), "0")
	}
	printTable(rows)
	for _, r := range rows {
		fmt.Printf("%s: missing %v, refusals %v, bad %+v\n", r.name, r.res.Missing, r.res.Reasons, r.res.Check)
	}
	if err := t.Stop(); err != nil {
		return err
	}
	return e.save("index", rows)
}

func badHits(r *load.Result) float64 {
	c := r.Check
	return float64(c.Mixed + c.Lost + c.Doubled + c.Foreign + c.Coverage)
}

// rollOut publishes v on the first leaf of every service, waits, and then on the second.
func (e *env) rollOut(ctx context.Context, l *tier.Leaves, v standin.Version, settle time.Duration) error {
	for leaf := 1; leaf <= leavesPerService; leaf++ {
		for i := range serviceCount {
			c := standin.Command{Leaf: fmt.Sprintf("%s-%d", tier.ServiceName(i), leaf), Publish: &v, Retire: v.Version - 1}
			if err := e.command(ctx, l, c); err != nil {
				return err
			}
			time.Sleep(rollOutInterval)
		}
		time.Sleep(settle)
	}
	return nil
}

func printResult(r *load.Result) error { return r.WriteTable(os.Stdout) }
