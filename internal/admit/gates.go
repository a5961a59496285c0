package admit

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"pearmoor/internal/contract"
	"pearmoor/internal/settings"
	"pearmoor/internal/vm"
)

// Limits is what a gate may let through.
type Limits struct {
	Slots int           // this daemon's share of the leaf's slots; 0 lets nothing through
	Queue int           // most waiting requests
	Ramp  time.Duration // slow start after Gates.Ramp or a recovery; 0 means none
}

// Gates holds one gate per leaf. A leaf is named by its address
// (settings.Leaf.Addr), which is what its slots belong to.
type Gates struct {
	clock  vm.Clock
	after  afterFunc
	fence  fence
	stalls stalls
	over   atomic.Int64 // gates with more in flight than their share

	mu       sync.RWMutex
	byID     map[string]*gate
	draining map[string]bool // also of leaves that have no gate at present
}

// stopper stops a timer; see time.Timer.Stop.
type stopper interface{ Stop() bool }

// afterFunc runs f after d; see time.AfterFunc.
type afterFunc func(d time.Duration, f func()) stopper

func realAfter(d time.Duration, f func()) stopper { return time.AfterFunc(d, f) }

// NewGates returns gates that let nothing through until Configure has given a
// leaf its share and Fence has named the end of the lease.
func NewGates(clock vm.Clock) *Gates {
	return newGates(clock, realAfter)
}

func newGates(clock vm.Clock, after afterFunc) *Gates {
	return &Gates{clock: clock, after: after, byID: make(map[string]*gate), draining: make(map[string]bool)}
}

// Configure sets a leaf's limits. A smaller share cancels nothing: new permits
// are withheld until fewer are in flight. With no slots left, waiting requests
// are refused and the gate is forgotten when its last permit comes back.
func (g *Gates) Configure(leaf string, l Limits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	gt := g.byID[leaf]
	if gt == nil {
		if l.Slots <= 0 {
			return
		}
		gt = &gate{set: g, leaf: leaf, draining: g.draining[leaf]}
		g.byID[leaf] = gt
	}
	if gt.configure(l) {
		delete(g.byID, leaf)
	}
}

// forget drops a gate that has no share and nothing in flight.
func (g *Gates) forget(gt *gate) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if gt.idle() && g.byID[gt.leaf] == gt {
		delete(g.byID, gt.leaf)
	}
}

func (g *Gates) get(leaf string) *gate {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.byID[leaf]
}

// Acquire waits for a permit of one leaf; see AcquireAny.
func (g *Gates) Acquire(ctx context.Context, leaf string, pr settings.Priority) (*Permit, error) {
	p, _, err := g.AcquireAny(ctx, []string{leaf}, Ask{Priority: pr})
	return p, err
}

// AcquireAny waits for a permit of whichever leaf has one first, in the order
// given if several have one now, and returns the index of that leaf. Leaves
// without a share here are skipped. It fails with a *contract.Error of verdict
// NotRun when all leaves refuse: at once when the expected wait or the queue
// can't take the request before ctx's deadline, later only when that comes to
// light while waiting.
func (g *Gates) AcquireAny(ctx context.Context, leaves []string, a Ask) (p *Permit, at int, err error) {
	if err := ctx.Err(); err != nil {
		return nil, 0, contract.Refuse(contract.ReasonDeadline, err)
	}
	var few [4]*gate
	gates := g.find(few[:0], leaves)
	now := g.clock()
	p, w, refusal := g.ask(now, deadlineOf(ctx, now), gates, a)
	if refusal != nil {
		return nil, 0, refusal
	}
	if w != nil {
		if p, err = w.await(ctx, gates); err != nil {
			return nil, 0, err
		}
	}
	return p, slices.Index(gates, p.gate), nil
}

// find appends the gate of each leaf, nil for one without a share.
func (g *Gates) find(gates []*gate, leaves []string) []*gate {
	g.mu.RLock()
	defer g.mu.RUnlock()
	for _, leaf := range leaves {
		gates = append(gates, g.byID[leaf])
	}
	return gates
}

// ask returns a permit, a refusal, or the waiter that will get one of them.
func (g *Gates) ask(now, deadline vm.Instant, gates []*gate, a Ask) (*Permit, *waiter, *contract.Error) {
	known := 0
	for _, gt := range gates {
		if gt == nil {
			continue
		}
		known++
		if p := gt.start(now, deadline); p != nil {
			return p, nil, nil
		}
	}
	if known == 0 {
		refusedNoShare.Inc(1)
		return nil, nil, errNoShare()
	}
	w := newWaiter(a, deadline, known)
	for _, gt := range gates {
		if gt != nil && !w.claimed.Load() {
			gt.enqueue(now, w)
		}
	}
	return nil, w, nil
}

// TryAcquire returns a permit only if one is free now and nobody waits for it.
func (g *Gates) TryAcquire(leaf string) (*Permit, bool) {
	gt := g.get(leaf)
	if gt == nil {
		return nil, false
	}
	return gt.tryAcquire()
}

// Load describes a leaf's gate for the choice between replicas.
func (g *Gates) Load(leaf string) Load {
	gt := g.get(leaf)
	if gt == nil {
		return Load{}
	}
	return gt.load()
}

// Respected reports whether no gate has more in flight than its share, so that
// a smaller share may be acknowledged.
func (g *Gates) Respected() bool { return g.over.Load() == 0 }

// Ramp begins a slow start: the leaf is new, or says that it is starting, or
// has come back.
func (g *Gates) Ramp(leaf string) {
	if gt := g.get(leaf); gt != nil {
		gt.beginRamp()
	}
}

// Drain shuts a leaf's gate while on: the leaf is leaving. What is in flight
// goes on; what waits is refused.
func (g *Gates) Drain(leaf string, on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if on {
		g.draining[leaf] = true
	} else {
		delete(g.draining, leaf)
	}
	if gt := g.byID[leaf]; gt != nil {
		gt.setDraining(on)
	}
}

// Answered returns how long ago the leaf last replied to a request.
func (g *Gates) Answered(leaf string) (time.Duration, bool) {
	gt := g.get(leaf)
	if gt == nil {
		return 0, false
	}
	return gt.answered()
}

// Hint passes on the load that a leaf reported. It lags and may mislead, so it
// only weighs on Load.Wait, by at most hintWeight, and fades with its age.
func (g *Gates) Hint(leaf string, inFlight, slots int) {
	if gt := g.get(leaf); gt != nil {
		gt.setHint(inFlight, slots)
	}
}

// Fence names the instant at which the daemon's lease ends. No permit is handed
// out or passes Check at or after it. A caller with a new view calls Configure
// for every leaf first and Fence last. Permits from before a lapse stay void
// when a later fence is set: another daemon may hold their slots by then.
func (g *Gates) Fence(until vm.Instant) {
	g.fence.set(until, g.clock())
}
