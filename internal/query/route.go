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
	hintLife      = time.Second           // older load hints are ignored
	versionsLife  = 5 * time.Second       // older versions are fetched again
	versionsFresh = 50 * time.Millisecond // the same after a pinned version could not be served
	homeFloor     = 20 * time.Millisecond
	homePatience  = 3   // multiple of the learned latency threshold after which a second home is asked
	homeShare     = 0.5 // fraction of the hedge and retry budgets; one extra sub-query repeats many attempts
)

// groupRoute is what an entry has learned about a leaf group and its homes.
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

// reportedVersions lists the index versions that a home last reported for a leaf group.
type seenVersions struct {
	states []versionState
	at     vm.Instant
}

// loadHint is the load that a home last reported.
type hint struct {
	waiting int
	level   float64
	at      vm.Instant
}

// routeFor returns the groupRoute of a leaf group, and updates its hedge and retry shares from
// the settings.
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

// recordReply records the index versions and the load that a home reported in its answer.
func (r *route) learn(home string, p *part, now vm.Instant) {
	if len(p.versions) > 0 {
		r.versions.Store(&seenVersions{p.versions, now})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hints[home] = hint{p.waiting, p.level, now}
}

// reportedLoad returns the number of shards in flight that a home last reported, or 0 if that
// is older than hintMaxAge.
func (r *route) waiting(home string, now vm.Instant) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.hints[home]
	if now.Sub(h.at) > hintLife {
		return 0
	}
	return h.waiting
}

// meanLevel returns the mean of the admission levels that homes last reported, each decayed
// over lifetime.
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

// hedgeDelay returns how long to wait for a home before a second one is asked as well.
func (r *route) patience(left time.Duration) time.Duration {
	if d, ok := r.latency.Threshold(0); ok {
		return min(max(homePatience*d, homeFloor), max(left/2, homeFloor))
	}
	return max(left/2, homeFloor)
}

// orderHomes returns the homes of a leaf group in the order in which to ask them. The first is
// this daemon if it is one of them, else the less loaded of two homes chosen at random, or
// the nearer of the two on a tie.
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

// lessLoaded reports whether home a is to be asked before home b.
func (e *Engine) better(r *route, a, b vm.Member, now vm.Instant) bool {
	loadA, loadB := r.waiting(a.Name, now), r.waiting(b.Name, now)
	if loadA != loadB {
		return loadA < loadB
	}
	return e.distance(a) < e.distance(b)
}

// distance returns 0 for a daemon in the same failure domain, 1 for one in the same region,
// else 2.
func (e *Engine) distance(m vm.Member) int {
	switch {
	case m.Domain == e.Self.Domain:
		return 0
	case m.Region == e.Self.Region:
		return 1
	}
	return 2
}
