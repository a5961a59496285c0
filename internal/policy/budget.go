package policy

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"pearmoor/internal/vm"
)

// BudgetLimits bounds the extra sends (hedges and retries) of all daemons together to one
// service. In any Window they may send Ratio times the number of requests, plus Burst.
type BudgetTerms struct {
	Ratio  float64
	Burst  float64
	Window time.Duration
}

// defaultDaemons is the assumed number of daemons while the membership is unknown.
const unknownDaemons = 100

// daemonsOrDefault returns daemons, or defaultDaemons if the number is unknown.
func known(daemons int) int {
	if daemons <= 0 {
		return unknownDaemons
	}
	return daemons
}

const (
	budgetSlots = 20
	// allowanceShare is the part of the limits that this daemon allows itself. The margin
	// covers requests that other daemons count a moment later and members that the other
	// daemons do not know yet; without it the sum could exceed the limits.
	budgetUse = 0.85
	// hedgeShare is the part of the allowance available to hedges. The rest is reserved for
	// retries of requests whose leaf has failed.
	hedgeUse = 0.8
)

var budgetDenied = metrics.GetOrRegisterCounter("forward.budget.denied", metrics.DefaultRegistry)

// Budgets holds one budget for each service. It is safe for concurrent use.
type Budgets struct {
	terms   BudgetTerms
	clock   vm.Clock
	started vm.Instant
	daemons func() int

	mu       sync.Mutex
	services map[string]*budget
	most     int // largest number of daemons that shared the limits in the last two windows
	mostAt   vm.Instant
}

// NewBudgets returns budgets that share limits among daemons() daemons.
func NewBudgets(terms BudgetTerms, clock vm.Clock, daemons func() int) *Budgets {
	return &Budgets{terms: terms, clock: clock, started: clock(), daemons: daemons, services: make(map[string]*budget)}
}

// budget counts the requests and the extra sends of one window plus one slot, in a ring of
// slots.
type budget struct {
	slot     int64 // number of the newest slot
	requests [budgetSlots + 1]int32
	extra    [budgetSlots + 1]int32
}

func (b *budget) advance(slot int64) {
	for n := min(slot-b.slot, budgetSlots+1); n > 0; n-- {
		b.slot = max(b.slot+1, slot-budgetSlots)
		at := b.slot % (budgetSlots + 1)
		b.requests[at], b.extra[at] = 0, 0
	}
}

func (b *Budgets) of(service string) *budget {
	x := b.services[service]
	if x == nil {
		x = &budget{slot: b.slotNow()}
		b.services[service] = x
	}
	x.advance(b.slotNow())
	return x
}

func (b *Budgets) slotNow() int64 {
	return int64(b.clock()) / int64(b.terms.Window/budgetSlots)
}

// RecordRequest counts a request for the service.
func (b *Budgets) Request(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	x := b.of(service)
	x.requests[x.slot%(budgetSlots+1)]++
}

// Spend takes one extra send from the allowance and reports whether it is permitted. Hedges
// may use only hedgeShare of the allowance, because they may turn out to be unnecessary; the
// rest is left to retries.
func (b *Budgets) Spend(service string, hedge bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	x := b.of(service)
	allowed := b.allowed(x)
	if hedge {
		allowed *= hedgeUse
	}
	if float64(sum(&x.extra)+1) > allowed {
		budgetDenied.Inc(1)
		return false
	}
	x.extra[x.slot%(budgetSlots+1)]++
	return true
}

// allowance returns this daemon's part of the limits. A daemon that was killed and restarted
// has lost its record of what it spent, so it gets no part of the burst in its first window;
// otherwise a restart would grant the burst twice.
func (b *Budgets) allowed(x *budget) float64 {
	out := b.terms.Ratio * float64(sum(&x.requests))
	if b.clock().Sub(b.started) > b.terms.Window {
		out += b.terms.Burst / float64(b.sharers())
	}
	return out * budgetUse
}

// sharers returns the number of daemons that share the burst: the maximum over the last two
// windows. What a daemon spent before it was lost still counts, so its share passes to the
// others only after that time.
func (b *Budgets) sharers() int {
	n := known(b.daemons())
	now := b.clock()
	if n >= b.most || now.Sub(b.mostAt) > 2*b.terms.Window {
		b.most, b.mostAt = n, now
	}
	return b.most
}

func sum(slots *[budgetSlots + 1]int32) int {
	n := 0
	for _, v := range slots {
		n += int(v)
	}
	return n
}
