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
	"pearmoor/internal/evacuation"
	"pearmoor/internal/link/leaf"
	"pearmoor/internal/relay"
	"pearmoor/internal/settings"
	"pearmoor/internal/vm"
)

// ackPollInterval is the interval at which a daemon whose shares have shrunk checks
// whether its requests in flight fit the new shares.
const ackPollInterval = 10 * time.Millisecond

// shareVersion identifies the state that shares are computed from. A lease renewal
// does not change it.
type shareVersion struct {
	config, inForce, settled, pending uint64
}

func shareVersionOf(v *relay.View) shareVersion {
	version := shareVersion{config: v.ConfigVersion, inForce: v.InForce}
	if v.Settled != nil {
		version.settled = v.Settled.Epoch
	}
	if v.Pending != nil {
		version.pending = v.Pending.Epoch
	}
	return version
}

// shareManager applies this daemon's shares of the leaves, as given by the agreed state,
// to the admission gates, the prober and the leaf connections.
type shareManager struct {
	self       vm.Identity
	source     relay.Source
	gates      *admit.Gates
	sender     *leaf.Sender
	prober     *leaf.Prober
	ack        func(config, epoch uint64)
	listExpiry *directory.ListExpiry

	applied      shareVersion
	mu           sync.Mutex // guards assigned: run writes it, services reads it
	assigned     assignment
	acknowledged shareVersion
}

// assignment is the set of leaves and services that this daemon has a share of.
type assignment struct {
	leaves   map[string]settings.Leaf // by address
	services map[string]bool
}

// run applies and acknowledges each new view of the source until ctx is done.
func (m *shareManager) run(ctx context.Context) {
	for {
		changed := m.source.Changed()
		v := m.source.Current()
		m.listExpiry.Observe(v, vm.Now())
		m.apply(v)
		wait := time.Duration(-1)
		if !m.acknowledge() {
			wait = ackPollInterval
		}
		if !waitForChange(ctx, changed, wait) {
			return
		}
	}
}

// waitForChange waits for changed, and at most for wait unless it is negative. It
// returns false when ctx is done.
func waitForChange(ctx context.Context, changed <-chan struct{}, wait time.Duration) bool {
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
func (m *shareManager) apply(v *relay.View) {
	version := shareVersionOf(v)
	if version != m.applied && v.Tree != nil {
		m.configure(v)
		m.applied = version
	}
	m.gates.SetLeaseEnd(v.LeaseEnd)
}

// configure sets the share of every leaf. A leaf of which this daemon no longer has a
// share gets zero limits and is no longer probed.
func (m *shareManager) configure(v *relay.View) {
	next := assignment{leaves: make(map[string]settings.Leaf), services: make(map[string]bool)}
	evacuated := evacuation.FromTree(v.Tree).Evacuated()
	for _, path := range v.Tree.Services("") {
		if e, ok := v.Tree.Effective(path); ok {
			m.configureService(v, e, evacuated, next)
		}
	}
	for addr, l := range m.assigned.leaves {
		if _, kept := next.leaves[addr]; !kept {
			m.gates.Configure(addr, admit.Limits{})
			m.sender.Configure(l, leaf.ConnConfig{})
		}
	}
	for service := range m.assigned.services {
		if !next.services[service] {
			m.prober.Watch(service, nil)
		}
	}
	m.mu.Lock()
	m.assigned = next
	m.mu.Unlock()
	klog.V(1).Infof("homes: %d leaves of %d services at configuration %d, epoch %d",
		len(next.leaves), len(next.services), v.ConfigVersion, v.Epoch())
}

func (m *shareManager) configureService(v *relay.View, e *settings.Effective, evacuated []string, next assignment) {
	var ownLeaves []settings.Leaf
	for i, l := range e.Leaves {
		slots, conns := v.Share(e.Path, e, i, m.self)
		if slots <= 0 || conns <= 0 {
			continue
		}
		ownLeaves = append(ownLeaves, l)
		next.leaves[l.Addr] = l
		m.gates.Configure(l.Addr, admit.Limits{Slots: slots, MaxQueue: e.QueueLimit, Ramp: e.Ramp})
		m.sender.Configure(l, leaf.ConnConfig{MaxConns: conns, TLS: e.LeafTLS, ConnectTime: e.ConnectCost})
	}
	if len(ownLeaves) == 0 {
		return
	}
	next.services[e.Path] = true
	ownService := *e
	ownService.Leaves = ownLeaves
	ownService.Drained = withoutNewWork(e, evacuated)
	m.prober.Watch(e.Path, &ownService)
}

// withoutNewWork returns the names of the service's leaves that are drained or in an evacuated
// failure domain.
func withoutNewWork(e *settings.Effective, evacuated []string) []string {
	out := e.Drained
	for _, l := range e.Leaves {
		if slices.Contains(evacuated, l.Domain) && !slices.Contains(out, l.Name) {
			out = append(slices.Clone(out), l.Name)
		}
	}
	return out
}

// acknowledge reports to control that this daemon is within its current shares, and
// returns false while requests or connections still exceed them. Without this wait the
// new owner of a share would send requests while those of the old owner still run, and
// the leaf would get more requests than it has slots, or more connections than it
// accepts.
func (m *shareManager) acknowledge() bool {
	if m.acknowledged == m.applied {
		return true
	}
	if !m.gates.WithinLimits() || !m.sender.WithinLimits() {
		return false
	}
	m.acknowledged = m.applied
	m.ack(m.acknowledged.config, max(m.acknowledged.settled, m.acknowledged.pending))
	return true
}

// services returns the sorted query services that this daemon has a share of.
func (m *shareManager) services() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.assigned.services))
}
