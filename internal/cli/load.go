package cli

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"pearmoor/internal/load"
)

func (a *app) declareLoad(k *kingpin.Application) {
	var conf load.Config
	var entries entryFlags
	var dir string
	c := k.Command("load", `Put open-loop load on a tier with stand-in leaves, and measure latency, coverage and the load on the leaves.

Example: pearmoor load --entry=http://127.0.0.1:7400 --path=/kathmandu-valley/counter-desk --rate=200 --duration=30s --out=results`)
	entries.declare(c)
	c.Flag("path", "Nodes to query in turn, separated by commas.").Required().SetValue((*commaList)(&conf.Paths))
	c.Flag("rate", "Requests a second, over all paths.").Default("50").FloatVar(&conf.Rate)
	c.Flag("duration", "How long new requests start.").Default("10s").DurationVar(&conf.Duration)
	c.Flag("deadline", "Deadline of each request.").Default(load.DefaultDeadline.String()).DurationVar(&conf.Deadline)
	c.Flag("arrivals", "poisson or constant.").Default(string(load.Poisson)).EnumVar((*string)(&conf.Arrivals), string(load.Poisson), string(load.Constant))
	c.Flag("not-repeatable", "Share of requests sent as not repeatable, 0 to 1.").FloatVar(&conf.NonRepeatableShare)
	c.Flag("resend", "Share of those sent a second time under the same key, 0 to 1.").FloatVar(&conf.ResendShare)
	c.Flag("callers", "Callers, each with its own address lists.").Default(fmt.Sprint(load.DefaultCallers)).IntVar(&conf.Callers)
	c.Flag("outstanding", "Most requests under way; arrivals beyond are skipped and counted.").Default(fmt.Sprint(load.DefaultMaxInFlight)).IntVar(&conf.MaxInFlight)
	c.Flag("window", "Width of a point in the plots.").Default(load.DefaultWindow.String()).DurationVar(&conf.Window)
	c.Flag("seed", "Seed of the arrivals.").Default("1").Uint64Var(&conf.Seed)
	c.Flag("standin", "Control URL of the stand-in leaves, to measure their load.").StringVar(&conf.StandinURL)
	c.Flag("out", "Folder for result.json and the plots; left out: none.").StringVar(&dir)
	c.Action(func(*kingpin.ParseContext) error {
		var err error
		if conf.TLS, err = entries.tlsConfig(); err != nil {
			return err
		}
		conf.EntryURLs = entries.urls
		return a.runLoad(conf, dir)
	})
}

func (a *app) runLoad(conf load.Config, dir string) error {
	ctx, stop := signal.NotifyContext(a.ctx, os.Interrupt)
	defer stop()
	start := time.Now()
	result, err := load.Run(ctx, conf)
	if err != nil {
		return err
	}
	if dir != "" {
		if err := result.WriteFiles(dir); err != nil {
			return err
		}
	}
	return a.print(&loadResult{Result: result, dir: dir, elapsed: time.Since(start)})
}

// loadResult is the output of the load command.
type loadResult struct {
	*load.Result
	dir     string
	elapsed time.Duration
}

func (l *loadResult) writeText(w io.Writer) {
	_ = l.WriteTable(w)
	fmt.Fprintf(w, "took %v\n", l.elapsed.Round(time.Millisecond))
	if l.dir != "" {
		fmt.Fprintf(w, "results in %s\n", l.dir)
	}
}
