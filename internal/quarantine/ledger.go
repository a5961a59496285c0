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
	// mostCases bounds the fingerprints that are agreed on.
	mostCases = 1024
	// trialTime is how long a trial that is not reported holds up the next one.
	trialTime = 10 * time.Second
)

// Ledger is what the leader of the control group knows beside the agreed cases: which
// trial is under way, and when the last report came. It is safe for concurrent use.
type Ledger struct {
	clock vm.Clock

	mu     sync.Mutex
	trials map[Fingerprint]vm.Instant // until when
	last   map[Fingerprint]vm.Instant
}

// NewLedger returns an empty ledger.
func NewLedger(clock vm.Clock) *Ledger {
	return &Ledger{clock: clock, trials: make(map[Fingerprint]vm.Instant), last: make(map[Fingerprint]vm.Instant)}
}

// Grant is the answer to a daemon that wants to try a suspected request.
type Grant uint8

// The grants.
const (
	Denied  Grant = iota // the request is blocked
	Wait                 // another daemon tries it
	Granted              // it may be tried at one leaf
)

var grantNames = [...]string{Denied: "denied", Wait: "wait", Granted: "granted"}

// String returns the grant in one word.
func (g Grant) String() string { return grantNames[g] }

// Try answers a daemon that wants to try a request.
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

// Change is what a report made of a case.
type Change struct {
	Request Fingerprint
	Before  Case
	After   Case
	Cleared bool
	Dropped bool // to make room
}

// Apply joins reports to the cases and returns those that changed.
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
		var knew [widths]bool // before this report
		for w, f := range r.Request {
			_, knew[w] = out[f]
		}
		for w, f := range r.Request {
			before, known := out[f], knew[w]
			repeats := slices.ContainsFunc(narrower[w], func(n Width) bool { return knew[n] })
			if !r.Survived && (r.Ends == 0 && (!known || Width(w) != Exact) || !known && repeats) {
				// Without an end there is no new suspicion, and a request that is known by a
				// narrow name brings none on others that share a wide one.
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

// Release ends a trial that reached no leaf.
func (l *Ledger) Release(f Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.trials, f)
}

// drop removes the cases beyond mostCases: suspected ones first, and of each kind those
// that were not reported for the longest time.
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
