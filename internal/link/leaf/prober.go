package leaf

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"pearmoor/internal/admit"
	"pearmoor/internal/contract"
	"pearmoor/internal/settings"
	"pearmoor/internal/vm"
)

const (
	defaultProbeInterval = time.Second
	minProbeTimeout      = 500 * time.Millisecond
	maxFirstProbeDelay   = 10 * time.Millisecond // the first probe of a new leaf is delayed by a random time up to this
	firstProbeWait       = time.Second           // Known does not wait longer than this for the first probe of a leaf
	probeJitter          = 0.2                   // fraction of the interval; jitter only shortens it, so that a status is never older than the interval
	staleAfterIntervals  = 5                     // a status older than this many probe intervals is stale
	minStaleAge          = 3 * time.Second       // lower bound of the age at which a status is stale
)

// ProberConfig configures a Prober.
type ProberConfig struct {
	Sender      *Sender
	Gates       *admit.Gates
	PlatformURL string   // base URL of the platform's VM list; empty: not polled
	Clock       vm.Clock // nil: vm.Now
}

// Prober polls the status of watched leaves and maintains the catalog of index versions. A
// leaf that is draining, according to its own status, the settings or the platform, is removed
// from the catalog, and its gate admits no new requests.
type Prober struct {
	sender   *Sender
	gates    *admit.Gates
	platform *platformList
	clock    vm.Clock
	wake     chan struct{} // makes Run look for due probes now

	mu       sync.RWMutex
	services map[string]*service
	targets  map[string]*target // by address
	leaving  map[string]bool    // VMs that the platform reports as leaving, see leavingVMs
}

// service is a watched query service.
type service struct {
	leaves   []settings.Leaf
	drained  []string // names of the leaves that the settings drain
	interval time.Duration
	catalog  []Snapshot
}

// target is a watched leaf.
type target struct {
	leaf         settings.Leaf
	interval     time.Duration
	services     []string  // that use the leaf
	watchedSince time.Time // start of the watch
	probed       bool      // a probe has succeeded or failed
	nextProbe    time.Time // when the next probe is due
	probing      bool      // a probe is running
	failing      bool      // the last probe failed
	hasStatus    bool      // status and statusAt are set
	status       contract.LeafStatus
	statusAt     vm.Instant // when status was received
	draining     bool
	live         bool // see isLive
}

// NewProber returns a prober that watches nothing yet.
func NewProber(c ProberConfig) *Prober {
	p := &Prober{
		sender:   c.Sender,
		gates:    c.Gates,
		clock:    c.Clock,
		wake:     make(chan struct{}, 1),
		services: make(map[string]*service),
		targets:  make(map[string]*target),
	}
	if p.clock == nil {
		p.clock = vm.Now
	}
	if c.PlatformURL != "" {
		p.platform = newPlatformList(c.PlatformURL)
	}
	return p
}

// Watch starts watching the leaves of a query service, or stops if eff is nil. It is called
// again when the service's settings change.
func (p *Prober) Watch(name string, eff *settings.Effective) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if eff == nil {
		delete(p.services, name)
	} else {
		s := p.services[name]
		if s == nil {
			s = new(service)
			p.services[name] = s
		}
		s.leaves, s.drained, s.interval = eff.Leaves, eff.Drained, eff.ProbeInterval
		if s.interval <= 0 {
			s.interval = defaultProbeInterval
		}
	}
	p.updateTargets()
	p.wakeUp()
}

// updateTargets recomputes targets from services. The caller must hold p.mu.
func (p *Prober) updateTargets() {
	old := p.targets
	p.targets = make(map[string]*target, len(old))
	for name, s := range p.services {
		for _, l := range s.leaves {
			p.addTarget(old[l.Addr], l, name, s.interval)
		}
	}
	for addr := range old {
		if p.targets[addr] == nil {
			p.gates.SetDraining(addr, false)
		}
	}
	for _, t := range p.targets {
		p.updateDraining(t)
		t.live = p.isLive(t)
	}
	for name := range p.services {
		p.rebuildCatalog(name)
	}
}

