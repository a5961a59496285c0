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

const rollStep = 50 * time.Millisecond // between two leaves

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
	settle := e.span(3*time.Second, 6*time.Second)
	span := 3*settle + 2*services*rollStep
	var rows []row
	for _, c := range []struct {
		name    string
		version standin.Version
	}{
		{"rolling change", standin.Version{Version: 2, Shards: shardsEach}},
		{"split", standin.Version{Version: 3, Shards: shardsEach + 1}},
		{"merge", standin.Version{Version: 4, Shards: shardsEach}},
	} {
		p := phase{rate: 0.3 * capacity(latency), span: span, seed: c.version.Version}
		act := func() error { return e.roll(ctx, t.Leaves, c.version, settle) }
		res, err := during(settle/2, act, func() (*load.Result, error) { return e.tierSide(ctx, t, p) })
		if err != nil {
			return err
		}
		rows = append(rows, row{c.name, res})
		figure("index", c.name+": mean coverage", res.Coverage, "1")
		figure("index", c.name+": mixed, lost, doubled or foreign hits", badHits(res), "0")
	}
	table(rows)
	for _, r := range rows {
		fmt.Printf("%s: missing %v, refusals %v, bad %+v\n", r.side, r.res.Missing, r.res.Reasons, r.res.Check)
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
func (e *env) roll(ctx context.Context, l *tier.Leaves, v standin.Version, settle time.Duration) error {
	for leaf := 1; leaf <= leavesEach; leaf++ {
		for i := range services {
			c := standin.Command{Leaf: fmt.Sprintf("%s-%d", tier.ServiceName(i), leaf), Publish: &v, Retire: v.Version - 1}
			if err := e.command(ctx, l, c); err != nil {
				return err
			}
			time.Sleep(rollStep)
		}
		time.Sleep(settle)
	}
	return nil
}

func printResult(r *load.Result) error { return r.WriteTable(os.Stdout) }
