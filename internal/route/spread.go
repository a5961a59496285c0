package route

import (
	"math/rand/v2"
	"sync"
)

// weightedPicker distributes requests over services by smooth weighted round robin.
// After any number of requests each service is within one request of its share. A
// random choice deviates more: with two services of equal weight and 300 requests,
// one run in four is off by 5 in 100.
type spread struct {
	mu     sync.Mutex
	parts  []Weighted
	credit []float64
	total  float64
}

func newSpread(parts []Weighted) *spread {
	if len(parts) == 0 {
		return nil
	}
	s := &spread{parts: parts, credit: make([]float64, len(parts))}
	for _, p := range parts {
		s.total += p.Weight
	}
	// Random initial credit: if every daemon started with the service of the highest
	// weight, that service would get too many requests while each daemon has sent
	// only a few.
	for i, p := range parts {
		s.credit[i] = p.Weight * rand.Float64()
	}
	return s
}

func (s *spread) next() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	best := -1
	for i, p := range s.parts {
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
	s.credit[best] -= s.total
	return s.parts[best].Service
}
