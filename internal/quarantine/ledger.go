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
	mostCases = 1024
	// trialTimeout is how long a trial without a report holds up the next one.
	trialTime = 10 * time.Second
)

// Coordinator is the state that the leader of the control group keeps in memory besides the
// cases: the trials in progress and the times of the last reports. It is safe for concurrent
// use.
type Ledger struct {
	clock vm.Clock

	mu     sync.Mutex
	trials map[Fingerprint]vm.Instant // expiry of the trials in progress
	last   map[Fingerprint]vm.Instant // time of the last report
}

// NewCoordinator returns a Coordinator without trials.
func NewLedger(clock vm.Clock) *Ledger {
	return &Ledger{clock: clock, trials: make(map[Fingerprint]vm.Instant), last: make(map[Fingerprint]vm.Instant)}
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
func (l *Ledger) Try(cases Cases, f Fingerprint) Grant {
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
	l.trials[f] = now.Add(trialTime)
	return Granted
}

// Change is the effect of a report on a case.
type Change struct {
	Request Fingerprint
	Before  Case
	After   Case
	Cleared bool
	Dropped bool // evicted because there were too many cases
}

// Apply merges reports into the cases and returns the resulting cases and the changes. The
// argument is not modified.
func (l *Ledger) Apply(cases Cases, reports []*Report, wall time.Time) (Cases, []Change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	out := maps.Clone(cases)
	if out == nil {
		out = make(Cases)
	}
	var changes []Change
	for _, r := range reports {
		delete(l.trials, r.Request[Exact])
		var knew [widths]bool // known before this report
		for w, f := range r.Request {
			_, knew[w] = out[f]
		}
		for w, f := range r.Request {
			before, known := out[f], knew[w]
			repeats := slices.ContainsFunc(narrower[w], func(n Width) bool { return knew[n] })
			if !r.Survived && (r.Ends == 0 && (!known || Width(w) != Exact) || !known && repeats) {
				// A report without leaf exits raises no new suspicion. A request that is
				// already known by a narrower fingerprint raises none against the other
				// requests of a wider scope.
				continue
			}
			last, seen := l.last[f]
			follows := !seen || now.Add(-r.Began) > last
			if !repeats && (Width(w) != Exact || !known) {
				before.Variants++
			}
			next, kept := before.after(r, Width(w), follows, wall.UTC().Truncate(time.Second))
			switch {
			case kept:
				l.last[f] = now
				out[f] = next
				changes = append(changes, Change{Request: f, Before: before, After: next})
			case known:
				delete(l.last, f)
				delete(out, f)
				changes = append(changes, Change{Request: f, Before: before, Cleared: true})
			}
		}
	}
	return out, append(changes, l.drop(out)...)
}

// Release ends a trial that did not reach a leaf.
func (l *Ledger) Release(f Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.trials, f)
}

// evict removes the cases beyond maxCases: suspected ones before blocked ones, and within
// each kind those with the oldest last report.
func (l *Ledger) drop(cases Cases) []Change {
	if len(cases) <= mostCases {
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
		return cmp.Or(x.Seen.Compare(y.Seen), slices.Compare(a[:], b[:]))
	})
	var out []Change
	for _, f := range oldest[:len(oldest)-mostCases] {
		out = append(out, Change{Request: f, Before: cases[f], Dropped: true})
		delete(cases, f)
		delete(l.last, f)
	}
	return out
}
