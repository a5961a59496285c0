package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"text/tabwriter"
	"time"

	"pearmoor/bench/baseline"
	"pearmoor/bench/tier"
	"pearmoor/internal/load"
	"pearmoor/internal/standin"
)

// The desk of most experiments: 20 services of two leaves with two slots each, so
// that a query goes to 40 shards and there are 80 slots.
const (
	deskPath         = "desk"
	serviceCount     = 20
	leavesPerService = 2
	slotsPerLeaf     = 2
	shardsPerService = 2
	daemonCount      = 12
	controlVMCount   = 3
	clientCount      = 12 // clients that send to the leaves directly, without a tier

	latency       = 20 * time.Millisecond
	connSetupTime = 6 * time.Millisecond
	deadline      = time.Second
)

// capacity returns the rate of queries, per second, that keeps every slot busy if
// a run takes the given mean time.
func capacity(mean time.Duration) float64 {
	const slots, shards = serviceCount * leavesPerService * slotsPerLeaf, serviceCount * shardsPerService
	return slots / (shards * mean.Seconds())
}

// env holds the options and resources that the experiments share.
type env struct {
	quick      bool
	roundsFlag int    // 0: default
	outDir     string // results and plots
	workDir    string // binaries, logs, data
	http       *http.Client
}

// open creates the working directory and the HTTP client.
func (e *env) open() error {
	dir, err := os.MkdirTemp("", "pearmoor-bench-")
	if err != nil {
		return err
	}
	e.workDir, e.http = dir, &http.Client{Transport: &http.Transport{}}
	fmt.Printf("logs: %s\n", dir)
	return nil
}

// close removes the binaries but keeps the logs.
func (e *env) close() {
	e.http.CloseIdleConnections()
	_ = os.RemoveAll(filepath.Join(e.workDir, "bin"))
}

// duration returns quick in a quick run and full otherwise.
func (e *env) duration(quick, full time.Duration) time.Duration {
	if e.quick {
		return quick
	}
	return full
}

// roundCount returns how many times the sides of a comparison are run in turn.
func (e *env) roundCount() int {
	switch {
	case e.roundsFlag > 0:
		return e.roundsFlag
	case e.quick:
		return 1
	default:
		return 3
	}
}

func (e *env) tierConfig(standinFlags ...string) tier.Config {
	return e.deskConfig(nil, standinFlags...)
}

func (e *env) deskConfig(desk map[string]string, standinFlags ...string) tier.Config {
	values := map[string]string{
		"leaf-slots":       fmt.Sprint(slotsPerLeaf),
		"leaf-connections": "30",
		"connect-cost":     connSetupTime.String(),
		"ramp":             "1s",
	}
	for k, v := range desk {
		values[k] = v
	}
	spec := tier.DeskSpec{Path: deskPath, Services: serviceCount, LeavesPerService: leavesPerService, Settings: values}
	return tier.Config{
		Dir:          e.workDir,
		Tree:         tier.DeskTree(spec, map[string]string{"address-lifetime": "2s"}),
		Daemons:      daemonCount,
		ControlVMs:   controlVMCount,
		Domains:      tier.Domains,
		StandinFlags: append([]string{"--latency=" + latency.String()}, standinFlags...),
	}
}

// loadSpec describes the load of one run.
type loadSpec struct {
	rate          float64
	duration      time.Duration
	deadline      time.Duration // 0: default
	notRepeatable float64       // fraction of requests that are not repeatable
	resend        float64       // fraction of those that are sent again with the same key after their outcome
	seed          uint64
}

func (s loadSpec) config(standinURL string) load.Config {
	c := load.Config{
		Paths:              []string{deskPath},
		Rate:               s.rate,
		Duration:           s.duration,
		Deadline:           s.deadline,
		NonRepeatableShare: s.notRepeatable,
		ResendShare:        s.resend,
		Seed:               s.seed,
		StandinURL:         standinURL,
	}
	if c.Deadline == 0 {
		c.Deadline = deadline
	}
	if s.notRepeatable > 0 {
		// A request that is not repeatable goes to a single query service.
		c.Paths = nil
		for i := range serviceCount {
			c.Paths = append(c.Paths, deskPath+"/"+tier.ServiceName(i))
		}
	}
	return c
}

// runTier runs the load of spec against the tier.
func (e *env) runTier(ctx context.Context, t *tier.Tier, spec loadSpec) (*load.Result, error) {
	c := spec.config(t.Leaves.URL)
	c.EntryURLs = t.EntryURLs()
	return load.Run(ctx, c)
}

