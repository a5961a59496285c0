package forward

import (
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"pearmoor/internal/contract"
	"pearmoor/internal/link/target"
	"pearmoor/internal/policy"
)

var stoppingRefusals = metrics.GetOrRegisterCounter("forward.refused_stopping", metrics.DefaultRegistry)

// shutdown is a planned stop of this daemon that has begun.
type shutdown struct {
	start    time.Time
	schedule policy.Shutdown
}

// BeginShutdown makes the engine refuse the requests that might be cut off by the end of the
// process.
func (e *Engine) BeginShutdown(start time.Time, schedule policy.Shutdown) {
	e.shutdown.Store(&shutdown{start: start, schedule: schedule})
}

// FinishAll makes every request in progress, and every later one, return its final answer
// immediately. It is called before the process exits: an answer tells the caller whether the
// request may have run, a broken connection does not.
//
// It also ends the exchanges that go on although their replies are no longer needed.
func (e *Engine) FinishAll() {
	e.finishOnce.Do(func() { close(e.finishing) })
	e.cfg.Tracker.EndAbandoned()
}

// isFinishing reports whether FinishAll has been called.
func (e *Engine) isFinishing() bool {
	select {
	case <-e.finishing:
		return true
	default:
		return false
	}
}

// checkShutdown returns the answer to a request that must not be sent to leaves because this
// daemon may end before its answer has been sent, nil if it may.
func (r *run) checkShutdown() *Answer {
	stop := r.e.shutdown.Load()
	if stop == nil {
		return nil
	}
	elapsed := r.req.Arrived.Sub(stop.start)
	longest := r.times.LeafDeadline + target.ReplyGrace
	if stop.schedule.Admits(elapsed, longest) {
		return nil
	}
	stoppingRefusals.Inc(1)
	r.e.cfg.Log.Line(r.logComponent(), "refused while stopping").Str("id", r.req.ID).Str("route", r.entry.Name).
		Ms("stopping_for", elapsed).Ms("longest", longest).End()
	return &Answer{
		Status: http.StatusServiceUnavailable, RetryAfter: policy.StoppingRetryAfter,
		Verdict: contract.NotRun, Reason: contract.ReasonDraining,
	}
}
