package route

import (
	"math/rand/v2"
	"sync"
)

// weightedPicker distributes requests over services by smooth weighted round robin.
// After any number of requests each service is within one request of its share. A
// random choice deviates more: with two services of equal weight and 300 requests,
// one run in four is off by 5 in 100.
type weightedPicker struct {
	mu          sync.Mutex
	services    []WeightedService
	credit      []float64
	totalWeight float64
}

func newWeightedPicker(services []WeightedService) *weightedPicker {
	if len(services) == 0 {
		return nil
	}
	s := &weightedPicker{services: services, credit: make([]float64, len(services))}
	for _, p := range services {
		s.totalWeight += p.Weight
	}
	// Random initial credit: if every daemon started with the service of the highest
	// weight, that service would get too many requests while each daemon has sent
	// only a few.
	for i, p := range services {
		s.credit[i] = p.Weight * rand.Float64()
	}
	return s
}

func (s *weightedPicker) next() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	best := -1
	for i, p := range s.services {
		if p.Weight <= 0 {
			continue
		}
		s.credit[i] += p.Weight
		if best < 0 || s.credit[i] > s.credit[best] {
			best = i
		}
	}
	if best < 0 {
		return ""
	}
	s.credit[best] -= s.totalWeight
	return s.services[best].Service
}
