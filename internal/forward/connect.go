package forward

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"pearmoor/internal/policy"
)

var unwrittenSends = metrics.GetOrRegisterCounter("forward.unwritten_sends_moved", metrics.DefaultRegistry)

// runsOnce reports whether a request may run at most once for each shard, so that a late send is
// not hedged.
func (r *run) runsOnce() bool { return !r.entry.Repeatable || r.maxAttempts() == 1 }

// watchConnect schedules a check of a send that has just begun, if no hedge will replace it.
func (r *run) watchConnect(send *pendingSend) {
	if !r.runsOnce() || send.batch != nil {
		return
	}
	at := time.Now().Add(policy.ConnectTimeout(r.entry.TargetLatency))
	if r.connectCheckAt.IsZero() || at.Before(r.connectCheckAt) {
		r.connectCheckAt = at
	}
	send.connectBy = at
}

// moveUnwrittenSends abandons the sends whose connection has taken too long. An abandoned send of
// which nothing was written ends as not run, and the shard is sent to another leaf.
func (r *run) moveUnwrittenSends(now time.Time) {
	r.connectCheckAt = time.Time{}
	for i := range r.shards {
		for k := range r.shards[i].pending {
			p := &r.shards[i].pending[k]
			switch {
			case p.connectBy.IsZero() || p.call.Sent():
			case now.Before(p.connectBy):
				if r.connectCheckAt.IsZero() || p.connectBy.Before(r.connectCheckAt) {
					r.connectCheckAt = p.connectBy
				}
			default:
				unwrittenSends.Inc(1)
				p.connectBy = time.Time{}
				p.call.AbandonUnwritten()
			}
		}
	}
}
