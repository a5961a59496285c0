package admit

import (
	"time"

	"pearmoor/internal/vm"
)

const (
	hintWeight = 0.5             // a reported load adds at most half a service time to the expected wait
	hintLife   = 3 * time.Second // a report of this age or older is ignored
)

// Load is the state of a leaf's gate.
type Load struct {
	Slots    int           // this daemon's share
	InFlight int           // permits granted and not yet released
	Waiting  int           // queued requests
	Service  time.Duration // estimated time that a request holds its slot; 0: not known yet
	Wait     time.Duration // expected wait of a request that arrives now
	Standing time.Duration // how long the queue has not been empty
	Failing  bool          // in backoff after consecutive failures
}

// loadReport is a load that the leaf reported.
type hint struct {
	busy float64 // 0..1
	at   vm.Instant
}

func (g *gate) setHint(inFlight, slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if slots <= 0 {
		g.hint = hint{}
		return
	}
	busy := float64(max(inFlight, 0)) / float64(slots)
	g.hint = hint{busy: min(busy, 1), at: g.set.clock()}
}

// waitPenalty returns what the report adds to the expected wait.
func (h hint) extra(now vm.Instant, service time.Duration) time.Duration {
	age := now.Sub(h.at)
	if h.busy == 0 || age >= hintLife {
		return 0
	}
	fresh := 1 - float64(age)/float64(hintLife)
	return time.Duration(hintWeight * h.busy * fresh * float64(service))
}

func (g *gate) load() Load {
	now := g.set.clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	l := Load{
		Slots:    g.limits.Slots,
		InFlight: len(g.flying),
		Waiting:  g.queue.len(),
		Service:  g.service.mean,
		Failing:  g.health.failing(),
		Standing: g.stood(now),
	}
	if l.Slots > 0 {
		l.Wait = g.wait(now, g.queue.ahead()) + g.hint.extra(now, l.Service)
	}
	return l
}
