package query

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"pearmoor/internal/admit"
	"pearmoor/internal/query/scatter"
	"pearmoor/internal/vm"
)

const (
	hintLife      = time.Second           // a load hint older than this has no weight
	versionsLife  = 5 * time.Second       // versions older than this are asked for anew
	versionsFresh = 50 * time.Millisecond // the same when a pin has failed
	homeFloor     = 20 * time.Millisecond
	homePatience  = 3   // times the learned threshold until a home counts as silent
	homeShare     = 0.5 // of the hedge and retry budgets; one extra sub-query repeats many attempts
)

// route is what an entry has learned of a unit and its homes.
type route struct {
	latency  *scatter.Latency
	hedges   *admit.Budget
	retries  *admit.Budget
	hedge    share
	retry    share
	versions atomic.Pointer[seenVersions]

	mu    sync.Mutex
	hints map[string]hint // by VM name
}

type seenVersions struct {
	states []versionState
	at     vm.Instant
}

type hint struct {
	waiting int
	level   float64
	at      vm.Instant
}

func (e *Engine) route(t *target) *route {
	v, ok := e.routes.Load(t.unit)
	if !ok {
		v, _ = e.routes.LoadOrStore(t.unit, e.newRoute())
	}
	r := v.(*route)
	r.hedge.set(t.eff.HedgeBudget * homeShare)
	r.retry.set(t.eff.RetryBudget * homeShare)
	return r
}

func (e *Engine) newRoute() *route {
	r := &route{latency: scatter.NewLatency(0.02), hints: make(map[string]hint)}
	r.hedges = admit.NewBudget(r.hedge.get, extraFloor, e.Clock)
	r.retries = admit.NewBudget(r.retry.get, extraFloor, e.Clock)
	return r
}

// learn keeps what a home's reply said of it.
func (r *route) learn(home string, p *part, now vm.Instant) {
	if len(p.versions) > 0 {
		r.versions.Store(&seenVersions{p.versions, now})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hints[home] = hint{p.waiting, p.level, now}
}

// waiting returns the load a home last reported, 0 when that is too old.
func (r *route) waiting(home string, now vm.Instant) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.hints[home]
	if now.Sub(h.at) > hintLife {
		return 0
	}
	return h.waiting
}

// meanLevel returns the mean of the levels that homes last told, each of which holds for
// life at most.
func (r *route) meanLevel(homes []vm.Member, now vm.Instant, life time.Duration) float64 {
	if len(homes) == 0 {
		return 1
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	sum := 0.0
	for i := range homes {
		h := r.hints[homes[i].Name]
		sum += faded(h.level, now.Sub(h.at), life)
	}
	return sum / float64(len(homes))
}

// patience returns how long a home may stay silent before another is asked too.
func (r *route) patience(left time.Duration) time.Duration {
	if d, ok := r.latency.Threshold(0); ok {
		return min(max(homePatience*d, homeFloor), max(left/2, homeFloor))
	}
	return max(left/2, homeFloor)
}

// order returns the homes of t, best first: this daemon itself, then the less
// loaded of two drawn at random, the nearer one on a tie.
func (e *Engine) order(t *target, r *route) []vm.Member {
	now := e.Clock()
	homes := slices.Clone(t.placed.Homes)
	rand.Shuffle(len(homes), func(i, j int) { homes[i], homes[j] = homes[j], homes[i] })
	at := slices.IndexFunc(homes, func(m vm.Member) bool { return m.Same(e.Self) })
	if at >= 0 {
		homes[0], homes[at] = homes[at], homes[0]
		return homes
	}
	if len(homes) >= 2 && e.better(r, homes[1], homes[0], now) {
		homes[0], homes[1] = homes[1], homes[0]
	}
	return homes
}

func (e *Engine) better(r *route, a, b vm.Member, now vm.Instant) bool {
	loadA, loadB := r.waiting(a.Name, now), r.waiting(b.Name, now)
	if loadA != loadB {
		return loadA < loadB
	}
	return e.distance(a) < e.distance(b)
}

// distance is 0 within the failure domain, 1 within the region, else 2.
func (e *Engine) distance(m vm.Member) int {
	switch {
	case m.Domain == e.Self.Domain:
		return 0
	case m.Region == e.Self.Region:
		return 1
	}
	return 2
}
