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
	maxObservations = 1024
	// maxTrialsWithoutLeader is how often a daemon that has lost the leader tries a suspected
	// request.
	maxTrialsWithoutLeader = 1
)

var (
	suspectedGauge      = metrics.GetOrRegisterGauge("quarantine.suspected", metrics.DefaultRegistry)
	blockedGauge        = metrics.GetOrRegisterGauge("quarantine.blocked", metrics.DefaultRegistry)
	trialsWithoutLeader = metrics.GetOrRegisterCounter("quarantine.trials.without_leader", metrics.DefaultRegistry)
)

// Ruling is how a request may be handled.
type Ruling uint8

// The rulings.
const (
	Unrestricted Ruling = iota // no restriction
	Canary                     // matches a wider scope of a suspected request: sent to one leaf first
	Suspect                    // as Canary, and tried by one daemon at a time, see TrialScope
	Blocked                    // not sent to any leaf
)

var rulingNames = [...]string{Unrestricted: "free", Canary: "canary", Suspect: "suspect", Blocked: "blocked"}

// String returns the ruling as one word.
func (r Ruling) String() string { return rulingNames[r] }

// Leader is a daemon's connection to the leader of the control group.
type Leader interface {
	// Report delivers reports of attempts.
	Report(ctx context.Context, reports []*Report) error
	// Try asks for permission to try a suspected request.
	Try(ctx context.Context, f Fingerprint) (Grant, error)
	// Release gives the permission back after a trial that did not reach a leaf.
	Release(ctx context.Context, f Fingerprint) error
}

// Registry is what one daemon knows about requests that crash leaves: the cases agreed by
// the control group and its own observations since. It is safe for concurrent use.
type Registry struct {
	clock       vm.Clock
	leader      Leader
	queueSignal chan struct{} // signals that queue is not empty

	nonEmpty atomic.Bool   // there are cases or observations to check requests against
	version  atomic.Uint64 // version of the tree that cases was read from

	mu           sync.Mutex
	cases        Cases
	observations map[Fingerprint]*observation // own observations
	queue        []queuedReport               // reports that wait for the leader
}

// observation is what this daemon has observed of a fingerprint.
type observation struct {
	cleared bool       // a leaf answered the request
	trials  int        // trials made without the leader
	expires vm.Instant // the observation is discarded then
}

// NewRegistry returns a Registry without cases.
func NewRegistry(clock vm.Clock, leader Leader) *Registry {
	return &Registry{clock: clock, leader: leader, queueSignal: make(chan struct{}, 1), observations: make(map[Fingerprint]*observation)}
}

// Empty reports whether no request is suspected or blocked, so that lookups can be skipped.
func (g *Registry) Empty() bool { return g == nil || !g.nonEmpty.Load() }

// Update reads the cases from a version of the settings tree, unless a version at least as
// new has been read.
func (g *Registry) Update(version uint64, t *settings.Tree) {
	if g == nil || t == nil || g.version.Load() >= version {
		return
	}
	cases := CasesFromTree(t)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.version.Load() < version {
		g.setCases(cases)
		g.version.Store(version)
	}
}

// SetCases replaces the cases agreed by the control group.
func (g *Registry) SetCases(cases Cases) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.setCases(cases)
}

func (g *Registry) setCases(cases Cases) {
	blocked := 0
	for f, c := range cases {
		if c.Blocked {
			blocked++
		}
		if before, known := g.cases[f]; !known || before.Blocked != c.Blocked {
			klog.Infof("quarantine: request=%s blocked=%v leaf_ends=%d crashes=%d attempts=%d what=%q", f, c.Blocked, c.LeafExits, c.CrashedAttempts, c.UnansweredAttempts, c.Description)
		}
	}
	for f := range g.cases {
		if _, ok := cases[f]; !ok {
			klog.Infof("quarantine: request=%s is free", f)
		}
	}
	g.cases = cases
	suspectedGauge.Update(int64(len(cases) - blocked))
	blockedGauge.Update(int64(blocked))
	g.updateNonEmpty()
}

// updateNonEmpty recomputes nonEmpty. The caller holds g.mu.
func (g *Registry) updateNonEmpty() { g.nonEmpty.Store(len(g.cases)+len(g.observations) > 0) }

