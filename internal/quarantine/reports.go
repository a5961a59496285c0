package quarantine

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"

	"pearmoor/internal/vm"
)

const (
	// maxQueuedReports bounds the reports that wait for the leader.
	maxQueuedReports = 256
	// reportRetryInterval is the pause between two deliveries to the leader, and reportTTL
	// is how long delivery of a report is attempted.
	reportRetryInterval = 200 * time.Millisecond
	reportTTL           = time.Minute
	// settlePeriod is how long a daemon uses its own observation after the leader has
	// accepted its report. The resulting cases arrive within this time.
	settlePeriod = 5 * time.Second
)

var reportsLost = metrics.GetOrRegisterCounter("quarantine.reports.lost", metrics.DefaultRegistry)

type queuedReport struct {
	*Report
	queuedAt vm.Instant
}

// Report records the outcome of an attempt and queues it for the leader.
func (g *Registry) Report(r *Report) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, f := range r.Fingerprints {
		g.refresh(f).cleared = r.Answered
	}
	if len(g.queue) >= maxQueuedReports {
		reportsLost.Inc(1)
		klog.Errorf("quarantine: report of request=%s leaf_ends=%d is lost, %d wait for the leader", r.Fingerprints[Exact], r.LeafExits, len(g.queue))
		return
	}
	g.queue = append(g.queue, queuedReport{r, g.clock()})
	select {
	case g.queueSignal <- struct{}{}:
	default:
	}
}

// Run delivers queued reports to the leader until ctx ends.
func (g *Registry) Run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-g.queueSignal:
		case <-ctx.Done():
			return
		}
		for g.deliver(ctx) {
			if !vm.Sleep(ctx, reportRetryInterval) {
				return
			}
		}
	}
}

// deliver sends the queued reports and reports whether another delivery is needed.
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
		r.Age += now.Sub(w.queuedAt)
		reports = append(reports, &r)
	}
	err := g.leader.Report(ctx, reports)
	g.mu.Lock()
	defer g.mu.Unlock()
	if err == nil {
		for _, w := range waiting {
			for _, f := range w.Fingerprints {
				if s := g.observations[f]; s != nil {
					s.expires = g.clock().Add(settlePeriod)
				}
			}
		}
		return len(g.queue) > 0
	}
	kept := waiting[:0]
	for _, w := range waiting {
		if now.Sub(w.queuedAt) < reportTTL {
			kept = append(kept, w)
			continue
		}
		reportsLost.Inc(1)
		klog.Errorf("quarantine: report of request=%s leaf_ends=%d is lost: %v", w.Fingerprints[Exact], w.LeafExits, err)
	}
	g.queue = append(kept, g.queue...)
	return len(g.queue) > 0
}
