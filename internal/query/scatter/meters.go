package scatter

import "github.com/rcrowley/go-metrics"

// meters holds the metrics of the package for one registry.
type meters struct {
	attempts   metrics.Counter
	hedges     metrics.Counter
	hedgesWon  metrics.Counter
	retries    metrics.Counter
	wrongReply metrics.Counter
	rerouted   metrics.Counter
	reply      metrics.Timer
}

func newMeters(r metrics.Registry) *meters {
	return &meters{
		attempts:   metrics.GetOrRegisterCounter("query.attempts", r),
		hedges:     metrics.GetOrRegisterCounter("query.hedges.sent", r),
		hedgesWon:  metrics.GetOrRegisterCounter("query.hedges.won", r),
		retries:    metrics.GetOrRegisterCounter("query.retries", r),
		wrongReply: metrics.GetOrRegisterCounter("query.replies.wrong", r),
		rerouted:   metrics.GetOrRegisterCounter("query.queue.rerouted", r),
		reply:      metrics.GetOrRegisterTimer("query.attempt.latency", r),
	}
}
