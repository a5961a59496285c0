package scatter

import (
	"context"
	"sync"

	"pearmoor/internal/contract"
	"pearmoor/internal/policy"
)

// crashGuard restricts further sends of a job during which leaves have exited, until a leaf
// has answered the job.
type guard struct {
	mu        sync.Mutex
	suspicion policy.Suspicion
	inFlight  int
	changed   chan struct{} // closed at the next change; nil while nobody waits
}

// recordSend counts an attempt as in flight.
func (g *guard) sent() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight++
}

// recordResult removes an ended attempt and updates the suspicion with its result.
func (g *guard) landed(d *attemptDone) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	switch {
	case d.err == nil:
		g.suspicion.Survived = true
	case d.err.LeafEnded():
		g.suspicion.Ends++
	case d.err.Verdict == contract.NotRun:
		g.suspicion.Unsent()
	}
	if g.changed != nil {
		close(g.changed)
		g.changed = nil
	}
}

// restricts reports whether sends must be made one at a time.
func (g *guard) holds() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.suspicion.Guarded()
}

// leafExits returns how many leaves exited during the job.
func (g *guard) ends() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.suspicion.Ends
}

// waitToSend waits until another send is allowed. It returns false if ctx ends or no further
// send will be allowed.
func (g *guard) enter(ctx context.Context) bool {
	for {
		g.mu.Lock()
		switch {
		case g.suspicion.MaySend(g.inFlight):
			g.suspicion.Sent()
			g.mu.Unlock()
			return true
		case g.suspicion.Spent(g.inFlight):
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
