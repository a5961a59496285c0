package leaf

import "github.com/rcrowley/go-metrics"

// Counters over all leaves.
var (
	connsOpened  = metrics.GetOrRegisterCounter("leaf.connections.opened", nil)
	cancelled    = metrics.GetOrRegisterCounter("leaf.attempts.cancelled", nil) // the leaf was told to stop
	abandoned    = metrics.GetOrRegisterCounter("leaf.attempts.abandoned", nil) // silent past its deadline
	refused      = metrics.GetOrRegisterCounter("leaf.replies.refused", nil)
	wrongReplies = metrics.GetOrRegisterCounter("leaf.replies.wrong", nil)
	probesFailed = metrics.GetOrRegisterCounter("leaf.probes.failed", nil)
)
