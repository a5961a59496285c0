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

// status is the leaf's own report, as old or wrong as the behavior makes it.
func (l *Leaf) status(b Behavior) contract.LeafStatus {
	inFlight := l.slots.inFlight()
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.read) < time.Duration(b.ReportLag) {
		return l.report
	}
	l.read = time.Now()
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

// LeafStats is what a leaf has counted since its start.
type LeafStats struct {
	Name               string   `json:"name"`
	Services           []string `json:"services"`
	Addr               string   `json:"addr"`
	Slots              int      `json:"slots"`
	Connections        int      `json:"connections"` // the cap
	InFlight           int      `json:"in_flight"`
	MostInFlight       int      `json:"most_in_flight"`   // running plus queued
	WindowInFlight     int      `json:"window_in_flight"` // most since the window was last read
	Open               int      `json:"open"`
	MostOpen           int      `json:"most_open"`
	Opened             uint64   `json:"opened"`
	ConnectionsRefused uint64   `json:"connections_refused"`
	Replies            uint64   `json:"replies"`
	Refused            uint64   `json:"refused"`       // by RefuseShare
	QueueRefused       uint64   `json:"queue_refused"` // for a full queue
	NotHeld            uint64   `json:"not_held"`
	Expired            uint64   `json:"expired"`        // not run: no slot before the deadline
	Cancelled          uint64   `json:"cancelled"`      // run, then stopped
	WhileDraining      uint64   `json:"while_draining"` // arrivals that met a draining leaf
	LastArrivalMS      int64    `json:"last_arrival_unix_ms"`
}

// Stats returns the counters; takeWindow also starts a new window.
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
		WhileDraining: l.counts.drained.Load(),
		LastArrivalMS: l.counts.lastNew.Load() / int64(time.Millisecond),
	}
	l.slots.mu.Lock()
	st.InFlight = l.slots.running + l.slots.waiting.Len()
	st.MostInFlight = l.slots.peak
	st.WindowInFlight = l.slots.window
	st.QueueRefused = l.slots.refusals
	l.slots.mu.Unlock()
	if takeWindow {
		st.WindowInFlight = l.slots.takeWindow()
	}
	l.conns.mu.Lock()
	st.Open, st.MostOpen = l.conns.open, l.conns.peak
	st.Opened, st.ConnectionsRefused = l.conns.opened, l.conns.refused
	l.conns.mu.Unlock()
	return st
}

// ResetPeaks starts the peaks anew from what is in flight and open now.
func (l *Leaf) ResetPeaks() {
	l.slots.mu.Lock()
	l.slots.peak = l.slots.running + l.slots.waiting.Len()
	l.slots.window = l.slots.peak
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
