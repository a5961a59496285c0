package standin

import (
	"net/http"
	"slices"
	"time"

	"pearmoor/internal/contract"
)

func (l *Leaf) serveStatus(w http.ResponseWriter, r *http.Request) {
	b := l.Behavior()
	if b.StatusHang {
		<-r.Context().Done()
		return
	}
	writeJSON(w, l.status(b))
}

// status returns the status that the leaf reports. Depending on b, it may be outdated or
// state a wrong load.
func (l *Leaf) status(b Behavior) contract.LeafStatus {
	inFlight := l.slots.inFlight()
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.reportedAt) < time.Duration(b.ReportLag) {
		return l.report
	}
	l.reportedAt = time.Now()
	l.report = contract.LeafStatus{
		Name:     l.name,
		State:    l.state(b),
		InFlight: inFlight,
		Slots:    b.Slots,
		Indexes:  slices.Clone(l.indexes),
	}
	if b.ReportInFlight != nil {
		l.report.InFlight = *b.ReportInFlight
	}
	return l.report
}

func (l *Leaf) state(b Behavior) contract.LeafState {
	switch {
	case b.Draining:
		return contract.LeafDraining
	case time.Since(l.started) < time.Duration(b.ColdStart):
		return contract.LeafStarting
	default:
		return contract.LeafServing
	}
}

// LeafStats are the counters of a leaf since its start.
type LeafStats struct {
	Name               string   `json:"name"`
	Services           []string `json:"services"`
	Addr               string   `json:"addr"`
	Slots              int      `json:"slots"`
	Connections        int      `json:"connections"` // maximum number of open connections
	InFlight           int      `json:"in_flight"`
	PeakInFlight       int      `json:"most_in_flight"`   // peak of running plus queued requests
	WindowInFlight     int      `json:"window_in_flight"` // peak since the window was last read
	Open               int      `json:"open"`
	PeakOpen           int      `json:"most_open"`
	Opened             uint64   `json:"opened"`
	ConnectionsRefused uint64   `json:"connections_refused"`
	Replies            uint64   `json:"replies"`
	Refused            uint64   `json:"refused"`       // because of RefuseShare
	QueueRefused       uint64   `json:"queue_refused"` // because the queue was full
	NotHeld            uint64   `json:"not_held"`
	Expired            uint64   `json:"expired"`        // not run: refused by a full queue, or no slot before the deadline
	Cancelled          uint64   `json:"cancelled"`      // started, then cancelled by the caller or the deadline
	WhileDraining      uint64   `json:"while_draining"` // arrivals while the leaf was draining
	LastArrivalMS      int64    `json:"last_arrival_unix_ms"`
}

// Stats returns the counters. If takeWindow is set, it also starts a new window.
func (l *Leaf) Stats(takeWindow bool) LeafStats {
	b := l.Behavior()
	st := LeafStats{
		Name:          l.name,
		Services:      l.services(),
		Addr:          l.Addr(),
		Slots:         b.Slots,
		Connections:   b.Connections,
		Replies:       l.counts.replies.Load(),
		Refused:       l.counts.refused.Load(),
		NotHeld:       l.counts.notHeld.Load(),
		Expired:       l.counts.expired.Load(),
		Cancelled:     l.counts.cancelled.Load(),
		WhileDraining: l.counts.whileDraining.Load(),
		LastArrivalMS: l.counts.lastArrival.Load() / int64(time.Millisecond),
	}
	l.slots.mu.Lock()
	st.InFlight = l.slots.running + l.slots.waiting.Len()
	st.PeakInFlight = l.slots.peak
	st.WindowInFlight = l.slots.windowPeak
	st.QueueRefused = l.slots.refusals
	l.slots.mu.Unlock()
	if takeWindow {
		st.WindowInFlight = l.slots.takeWindowPeak()
	}
	l.conns.mu.Lock()
	st.Open, st.PeakOpen = l.conns.open, l.conns.peak
	st.Opened, st.ConnectionsRefused = l.conns.opened, l.conns.refused
	l.conns.mu.Unlock()
	return st
}

// ResetPeaks sets the peaks to the requests in flight and the connections open now.
func (l *Leaf) ResetPeaks() {
	l.slots.mu.Lock()
	l.slots.peak = l.slots.running + l.slots.waiting.Len()
	l.slots.windowPeak = l.slots.peak
	l.slots.mu.Unlock()
	l.conns.mu.Lock()
	l.conns.peak = l.conns.open
	l.conns.mu.Unlock()
}

func (l *Leaf) services() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var paths []string
	for _, x := range l.indexes {
		if !slices.Contains(paths, x.Service) {
			paths = append(paths, x.Service)
		}
	}
	return paths
}
