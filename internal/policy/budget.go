package policy

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"pearmoor/internal/vm"
)

// BudgetLimits bounds the extra sends (hedges and retries) of all daemons together to one
// service. In any Window they may send Ratio times the number of requests, plus Burst.
type BudgetLimits struct {
	Ratio  float64
	Burst  float64
	Window time.Duration
}

// defaultDaemons is the assumed number of daemons while the membership is unknown.
const defaultDaemons = 100

// daemonsOrDefault returns daemons, or defaultDaemons if the number is unknown.
func daemonsOrDefault(daemons int) int {
	if daemons <= 0 {
		return defaultDaemons
	}
	return daemons
}

const (
	slotsPerWindow = 20
	// allowanceShare is the part of the limits that this daemon allows itself. The margin
	// covers requests that other daemons count a moment later and members that the other
	// daemons do not know yet; without it the sum could exceed the limits.
	allowanceShare = 0.85
	// hedgeShare is the part of the allowance available to hedges. The rest is reserved for
	// retries of requests whose leaf has failed.
	hedgeShare = 0.8
)

var budgetDenied = metrics.GetOrRegisterCounter("forward.budget.denied", metrics.DefaultRegistry)

// Budgets holds one budget for each service. It is safe for concurrent use.
type Budgets struct {
	limits  BudgetLimits
	clock   vm.Clock
	started vm.Instant
	daemons func() int

	mu           sync.Mutex
	services     map[string]*serviceCounts
	maxSharers   int // largest number of daemons that shared the limits in the last two windows
	maxSharersAt vm.Instant
}

// NewBudgets returns budgets that share limits among daemons() daemons.
func NewBudgets(limits BudgetLimits, clock vm.Clock, daemons func() int) *Budgets {
	return &Budgets{limits: limits, clock: clock, started: clock(), daemons: daemons, services: make(map[string]*serviceCounts)}
}

// serviceCounts counts the requests and the extra sends of one window plus one slot, in a ring of
// slots.
type serviceCounts struct {
	slot       int64 // number of the newest slot
	requests   [slotsPerWindow + 1]int32
	extraSends [slotsPerWindow + 1]int32
}

func (b *serviceCounts) advance(slot int64) {
	for n := min(slot-b.slot, slotsPerWindow+1); n > 0; n-- {
		b.slot = max(b.slot+1, slot-slotsPerWindow)
		i := b.slot % (slotsPerWindow + 1)
		b.requests[i], b.extraSends[i] = 0, 0
	}
}

func (b *Budgets) forService(service string) *serviceCounts {
	counts := b.services[service]
	if counts == nil {
		counts = &serviceCounts{slot: b.currentSlot()}
		b.services[service] = counts
	}
	counts.advance(b.currentSlot())
	return counts
}

func (b *Budgets) currentSlot() int64 {
	return int64(b.clock()) / int64(b.limits.Window/slotsPerWindow)
}

// RecordRequest counts a request for the service.
func (b *Budgets) RecordRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := b.forService(service)
	counts.requests[counts.slot%(slotsPerWindow+1)]++
}

// Spend takes one extra send from the allowance and reports whether it is permitted. Hedges
// may use only hedgeShare of the allowance, because they may turn out to be unnecessary; the
// rest is left to retries.
func (b *Budgets) Spend(service string, hedge bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := b.forService(service)
	allowed := b.allowance(counts)
	if hedge {
		allowed *= hedgeShare
	}
	if float64(sum(&counts.extraSends)+1) > allowed {
		budgetDenied.Inc(1)
		return false
	}
	counts.extraSends[counts.slot%(slotsPerWindow+1)]++
	return true
}

// allowance returns this daemon's part of the limits. A daemon that was killed and restarted
// has lost its record of what it spent, so it gets no part of the burst in its first window;
// otherwise a restart would grant the burst twice.
func (b *Budgets) allowance(counts *serviceCounts) float64 {
	allowance := b.limits.Ratio * float64(sum(&counts.requests))
	if b.clock().Sub(b.started) > b.limits.Window {
		allowance += b.limits.Burst / float64(b.sharers())
	}
	return allowance * allowanceShare
}

// sharers returns the number of daemons that share the burst: the maximum over the last two
// windows. What a daemon spent before it was lost still counts, so its share passes to the
// others only after that time.
func (b *Budgets) sharers() int {
	n := daemonsOrDefault(b.daemons())
	now := b.clock()
	if n >= b.maxSharers || now.Sub(b.maxSharersAt) > 2*b.limits.Window {
		b.maxSharers, b.maxSharersAt = n, now
	}
	return b.maxSharers
}

func sum(slots *[slotsPerWindow + 1]int32) int {
	n := 0
	for _, v := range slots {
		n += int(v)
	}
	return n
}
