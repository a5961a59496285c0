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
	levelLeast = 0.05                   // some queries always get in, so that recovery is seen
	shedWait   = 500 * time.Millisecond // shortest Retry-After of a query that was shed
	waitFree   = 0.1                    // queue wait, as a part of the default deadline, up to which every query is taken
	waitFull   = 0.4                    // the same from which levelLeast is
)

// levelAt returns the share of queries that a home wants to be sent while its
// leaves' queues mean this wait, out of a deadline.
//
// The failure: each of 20 services admits by itself, at twice the load each takes
// a different half of the queries, and nearly every query gets half of its
// services: the targets work all the time and hardly any answer is whole. With one
// decision for the query, before anything is sent, what is admitted is admitted
// everywhere.
//
// The level follows the wait alone. A level that is stepped up and down until the
// wait is right never settles: the queue adds up what the level lets in, and the
// level would add up what the queue is off by.
func levelAt(wait, deadline time.Duration) float64 {
	if deadline <= 0 {
		return 1
	}
	part := float64(wait) / float64(deadline)
	return max(levelLeast, min(1, (waitFull-part)/(waitFull-waitFree)))
}

// queue is what the queues for a service's leaves have come to.
type queue struct {
	waiting  int           // at the leaf with the longest
	service  time.Duration // of the slowest leaf
	slots    int           // of all
	standing time.Duration // of the queue that has not been empty for longest
}

// queueOf returns the queues for leaves. Leaves that fail don't count: a service that is
// down is said to be missing and must not shut out queries for the others.
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

// wait returns the wait that the queues mean for a new request, which waits in all of
// them. Queues that have stood for less than burst don't count: what came at once, as
// after a stall of a daemon, is served within its deadline.
func (q queue) wait(burst time.Duration) time.Duration {
	if q.slots == 0 || q.standing < burst {
		return 0
	}
	return time.Duration(q.waiting) * q.service / time.Duration(q.slots)
}

// admitLevel returns the level of a service that this daemon is home of, and the queue that
// it goes by.
func (e *Engine) admitLevel(eff *settings.Effective) (float64, queue) {
	q := queueOf(e.Gates, eff.Leaves)
	return levelAt(q.wait(eff.DeadlineDefault), eff.DeadlineDefault), q
}

// shed refuses p before anything is sent when a service of its path wants fewer
// queries than it is offered. The decision is a hash of the request, so that it is
// the same whichever of the services is the most loaded one.
func (e *Engine) shed(p *plan, scopes [][]*target) *contract.Error {
	lowest := 1.0
	var most *target // loaded
	var by queue     // that its level went by
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

// logShed tells what the level of a query that was shed went by. It has no more lines than
// there are refusals.
func (e *Engine) logShed(id string, level float64, t *target, q queue) {
	if !isHome(t, e.Self) {
		klog.Infof("query: shed id=%s level=%.2f service=%s reported by its homes", id, level, t.eff.Path)
		return
	}
	klog.Infof("query: shed id=%s level=%.2f service=%s waiting=%d service_time=%v slots=%d standing=%v",
		id, level, t.eff.Path, q.waiting, q.service, q.slots, q.standing)
}

// levelOf returns the level of t: its own here, with the queue that it goes by, else the
// mean of what its homes last said, since the queries are spread over them.
func (e *Engine) levelOf(t *target) (float64, queue) {
	if isHome(t, e.Self) {
		return e.admitLevel(t.eff)
	}
	return e.route(t).meanLevel(t.placed.Homes, e.Clock(), t.eff.DeadlineDefault), queue{}
}

// orderOf draws a number for a request: the same one wherever it is drawn.
func orderOf(id string) uint64 { return xxhash.Sum64String(id) }

// lot maps orderOf to [0, 1). The queues shed the lowest order first, so that is
// mapped to the highest lot, which a falling level excludes first.
func lot(id string) float64 {
	const bits = 53
	return 1 - float64(orderOf(id)>>(64-bits)+1)/(1<<bits)
}

// faded returns a level heard of age ago: the older, the nearer to 1. Within life, a
// default deadline, the queue that it went by is served; a home that is still overloaded
// is heard of again sooner.
func faded(value float64, age, life time.Duration) float64 {
	if value <= 0 || age >= life {
		return 1
	}
	fresh := 1 - float64(max(age, 0))/float64(life)
	return 1 - (1-value)*fresh
}
