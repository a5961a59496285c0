package admit

import (
	"context"
	"sync"
	"time"

	"pearmoor/internal/vm"
)

const (
	// stallTickInterval is how often a running process records a tick.
	stallTick = 20 * time.Millisecond
	// minStall is the delay of a tick above which it counts as a stall and not as
	// ordinary scheduling delay.
	stallLeast = 20 * time.Millisecond
)

// stallTracker measures the time in which the process did not run because it was
// stopped or had no processor. The zero value has recorded no stall.
type stalls struct {
	mu    sync.Mutex
	last  vm.Instant // time of the last tick; 0: ticks have not started
	total time.Duration
}

// tick records that the process is running.
func (s *stalls) tick(now vm.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total += s.sinceTick(now)
	s.last = now
}

// totalAt returns the total length of all stalls up to now, including one that has
// just ended and that no tick has recorded yet.
func (s *stalls) until(now vm.Instant) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total + s.sinceTick(now)
}

func (s *stalls) sinceTick(now vm.Instant) time.Duration {
	if late := now.Sub(s.last) - stallTick; s.last != 0 && late > stallLeast {
		return late
	}
	return 0
}

// WatchStalls records stalls of the process until ctx ends. Stall time is excluded
// from service times and from the time that a queue is non-empty.
func (g *Gates) WatchStalls(ctx context.Context) {
	for vm.Sleep(ctx, stallTick) {
		g.stalls.tick(g.clock())
	}
}