// addTarget adds a leaf of a service to targets. t is the leaf's previous state, or nil if it
// was not watched.
func (p *Prober) addTarget(t *target, l settings.Leaf, service string, interval time.Duration) {
	if now := p.targets[l.Addr]; now != nil {
		now.services = append(now.services, service)
		now.interval = min(now.interval, interval)
		return
	}
	if t == nil {
		now := time.Now()
		t = &target{watchedSince: now, nextProbe: now.Add(rand.N(maxFirstProbeDelay))}
	}
	t.leaf, t.interval, t.services = l, interval, []string{service}
	p.targets[l.Addr] = t
}

// updateDraining recomputes whether a leaf is draining, and closes or opens its gate and logs
// the change.
func (p *Prober) updateDraining(t *target) {
	draining := t.hasStatus && t.status.State == contract.LeafDraining || isLeaving(p.leaving, t.leaf)
	for _, name := range t.services {
		draining = draining || slices.Contains(p.services[name].drained, t.leaf.Name)
	}
	if draining == t.draining {
		return
	}
	t.draining = draining
	p.gates.SetDraining(t.leaf.Addr, draining)
	if draining {
		klog.Infof("leaf: %s is draining", t.leaf.Name)
		return
	}
	klog.Infof("leaf: %s no longer drains, accepting new requests", t.leaf.Name)
	p.gates.StartRamp(t.leaf.Addr)
}

// isLive reports whether a leaf may receive new requests. A recent answer to a request counts
// as much as a recent status, because the status endpoint of a working leaf may fail. A status
// that is stale does not count, because the leaf may have stopped since.
func (p *Prober) isLive(t *target) bool {
	if !t.hasStatus || t.draining {
		return false
	}
	maxAge := max(minStaleAge, staleAfterIntervals*t.interval)
	if p.clock().Sub(t.statusAt) <= maxAge {
		return true
	}
	age, ok := p.gates.SinceLastReply(t.leaf.Addr)
	return ok && age <= maxAge
}

// rebuildCatalog replaces a service's catalog. Readers may still use the previous one, so it
// is not modified.
func (p *Prober) rebuildCatalog(name string) {
	s := p.services[name]
	if s == nil {
		return
	}
	reports := make([]leafReport, 0, len(s.leaves))
	for _, l := range s.leaves {
		if t := p.targets[l.Addr]; t.hasStatus {
			reports = append(reports, leafReport{leaf: l, status: &t.status, live: t.live})
		}
	}
	s.catalog = snapshots(name, reports)
}

// Status returns the last status of the leaf at addr and its age.
func (p *Prober) Status(addr string) (contract.LeafStatus, time.Duration, bool) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	t := p.targets[addr]
	if t == nil || !t.hasStatus {
		return contract.LeafStatus{}, 0, false
	}
	return t.status, p.clock().Sub(t.statusAt), true
}

// Snapshots returns the index versions of a service, newest first. The slice is shared and
// must not be modified.
func (p *Prober) Snapshots(service string) []Snapshot {
	p.mu.RLock()
	defer p.mu.RUnlock()
	s := p.services[service]
	if s == nil {
		return nil
	}
	return s.catalog
}

// Known reports whether each leaf of a service has been probed at least once or has been
// watched for firstProbeWait. Until then, a shard without a leaf in the catalog may be held by a
// leaf that was not probed yet; afterwards it counts as missing.
func (p *Prober) Known(service string) bool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	s := p.services[service]
	if s == nil {
		return false
	}
	for _, l := range s.leaves {
		if t := p.targets[l.Addr]; !t.probed && time.Since(t.watchedSince) < firstProbeWait {
			return false
		}
	}
	return true
}

// wakeUp makes Run look for due probes now.
func (p *Prober) wakeUp() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Run polls the leaves until ctx is done, and returns when all probes have finished.
func (p *Prober) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	if p.platform != nil {
		wg.Go(func() { p.pollPlatform(ctx) })
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.wake:
		case <-timer.C:
		}
		due, next := p.takeDue(time.Now())
		for _, d := range due {
			wg.Go(func() { p.probe(d) })
		}
		timer.Reset(next)
	}
}

