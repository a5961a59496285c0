package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"pearmoor/bench/baseline"
	"pearmoor/bench/tier"
	"pearmoor/internal/contract"
	"pearmoor/internal/load"
)

// cpuPerRequest compares the processor time of all daemons per leaf request
// with that of a loop which only sends leaf requests and decodes the replies,
// at the same rate.
func cpuPerRequest(ctx context.Context, e *env) error {
	cfg := e.tierConfig()
	t, err := tier.Start(ctx, cfg)
	if err != nil {
		return err
	}
	defer t.Kill()
	direct, err := tier.StartLeaves(ctx, cfg)
	if err != nil {
		return err
	}
	defer direct.Stop()
	if err := e.warm(ctx, t); err != nil {
		return err
	}
	targets, err := baseline.Discover(ctx, e.http, direct.URL, deskPath)
	if err != nil {
		return err
	}
	span := e.span(5*time.Second, 20*time.Second)
	rate := 0.5 * capacity(latency)
	var ratios []float64
	for round := range e.rounds() {
		bare, err := bareLoop(ctx, targets, rate, span, uint64(round+1))
		if err != nil {
			return err
		}
		atRest, err := e.restCPU(t, span/2)
		if err != nil {
			return err
		}
		before, err := t.CPU()
		if err != nil {
			return err
		}
		act := func() error { return e.profileAll(ctx, t, span/2) }
		run := func() (*load.Result, error) {
			return e.tierSide(ctx, t, phase{rate: rate, span: span, seed: uint64(round + 1)})
		}
		res, err := during(span/4, act, run)
		if err != nil {
			return err
		}
		after, err := t.CPU()
		if err != nil {
			return err
		}
		used := after - before
		per := used / time.Duration(max(res.Leaves.Runs.Total, 1))
		fmt.Printf("bare loop %v per leaf request; daemons %v per leaf request (%d in %v; at rest all daemons use %.1f%% of a core)\n",
			bare, per, res.Leaves.Runs.Total, span, atRest*100)
		ratios = append(ratios, float64(per)/float64(bare))
	}
	figure("cpu", "daemons over a bare loop, per leaf request", median(ratios), "at most 1.5")
	return t.Stop()
}

// profileAll profiles every daemon at once; go tool pprof adds the files up.
func (e *env) profileAll(ctx context.Context, t *tier.Tier, span time.Duration) error {
	var g errgroup.Group
	for i := range t.Daemons() {
		g.Go(func() error {
			return t.Profile(ctx, i, span, filepath.Join(e.out, "cpu", t.Name(i)+".pprof"))
		})
	}
	return g.Wait()
}

// restCPU returns the share of a core that all daemons use without load.
func (e *env) restCPU(t *tier.Tier, span time.Duration) (float64, error) {
	before, err := t.CPU()
	if err != nil {
		return 0, err
	}
	time.Sleep(span)
	after, err := t.CPU()
	return (after - before).Seconds() / span.Seconds(), err
}

// bareLoop returns this process's own processor time per leaf request.
func bareLoop(ctx context.Context, targets []baseline.Target, queries float64, span time.Duration, seed uint64) (time.Duration, error) {
	schedule, err := load.NewSchedule(load.Poisson, queries, span, seed)
	if err != nil {
		return 0, err
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: slotsEach}}
	defer client.CloseIdleConnections()
	var sent atomic.Int64
	gates := make(map[*baseline.Leaf]chan struct{})
	for _, t := range targets {
		for _, l := range t.Replicas {
			gates[l] = make(chan struct{}, l.Slots)
		}
	}
	before := selfCPU()
	load.Drive(ctx, schedule, 0, func(n int, _ time.Time) {
		done := make(chan struct{})
		for i := range targets {
			go func() {
				defer func() { done <- struct{}{} }()
				t := &targets[i]
				l := t.Replicas[n%len(t.Replicas)]
				gates[l] <- struct{}{}
				defer func() { <-gates[l] }()
				if postLeaf(ctx, client, l, t, fmt.Sprintf("bare-%d", n)) == nil {
					sent.Add(1)
				}
			}()
		}
		for range targets {
			<-done
		}
	}, func(int, time.Time) {})
	used := selfCPU() - before
	return used / time.Duration(max(sent.Load(), 1)), nil
}

func postLeaf(ctx context.Context, client *http.Client, l *baseline.Leaf, t *baseline.Target, id string) error {
	q := contract.LeafRequest{ID: id, Attempt: 1, Service: t.Service, Shard: t.Shard, IndexVersion: t.Version,
		DeadlineMS: deadline.Milliseconds(), Repeatable: true, Body: json.RawMessage(`{"run_key":"` + id + `"}`)}
	payload, err := json.Marshal(q)
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+l.Addr+contract.LeafQueryPath, bytes.NewReader(payload))
	if err != nil {
		return err
	}
	resp, err := client.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	var reply contract.LeafReply
	return json.Unmarshal(data, &reply)
}

func selfCPU() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
