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

// Limits configures a leaf's gate.
type Limits struct {
	Slots    int           // this daemon's share of the leaf's slots; 0 admits nothing
	MaxQueue int           // maximum number of waiting requests
	Ramp     time.Duration // duration of the slow start after Gates.StartRamp or a recovery; 0 disables it
}

// Gates holds one gate per leaf. A leaf is identified by its address
// (settings.Leaf.Addr), because its slots belong to the address.
type Gates struct {
	clock          vm.Clock
	after          afterFunc
	lease          lease
	stalls         stallTracker
	gatesOverLimit atomic.Int64 // number of gates with more requests in flight than their share

	mu       sync.RWMutex
	byLeaf   map[string]*gate
	draining map[string]bool // includes leaves that have no gate
}

// stopper stops a timer; see time.Timer.Stop.
type stopper interface{ Stop() bool }

// afterFunc calls f after d; see time.AfterFunc.
type afterFunc func(d time.Duration, f func()) stopper

func startTimer(d time.Duration, f func()) stopper { return time.AfterFunc(d, f) }

// NewGates returns gates that admit nothing until Configure has set a leaf's share
// and SetLeaseEnd the end of the lease.
func NewGates(clock vm.Clock) *Gates {
	return newGates(clock, startTimer)
}

func newGates(clock vm.Clock, after afterFunc) *Gates {
	return &Gates{clock: clock, after: after, byLeaf: make(map[string]*gate), draining: make(map[string]bool)}
}

// Configure sets a leaf's limits. A smaller share cancels nothing: new permits are
// withheld until fewer requests are in flight. With a share of 0, waiting requests
// are refused and the gate is removed when its last permit is released.
func (g *Gates) Configure(leaf string, l Limits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	gt := g.byLeaf[leaf]
	if gt == nil {
		if l.Slots <= 0 {
			return
		}
		gt = &gate{gates: g, leaf: leaf, draining: g.draining[leaf]}
		g.byLeaf[leaf] = gt
	}
	if gt.configure(l) {
		delete(g.byLeaf, leaf)
	}
}

// removeIfUnused removes a gate that has no share and nothing in flight.
func (g *Gates) removeIfUnused(gt *gate) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if gt.unused() && g.byLeaf[gt.leaf] == gt {
		delete(g.byLeaf, gt.leaf)
	}
}

func (g *Gates) gateOf(leaf string) *gate {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.byLeaf[leaf]
}

// Acquire waits for a permit for one leaf; see AcquireAny.
func (g *Gates) Acquire(ctx context.Context, leaf string, priority settings.Priority) (*Permit, error) {
	p, _, err := g.AcquireAny(ctx, []string{leaf}, PermitRequest{Priority: priority})
	return p, err
}

// AcquireAny waits for a permit for any of the leaves and returns the index of its
// leaf. If several leaves have a free permit, the first in the given order is used.
// Leaves without a share on this daemon are skipped. AcquireAny fails with a
// *contract.Error of verdict NotRun when all leaves refuse: immediately if the
// queue is full or the expected wait exceeds ctx's deadline, and later if either
// becomes true while the request waits.
func (g *Gates) AcquireAny(ctx context.Context, leaves []string, req PermitRequest) (p *Permit, index int, err error) {
	if err := ctx.Err(); err != nil {
		return nil, 0, contract.Refuse(contract.ReasonDeadline, err)
	}
	var buf [4]*gate
	gates := g.gatesOf(buf[:0], leaves)
	now := g.clock()
	p, w, refusal := g.startOrEnqueue(now, bootDeadline(ctx, now), gates, req)
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

// gatesOf appends the gate of each leaf to gates, nil for a leaf without a share.
func (g *Gates) gatesOf(gates []*gate, leaves []string) []*gate {
	g.mu.RLock()
	defer g.mu.RUnlock()
	for _, leaf := range leaves {
		gates = append(gates, g.byLeaf[leaf])
	}
	return gates
}

// startOrEnqueue returns a permit, a refusal, or the waiter that will receive one of them.
func (g *Gates) startOrEnqueue(now, deadline vm.Instant, gates []*gate, req PermitRequest) (*Permit, *waiter, *contract.Error) {
	candidates := 0
	for _, gt := range gates {
		if gt == nil {
			continue
		}
		candidates++
		if p := gt.tryStart(now, deadline); p != nil {
			return p, nil, nil
		}
	}
	if candidates == 0 {
		refusedNoShare.Inc(1)
		return nil, nil, errNoShare()
	}
	w := newWaiter(req, deadline, candidates)
	for _, gt := range gates {
		if gt != nil && !w.claimed.Load() {
			gt.enqueue(now, w)
		}
	}
	return nil, w, nil
}

// TryAcquire returns a permit only if one is free and no request is queued for it.
func (g *Gates) TryAcquire(leaf string) (*Permit, bool) {
	gt := g.gateOf(leaf)
	if gt == nil {
		return nil, false
	}
	return gt.tryAcquire()
}

// Load returns the state of a leaf's gate, which callers use to choose between leaves.
func (g *Gates) Load(leaf string) Load {
	gt := g.gateOf(leaf)
	if gt == nil {
		return Load{}
	}
	return gt.load()
}

// WithinLimits reports whether no gate has more requests in flight than its share.
// A smaller share may be acknowledged only then.
func (g *Gates) WithinLimits() bool { return g.gatesOverLimit.Load() == 0 }

// StartRamp begins a slow start for a leaf that is new, reports that it is starting,
// or has recovered.
func (g *Gates) StartRamp(leaf string) {
	if gt := g.gateOf(leaf); gt != nil {
		gt.startRamp()
	}
}

// SetDraining closes a leaf's gate while draining is set. Requests in flight
// continue; waiting requests are refused.
func (g *Gates) SetDraining(leaf string, draining bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if draining {
		g.draining[leaf] = true
	} else {
		delete(g.draining, leaf)
	}
	if gt := g.byLeaf[leaf]; gt != nil {
		gt.setDraining(draining)
	}
}

// SinceLastReply returns the time since the leaf last replied to a request, and
// false if it has not replied yet.
func (g *Gates) SinceLastReply(leaf string) (time.Duration, bool) {
	gt := g.gateOf(leaf)
	if gt == nil {
		return 0, false
	}
	return gt.sinceLastReply()
}

// ReportLoad records the load that a leaf reported. The report may be late or wrong,
// so it affects only Load.ExpectedWait, by at most loadReportWeight of a service
// time, and its effect decreases with its age.
func (g *Gates) ReportLoad(leaf string, inFlight, slots int) {
	if gt := g.gateOf(leaf); gt != nil {
		gt.setLoadReport(inFlight, slots)
	}
}

// SetLeaseEnd sets the end of the daemon's lease. From that instant on no permit is
// granted or passes Check. To apply a new view, call Configure for every leaf first
// and SetLeaseEnd last. Permits granted before the lease expired stay invalid after
// a renewal, because another daemon may hold their slots by then.
func (g *Gates) SetLeaseEnd(until vm.Instant) {
	g.lease.renew(until, g.clock())
}
