package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"pearmoor/bench/baseline"
	"pearmoor/bench/tier"
	"pearmoor/internal/contract"
	"pearmoor/internal/load"
)

// cpuPerRequest compares the processor time of the daemons per leaf request
// with that of a loop that only sends leaf requests and decodes the replies, at
// the same rate and with the GOMAXPROCS of one daemon. A single daemon is the
// home of all leaves, so no request is forwarded to another daemon and it wakes
// up as often as the loop does. Twelve daemons forward requests to each other
// and wake up twelve times as often, with little work each time.
func cpuPerRequest(ctx context.Context, e *env) error {
	for _, size := range []struct{ daemons, controls int }{{1, 1}, {daemonCount, controlVMCount}} {
		cfg := e.tierConfig()
		cfg.Daemons, cfg.ControlVMs = size.daemons, size.controls
		if err := e.compareCPU(ctx, cfg); err != nil {
			return err
		}
	}
	return nil
}

func (e *env) compareCPU(ctx context.Context, cfg tier.Config) error {
	t, direct, err := e.startBoth(ctx, cfg)
	if err != nil {
		return err
	}
	defer t.Kill()
	defer direct.Stop()
	targets, err := baseline.Discover(ctx, e.http, direct.URL, deskPath)
	if err != nil {
		return err
	}
	duration := e.duration(5*time.Second, 20*time.Second)
	spec := loadSpec{rate: 0.5 * capacity(latency), duration: duration}
	var ratios []float64
	for round := range e.roundCount() {
		spec.seed = uint64(round + 1)
		bare, err := bareLoopCPU(ctx, targets, spec)
		if err != nil {
			return err
		}
		perRequest, err := e.tierCPU(ctx, t, spec)
		if err != nil {
			return err
		}
		fmt.Printf("%d daemons: bare loop %v per leaf request, daemons %v\n", cfg.Daemons, bare, perRequest)
		ratios = append(ratios, float64(perRequest)/float64(bare))
	}
	idle, err := idleCPU(t, duration/2)
	if err != nil {
		return err
	}
	fmt.Printf("%d daemons at rest use %.2f%% of a core each\n", cfg.Daemons, idle*100/float64(cfg.Daemons))
	printFigure("cpu", fmt.Sprintf("%d daemons over a bare loop, per leaf request", cfg.Daemons), median(ratios), "at most 1.5")
	return t.Stop()
}

// tierCPU runs load against the tier and returns the processor time of all daemons per leaf request.
func (e *env) tierCPU(ctx context.Context, t *tier.Tier, spec loadSpec) (time.Duration, error) {
	before, err := t.CPU()
	if err != nil {
		return 0, err
	}
	act := func() error { return e.profileAll(ctx, t, spec.duration/2) }
	res, err := runWithAction(spec.duration/4, act, func() (*load.Result, error) { return e.runTier(ctx, t, spec) })
	if err != nil {
		return 0, err
	}
	after, err := t.CPU()
	return (after - before) / time.Duration(max(res.Leaves.Runs.Total, 1)), err
}

// profileAll profiles all daemons at the same time. go tool pprof can merge the files.
func (e *env) profileAll(ctx context.Context, t *tier.Tier, span time.Duration) error {
	var g errgroup.Group
	for i := range t.Daemons() {
		g.Go(func() error {
			return t.Profile(ctx, i, span, filepath.Join(e.outDir, fmt.Sprintf("cpu-%d", t.Daemons()), t.Name(i)+".pprof"))
		})
	}
	return g.Wait()
}

// idleCPU returns the processor cores that all daemons together use without load.
func idleCPU(t *tier.Tier, span time.Duration) (float64, error) {
	before, err := t.CPU()
	if err != nil {
		return 0, err
	}
	time.Sleep(span)
	after, err := t.CPU()
	return (after - before).Seconds() / span.Seconds(), err
}

// bareLoopCPU sends leaf requests without a tier and returns this process's processor time for each.
func bareLoopCPU(ctx context.Context, targets []baseline.Target, spec loadSpec) (time.Duration, error) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(tier.DaemonMaxProcs))
	arrivals, err := load.NewSchedule(load.Poisson, spec.rate, spec.duration, spec.seed)
	if err != nil {
		return 0, err
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: slotsPerLeaf}}
	defer client.CloseIdleConnections()
	var sent atomic.Int64
	slots := make(map[*baseline.Leaf]chan struct{})
	for _, t := range targets {
		for _, l := range t.Leaves {
			slots[l] = make(chan struct{}, l.Slots)
		}
	}
	before := selfCPU()
	load.Drive(ctx, arrivals, 0, func(n int, _ time.Time) {
		done := make(chan struct{})
		for i := range targets {
			go func() {
				defer func() { done <- struct{}{} }()
				t := &targets[i]
				l := t.Leaves[n%len(t.Leaves)]
				slots[l] <- struct{}{}
				defer func() { <-slots[l] }()
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
	q := contract.LeafRequest{ID: id, Attempt: 1, Service: t.Service, Shard: t.Shard, IndexVersion: t.IndexVersion,
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
