package target

import (
	"sync"

	"github.com/rcrowley/go-metrics"
)

var (
	connsOpened = metrics.GetOrRegisterCounter("target.connections.opened", metrics.DefaultRegistry)
	connsFailed = metrics.GetOrRegisterCounter("target.connections.failed", metrics.DefaultRegistry)
	connsBusy   = metrics.GetOrRegisterCounter("target.connections.busy", metrics.DefaultRegistry)
	connsStale  = metrics.GetOrRegisterCounter("target.connections.stale", metrics.DefaultRegistry)
	connsKept   = metrics.GetOrRegisterCounter("target.connections.kept", metrics.DefaultRegistry)
	connsOpen   = metrics.GetOrRegisterGauge("target.connections.open", metrics.DefaultRegistry)
	openCount   struct {
		sync.Mutex
		n int64
	}

	// The connections opened, by the reason why no open one could be used.
	openedFirst = metrics.GetOrRegisterCounter("target.connections.opened.first", metrics.DefaultRegistry)
	openedBusy  = metrics.GetOrRegisterCounter("target.connections.opened.busy", metrics.DefaultRegistry)
	openedAfter = [...]metrics.Counter{
		closedIdle:         metrics.GetOrRegisterCounter("target.connections.opened.expired", metrics.DefaultRegistry),
		closedByLeaf:       metrics.GetOrRegisterCounter("target.connections.opened.stale", metrics.DefaultRegistry),
		closedAfterAbandon: metrics.GetOrRegisterCounter("target.connections.opened.abandoned", metrics.DefaultRegistry),
		closedAfterFailure: metrics.GetOrRegisterCounter("target.connections.opened.failed", metrics.DefaultRegistry),
		closedExhausted:    metrics.GetOrRegisterCounter("target.connections.opened.exhausted", metrics.DefaultRegistry),
		closedForRepeat:    metrics.GetOrRegisterCounter("target.connections.opened.repeat", metrics.DefaultRegistry),
	}
)

// closeCause is why a connection was closed.
type closeCause uint8

const (
	closedSurplus      closeCause = iota // it is above the limit, or the link was closed
	closedIdle                           // it was idle for too long
	closedByLeaf                         // the leaf closed it after a complete exchange
	closedAfterAbandon                   // its exchange was abandoned
	closedAfterFailure                   // its exchange failed
	closedExhausted                      // it has carried maxExchanges requests
	closedForRepeat                      // a request waits that it has carried before
)

// recordClosed records why a connection was closed, for the count of the one that replaces it.
// The caller must hold l.mu.
func (l *Link) recordClosed(cause closeCause) {
	if cause == closedSurplus {
		return
	}
	if n := len(l.closedFor); n > 0 && n >= l.maxConns {
		l.closedFor = l.closedFor[:copy(l.closedFor, l.closedFor[1:])]
	}
	l.closedFor = append(l.closedFor, cause)
}

// countOpened counts a connection that was opened, by the reason why the most recently closed
// one is not available. The caller must hold l.mu.
func (l *Link) countOpened() {
	connsOpened.Inc(1)
	last := len(l.closedFor) - 1
	switch {
	case last >= 0:
		openedAfter[l.closedFor[last]].Inc(1)
		l.closedFor = l.closedFor[:last]
	case l.lastConnected.IsZero():
		openedFirst.Inc(1)
	default:
		openedBusy.Inc(1)
	}
}

// addOpenConns adds d to the number of open connections to all leaves.
func addOpenConns(d int64) {
	openCount.Lock()
	openCount.n += d
	connsOpen.Update(openCount.n)
	openCount.Unlock()
}
