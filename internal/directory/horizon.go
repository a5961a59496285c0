package directory

import (
	"sync"
	"time"

	"pearmoor/internal/relay"
	"pearmoor/internal/vm"
)

// Horizon knows how long address lists may still be kept by callers. A daemon
// that leaves serves on until no list that names it can be in use. The newest
// lifetime alone would be too short after an operator lowered it: a list handed
// out a moment before, here or by a daemon that follows later, is kept for as
// long as it said.
type Horizon struct {
	mu      sync.Mutex
	longest time.Duration // of the lists that some daemon may hand out now
	until   vm.Instant    // lists of former lifetimes are kept to here
}

// Observe takes note of a view. Every view has to be observed, in order.
func (h *Horizon) Observe(v *relay.View, now vm.Instant) {
	if v == nil || v.Tree == nil {
		return
	}
	longest := v.Tree.Tier().AddressLifetime
	for _, older := range v.Older { // in use by daemons that have not confirmed yet
		longest = max(longest, older.Tree.Tier().AddressLifetime)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if longest < h.longest {
		h.until = max(h.until, now.Add(h.longest))
	}
	h.longest = longest
}

// Wait returns how long a list handed out up to now may still be kept.
func (h *Horizon) Wait(now vm.Instant) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(h.longest, h.until.Sub(now))
}
