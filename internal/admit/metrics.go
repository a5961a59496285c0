package admit

import "github.com/rcrowley/go-metrics"

// Counters over all leaves; waitingCount is the current number of waiters.
var (
	grantedCount        = metrics.GetOrRegisterCounter("admit.granted", nil)
	waitingCount        = metrics.GetOrRegisterCounter("admit.queue.waiting", nil)
	refusedFull         = metrics.GetOrRegisterCounter("admit.refused.queue_full", nil)
	refusedDeadline     = metrics.GetOrRegisterCounter("admit.refused.no_fit", nil)
	refusedNoShare      = metrics.GetOrRegisterCounter("admit.refused.no_share", nil)
	refusedDraining     = metrics.GetOrRegisterCounter("admit.refused.draining", nil)
	refusedLeaseExpired = metrics.GetOrRegisterCounter("admit.refused.unconfirmed", nil)
	budgetDenied        = metrics.GetOrRegisterCounter("admit.budget.denied", nil)
)
