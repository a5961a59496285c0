package policy

import "time"

const (
	// answerMargin is reserved at the end of a request's time for sending the final answer.
	answerMargin = 8 * time.Millisecond
	// defaultLateShare is the part of the target latency after which a reply counts as late
	// while there are too few samples of the route.
	defaultLateShare  = 0.3
	defaultHedgeDelay = 100 * time.Millisecond // also the UnsentTimeout of a route without target latency
	minHedgeDelay     = 2 * time.Millisecond
	// hedgeMedians is the minimum delay of a hedge, in median reply times.
	hedgeMedians = 1.5
	// connWaitMedians is the time that a send may wait for a connection, in median reply
	// times.
	connWaitMedians = 1.5
	defaultConnWait = 40 * time.Millisecond
	// unsentTimeoutShare is the part of the target latency for which a request that cannot
	// be sent is held. A caller that is refused then still has time for another attempt.
	unsentTimeoutShare = 0.2
)

// TimeLimits are the time limits configured for a route.
type TimeLimits struct {
	Timeout       time.Duration // the longest time that a caller may be kept waiting
	TargetLatency time.Duration // 0: none
	AnswerMargin  time.Duration // part of TargetLatency reserved for delivering the answer to the caller
}

// Schedule holds the due times of a request, relative to its arrival.
type Schedule struct {
	AnswerDeadline time.Duration // the final answer is due
	LeafDeadline   time.Duration // the deadline passed to leaves
	PartialAfter   time.Duration // an answer with missing parts may be sent from here on
	HedgeAfter     time.Duration // a shard without a reply is hedged
	UnsentTimeout  time.Duration // a request that could not be sent is refused
}

// NewSchedule returns the schedule of a request whose caller waits for timeout (0: not
// stated) and sent its first attempt elapsed before this one.
func NewSchedule(limits TimeLimits, timeout, elapsed time.Duration, latency *LatencyEstimator) Schedule {
	limit := limits.Timeout
	if timeout > 0 && timeout < limit {
		limit = timeout
	}
	out := Schedule{AnswerDeadline: limit - answerMargin, LeafDeadline: limit, HedgeAfter: limits.hedgeAfter(latency), UnsentTimeout: defaultHedgeDelay}
	out.PartialAfter = out.AnswerDeadline
	if limits.TargetLatency > 0 {
		out.PartialAfter = min(max(0, limits.TargetLatency-limits.AnswerMargin-elapsed), out.AnswerDeadline)
		out.UnsentTimeout = time.Duration(unsentTimeoutShare * float64(limits.TargetLatency))
	}
	return out
}

// hedgeAfter returns the time after which a reply is late enough for a hedge.
func (t TimeLimits) hedgeAfter(latency *LatencyEstimator) time.Duration {
	late, ok := latency.LateThreshold()
	if !ok {
		if t.TargetLatency > 0 {
			return time.Duration(defaultLateShare * float64(t.TargetLatency))
		}
		return defaultHedgeDelay
	}
	median := latency.Median()
	late = max(late, time.Duration(hedgeMedians*float64(median)), minHedgeDelay)
	// A hedge that cannot return in time is of little use, so the latest time at which it
	// still can takes precedence over the learned one.
	if t.TargetLatency > 0 {
		late = min(late, max(t.TargetLatency-t.AnswerMargin-2*median, median))
	}
	return late
}

// ConnWait returns how long a send may wait for one of the daemon's connections to a leaf,
// until the one in use is likely to be free again. After that another leaf is tried.
// medianLatency is the median reply time, or 0 if unknown.
func ConnWait(medianLatency time.Duration) time.Duration {
	if medianLatency <= 0 {
		return defaultConnWait
	}
	return time.Duration(connWaitMedians * float64(medianLatency))
}
