package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

// options are the values of the command-line flags.
type options struct {
	bin          string
	sizes        []int
	controlVMs   int
	changes      int
	idleTime     time.Duration
	relayAbove   int
	relayFanout  int
	maxMemoryMB  int
	out          string
	earlierFiles []string
}

func main() {
	opt := parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, opt); err != nil {
		fmt.Fprintf(os.Stderr, "control: %v\n", err)
		os.Exit(1)
	}
}

func parse() *options {
	opt := &options{}
	app := kingpin.New("control", "Measures what control costs at several sizes of a tier.")
	app.Flag("bin", "Folder with pearmoord.").Default("bin").StringVar(&opt.bin)
	app.Flag("size", "Entry daemons of a tier; repeat for each size. None: only the slopes of --with.").IntsVar(&opt.sizes)
	app.Flag("controls", "Control VMs of each tier.").Default("3").IntVar(&opt.controlVMs)
	app.Flag("changes", "Changes to time at each size.").Default("60").IntVar(&opt.changes)
	app.Flag("rest", "How long a tier at rest is measured.").Default("20s").DurationVar(&opt.idleTime)
	app.Flag("relay-above", "As pearmoord's; 0 leaves its default.").IntVar(&opt.relayAbove)
	app.Flag("relay-fanout", "As pearmoord's; 0 leaves its default.").IntVar(&opt.relayFanout)
	app.Flag("memory", "Most MB that all daemons may use together; a size that exceeds it is given up.").Default("12000").IntVar(&opt.maxMemoryMB)
	app.Flag("out", "Also write the results here as JSON.").StringVar(&opt.out)
	app.Flag("with", "Take the results of an earlier run from this JSON file into the slopes; may be repeated.").StringsVar(&opt.earlierFiles)
	kingpin.MustParse(app.Parse(os.Args[1:]))
	return opt
}

func run(ctx context.Context, opt *options) error {
	results, err := readResults(opt.earlierFiles)
	if err != nil {
		return err
	}
	printResults(os.Stdout, results, true)
	for _, size := range opt.sizes {
		r, err := measure(ctx, opt, size)
		if err != nil {
			return fmt.Errorf("%d daemons: %w", size, err)
		}
		results = append(results, r)
		printResults(os.Stdout, results[len(results)-1:], false)
	}
	printSlopes(os.Stdout, results)
	if opt.out == "" {
		return nil
	}
	body, err := json.MarshalIndent(results, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(opt.out, body, 0o644)
}

// readResults reads the results of earlier runs.
func readResults(files []string) ([]result, error) {
	var all []result
	for _, name := range files {
		body, err := os.ReadFile(name)
		if err != nil {
			return nil, err
		}
		var rs []result
		if err := json.Unmarshal(body, &rs); err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		all = append(all, rs...)
	}
	return all, nil
}
