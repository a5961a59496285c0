package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"pearmoor/bench/tier"
	"pearmoor/internal/contract"
	"pearmoor/internal/load"
	"pearmoor/internal/settings"
	"pearmoor/internal/standin"
)

// drainLeaf drains a leaf under load in three ways: the leaf reports that it is
// draining, the operator sets it as drained, or the platform lists it as leaving.
func drainLeaf(ctx context.Context, e *env) error {
	cfg := e.tierConfig()
	cfg.UsePlatformList = true
	t, err := e.startTier(ctx, cfg)
	if err != nil {
		return err
	}
	defer t.Kill()
	var rows []row
	for i, c := range []struct {
		name string
		act  func(leaf, service string) error
	}{
		{"its own word", func(leaf, _ string) error {
			return e.command(ctx, t.Leaves, standin.Command{Leaf: leaf, Set: json.RawMessage(`{"draining":true}`)})
		}},
		{"the operator", func(leaf, service string) error {
			_, err := t.Change(ctx, []settings.Edit{{Path: service, Name: "drained", Value: leaf, Op: settings.Set}}, "experiment: drain")
			return err
		}},
		{"the platform", func(leaf, service string) error { return e.platformLeaving(ctx, t.Leaves, leaf) }},
	} {
		service := deskPath + "/" + tier.ServiceName(i)
		leaf := tier.ServiceName(i) + "-1"
		spec := loadSpec{rate: 0.3 * capacity(latency), duration: e.duration(7*time.Second, 12*time.Second), seed: uint64(i + 1)}
		var drainedAt time.Time
		act := func() error {
			drainedAt = time.Now()
			return c.act(leaf, service)
		}
		res, err := runWithAction(2*time.Second, act, func() (*load.Result, error) { return e.runTier(ctx, t, spec) })
		if err != nil {
			return errors.Wrap(err, c.name)
		}
		last, err := e.lastArrival(ctx, t.Leaves, leaf)
		if err != nil {
			return err
		}
		rows = append(rows, row{c.name, res})
		quiet := last.Sub(drainedAt).Seconds()
		fmt.Printf("%s: last new work %.3f s after it; refused by leaving leaves %d; stopped at all leaves, as losers of hedges are, %d\n",
			c.name, quiet, res.Leaves.WhileDraining, res.Leaves.Cancelled)
		printFigure("drain", c.name+": seconds to the last new work", quiet, "at most 3")
		printFigure("drain", c.name+": mean coverage", res.Coverage, "1")
	}
	printTable(rows)
	if err := t.Stop(); err != nil {
		return err
	}
	return e.save("drain", rows)
}

func (e *env) lastArrival(ctx context.Context, l *tier.Leaves, leaf string) (time.Time, error) {
	st, err := load.Stats(ctx, e.http, l.URL)
	if err != nil {
		return time.Time{}, err
	}
	for _, s := range st.Leaves {
		if s.Name == leaf {
			return time.UnixMilli(s.LastArrivalMS), nil
		}
	}
	return time.Time{}, errors.Newf("leaf %s is unknown", leaf)
}

// platformLeaving publishes a platform list of all leaves, with one of them marked as leaving.
func (e *env) platformLeaving(ctx context.Context, l *tier.Leaves, leaving string) error {
	st, err := load.Stats(ctx, e.http, l.URL)
	if err != nil {
		return err
	}
	var u standin.PlatformUpdate
	for _, s := range st.Leaves {
		u.VMs = append(u.VMs, contract.PlatformVM{Name: s.Name, Addr: s.Addr, Leaving: s.Name == leaving})
	}
	payload, err := json.Marshal(u)
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, l.URL+standin.VMsPath, bytes.NewReader(payload))
	if err != nil {
		return err
	}
	resp, err := e.http.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("platform list: %s", resp.Status)
	}
	return nil
}
