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
	levelLeast = 0.05                   // some queries are always admitted, so that recovery is noticed
	shedWait   = 500 * time.Millisecond // smallest Retry-After of a query that was shed
	waitFree   = 0.1                    // queue wait, as a fraction of the default deadline, up to which all queries are admitted
	waitFull   = 0.4                    // queue wait, as a fraction of the default deadline, from which on minLevel applies
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
func levelAt(wait, deadline time.Duration) float64 {
	if deadline <= 0 {
		return 1
	}
	part := float64(wait) / float64(deadline)
	return max(levelLeast, min(1, (waitFull-part)/(waitFull-waitFree)))
}

// queueLoad summarizes the queues for the leaves of a service.
type queue struct {
	waiting  int           // requests queued for the leaf with the longest queue
	service  time.Duration // service time of the slowest leaf
	slots    int           // sum over all leaves
	standing time.Duration // longest time for which a queue has not been empty
}

// queueLoadOf returns the load of the queues for leaves. Failing leaves are not counted: the
// shards of a service that is down are reported as missing, and its queues must not cause
// queries for other services to be shed.
func queueOf(gates *admit.Gates, leaves []settings.Leaf) (q queue) {
	for _, leaf := range leaves {
		load := gates.Load(leaf.Addr)
		if load.Failing || load.Slots == 0 {
			continue
		}
		q.waiting = max(q.waiting, load.Waiting)
		q.service = max(q.service, load.Service)
		q.slots += load.Slots
		q.standing = max(q.standing, load.Standing)
	}
	return q
}

// expectedWait returns how long a new request is expected to wait in the queues. It returns 0
// while no queue has been non-empty for minBacklog: requests that arrived in a burst, as
// after a stall of a daemon, are served within their deadline.
func (q queue) wait(burst time.Duration) time.Duration {
	if q.slots == 0 || q.standing < burst {
		return 0
	}
	return time.Duration(q.waiting) * q.service / time.Duration(q.slots)
}

// ownLevel returns the admission level of a service that this daemon is a home of, and the
// queue load that it was computed from.
func (e *Engine) admitLevel(eff *settings.Effective) (float64, queue) {
	q := queueOf(e.Gates, eff.Leaves)
	return levelAt(q.wait(eff.DeadlineDefault), eff.DeadlineDefault), q
}

// shed refuses p, before anything is sent, when the lowest admission level of its services
// excludes it. The decision depends on a hash of the request ID, so that it is the same
// whichever of the services is the most loaded.
func (e *Engine) shed(p *plan, scopes [][]*target) *contract.Error {
	lowest := 1.0
	var most *target // group with the lowest level
	var by queue     // queue load behind the lowest level
	for _, targets := range scopes {
		for _, t := range targets {
			if level, q := e.levelOf(t); level < lowest {
				lowest, most, by = level, t, q
			}
		}
	}
	if lowest >= 1 || lot(p.id) < lowest {
		return nil
	}
	meter.shed.Inc(1)
	e.logShed(p.id, lowest, most, by)
	wait := shedWait + time.Duration((1-lowest)*rand.Float64()*float64(shedWait))
	return &contract.Error{Verdict: contract.NotRun, Reason: contract.ReasonOverload, RetryAfter: wait.Milliseconds(),
		Cause: errors.Newf("the targets take %.0f%% of the queries offered", 100*lowest)}
}

// logShed logs the queue load behind the admission level that a query was shed for, one line
// per refused query.
func (e *Engine) logShed(id string, level float64, t *target, q queue) {
	if !isHome(t, e.Self) {
		klog.Infof("query: shed id=%s level=%.2f service=%s reported by its homes", id, level, t.eff.Path)
		return
	}
	klog.Infof("query: shed id=%s level=%.2f service=%s waiting=%d service_time=%v slots=%d standing=%v",
		id, level, t.eff.Path, q.waiting, q.service, q.slots, q.standing)
}

// levelFor returns the admission level of a leaf group. If this daemon is a home of it, that
// is its own level, with the queue load behind it; else it is the mean of the levels that the
// homes last reported, since queries are spread over all homes.
func (e *Engine) levelOf(t *target) (float64, queue) {
	if isHome(t, e.Self) {
		return e.admitLevel(t.eff)
	}
	return e.route(t).meanLevel(t.placed.Homes, e.Clock(), t.eff.DeadlineDefault), queue{}
}

// requestOrder returns a pseudo-random number for a request that is the same on every daemon.
func orderOf(id string) uint64 { return xxhash.Sum64String(id) }

// shedThreshold returns the admission level, in [0, 1), at or below which the request is shed.
// It decreases with requestOrder: the queues of the leaves drop the lowest order first, so
// the lowest order has the highest threshold and is shed first when the level falls.
func lot(id string) float64 {
	const bits = 53
	return 1 - float64(orderOf(id)>>(64-bits)+1)/(1<<bits)
}

// decayedLevel returns a level that was reported age ago, moved towards 1 in proportion to its
// age. It is 1 after lifetime, a default deadline: by then the queue that it was computed
// from has been served, and a home that is still overloaded has reported again.
func faded(value float64, age, life time.Duration) float64 {
	if value <= 0 || age >= life {
		return 1
	}
	fresh := 1 - float64(max(age, 0))/float64(life)
	return 1 - (1-value)*fresh
}
