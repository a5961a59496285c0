package query

import (
	"github.com/rcrowley/go-metrics"

	"pearmoor/internal/contract"
)

var meters = struct {
	latency     metrics.Timer
	inFlight    metrics.Counter
	full        metrics.Counter // answers with full coverage
	partial     metrics.Counter
	early       metrics.Counter
	coverage    metrics.Histogram // percent
	duplicates  metrics.Counter
	repinned    metrics.Counter
	homeHedges  metrics.Counter
	homeRetries metrics.Counter
	shed        metrics.Counter
}{
	latency:     metrics.GetOrRegisterTimer("query.latency", nil),
	inFlight:    metrics.GetOrRegisterCounter("query.in_flight", nil),
	full:        metrics.GetOrRegisterCounter("query.answers.full", nil),
	partial:     metrics.GetOrRegisterCounter("query.answers.partial", nil),
	early:       metrics.GetOrRegisterCounter("query.answers.early", nil),
	coverage:    metrics.GetOrRegisterHistogram("query.coverage.percent", nil, metrics.NewExpDecaySample(1028, 0.015)),
	duplicates:  metrics.GetOrRegisterCounter("query.hits.duplicate", nil),
	repinned:    metrics.GetOrRegisterCounter("query.pins.changed", nil),
	homeHedges:  metrics.GetOrRegisterCounter("query.homes.hedged", nil),
	homeRetries: metrics.GetOrRegisterCounter("query.homes.retried", nil),
	shed:        metrics.GetOrRegisterCounter("query.shed", nil),
}

// countRefusal counts a query that ended without an answer.
func countRefusal(reason contract.Reason) {
	metrics.GetOrRegisterCounter("query.refused."+string(reason), nil).Inc(1)
}

// countMissing counts a shard that is missing from an answer.
func countMissing(reason contract.Reason) {
	metrics.GetOrRegisterCounter("query.missing."+string(reason), nil).Inc(1)
}
