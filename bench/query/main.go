// Command query measures the query path. Each experiment starts real pearmoord and
// pearmoor-standin processes, runs the tier and what it is compared with, and prints
// the results as one table.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
)

func main() {
	app := kingpin.New("query", "Experiments on the query path, each with both sides in one run.")
	app.HelpFlag.Short('h')
	names := app.Arg("experiment", "What to run; all by default. See --list.").Strings()
	quick := app.Flag("quick", "A short run, to see that it works rather than to quote.").Bool()
	rounds := app.Flag("rounds", "How often the sides take turns; 0 is 1 in a short run, 3 in a long one.").Default("0").Int()
	list := app.Flag("list", "List the experiments and end.").Bool()
	outDir := app.Flag("out", "Folder for results as JSON and plots.").Default("out/bench").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if *list {
		for _, x := range experiments() {
			fmt.Printf("%-16s %s\n", x.name, x.doc)
		}
		return
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	os.Exit(runAll(ctx, *names, &env{quick: *quick, roundsFlag: *rounds, outDir: *outDir}))
}

// runAll runs the named experiments, or all if names is empty. It returns the exit status: 1 if an experiment failed to run, 2 if a name is unknown.
func runAll(ctx context.Context, names []string, e *env) int {
	for _, n := range names {
		if !slices.ContainsFunc(experiments(), func(x experiment) bool { return x.name == n }) {
			fmt.Fprintf(os.Stderr, "query: experiment %q is unknown; see --list\n", n)
			return 2
		}
	}
	if err := e.open(); err != nil {
		fmt.Fprintf(os.Stderr, "query: %v\n", err)
		return 1
	}
	defer e.close()
	status := 0
	for _, x := range experiments() {
		if ctx.Err() != nil || (len(names) > 0 && !slices.Contains(names, x.name)) {
			continue
		}
		fmt.Printf("\n== %s: %s\n", x.name, x.doc)
		if err := x.run(ctx, e); err != nil {
			fmt.Printf("%s: not measured: %v\n", x.name, err)
			status = 1
		}
	}
	return status
}
