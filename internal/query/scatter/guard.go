package scatter

import (
	"context"
	"sync"

	"pearmoor/internal/contract"
	"pearmoor/internal/policy"
)

// guard holds back further sends of a job under which leaves end, until a leaf has
// answered it.
type guard struct {
	mu        sync.Mutex
	suspicion policy.Suspicion
	inFlight  int
	changed   chan struct{} // closed at each change while somebody waits
}

// sent counts an attempt as under way.
func (g *guard) sent() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight++
}

// landed counts an attempt out.
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

// holds reports whether further sends wait.
func (g *guard) holds() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.suspicion.Guarded()
}

// ends returns how many leaves ended under the job.
func (g *guard) ends() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.suspicion.Ends
}

// enter waits until one more send may be made; it is false when none may be any more.
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
