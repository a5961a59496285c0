package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"pearmoor/internal/load"
)

// options are the values of the command-line flags.
type options struct {
	bin      string
	vms      int
	shards   int
	copies   int
	rate     float64
	duration time.Duration
	seed     uint64
	faults   string
	out      string
}

func main() {
	var s options
	app := kingpin.New("forward", "A small platform on loopback around real pearmoor-entry processes, with a table and plots.")
	app.HelpFlag.Short('h')
	app.Flag("bin", "The pearmoor-entry program; make build makes it.").Default("bin/pearmoor-entry").StringVar(&s.bin)
	app.Flag("vms", "VMs of the tier, the first three with a disk.").Default("6").IntVar(&s.vms)
	app.Flag("shards", "Services that a gather asks.").Default("20").IntVar(&s.shards)
	app.Flag("copies", "Leaves of each service.").Default("2").IntVar(&s.copies)
	app.Flag("rate", "Requests a second, with Poisson arrivals.").Default("80").Float64Var(&s.rate)
	app.Flag("duration", "How long requests arrive.").Default("20s").DurationVar(&s.duration)
	app.Flag("seed", "Of the leaves, callers and arrivals.").Default("1").Uint64Var(&s.seed)
	app.Flag("faults", "script plays the faults of script.go, evacuation evacuates a failure domain whose leaves return cold, none leaves them out.").Default("script").EnumVar(&s.faults, "script", "evacuation", "none")
	app.Flag("out", "Folder for the report and its plots.").Default("out/forward").StringVar(&s.out)
	kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := runLoadTest(ctx, s); err != nil {
		fmt.Fprintf(os.Stderr, "forward: %v\n", err)
		os.Exit(1)
	}
}

// run is the state of one load test.
type run struct {
	options
	platform *simulatedPlatform
	tier     *entryTier
	stats    []*kindStats
	events   []event
	tierCPU  time.Duration // of the tier while requests arrived
}

func runLoadTest(ctx context.Context, s options) error {
	if s.vms < vmsWithDisk || s.shards < 2 || s.copies < 1 {
		return errors.Newf("%d VMs, %d shards, %d copies are too few: %d, 2 and 1 are the least", s.vms, s.shards, s.copies, vmsWithDisk)
	}
	dir, err := os.MkdirTemp("", "forward")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	r := &run{options: s}
	if err := r.start(ctx, dir); err != nil {
		r.close()
		return errors.Wrapf(err, "%s", firstLogTail(dir))
	}
	defer r.close()
	if err := r.generateLoad(ctx); err != nil {
		return err
	}
	rep := r.report()
	rep.print(os.Stdout)
	if err := r.save(rep, s.out); err != nil {
		return err
	}
	fmt.Println("plots and figures:", s.out)
	if len(rep.WrongAnswers) > 0 {
		return errors.Newf("%d answers are wrong", len(rep.WrongAnswers))
	}
	return nil
}

// start starts the leaves and the tier and waits until a VM has accepted the configuration.
func (r *run) start(ctx context.Context, dir string) error {
	bin, err := filepath.Abs(r.bin)
	if err != nil {
		return err
	}
	if r.platform, err = newSimulatedPlatform(r.seed); err != nil {
		return err
	}
	if r.tier, err = newTier(dir, bin, r.vms, r.platform.addr); err != nil {
		return err
	}
	if r.faults == "evacuation" {
		r.tier.warmUpRate = warmUpRate
	}
	for i := range r.shards {
		r.tier.shards = append(r.tier.shards, fmt.Sprintf("shard-%d", i))
	}
	for _, service := range append([]string{singleService, singleService}, r.tier.shards...) {
		for range r.copies {
			if _, err := r.platform.startLeaf(service, "", false); err != nil {
				return err
			}
		}
	}
	r.platform.recordList()
	for _, v := range r.tier.vms {
		if err := v.start(); err != nil {
			return err
		}
	}
	return r.tier.pushRelease(ctx)
}

func (r *run) close() {
	if r.tier != nil {
		r.tier.stop()
	}
	if r.platform != nil {
		r.platform.close()
	}
}

// generateLoad sends requests for the configured duration and waits for their answers.
func (r *run) generateLoad(ctx context.Context) error {
	time.Sleep(2 * time.Second) // so that every VM has the configuration and the leaf list
	start := time.Now()
	r.platform.startedAt = start
	done := make(chan struct{})
	var background sync.WaitGroup
	background.Go(func() { r.platform.recordUntil(done) })
	loadCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	if steps := scripts[r.faults]; len(steps) > 0 {
		background.Go(func() { r.runScript(loadCtx, steps) })
	}
	before := r.tier.cpu()
	var callers []*caller
	for i := range callerCount {
		callers = append(callers, r.newCaller(i))
	}
	var wg sync.WaitGroup
	for i, k := range requestKinds {
		t := &kindStats{kind: k, recorder: load.NewRecorder(start, plotWindow)}
		r.stats = append(r.stats, t)
		arrivals, err := load.NewSchedule(load.Poisson, r.rate*k.fraction, r.duration, r.seed+uint64(i))
		if err != nil {
			return err
		}
		wg.Go(func() { sendOnSchedule(loadCtx, &wg, start, arrivals, t, callers) })
	}
	wg.Wait()
	r.tierCPU = r.tier.cpu() - before
	close(done)
	cancel()
	background.Wait()
	return ctx.Err()
}

// sendOnSchedule starts each request at its scheduled time, even if earlier ones are unfinished.
func sendOnSchedule(ctx context.Context, wg *sync.WaitGroup, start time.Time, arrivals *load.Schedule, stats *kindStats, callers []*caller) {
	for n := 0; ctx.Err() == nil; n++ {
		at, ok := arrivals.Next()
		if !ok {
			return
		}
		intended := start.Add(at)
		time.Sleep(time.Until(intended))
		c := callers[(n*7+len(stats.kind.name))%len(callers)]
		wg.Go(func() { c.sendRequest(ctx, stats, intended) })
	}
}

// firstLogTail returns the end of the first VM's log, to explain why a tier did not start.
func firstLogTail(dir string) string {
	names, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil || len(names) == 0 {
		return "no process has written anything"
	}
	text, err := os.ReadFile(names[0])
	if err != nil {
		return err.Error()
	}
	return string(text[max(0, len(text)-2000):])
}
