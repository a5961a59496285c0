package admit

import (
	"sync"

	"pearmoor/internal/vm"
)

// budgetBurst is the most extra attempts that can be saved up.
const budgetBurst = 10

// Budget bounds extra attempts, hedges or retries, by the primary ones: over
// any time at most ratio times the primaries, plus floor a second, plus
// budgetBurst. Only primaries earn, so a fault that makes every attempt fail
// can't earn the means of its own amplification.
type Budget struct {
	ratio func() float64
	floor float64
	clock vm.Clock

	mu     sync.Mutex
	tokens float64
	last   vm.Instant
}

// NewBudget returns a budget with one extra attempt saved up. ratio, extra
// attempts per primary in 0..1, is read anew each time, and 0 shuts the budget.
// floor, in attempts per second, lets a service of little traffic hedge.
func NewBudget(ratio func() float64, floor float64, clock vm.Clock) *Budget {
	return &Budget{ratio: ratio, floor: floor, clock: clock, tokens: 1, last: clock()}
}

// Primary counts a first attempt.
func (b *Budget) Primary() {
	r := b.ratio()
	b.mu.Lock()
	b.tokens = min(budgetBurst, b.tokens+r)
	b.mu.Unlock()
}

// Spend takes one extra attempt and reports whether the budget had it.
func (b *Budget) Spend() bool {
	if b.ratio() <= 0 {
		budgetDenied.Inc(1)
		return false
	}
	now := b.clock()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(budgetBurst, b.tokens+b.floor*now.Sub(b.last).Seconds())
	b.last = now
	if b.tokens < 1 {
		budgetDenied.Inc(1)
		return false
	}
	b.tokens--
	return true
}

// Refund gives back an extra attempt that was not sent.
func (b *Budget) Refund() {
	b.mu.Lock()
	b.tokens = min(budgetBurst, b.tokens+1)
	b.mu.Unlock()
}
