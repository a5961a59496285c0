// Command policy simulates the policies of package policy in virtual time and prints
// latency and coverage as callers would see them, with and without each mechanism. A run
// takes seconds; confirm its results with real processes, as bench/forward does.
//
//	go run ./bench/policy [--seeds=5] [--scenario=NAME] [--plot=FILE.svg]
package main

import (
	"fmt"
	"io"
	"os"
	"sync"

	"github.com/alecthomas/kingpin/v2"
	"gonum.org/v1/gonum/stat"
	"k8s.io/klog/v2"

	"pearmoor/bench/policy/sim"
)

// variants are the simulated policies: first with all mechanisms, then each time with one
// of them disabled.
var variants = []struct {
	name    string
	without sim.Disabled
}{
	{"as it is", sim.Disabled{}},
	{"no second sends", sim.Disabled{Hedges: true}},
	{"no waits for connections", sim.Disabled{ConnWaits: true}},
	{"nothing learned of leaves", sim.Disabled{LeafStats: true}},
}

func main() {
	app := kingpin.New("policy", "Plays load on the policies in virtual time.")
	seeds := app.Flag("seeds", "Plays of each scenario.").Default("5").Int()
	scenario := app.Flag("scenario", "Name of the one scenario to play.").String()
	plot := app.Flag("plot", "SVG file for the worth of each second.").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if *seeds < 1 {
		klog.Fatalf("policy: --seeds=%d, at least 1 is needed", *seeds)
	}
	var series []worthSeries
	for _, s := range sim.Scenarios {
		if *scenario != "" && *scenario != s.Name {
			continue
		}
		series = append(series, runScenario(os.Stdout, s, *seeds))
	}
	if len(series) == 0 {
		klog.Fatalf("policy: --scenario=%q is none of those played without it", *scenario)
	}
	if *plot != "" {
		if err := os.WriteFile(*plot, renderSVG(series), 0o644); err != nil {
			klog.Fatalf("policy: %v", err)
		}
	}
}

// runScenario prints the results of a scenario for each variant. It returns the worthSeries
// of the first variant.
func runScenario(w io.Writer, s sim.Scenario, seeds int) worthSeries {
	fmt.Fprintf(w, "%s: %s\n%28s %15s %8s %8s %8s %8s %8s %8s\n", s.Name, s.Description, "", "worth", "in time", "parts", "p50 ms", "p99 ms", "extra", "denied")
	out := worthSeries{name: s.Name}
	for i, v := range variants {
		results := make([]*sim.Result, seeds)
		var wg sync.WaitGroup
		for k := range results {
			wg.Go(func() {
				c := s.Config(uint64(k + 1))
				c.Disabled = v.without
				results[k] = sim.Run(c)
			})
		}
		wg.Wait()
		printResults(w, v.name, results)
		if i == 0 {
			out.setMeans(results)
		}
	}
	fmt.Fprintln(w)
	return out
}

// printResults prints one line for all routes together and one for each route.
func printResults(w io.Writer, name string, results []*sim.Result) {
	var worth, extra, denied []float64
	for _, r := range results {
		worth, extra, denied = append(worth, r.Worth()), append(extra, r.Extra()), append(denied, float64(r.Denied))
	}
	mean, spread := stat.MeanStdDev(worth, nil)
	fmt.Fprintf(w, "%28s %7.3f ± %.3f %8s %8s %8s %8s %8.3f %8.0f\n", name, mean, spread, "", "", "", "", stat.Mean(extra, nil), stat.Mean(denied, nil))
	for i := range results[0].Routes {
		var worth, inTime, parts, p50, p99 []float64
		for _, r := range results {
			t := &r.Routes[i]
			worth, parts = append(worth, t.Worth()), append(parts, t.Parts())
			inTime = append(inTime, float64(t.InTime)/float64(max(t.Requests, 1)))
			p50, p99 = append(p50, t.Percentile(50).Seconds()*1000), append(p99, t.Percentile(99).Seconds()*1000)
		}
		fmt.Fprintf(w, "%28s %15.3f %8.3f %8.3f %8.0f %8.0f\n", results[0].Routes[i].Name, stat.Mean(worth, nil),
			stat.Mean(inTime, nil), stat.Mean(parts, nil), stat.Mean(p50, nil), stat.Mean(p99, nil))
	}
}
