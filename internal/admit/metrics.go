package admit

import "github.com/rcrowley/go-metrics"

// Counters over all leaves; waitingCount is the current number of waiters.
var (
	granted            = metrics.GetOrRegisterCounter("admit.granted", nil)
	waiting            = metrics.GetOrRegisterCounter("admit.queue.waiting", nil)
	refusedFull        = metrics.GetOrRegisterCounter("admit.refused.queue_full", nil)
	refusedNoFit       = metrics.GetOrRegisterCounter("admit.refused.no_fit", nil)
	refusedNoShare     = metrics.GetOrRegisterCounter("admit.refused.no_share", nil)
	refusedDraining    = metrics.GetOrRegisterCounter("admit.refused.draining", nil)
	refusedUnconfirmed = metrics.GetOrRegisterCounter("admit.refused.unconfirmed", nil)
	budgetDenied       = metrics.GetOrRegisterCounter("admit.budget.denied", nil)
)
