package quarantine

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"

	"pearmoor/internal/vm"
)

const (
	// mostReports bounds the reports that wait for the leader.
	mostReports = 256
	// reportPause is between two tries to reach the leader, and reportFor how long a report
	// is tried.
	reportPause = 200 * time.Millisecond
	reportFor   = time.Minute
	// settleTime is how long a daemon goes by its own observation after the leader has taken
	// its report: what was agreed on arrives within it.
	settleTime = 5 * time.Second
)

var reportsLost = metrics.GetOrRegisterCounter("quarantine.reports.lost", metrics.DefaultRegistry)

type queuedReport struct {
	*Report
	at vm.Instant
}

// Report takes in what became of an attempt, and hands it to the leader.
func (g *Registry) Report(r *Report) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, f := range r.Request {
		g.seen(f).cleared = r.Survived
	}
	if len(g.queue) >= mostReports {
		reportsLost.Inc(1)
		klog.Errorf("quarantine: report of request=%s leaf_ends=%d is lost, %d wait for the leader", r.Request[Exact], r.Ends, len(g.queue))
		return
	}
	g.queue = append(g.queue, queuedReport{r, g.clock()})
	select {
	case g.queued <- struct{}{}:
	default:
	}
}

// Run hands reports to the leader until ctx ends.
func (g *Registry) Run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-g.queued:
		case <-ctx.Done():
			return
		}
		for g.deliver(ctx) {
			if !vm.Sleep(ctx, reportPause) {
				return
			}
		}
	}
}

// deliver hands over what waits, and reports whether it has to be tried again.
func (g *Registry) deliver(ctx context.Context) (again bool) {
	g.mu.Lock()
	waiting := g.queue
	g.queue = nil
	g.mu.Unlock()
	if len(waiting) == 0 {
		return false
	}
	now := g.clock()
	reports := make([]*Report, 0, len(waiting))
	for _, w := range waiting {
		r := *w.Report
		r.Began += now.Sub(w.at)
		reports = append(reports, &r)
	}
	err := g.leader.Report(ctx, reports)
	g.mu.Lock()
	defer g.mu.Unlock()
	if err == nil {
		for _, w := range waiting {
			for _, f := range w.Request {
				if s := g.local[f]; s != nil {
					s.until = g.clock().Add(settleTime)
				}
			}
		}
		return len(g.queue) > 0
	}
	kept := waiting[:0]
	for _, w := range waiting {
		if now.Sub(w.at) < reportFor {
			kept = append(kept, w)
			continue
		}
		reportsLost.Inc(1)
		klog.Errorf("quarantine: report of request=%s leaf_ends=%d is lost: %v", w.Request[Exact], w.Ends, err)
	}
	g.queue = append(kept, g.queue...)
	return len(g.queue) > 0
}
