package query

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"pearmoor/internal/admit"
	"pearmoor/internal/contract"
	"pearmoor/internal/settings"
)

const (
	minLevel          = 0.05                   // some queries are always admitted, so that recovery is noticed
	minShedRetryAfter = 500 * time.Millisecond // smallest Retry-After of a query that was shed
	admitAllWait      = 0.1                    // queue wait, as a fraction of the default deadline, up to which all queries are admitted
	minLevelWait      = 0.4                    // queue wait, as a fraction of the default deadline, from which on minLevel applies
)

// levelForWait returns the admission level of a home: the fraction of the offered queries
// that it should be sent when the queues of its leaves cause the given wait and queries have
// the given deadline.
//
// The level is applied once per query, before anything is sent. If each of 20 services
// admitted queries on its own, then at twice the capacity each would take a different half
// of them and nearly every query would be answered by only half of its services: the targets
// would be fully used and hardly any answer complete. With a single decision, a query that is
// admitted is admitted by all services.
//
// The level is a function of the current wait only. A level that is adjusted step by step
// until the wait is right oscillates: the queue integrates the admitted rate, and the level
// would integrate the error of the queue.
func levelForWait(wait, deadline time.Duration) float64 {
	if deadline <= 0 {
		return 1
	}
	fraction := float64(wait) / float64(deadline)
	return max(minLevel, min(1, (minLevelWait-fraction)/(minLevelWait-admitAllWait)))
}

// queueLoad summarizes the queues for the leaves of a service.
type queueLoad struct {
	maxWaiting     int           // requests queued for the leaf with the longest queue
	maxServiceTime time.Duration // service time of the slowest leaf
	totalSlots     int           // sum over all leaves
	longestBacklog time.Duration // longest time for which a queue has not been empty
}

// queueLoadOf returns the load of the queues for leaves. Failing leaves are not counted: the
// shards of a service that is down are reported as missing, and its queues must not cause
// queries for other services to be shed.
func queueLoadOf(gates *admit.Gates, leaves []settings.Leaf) (q queueLoad) {
	for _, leaf := range leaves {
		load := gates.Load(leaf.Addr)
		if load.Failing || load.Slots == 0 {
			continue
		}
		q.maxWaiting = max(q.maxWaiting, load.Waiting)
		q.maxServiceTime = max(q.maxServiceTime, load.ServiceTime)
		q.totalSlots += load.Slots
		q.longestBacklog = max(q.longestBacklog, load.NonEmptyFor)
	}
	return q
}

// expectedWait returns how long a new request is expected to wait in the queues. It returns 0
// while no queue has been non-empty for minBacklog: requests that arrived in a burst, as
// after a stall of a daemon, are served within their deadline.
func (q queueLoad) expectedWait(minBacklog time.Duration) time.Duration {
	if q.totalSlots == 0 || q.longestBacklog < minBacklog {
		return 0
	}
	return time.Duration(q.maxWaiting) * q.maxServiceTime / time.Duration(q.totalSlots)
}

// ownLevel returns the admission level of a service that this daemon is a home of, and the
// queue load that it was computed from.
func (e *Engine) ownLevel(eff *settings.Effective) (float64, queueLoad) {
	q := queueLoadOf(e.Gates, eff.Leaves)
	return levelForWait(q.expectedWait(eff.DeadlineDefault), eff.DeadlineDefault), q
}

// shed refuses p, before anything is sent, when the lowest admission level of its services
// excludes it. The decision depends on a hash of the request ID, so that it is the same
// whichever of the services is the most loaded.
func (e *Engine) shed(p *plan, scopes [][]*placedGroup) *contract.Error {
	lowestLevel := 1.0
	var lowestGroup *placedGroup // group with the lowest level
	var lowestQueue queueLoad    // queue load behind the lowest level
	for _, groups := range scopes {
		for _, g := range groups {
			if level, q := e.levelFor(g); level < lowestLevel {
				lowestLevel, lowestGroup, lowestQueue = level, g, q
			}
		}
	}
	if lowestLevel >= 1 || shedThreshold(p.id) < lowestLevel {
		return nil
	}
	meters.shed.Inc(1)
	e.logShed(p.id, lowestLevel, lowestGroup, lowestQueue)
	retryAfter := minShedRetryAfter + time.Duration((1-lowestLevel)*rand.Float64()*float64(minShedRetryAfter))
	return &contract.Error{Verdict: contract.NotRun, Reason: contract.ReasonOverload, RetryAfter: retryAfter.Milliseconds(),
		Cause: errors.Newf("the targets take %.0f%% of the queries offered", 100*lowestLevel)}
}

// logShed logs the queue load behind the admission level that a query was shed for, one line
// per refused query.
func (e *Engine) logShed(id string, level float64, g *placedGroup, q queueLoad) {
	if !isHome(g, e.Self) {
		klog.Infof("query: shed id=%s level=%.2f service=%s reported by its homes", id, level, g.eff.Path)
		return
	}
	klog.Infof("query: shed id=%s level=%.2f service=%s waiting=%d service_time=%v slots=%d standing=%v",
		id, level, g.eff.Path, q.maxWaiting, q.maxServiceTime, q.totalSlots, q.longestBacklog)
}

// levelFor returns the admission level of a leaf group. If this daemon is a home of it, that
// is its own level, with the queue load behind it; else it is the mean of the levels that the
// homes last reported, since queries are spread over all homes.
func (e *Engine) levelFor(g *placedGroup) (float64, queueLoad) {
	if isHome(g, e.Self) {
		return e.ownLevel(g.eff)
	}
	return e.routeFor(g).meanLevel(g.placement.Homes, e.Clock(), g.eff.DeadlineDefault), queueLoad{}
}

// requestOrder returns a pseudo-random number for a request that is the same on every daemon.
func requestOrder(id string) uint64 { return xxhash.Sum64String(id) }

// shedThreshold returns the admission level, in [0, 1), at or below which the request is shed.
// It decreases with requestOrder: the queues of the leaves drop the lowest order first, so
// the lowest order has the highest threshold and is shed first when the level falls.
func shedThreshold(id string) float64 {
	const bits = 53
	return 1 - float64(requestOrder(id)>>(64-bits)+1)/(1<<bits)
}

// decayedLevel returns a level that was reported age ago, moved towards 1 in proportion to its
// age. It is 1 after lifetime, a default deadline: by then the queue that it was computed
// from has been served, and a home that is still overloaded has reported again.
func decayedLevel(level float64, age, lifetime time.Duration) float64 {
	if level <= 0 || age >= lifetime {
		return 1
	}
	weight := 1 - float64(max(age, 0))/float64(lifetime)
	return 1 - (1-level)*weight
}
