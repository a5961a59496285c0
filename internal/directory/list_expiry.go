package directory

import (
	"sync"
	"time"

	"pearmoor/internal/relay"
	"pearmoor/internal/vm"
)

// ListExpiry tracks how long callers may keep using address lists. A daemon that
// shuts down continues to serve until every list that names it has expired. The
// current lifetime alone is too short after an operator lowers it: lists handed out
// earlier, or by a daemon that applies the change later, keep their longer lifetime.
type ListExpiry struct {
	mu               sync.Mutex
	maxLifetime      time.Duration // of the lists that any daemon may hand out now
	formerListsUntil vm.Instant    // when lists with former, longer lifetimes have expired
}

// Observe updates the lifetimes from a view. It must be called for every view, in order.
func (e *ListExpiry) Observe(v *relay.View, now vm.Instant) {
	if v == nil || v.Tree == nil {
		return
	}
	maxLifetime := v.Tree.Tier().AddressLifetime
	for _, older := range v.OlderVersions { // in use by daemons that have not confirmed the newest version
		maxLifetime = max(maxLifetime, older.Tree.Tier().AddressLifetime)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if maxLifetime < e.maxLifetime {
		e.formerListsUntil = max(e.formerListsUntil, now.Add(e.maxLifetime))
	}
	e.maxLifetime = maxLifetime
}

// Remaining returns how long a list handed out up to now may still be in use.
func (e *ListExpiry) Remaining(now vm.Instant) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(e.maxLifetime, e.formerListsUntil.Sub(now))
}
