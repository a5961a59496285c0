package admit

import (
	"time"

	"pearmoor/internal/vm"
)

const (
	loadReportWeight = 0.5             // a reported load adds at most half a service time to the expected wait
	loadReportTTL    = 3 * time.Second // a report of this age or older is ignored
)

// Load is the state of a leaf's gate.
type Load struct {
	Slots        int           // this daemon's share
	InFlight     int           // permits granted and not yet released
	Waiting      int           // queued requests
	ServiceTime  time.Duration // estimated time that a request holds its slot; 0: not known yet
	ExpectedWait time.Duration // expected wait of a request that arrives now
	NonEmptyFor  time.Duration // how long the queue has not been empty
	Failing      bool          // in backoff after consecutive failures
}

// loadReport is a load that the leaf reported.
type loadReport struct {
	utilization float64 // 0..1
	receivedAt  vm.Instant
}

func (g *gate) setLoadReport(inFlight, slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if slots <= 0 {
		g.loadReport = loadReport{}
		return
	}
	utilization := float64(max(inFlight, 0)) / float64(slots)
	g.loadReport = loadReport{utilization: min(utilization, 1), receivedAt: g.gates.clock()}
}

// waitPenalty returns what the report adds to the expected wait.
func (r loadReport) waitPenalty(now vm.Instant, serviceTime time.Duration) time.Duration {
	age := now.Sub(r.receivedAt)
	if r.utilization == 0 || age >= loadReportTTL {
		return 0
	}
	freshness := 1 - float64(age)/float64(loadReportTTL)
	return time.Duration(loadReportWeight * r.utilization * freshness * float64(serviceTime))
}

func (g *gate) load() Load {
	now := g.gates.clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	l := Load{
		Slots:       g.limits.Slots,
		InFlight:    len(g.inFlight),
		Waiting:     g.queue.len(),
		ServiceTime: g.serviceTime.mean,
		Failing:     g.health.failing(),
		NonEmptyFor: g.nonEmptyFor(now),
	}
	if l.Slots > 0 {
		l.ExpectedWait = g.expectedWait(now, g.queue.ahead()) + g.loadReport.waitPenalty(now, l.ServiceTime)
	}
	return l
}
