package admit

import (
	"context"
	"sync"
	"time"

	"pearmoor/internal/vm"
)

const (
	// stallTickInterval is how often a running process records a tick.
	stallTickInterval = 20 * time.Millisecond
	// minStall is the delay of a tick above which it counts as a stall and not as
	// ordinary scheduling delay.
	minStall = 20 * time.Millisecond
)

// stallTracker measures the time in which the process did not run because it was
// stopped or had no processor. The zero value has recorded no stall.
type stallTracker struct {
	mu       sync.Mutex
	lastTick vm.Instant // time of the last tick; 0: ticks have not started
	total    time.Duration
}

// tick records that the process is running.
func (s *stallTracker) tick(now vm.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total += s.currentStall(now)
	s.lastTick = now
}

// totalAt returns the total length of all stalls up to now, including one that has
// just ended and that no tick has recorded yet.
func (s *stallTracker) totalAt(now vm.Instant) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total + s.currentStall(now)
}

func (s *stallTracker) currentStall(now vm.Instant) time.Duration {
	if overdue := now.Sub(s.lastTick) - stallTickInterval; s.lastTick != 0 && overdue > minStall {
		return overdue
	}
	return 0
}

// WatchStalls records stalls of the process until ctx ends. Stall time is excluded
// from service times and from the time that a queue is non-empty.
func (g *Gates) WatchStalls(ctx context.Context) {
	for vm.Sleep(ctx, stallTickInterval) {
		g.stalls.tick(g.clock())
	}
}
