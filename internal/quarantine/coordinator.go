package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"pearmoor/internal/vm"
)

const (
	// maxCases bounds the number of cases.
	maxCases = 1024
	// trialTimeout is how long a trial without a report holds up the next one.
	trialTimeout = 10 * time.Second
)

// Coordinator is the state that the leader of the control group keeps in memory besides the
// cases: the trials in progress and when the last counted attempts were reported. It is safe
// for concurrent use.
type Coordinator struct {
	clock vm.Clock

	mu          sync.Mutex
	trials      map[Fingerprint]vm.Instant // expiry of the trials in progress
	lastCounted map[Fingerprint]vm.Instant // when the last attempt that counted was reported
}

// NewCoordinator returns a Coordinator without trials.
func NewCoordinator(clock vm.Clock) *Coordinator {
	return &Coordinator{clock: clock, trials: make(map[Fingerprint]vm.Instant), lastCounted: make(map[Fingerprint]vm.Instant)}
}

// Grant is the answer to a daemon that asks to try a suspected request.
type Grant uint8

// The grants.
const (
	Denied  Grant = iota // the request is blocked
	Wait                 // another daemon is trying it
	Granted              // the daemon may send it to one leaf
)

var grantNames = [...]string{Denied: "denied", Wait: "wait", Granted: "granted"}

// String returns the grant as one word.
func (g Grant) String() string { return grantNames[g] }

// Try answers a daemon that asks to try a request.
func (l *Coordinator) Try(cases Cases, f Fingerprint) Grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, known := cases[f]
	switch {
	case !known:
		return Granted
	case c.Blocked:
		return Denied
	}
	now := l.clock()
	maps.DeleteFunc(l.trials, func(_ Fingerprint, until vm.Instant) bool { return until <= now })
	if _, ok := l.trials[f]; ok {
		return Wait
	}
	l.trials[f] = now.Add(trialTimeout)
	return Granted
}

// Change is the effect of a report on a case.
type Change struct {
	Fingerprint Fingerprint
	Before      Case
	After       Case
	Cleared     bool
	Evicted     bool // evicted because there were too many cases
}

// Merge is the result of merging reports into the cases.
type Merge struct {
	Changes     []Change
	lastCounted map[Fingerprint]vm.Instant // see Coordinator
}

// Apply merges reports into the cases, which are not modified. Commit must follow unless the
// changes are certain not to be made: an attempt counts only once.
func (l *Coordinator) Apply(cases Cases, reports []*Report, wallTime time.Time) *Merge {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	lastCounted := maps.Clone(l.lastCounted)
	updated := maps.Clone(cases)
	if updated == nil {
		updated = make(Cases)
	}
	var changes []Change
	for _, r := range reports {
		for _, f := range r.Fingerprints {
			delete(l.trials, f)
		}
		var wasKnown [numScopes]bool // known before this report
		for scope, f := range r.Fingerprints {
			_, wasKnown[scope] = updated[f]
		}
		for scope, f := range r.Fingerprints {
			before, known := updated[f], wasKnown[scope]
			narrowerKnown := slices.ContainsFunc(narrowerScopes[scope], func(narrower Scope) bool { return wasKnown[narrower] })
			if !r.Answered && (r.LeafExits == 0 && (!known || Scope(scope) != Exact) || !known && narrowerKnown) {
				// An unanswered attempt without leaf exits starts no case; it only updates
				// that of the exact fingerprint. If a narrower fingerprint already has a case,
				// none is started for the wider scope, since that would restrict the other
				// requests of that scope.
				continue
			}
			last, seen := lastCounted[f]
			follows := !seen || now.Add(-r.Age) > last
			current := before
			if !narrowerKnown && (Scope(scope) != Exact || !known) {
				current.Variants++
			}
			next, suspected := current.withReport(r, Scope(scope), follows, wallTime.UTC().Truncate(time.Second))
			switch {
			case suspected:
				// An attempt that overlaps the last counted one must not postpone the next
				// that counts: where attempts overlap all the time, none would.
				if follows {
					lastCounted[f] = now
				}
				updated[f] = next
				changes = append(changes, Change{Fingerprint: f, Before: before, After: next})
			case known:
				delete(lastCounted, f)
				delete(updated, f)
				changes = append(changes, Change{Fingerprint: f, Before: before, Cleared: true})
			}
		}
	}
	return &Merge{Changes: append(changes, evict(updated, lastCounted)...), lastCounted: lastCounted}
}

// Commit records that the changes of a Merge have been made, or may have been.
func (l *Coordinator) Commit(m *Merge) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastCounted = m.lastCounted
}

// Release ends a trial that did not reach a leaf.
func (l *Coordinator) Release(f Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.trials, f)
}

// evict removes the cases beyond maxCases: suspected ones before blocked ones, and within
// each kind those with the oldest last report.
func evict(cases Cases, lastCounted map[Fingerprint]vm.Instant) []Change {
	if len(cases) <= maxCases {
		return nil
	}
	oldest := slices.SortedFunc(maps.Keys(cases), func(a, b Fingerprint) int {
		x, y := cases[a], cases[b]
		if x.Blocked != y.Blocked {
			if y.Blocked {
				return -1
			}
			return 1
		}
		return cmp.Or(x.LastReport.Compare(y.LastReport), slices.Compare(a[:], b[:]))
	})
	var changes []Change
	for _, f := range oldest[:len(oldest)-maxCases] {
		changes = append(changes, Change{Fingerprint: f, Before: cases[f], Evicted: true})
		delete(cases, f)
		delete(lastCounted, f)
	}
	return changes
}
