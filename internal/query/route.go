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
	hintMaxAge            = time.Second           // older load hints are ignored
	versionsMaxAge        = 5 * time.Second       // older versions are fetched again
	versionsMaxAgeOnRepin = 50 * time.Millisecond // the same after a pinned version could not be served
	minHomeHedgeDelay     = 20 * time.Millisecond
	homeHedgeFactor       = 3   // multiple of the learned latency threshold after which a second home is asked
	homeBudgetShare       = 0.5 // fraction of the hedge and retry budgets; one extra sub-query repeats many attempts
)

// groupRoute is what an entry has learned about a leaf group and its homes.
type groupRoute struct {
	latency     *scatter.Latency
	hedgeBudget *admit.Budget
	retryBudget *admit.Budget
	hedgeShare  atomicFloat
	retryShare  atomicFloat
	versions    atomic.Pointer[reportedVersions]

	mu    sync.Mutex
	hints map[string]loadHint // by VM name
}

// reportedVersions lists the index versions that a home last reported for a leaf group.
type reportedVersions struct {
	states     []versionState
	reportedAt vm.Instant
}

// loadHint is the load that a home last reported.
type loadHint struct {
	shardsInFlight int
	admitLevel     float64
	reportedAt     vm.Instant
}

// routeFor returns the groupRoute of a leaf group, and updates its hedge and retry shares from
// the settings.
func (e *Engine) routeFor(g *placedGroup) *groupRoute {
	v, ok := e.routes.Load(g.leafGroup)
	if !ok {
		v, _ = e.routes.LoadOrStore(g.leafGroup, e.newGroupRoute())
	}
	r := v.(*groupRoute)
	r.hedgeShare.set(g.eff.HedgeBudget * homeBudgetShare)
	r.retryShare.set(g.eff.RetryBudget * homeBudgetShare)
	return r
}

func (e *Engine) newGroupRoute() *groupRoute {
	r := &groupRoute{latency: scatter.NewLatency(0.02), hints: make(map[string]loadHint)}
	r.hedgeBudget = admit.NewBudget(r.hedgeShare.get, minExtraRate, e.Clock)
	r.retryBudget = admit.NewBudget(r.retryShare.get, minExtraRate, e.Clock)
	return r
}

// recordReply records the index versions and the load that a home reported in its answer.
func (r *groupRoute) recordReply(home string, p *partialAnswer, now vm.Instant) {
	if len(p.versions) > 0 {
		r.versions.Store(&reportedVersions{p.versions, now})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hints[home] = loadHint{p.shardsInFlight, p.admitLevel, now}
}

// reportedLoad returns the number of shards in flight that a home last reported, or 0 if that
// is older than hintMaxAge.
func (r *groupRoute) reportedLoad(home string, now vm.Instant) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.hints[home]
	if now.Sub(h.reportedAt) > hintMaxAge {
		return 0
	}
	return h.shardsInFlight
}

// meanLevel returns the mean of the admission levels that homes last reported, each decayed
// over lifetime.
func (r *groupRoute) meanLevel(homes []vm.Member, now vm.Instant, lifetime time.Duration) float64 {
	if len(homes) == 0 {
		return 1
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	sum := 0.0
	for i := range homes {
		h := r.hints[homes[i].Name]
		sum += decayedLevel(h.admitLevel, now.Sub(h.reportedAt), lifetime)
	}
	return sum / float64(len(homes))
}

// hedgeDelay returns how long to wait for a home before a second one is asked as well.
func (r *groupRoute) hedgeDelay(left time.Duration) time.Duration {
	if d, ok := r.latency.Threshold(0); ok {
		return min(max(homeHedgeFactor*d, minHomeHedgeDelay), max(left/2, minHomeHedgeDelay))
	}
	return max(left/2, minHomeHedgeDelay)
}

// orderHomes returns the homes of a leaf group in the order in which to ask them. The first is
// this daemon if it is one of them, else the less loaded of two homes chosen at random, or
// the nearer of the two on a tie.
func (e *Engine) orderHomes(g *placedGroup, r *groupRoute) []vm.Member {
	now := e.Clock()
	homes := slices.Clone(g.placement.Homes)
	rand.Shuffle(len(homes), func(i, j int) { homes[i], homes[j] = homes[j], homes[i] })
	i := slices.IndexFunc(homes, func(m vm.Member) bool { return m.SameIncarnation(e.Self) })
	if i >= 0 {
		homes[0], homes[i] = homes[i], homes[0]
		return homes
	}
	if len(homes) >= 2 && e.lessLoaded(r, homes[1], homes[0], now) {
		homes[0], homes[1] = homes[1], homes[0]
	}
	return homes
}

// lessLoaded reports whether home a is to be asked before home b.
func (e *Engine) lessLoaded(r *groupRoute, a, b vm.Member, now vm.Instant) bool {
	loadA, loadB := r.reportedLoad(a.Name, now), r.reportedLoad(b.Name, now)
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