// Check returns how a request with the fingerprints may be handled.
func (g *Registry) Check(fs Fingerprints) Ruling {
	g.mu.Lock()
	defer g.mu.Unlock()
	ruling := Unrestricted
	for scope, f := range fs {
		switch c, known := g.cases[f]; {
		case known && c.Blocked:
			return Blocked
		case !g.isSuspected(f, known):
		case Scope(scope) == Exact || triedTogether(Scope(scope), c):
			ruling = max(ruling, Suspect)
		default:
			ruling = max(ruling, Canary)
		}
	}
	return ruling
}

// TrialScope returns the scope in which a request that is ruled Suspect is tried: AnyCaller
// if leaves exited under the attempts of several callers, which would otherwise reach a leaf
// at each daemon at once.
func (g *Registry) TrialScope(fs Fingerprints) Scope {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c, known := g.cases[fs[AnyCaller]]; g.isSuspected(fs[AnyCaller], known) && triedTogether(AnyCaller, c) {
		return AnyCaller
	}
	return Exact
}

// triedTogether reports whether the requests of a suspected wider scope are tried one at a
// time. The scopes of any query are not: they also cover requests of other content.
func triedTogether(scope Scope, c Case) bool { return scope == AnyCaller && c.hasEvidence(scope) }

// isSuspected reports whether a fingerprint is suspected: by this daemon's own observation
// if it has one, otherwise if a case exists. The caller holds g.mu.
func (g *Registry) isSuspected(f Fingerprint, hasCase bool) bool {
	s := g.observations[f]
	switch {
	case s == nil:
		return hasCase
	case g.clock() >= s.expires:
		delete(g.observations, f)
		g.updateNonEmpty()
		return hasCase
	}
	return !s.cleared
}

// Try asks the leader whether a suspected request may be sent to a leaf now. Each Granted
// must be followed by Report or Release. confirmed states that a leader has confirmed the
// cases to this run of the daemon: without that the request may have been blocked since, and
// it is not tried without the leader.
func (g *Registry) Try(ctx context.Context, f Fingerprint, confirmed bool) Grant {
	grant, err := g.leader.Try(ctx, f)
	if err == nil {
		return grant
	}
	grant = Wait
	if confirmed && g.tryWithoutLeader(f) {
		grant = Granted
	}
	klog.Warningf("quarantine: request=%s granted=%v without the leader: %v", f, grant == Granted, err)
	return grant
}

// tryWithoutLeader counts a trial and reports whether it is allowed.
func (g *Registry) tryWithoutLeader(f Fingerprint) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.refresh(f)
	if s.trials >= maxTrialsWithoutLeader {
		return false
	}
	s.trials++
	trialsWithoutLeader.Inc(1)
	return true
}

// refresh returns the observation of a fingerprint, creating it if needed, and extends its
// lifetime. The caller holds g.mu.
func (g *Registry) refresh(f Fingerprint) *observation {
	s := g.observations[f]
	if s == nil {
		g.evictObservations()
		s = &observation{}
		g.observations[f] = s
	}
	s.expires = g.clock().Add(reportTTL)
	g.updateNonEmpty()
	return s
}

// evictObservations removes expired observations and, at maxObservations, the one that
// expires next.
func (g *Registry) evictObservations() {
	now := g.clock()
	var next Fingerprint
	earliest := vm.Instant(0)
	for f, s := range g.observations {
		if now >= s.expires {
			delete(g.observations, f)
		} else if earliest == 0 || s.expires < earliest {
			next, earliest = f, s.expires
		}
	}
	if len(g.observations) >= maxObservations {
		klog.Warningf("quarantine: request=%s is forgotten here: %d others were seen since", next, len(g.observations))
		delete(g.observations, next)
	}
}

// Release gives back the permission for a trial that did not reach a leaf.
func (g *Registry) Release(f Fingerprint) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), reportRetryInterval)
		defer cancel()
		if err := g.leader.Release(ctx, f); err != nil {
			klog.V(1).Infof("quarantine: failed to release the trial of request=%s, which will expire: %v", f, err)
		}
	}()
}
