package leaf

import "github.com/rcrowley/go-metrics"

// Counters, summed over all leaves.
var (
	connsOpened       = metrics.GetOrRegisterCounter("leaf.connections.opened", nil)
	attemptsCancelled = metrics.GetOrRegisterCounter("leaf.attempts.cancelled", nil) // cancellations sent to a leaf
	attemptsAbandoned = metrics.GetOrRegisterCounter("leaf.attempts.abandoned", nil) // connections closed because the leaf did not finish after its deadline
	repliesRefused    = metrics.GetOrRegisterCounter("leaf.replies.refused", nil)
	repliesWrong      = metrics.GetOrRegisterCounter("leaf.replies.wrong", nil)
	probesFailed      = metrics.GetOrRegisterCounter("leaf.probes.failed", nil)
)
