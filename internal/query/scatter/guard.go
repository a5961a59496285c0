package scatter

import (
	"context"
	"sync"

	"pearmoor/internal/contract"
	"pearmoor/internal/policy"
)

// crashGuard restricts further sends of a job during which leaves have exited, until a leaf
// has answered the job.
type crashGuard struct {
	mu        sync.Mutex
	suspicion policy.Suspicion
	inFlight  int
	changed   chan struct{} // closed at the next change; nil while nobody waits
}

// recordSend counts an attempt as in flight.
func (g *crashGuard) recordSend() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight++
}

// recordResult removes an ended attempt and updates the suspicion with its result.
func (g *crashGuard) recordResult(result *attemptResult) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	switch {
	case result.err == nil:
		g.suspicion.Answered = true
	case result.err.LeafExited():
		g.suspicion.LeafExits++
	case result.err.Verdict == contract.NotRun:
		g.suspicion.RecordNotRun()
	}
	if g.changed != nil {
		close(g.changed)
		g.changed = nil
	}
}

// restricts reports whether sends must be made one at a time.
func (g *crashGuard) restricts() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.suspicion.Guarded()
}

// leafExits returns how many leaves exited during the job.
func (g *crashGuard) leafExits() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.suspicion.LeafExits
}

// waitToSend waits until another send is allowed. It returns false if ctx ends or no further
// send will be allowed.
func (g *crashGuard) waitToSend(ctx context.Context) bool {
	for {
		g.mu.Lock()
		switch {
		case g.suspicion.MaySend(g.inFlight):
			g.suspicion.RecordSend()
			g.mu.Unlock()
			return true
		case g.suspicion.Exhausted(g.inFlight):
			g.mu.Unlock()
			return false
		case g.changed == nil:
			g.changed = make(chan struct{})
		}
		changed := g.changed
		g.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}
