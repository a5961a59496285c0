package daemon

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"pearmoor/internal/admit"
	"pearmoor/internal/directory"
	"pearmoor/internal/link/leaf"
	"pearmoor/internal/relay"
	"pearmoor/internal/settings"
	"pearmoor/internal/vm"
)

// respectPoll is how often a shrinking home looks whether its requests in flight
// fit its smaller shares.
const respectPoll = 10 * time.Millisecond

// stateKey names what shares depend on; a new lease alone changes none of it.
type stateKey struct {
	config, inForce, settled, pending uint64
}

func keyOf(v *relay.View) stateKey {
	k := stateKey{config: v.ConfigVersion, inForce: v.InForce}
	if v.Settled != nil {
		k.settled = v.Settled.Epoch
	}
	if v.Pending != nil {
		k.pending = v.Pending.Epoch
	}
	return k
}

// homes keeps permits, probes and connections in step with the shares that the
// agreed state gives this daemon.
type homes struct {
	self    vm.Identity
	source  relay.Source
	gates   *admit.Gates
	sender  *leaf.Sender
	prober  *leaf.Prober
	ack     func(config, epoch uint64)
	horizon *directory.ListExpiry

	applied stateKey
	mu      sync.Mutex // guards held against services
	held    held
	acked   stateKey
}

// held is what this daemon has a share of.
type held struct {
	leaves   map[string]settings.Leaf // by address
	services map[string]bool
}

// run follows the source until ctx ends.
func (h *homes) run(ctx context.Context) {
	for {
		changed := h.source.Changed()
		v := h.source.Current()
		h.horizon.Observe(v, vm.Now())
		h.follow(v)
		wait := time.Duration(-1)
		if !h.acknowledge() {
			wait = respectPoll
		}
		if !waitChange(ctx, changed, wait) {
			return
		}
	}
}

// waitChange waits for changed, or for at most wait when it is not negative.
func waitChange(ctx context.Context, changed <-chan struct{}, wait time.Duration) bool {
	var timeout <-chan time.Time
	if wait >= 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		timeout = timer.C
	}
	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-timeout:
	}
	return true
}

// follow applies a view. The fence comes last: a permit handed out in between
// would be measured against the old shares and the new lease.
func (h *homes) follow(v *relay.View) {
	key := keyOf(v)
	if key != h.applied && v.Tree != nil {
		h.configure(v)
		h.applied = key
	}
	h.gates.SetLeaseEnd(v.Lease)
}

// configure gives every leaf of every service its share; a leaf that is no longer
// this daemon's gets none and is not probed.
func (h *homes) configure(v *relay.View) {
	now := held{leaves: make(map[string]settings.Leaf), services: make(map[string]bool)}
	for _, path := range v.Tree.Services("") {
		if e, ok := v.Tree.Effective(path); ok {
			h.configureService(v, e, now)
		}
	}
	for addr, l := range h.held.leaves {
		if _, kept := now.leaves[addr]; !kept {
			h.gates.Configure(addr, admit.Limits{})
			h.sender.Configure(l, leaf.ConnConfig{})
		}
	}
	for service := range h.held.services {
		if !now.services[service] {
			h.prober.Watch(service, nil)
		}
	}
	h.mu.Lock()
	h.held = now
	h.mu.Unlock()
	klog.V(1).Infof("homes: %d leaves of %d services at configuration %d, epoch %d",
		len(now.leaves), len(now.services), v.ConfigVersion, v.Epoch())
}

func (h *homes) configureService(v *relay.View, e *settings.Effective, now held) {
	var own []settings.Leaf
	for i, l := range e.Leaves {
		slots, conns := v.Share(e.Path, e, i, h.self)
		if slots <= 0 || conns <= 0 {
			continue
		}
		own = append(own, l)
		now.leaves[l.Addr] = l
		h.gates.Configure(l.Addr, admit.Limits{Slots: slots, MaxQueue: e.QueueLimit, Ramp: e.Ramp})
		h.sender.Configure(l, leaf.ConnConfig{MaxConns: conns, TLS: e.LeafTLS, ConnectTime: e.ConnectCost})
	}
	if len(own) == 0 {
		return
	}
	now.services[e.Path] = true
	part := *e
	part.Leaves = own
	h.prober.Watch(e.Path, &part)
}

// acknowledge tells control that this daemon respects the shares last configured. Without
// the wait for requests in flight, the new holder of a share would send while
// the old one's requests still run, and the leaf would see more than its slots;
// likewise for connections and the leaf's cap.
func (h *homes) acknowledge() bool {
	if h.acked == h.applied {
		return true
	}
	if !h.gates.WithinLimits() || !h.sender.WithinLimits() {
		return false
	}
	h.acked = h.applied
	h.ack(h.acked.config, max(h.acked.settled, h.acked.pending))
	return true
}

// services lists the query services this daemon has a share of, sorted.
func (h *homes) services() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Sorted(maps.Keys(h.held.services))
}
