package main

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"pearmoor/platform/standin"
)

const (
	evacuatedDomain = "hall-1"
	// warmUpRate is the number of requests per second that a leaf bears while it is cold.
	warmUpRate = 4.0
	// inForceTime is the time after which an acknowledged evacuation should be in force.
	inForceTime = time.Second
)

// evacuationScript lists the steps of a run in which a failure domain is evacuated. Its leaves
// are cold when the evacuation ends.
var evacuationScript = []step{
	{0.2, "the evacuation of " + evacuatedDomain + " starts", func(ctx context.Context, r *run) error { return r.orderEvacuation(ctx, true) }},
	{0.6, "it ends, the leaves are cold", func(ctx context.Context, r *run) error {
		r.platform.chillLeaves(evacuatedDomain)
		time.Sleep(2 * listLag) // until the list says so
		return r.orderEvacuation(ctx, false)
	}},
}

// evacuationStats counts what reaches the leaves around an evacuation.
type evacuationStats struct {
	mu               sync.Mutex
	ackedAt          time.Time // of the start; zero while the domain is not evacuated
	ack              time.Duration
	lastRequest      time.Duration // after the acknowledgement
	lateRequests     int
	mostColdRequests int
}

// evacuationReport is the part of the report about an evacuation.
type evacuationReport struct {
	AckMS            float64 `json:"acknowledged_ms"`
	LastRequestMS    float64 `json:"last_request_ms"`    // after the acknowledgement
	LateRequests     int     `json:"late_requests"`      // after inForceTime
	MostColdRequests int     `json:"most_cold_requests"` // at one cold leaf in one second
}

// observe counts a request that reaches a leaf.
func (s *evacuationStats) observe(l *leaf, now time.Time) {
	cold := l.countColdSend(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mostColdRequests = max(s.mostColdRequests, cold)
	if l.domain != evacuatedDomain || s.ackedAt.IsZero() {
		return
	}
	s.lastRequest = now.Sub(s.ackedAt)
	if s.lastRequest > inForceTime {
		s.lateRequests++
	}
}

func (s *evacuationStats) report() *evacuationReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &evacuationReport{
		AckMS: float64(s.ack.Microseconds()) / 1000, LastRequestMS: float64(s.lastRequest.Microseconds()) / 1000,
		LateRequests: s.lateRequests, MostColdRequests: s.mostColdRequests,
	}
}

// setAcknowledged records that the start of an evacuation was acknowledged, or that its end is
// ordered.
func (s *evacuationStats) setAcknowledged(evacuate bool, ack time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !evacuate {
		s.ackedAt = time.Time{}
		return
	}
	s.ackedAt, s.ack = time.Now(), ack
}

// chillLeaves makes the leaves of a failure domain cold.
func (p *simulatedPlatform) chillLeaves(domain string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.leaves {
		if l.domain == domain {
			l.chill()
		}
	}
}

// orderEvacuation sends an order to the VMs in turn until one acknowledges it.
func (r *run) orderEvacuation(ctx context.Context, evacuate bool) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if !evacuate {
		r.platform.evacuation.setAcknowledged(false, 0)
	}
	start, last := time.Now(), errors.New("no VM was asked")
	for ctx.Err() == nil {
		for _, v := range r.tier.vms {
			if last = r.tier.postOrder(ctx, v, standin.EvacuationPath(evacuatedDomain, evacuate), ""); last == nil {
				if evacuate {
					r.platform.evacuation.setAcknowledged(true, time.Since(start))
				}
				return nil
			}
		}
	}
	return errors.Wrap(last, "the order is not acknowledged")
}
