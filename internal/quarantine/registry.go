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
	// mostLocal bounds the fingerprints that a daemon suspects by itself.
	mostLocal = 1024
	// loneTrials is how often a daemon that does not reach the leader tries a request.
	loneTrials = 1
)

var (
	suspectGauge = metrics.GetOrRegisterGauge("quarantine.suspected", metrics.DefaultRegistry)
	blockedGauge = metrics.GetOrRegisterGauge("quarantine.blocked", metrics.DefaultRegistry)
	lonelyTrials = metrics.GetOrRegisterCounter("quarantine.trials.without_leader", metrics.DefaultRegistry)
)

// Ruling is what may be done with a request.
type Ruling uint8

// The rulings.
const (
	Free    Ruling = iota
	Canary         // it is like suspected ones: it is sent to one leaf first
	Suspect        // as Canary, and by one daemon at a time
	Blocked        // it reaches no leaf
)

var rulingNames = [...]string{Free: "free", Canary: "canary", Suspect: "suspect", Blocked: "blocked"}

// String returns the ruling in one word.
func (r Ruling) String() string { return rulingNames[r] }

// Leader is the leader of the control group, as a daemon reaches it.
type Leader interface {
	// Report hands over what became of attempts.
	Report(ctx context.Context, reports []*Report) error
	// Try asks for permission to try a suspected request.
	Try(ctx context.Context, f Fingerprint) (Grant, error)
	// Release gives that back, since no leaf was reached.
	Release(ctx context.Context, f Fingerprint) error
}

// Registry is what one daemon knows of requests that crash leaves: what is agreed, and
// what it has observed itself since. It is safe for concurrent use.
type Registry struct {
	clock  vm.Clock
	leader Leader
	queued chan struct{}

	known   atomic.Bool   // there is a request to check others against
	version atomic.Uint64 // of the tree that agreed is of

	mu     sync.Mutex
	agreed Cases
	local  map[Fingerprint]*sighting
	queue  []queuedReport
}

// sighting is what this daemon has observed of a fingerprint.
type sighting struct {
	cleared bool // a leaf answered it
	tried   int  // trials made without the leader
	until   vm.Instant
}

// NewRegistry returns a registry that knows nothing.
func NewRegistry(clock vm.Clock, leader Leader) *Registry {
	return &Registry{clock: clock, leader: leader, queued: make(chan struct{}, 1), local: make(map[Fingerprint]*sighting)}
}

// Empty reports whether no request is suspected or blocked, so that none need be looked up.
func (g *Registry) Empty() bool { return g == nil || !g.known.Load() }

// Observe takes in what a version of the settings tree holds.
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

// Install puts what is agreed in place.
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

// note keeps known; the lock is held.
func (g *Registry) note() { g.known.Store(len(g.agreed)+len(g.local) > 0) }

// Rule says what may be done with a request.
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

// suspects reports whether anything is held against a fingerprint; the lock is held.
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

// Try asks whether a suspected request may be sent to a leaf now. Every Granted ends in
// Report or Release.
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

// seen returns what this daemon has seen of a request; the lock is held.
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

// sweep forgets what is settled, and at mostLocal whatever runs out next.
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

// Release gives a trial back that reached no leaf.
func (g *Registry) Release(f Fingerprint) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), reportPause)
		defer cancel()
		if err := g.leader.Release(ctx, f); err != nil {
			klog.V(1).Infof("quarantine: trial of request=%s not given back, it runs out: %v", f, err)
		}
	}()
}
