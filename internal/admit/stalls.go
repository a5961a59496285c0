package admit

import (
	"context"
	"sync"
	"time"

	"pearmoor/internal/vm"
)

const (
	// stallTick is how often a running process notes that it runs.
	stallTick = 20 * time.Millisecond
	// stallLeast is how late a note counts as a stall, and not as a busy moment.
	stallLeast = 20 * time.Millisecond
)

// stalls measures the time in which the process did not run: it was stopped, or had no
// processor. The zero value has seen no stall.
type stalls struct {
	mu    sync.Mutex
	last  vm.Instant // when it was last seen to run; 0: not watched
	total time.Duration
}

// tick notes that the process runs.
func (s *stalls) tick(now vm.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total += s.sinceTick(now)
	s.last = now
}

// until returns the length of all stalls up to now, one included that has just ended.
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

// WatchStalls notes stalls of the process until ctx ends. The time of a stall counts
// neither as a leaf's service time nor as a standing queue.
func (g *Gates) WatchStalls(ctx context.Context) {
	for vm.Sleep(ctx, stallTick) {
		g.stalls.tick(g.clock())
	}
}
