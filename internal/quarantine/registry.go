package quarantine

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"

	"pearmoor/internal/settings"
	"pearmoor/internal/vm"
)

const (
	// maxObservations bounds the fingerprints that a daemon remembers from its own
	// observations.
	mostLocal = 1024
	// maxTrialsWithoutLeader is how often a daemon that cannot reach the leader tries a
	// suspected request.
	loneTrials = 1
)

var (
	suspectGauge = metrics.GetOrRegisterGauge("quarantine.suspected", metrics.DefaultRegistry)
	blockedGauge = metrics.GetOrRegisterGauge("quarantine.blocked", metrics.DefaultRegistry)
	lonelyTrials = metrics.GetOrRegisterCounter("quarantine.trials.without_leader", metrics.DefaultRegistry)
)

// Ruling is how a request may be handled.
type Ruling uint8

// The rulings.
const (
	Free    Ruling = iota // no restriction
	Canary                // matches a wider scope of a suspected request: sent to one leaf first
	Suspect               // as Canary, and tried by one daemon at a time
	Blocked               // not sent to any leaf
)

var rulingNames = [...]string{Free: "free", Canary: "canary", Suspect: "suspect", Blocked: "blocked"}

// String returns the ruling as one word.
func (r Ruling) String() string { return rulingNames[r] }

// Leader is a daemon's connection to the leader of the control group.
type Leader interface {
	// Report delivers reports of attempts.
	Report(ctx context.Context, reports []*Report) error
	// Try asks for permission to try a suspected request.
	Try(ctx context.Context, f Fingerprint) (Grant, error)
	// Release returns the permission after a trial that did not reach a leaf.
	Release(ctx context.Context, f Fingerprint) error
}

// Registry is what one daemon knows about requests that crash leaves: the cases agreed by
// the control group and its own observations since. It is safe for concurrent use.
type Registry struct {
	clock  vm.Clock
	leader Leader
	queued chan struct{} // signals that queue is not empty

	known   atomic.Bool   // there are cases or observations to check requests against
	version atomic.Uint64 // version of the tree that cases was read from

	mu     sync.Mutex
	agreed Cases
	local  map[Fingerprint]*sighting // own observations
	queue  []queuedReport            // reports that wait for the leader
}

// observation is what this daemon has observed of a fingerprint.
type sighting struct {
	cleared bool       // a leaf answered the request
	tried   int        // trials made without the leader
	until   vm.Instant // the observation is discarded then
}

// NewRegistry returns a Registry without cases.
func NewRegistry(clock vm.Clock, leader Leader) *Registry {
	return &Registry{clock: clock, leader: leader, queued: make(chan struct{}, 1), local: make(map[Fingerprint]*sighting)}
}

// Empty reports whether no request is suspected or blocked, so that lookups can be skipped.
func (g *Registry) Empty() bool { return g == nil || !g.known.Load() }

// Update reads the cases from a version of the settings tree, unless a version at least as
// new has been read.
func (g *Registry) Observe(version uint64, t *settings.Tree) {
	if g == nil || t == nil || g.version.Load() >= version {
		return
	}
	cases := FromTree(t)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.version.Load() < version {
		g.install(cases)
		g.version.Store(version)
	}
}

// SetCases replaces the cases agreed by the control group.
func (g *Registry) Install(cases Cases) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.install(cases)
}

func (g *Registry) install(cases Cases) {
	blocked := 0
	for f, c := range cases {
		if c.Blocked {
			blocked++
		}
		if before, known := g.agreed[f]; !known || before.Blocked != c.Blocked {
			klog.Infof("quarantine: request=%s blocked=%v leaf_ends=%d crashes=%d attempts=%d what=%q", f, c.Blocked, c.Ends, c.Crashes, c.Attempts, c.Request)
		}
	}
	for f := range g.agreed {
		if _, ok := cases[f]; !ok {
			klog.Infof("quarantine: request=%s is free", f)
		}
	}
	g.agreed = cases
	suspectGauge.Update(int64(len(cases) - blocked))
	blockedGauge.Update(int64(blocked))
	g.note()
}

// updateNonEmpty recomputes nonEmpty. The caller holds g.mu.
func (g *Registry) note() { g.known.Store(len(g.agreed)+len(g.local) > 0) }

// Check returns how a request with the fingerprints may be handled.
func (g *Registry) Rule(fs Fingerprints) Ruling {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := Free
	for w, f := range fs {
		suspect := Canary
		if Width(w) == Exact {
			suspect = Suspect
		}
		switch c, known := g.agreed[f]; {
		case known && c.Blocked:
			return Blocked
		case g.suspects(f, known):
			out = max(out, suspect)
		}
	}
	return out
}

// isSuspected reports whether a fingerprint is suspected: by this daemon's own observation
// if it has one, otherwise if a case exists. The caller holds g.mu.
func (g *Registry) suspects(f Fingerprint, agreed bool) bool {
	s := g.local[f]
	switch {
	case s == nil:
		return agreed
	case g.clock() >= s.until:
		delete(g.local, f)
		g.note()
		return agreed
	}
	return !s.cleared
}

// Try asks the leader whether a suspected request may be sent to a leaf now. Each Granted
// must be followed by Report or Release.
func (g *Registry) Try(ctx context.Context, f Fingerprint) Grant {
	grant, err := g.leader.Try(ctx, f)
	if err == nil {
		return grant
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.seen(f)
	grant = Wait
	if s.tried < loneTrials {
		s.tried++
		lonelyTrials.Inc(1)
		grant = Granted
	}
	klog.Warningf("quarantine: request=%s granted=%v without the leader: %v", f, grant == Granted, err)
	return grant
}

// refresh returns the observation of a fingerprint, creating it if needed, and extends its
// lifetime. The caller holds g.mu.
func (g *Registry) seen(f Fingerprint) *sighting {
	s := g.local[f]
	if s == nil {
		g.sweep()
		s = &sighting{}
		g.local[f] = s
	}
	s.until = g.clock().Add(reportFor)
	g.note()
	return s
}

// evictObservations removes expired observations and, at maxObservations, the one that
// expires next.
func (g *Registry) sweep() {
	now := g.clock()
	var next Fingerprint
	least := vm.Instant(0)
	for f, s := range g.local {
		if now >= s.until {
			delete(g.local, f)
		} else if least == 0 || s.until < least {
			next, least = f, s.until
		}
	}
	if len(g.local) >= mostLocal {
		klog.Warningf("quarantine: request=%s is forgotten here: %d others were seen since", next, len(g.local))
		delete(g.local, next)
	}
}

// Release returns the permission for a trial that did not reach a leaf.
func (g *Registry) Release(f Fingerprint) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), reportPause)
		defer cancel()
		if err := g.leader.Release(ctx, f); err != nil {
			klog.V(1).Infof("quarantine: failed to release the trial of request=%s, which will expire: %v", f, err)
		}
	}()
}
