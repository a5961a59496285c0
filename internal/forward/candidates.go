package forward

import (
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"

	"pearmoor/internal/discovery"
	"pearmoor/internal/policy"
	"pearmoor/internal/route"
)

var coldSends = metrics.GetOrRegisterCounter("forward.cold_sends", metrics.DefaultRegistry)

// restrictions say which listed leaves a request may not be sent to now.
type restrictions struct {
	e         *Engine
	table     *route.Table
	evacuated map[string]bool // failure domains
	regions   []string        // that the route allows; empty: all
}

func (r *run) restrictions() restrictions {
	return restrictions{e: r.e, table: r.active.table, evacuated: r.e.evacuations.Load().domains, regions: r.entry.Regions}
}

// none reports whether no leaf is excluded.
func (x *restrictions) none() bool {
	return len(x.evacuated) == 0 && len(x.regions) == 0 && !x.table.LimitsWarmUp()
}

// leavesFor returns the leaves of a service that a request may be sent to now. The caller must
// not modify the slice.
func (x *restrictions) leavesFor(snap *discovery.Snapshot, service string) []*discovery.Leaf {
	leaves := snap.ForService(service)
	if x.none() {
		return leaves
	}
	rate := x.warmUpRate(service)
	excluded := func(l *discovery.Leaf) bool {
		return x.bars(l) || rate > 0 && !x.e.coldSendAvailable(l, rate)
	}
	if !slices.ContainsFunc(leaves, excluded) {
		return leaves
	}
	return slices.DeleteFunc(slices.Clone(leaves), excluded)
}

func (x *restrictions) warmUpRate(service string) float64 {
	if s, ok := x.table.Service(service); ok {
		return s.WarmUpRate
	}
	return 0
}

// bars reports whether the leaf is in an evacuated failure domain or in a region that the route
// does not allow.
func (x *restrictions) bars(l *discovery.Leaf) bool {
	if x.evacuated[l.Domain] {
		return true
	}
	return len(x.regions) > 0 && (x.e.cfg.RegionOf == nil || !slices.Contains(x.regions, x.e.cfg.RegionOf(l.Domain)))
}

// choose returns the best leaf for a send of the shard, nil if there is none. If the leaf is
// cold, the send is taken from this daemon's share.
func (r *run) choose(x *restrictions, leaves []*discovery.Leaf, tried []*discovery.Leaf) *discovery.Leaf {
	for {
		leaf := r.e.cfg.Tracker.Choose(leaves, tried, r.stats.pace.Median())
		if leaf == nil || !x.table.LimitsWarmUp() {
			return leaf
		}
		if rate := x.warmUpRate(leaf.Service); rate == 0 || r.e.takeColdSend(leaf, rate) {
			return leaf
		}
		// Another request has just used the share, or the lease has run out.
		tried = append(slices.Clip(tried), leaf)
	}
}

// refuseUnservable prepares the refusal of a request with more shards without a leaf than may
// be missing, before anything is sent. It reports whether there are as many.
func (r *run) refuseUnservable(x *restrictions, snap *discovery.Snapshot) bool {
	if x.none() {
		return false
	}
	var without []int
	for i := range r.shards {
		if len(x.leavesFor(snap, r.shards[i].service)) == 0 {
			without = append(without, i)
		}
	}
	if len(without) <= len(r.shards)-r.requiredParts {
		return false
	}
	for i := range r.shards {
		r.shards[i].unsendable, r.shards[i].hasLeaves = true, true
	}
	for _, i := range without {
		r.shards[i].hasLeaves = false
	}
	r.refusedRetryAfter = x.retryAfter(snap.ForService(r.shards[without[0]].service))
	return true
}

// retryAfter returns the Retry-After of a request for a service whose leaves are all excluded, 0
// if it has none.
func (x *restrictions) retryAfter(leaves []*discovery.Leaf) time.Duration {
	switch {
	case len(leaves) == 0:
		return 0
	case slices.ContainsFunc(leaves, func(l *discovery.Leaf) bool { return !x.bars(l) }):
		return policy.ColdRetryAfter() // the others are excluded because they are cold
	}
	return policy.ExcludedRetryAfter
}

// isCold reports whether a leaf is warming up, or may be without the list saying so yet.
func (e *Engine) isCold(l *discovery.Leaf) bool {
	now := e.cfg.Clock()
	if l.WarmingUp(now) || e.cfg.Tracker.lostWithin(l.RunID(), now, policy.ColdSettleTime) {
		return true
	}
	endedAt, ok := e.evacuations.Load().endedAt[l.Domain]
	return ok && now.Sub(endedAt) < policy.ColdSettleTime
}

// coldSendAvailable reports whether the leaf is warm or this daemon's share of what it bears
// while it is cold allows a send. rate is what it bears, in requests per second from all
// daemons.
func (e *Engine) coldSendAvailable(l *discovery.Leaf, rate float64) bool {
	if !e.isCold(l) {
		return true
	}
	return e.cfg.ColdShare != nil && e.cfg.Tracker.coldSendAvailable(l.RunID(), e.cfg.ColdShare(l, rate))
}

// takeColdSend is like coldSendAvailable, and takes the send from the share.
func (e *Engine) takeColdSend(l *discovery.Leaf, rate float64) bool {
	switch {
	case !e.isCold(l):
		return true
	case e.cfg.ColdShare == nil || e.cfg.HoldsShares != nil && !e.cfg.HoldsShares():
		return false
	}
	taken := e.cfg.Tracker.takeColdSend(l.RunID(), e.cfg.ColdShare(l, rate))
	if taken {
		coldSends.Inc(1)
	}
	return taken
}