// runDirect runs the load of spec with clients that send to the leaves without a tier.
func (e *env) runDirect(ctx context.Context, l *tier.Leaves, spec loadSpec, newPolicy func(int) baseline.Policy) (*load.Result, error) {
	targets, err := baseline.Discover(ctx, e.http, l.URL, deskPath)
	if err != nil {
		return nil, err
	}
	clients := baseline.NewClients(clientCount, targets, newPolicy)
	defer baseline.Close(clients)
	c := spec.config(l.URL)
	c.Queriers = baseline.Queriers(clients)
	return load.Run(ctx, c)
}

func newNaive(int) baseline.Policy    { return baseline.Naive{} }
func newAdaptive(int) baseline.Policy { return baseline.NewAdaptive() }

func newOracle() func(int) baseline.Policy {
	o := baseline.NewOracle()
	return func(int) baseline.Policy { return o }
}

// command changes the behaviour of the simulated leaves.
func (e *env) command(ctx context.Context, l *tier.Leaves, c standin.Command) error {
	return load.Command(ctx, e.http, l.URL, c)
}

// startTier starts a tier and warms it up. The caller must stop it.
func (e *env) startTier(ctx context.Context, cfg tier.Config) (*tier.Tier, error) {
	t, err := tier.Start(ctx, cfg)
	if err != nil {
		return nil, err
	}
	if err := e.warmUp(ctx, t); err != nil {
		t.Kill()
		return nil, err
	}
	return t, nil
}

// startBoth starts a tier and warms it up, and starts separate leaves for the clients
// that send to leaves directly. The caller must stop both.
func (e *env) startBoth(ctx context.Context, cfg tier.Config) (*tier.Tier, *tier.Leaves, error) {
	t, err := e.startTier(ctx, cfg)
	if err != nil {
		return nil, nil, err
	}
	direct, err := tier.StartLeaves(ctx, cfg)
	if err != nil {
		t.Kill()
		return nil, nil, err
	}
	return t, direct, nil
}

// warmUp runs queries until all answers are complete, so that connections are open
// and the ramp-up after the start is over.
func (e *env) warmUp(ctx context.Context, t *tier.Tier) error {
	const maxRuns = 10
	var last *load.Result
	for range maxRuns {
		res, err := e.runTier(ctx, t, loadSpec{rate: 20, duration: 2 * time.Second, seed: 7})
		if err != nil {
			return err
		}
		if last = res; res.Whole == res.Scheduled && res.Scheduled > 0 {
			return nil
		}
	}
	_ = last.WriteTable(os.Stdout)
	return errNotWarm
}

// row is one line of a result table.
type row struct {
	name string
	res  *load.Result
}

// printTable prints one line for each result.
func printTable(rows []row) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "side\trate/s\tp50 ms\tp99 ms\tp99.9 ms\tgoodput/s\tcoverage %\trefused\tin doubt\tno reply\textra %\tin flight/slots\tconns/cap\tbad hits")
	for _, r := range rows {
		x, l := r.res, r.res.Leaves
		c := x.Check
		fmt.Fprintf(w, "%s\t%.0f\t%.1f\t%.1f\t%.1f\t%.1f\t%.3f\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t%d\n",
			r.name, x.Rate, x.Answers.P50, x.Answers.P99, x.Answers.P999, x.Goodput, x.Coverage*100,
			x.Refused, x.InDoubt, x.Failed, extraShare(x)*100, l.PeakOverSlots, l.PeakOverLimit,
			c.Lost+c.Doubled+c.Mixed+c.Foreign+c.Coverage)
	}
	_ = w.Flush()
}

// extraShare returns the ratio of the extra runs of leaf requests (see standin.RunStats) to
// all other runs.
func extraShare(r *load.Result) float64 {
	first := r.Leaves.Runs.Total - r.Leaves.Runs.Extra
	if first == 0 {
		return 0
	}
	return float64(r.Leaves.Runs.Extra) / float64(first)
}

// save writes results and plots to a folder of the output folder.
func (e *env) save(name string, rows []row) error {
	for _, r := range rows {
		if err := r.res.WriteFiles(filepath.Join(e.outDir, name, r.name)); err != nil {
			return err
		}
	}
	return nil
}

// printFigure prints one result as a line of JSON. target is the value that the result should have.
func printFigure(experiment, name string, value float64, target string) {
	line, err := json.Marshal(struct {
		Experiment string  `json:"experiment"`
		Figure     string  `json:"figure"`
		Value      float64 `json:"value"`
		Target     string  `json:"target"`
	}{experiment, name, value, target})
	if err == nil {
		fmt.Println(string(line))
	}
}
