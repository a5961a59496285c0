package admit

import (
	"sync"

	"pearmoor/internal/vm"
)

// budgetBurst is the maximum number of unspent extra attempts.
const budgetBurst = 10

// Budget limits extra attempts (hedges and retries) relative to primary attempts:
// over any period at most ratio times the primaries, plus minPerSecond for each
// second, plus budgetBurst. Extra attempts earn nothing, so when every attempt
// fails, retries can't pay for further retries.
type Budget struct {
	ratio        func() float64
	minPerSecond float64
	clock        vm.Clock

	mu         sync.Mutex
	tokens     float64
	refilledAt vm.Instant
}

// NewBudget returns a budget with one extra attempt available. ratio returns the
// allowed extra attempts per primary, in 0..1, and is called on each use; while it
// returns 0, no extra attempt is allowed. minPerSecond is earned regardless of
// traffic, so that a service with few requests can hedge.
func NewBudget(ratio func() float64, minPerSecond float64, clock vm.Clock) *Budget {
	return &Budget{ratio: ratio, minPerSecond: minPerSecond, clock: clock, tokens: 1, refilledAt: clock()}
}

// Primary records a first attempt.
func (b *Budget) Primary() {
	r := b.ratio()
	b.mu.Lock()
	b.tokens = min(budgetBurst, b.tokens+r)
	b.mu.Unlock()
}

// Spend takes one extra attempt from the budget and reports whether one was available.
func (b *Budget) Spend() bool {
	if b.ratio() <= 0 {
		budgetDenied.Inc(1)
		return false
	}
	now := b.clock()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(budgetBurst, b.tokens+b.minPerSecond*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
	if b.tokens < 1 {
		budgetDenied.Inc(1)
		return false
	}
	b.tokens--
	return true
}

// Refund returns an extra attempt that was taken but not sent.
func (b *Budget) Refund() {
	b.mu.Lock()
	b.tokens = min(budgetBurst, b.tokens+1)
	b.mu.Unlock()
}
