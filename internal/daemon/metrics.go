package daemon

import (
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rcrowley/go-metrics"
)

// metricPrefix is the prefix of every published metric name.
const metricPrefix = "pearmoor_"

// quantiles are published for every histogram and timer.
var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

// collector is a Prometheus collector for the metrics of a go-metrics registry.
type collector struct {
	registry metrics.Registry
}

// Describe sends nothing, which makes this an unchecked collector: metrics may be
// registered at any time, so their names are not known in advance.
func (c collector) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector.
func (c collector) Collect(out chan<- prometheus.Metric) {
	c.registry.Each(func(name string, m any) {
		for _, p := range constMetrics(promName(name), m) {
			out <- p
		}
	})
}

func promName(name string) string {
	return metricPrefix + strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' {
			return r
		}
		return '_'
	}, name)
}

// constMetrics converts a go-metrics metric. It returns nil for an unsupported type.
func constMetrics(name string, m any) []prometheus.Metric {
	switch m := m.(type) {
	case metrics.Counter:
		return singleValue(name, prometheus.UntypedValue, float64(m.Count()))
	case metrics.Gauge:
		return singleValue(name, prometheus.GaugeValue, float64(m.Value()))
	case metrics.GaugeFloat64:
		return singleValue(name, prometheus.GaugeValue, m.Value())
	case metrics.Meter:
		return singleValue(name, prometheus.CounterValue, float64(m.Snapshot().Count()))
	case metrics.Histogram:
		s := m.Snapshot()
		return summary(name, s.Count(), float64(s.Sum()), s.Percentiles(quantiles))
	case metrics.Timer:
		s := m.Snapshot()
		return summary(name, s.Count(), float64(s.Sum()), s.Percentiles(quantiles))
	}
	return nil
}

func singleValue(name string, kind prometheus.ValueType, v float64) []prometheus.Metric {
	desc := prometheus.NewDesc(name, "go-metrics "+name, nil, nil)
	return []prometheus.Metric{prometheus.MustNewConstMetric(desc, kind, v)}
}

func summary(name string, count int64, sum float64, values []float64) []prometheus.Metric {
	byQuantile := make(map[float64]float64, len(quantiles))
	for i, q := range quantiles {
		byQuantile[q] = values[i]
	}
	desc := prometheus.NewDesc(name, "go-metrics "+name, nil, nil)
	return []prometheus.Metric{prometheus.MustNewConstSummary(desc, uint64(count), sum, byQuantile)}
}
