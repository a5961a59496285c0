package entryvm

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// metricPrefix is the prefix of every published metric name.
const metricPrefix = "pearmoor_"

// quantiles are the quantiles published for every histogram and timer.
var quantiles = []float64{0.5, 0.9, 0.99}

// MetricsHandler serves the metrics of the process, one per line, in the Prometheus text
// format. It does not use the Prometheus client library, which alone takes 6 MB of a small
// VM's memory.
func MetricsHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		out := bufio.NewWriter(w)
		metrics.DefaultRegistry.Each(func(name string, m any) {
			writeMetric(out, metricPrefix+strings.Map(sanitizeRune, name), m)
		})
		_ = out.Flush()
	})
}

func sanitizeRune(r rune) rune {
	if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' {
		return r
	}
	return '_'
}

func writeMetric(out *bufio.Writer, name string, m any) {
	switch m := m.(type) {
	case metrics.Counter:
		fmt.Fprintf(out, "%s %d\n", name, m.Count())
	case metrics.Gauge:
		fmt.Fprintf(out, "%s %d\n", name, m.Value())
	case metrics.GaugeFloat64:
		fmt.Fprintf(out, "%s %g\n", name, m.Value())
	case metrics.Meter:
		fmt.Fprintf(out, "%s %d\n", name, m.Count())
	case metrics.Histogram:
		s := m.Snapshot()
		writeSummary(out, name, s.Count(), s.Sum(), s.Percentiles(quantiles))
	case metrics.Timer:
		s := m.Snapshot()
		writeSummary(out, name, s.Count(), s.Sum(), s.Percentiles(quantiles))
	}
}

func writeSummary(out *bufio.Writer, name string, count, sum int64, values []float64) {
	for i, q := range quantiles {
		fmt.Fprintf(out, "%s{quantile=\"%g\"} %g\n", name, q, values[i])
	}
	fmt.Fprintf(out, "%s_sum %d\n%s_count %d\n", name, sum, name, count)
}
