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

// ackPollInterval is the interval at which a daemon whose shares have shrunk checks
// whether its requests in flight fit the new shares.
const respectPoll = 10 * time.Millisecond

// shareVersion identifies the state that shares are computed from. A lease renewal
// does not change it.
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

// shareManager applies this daemon's shares of the leaves, as given by the agreed state,
// to the admission gates, the prober and the leaf connections.
type homes struct {
	self    vm.Identity
	source  relay.Source
	gates   *admit.Gates
	sender  *leaf.Sender
	prober  *leaf.Prober
	ack     func(config, epoch uint64)
	horizon *directory.ListExpiry

	applied stateKey
	mu      sync.Mutex // guards assigned: run writes it, services reads it
	held    held
	acked   stateKey
}

// assignment is the set of leaves and services that this daemon has a share of.
type held struct {
	leaves   map[string]settings.Leaf // by address
	services map[string]bool
}

// run applies and acknowledges each new view of the source until ctx is done.
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

// waitForChange waits for changed, and at most for wait unless it is negative. It
// returns false when ctx is done.
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

// apply applies a view. The lease end is set last: otherwise a permit could be granted
// under the new lease with the old shares.
func (h *homes) follow(v *relay.View) {
	key := keyOf(v)
	if key != h.applied && v.Tree != nil {
		h.configure(v)
		h.applied = key
	}
	h.gates.SetLeaseEnd(v.Lease)
}

// configure sets the share of every leaf. A leaf of which this daemon no longer has a
// share gets zero limits and is no longer probed.
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

// acknowledge reports to control that this daemon is within its current shares, and
// returns false while requests or connections still exceed them. Without this wait the
// new owner of a share would send requests while those of the old owner still run, and
// the leaf would get more requests than it has slots, or more connections than it
// accepts.
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

// services returns the sorted query services that this daemon has a share of.
func (h *homes) services() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Sorted(maps.Keys(h.held.services))
}