// dueProbe is a probe that is due. It has copies of the target's address and interval, which
// may change while the probe runs.
type dueProbe struct {
	target   *target
	addr     string
	interval time.Duration
}

// takeDue marks the due targets as being probed, and returns them and the time until the next
// probe is due.
func (p *Prober) takeDue(now time.Time) ([]dueProbe, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var due []dueProbe
	next := defaultProbeInterval
	for _, t := range p.targets {
		if !t.probing && !t.nextProbe.After(now) {
			t.probing = true
			t.nextProbe = now.Add(jittered(t.interval))
			due = append(due, dueProbe{target: t, addr: t.leaf.Addr, interval: t.interval})
		}
		if wait := t.nextProbe.Sub(now); wait > 0 {
			next = min(next, wait)
		}
	}
	return due, next
}

// jittered shortens d by a random fraction of up to probeJitter.
func jittered(d time.Duration) time.Duration {
	return d - time.Duration(rand.Float64()*probeJitter*float64(d))
}

// probe fetches the status of a leaf and updates the catalog. Of consecutive failures only the
// first one is logged.
func (p *Prober) probe(d dueProbe) {
	st, err := p.sender.probe(d.addr, max(minProbeTimeout, d.interval))
	p.mu.Lock()
	defer p.mu.Unlock()
	t := d.target
	t.probing, t.probed = false, true
	if err != nil {
		probesFailed.Inc(1)
		if !t.failing {
			klog.Warningf("leaf: probe of %s failed: %v", t.leaf.Name, err)
		}
	}
	t.failing = err != nil
	if p.targets[t.leaf.Addr] != t {
		return
	}
	changed := err == nil && p.recordStatus(t, st)
	if live := p.isLive(t); live != t.live {
		t.live, changed = live, true
	}
	if changed {
		for _, name := range t.services {
			p.rebuildCatalog(name)
		}
	}
}

// recordStatus stores a new status and reports whether the catalog must be rebuilt.
func (p *Prober) recordStatus(t *target, st contract.LeafStatus) bool {
	changed := !t.hasStatus || !slices.EqualFunc(t.status.Indexes, st.Indexes, sameIndex)
	starting := st.State == contract.LeafStarting && (!t.hasStatus || t.status.State != contract.LeafStarting)
	t.hasStatus, t.status, t.statusAt = true, st, p.clock()
	p.updateDraining(t)
	p.gates.ReportLoad(t.leaf.Addr, st.InFlight, st.Slots)
	if starting {
		p.gates.StartRamp(t.leaf.Addr)
	}
	return changed
}

func sameIndex(a, b contract.LeafIndex) bool {
	return a.Service == b.Service && a.Version == b.Version && a.Shards == b.Shards && slices.Equal(a.HeldShards, b.HeldShards)
}

// pollPlatform polls the platform's list of leaving VMs until ctx is done. If the list cannot
// be fetched, the last one is used for platformListMaxAge and then discarded: after that only
// the settings and the leaves' own status tell which leaves are draining.
func (p *Prober) pollPlatform(ctx context.Context) {
	defer p.platform.client.CloseIdleConnections()
	failing := false
	for {
		leaving, err := p.platform.fetch(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil && !failing {
			klog.Warningf("leaf: fetching the platform's VM list failed: %v", err)
		}
		failing = err != nil
		if err == nil || time.Since(p.platform.fetchedAt) > platformListMaxAge {
			p.setLeaving(leaving)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(jittered(p.platform.interval)):
		}
	}
}

// setLeaving replaces the set of leaving VMs and updates the leaves whose state changes.
func (p *Prober) setLeaving(leaving map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaving = leaving
	for _, t := range p.targets {
		was := t.draining
		p.updateDraining(t)
		if t.draining == was {
			continue
		}
		t.live = p.isLive(t)
		for _, name := range t.services {
			p.rebuildCatalog(name)
		}
	}
}
