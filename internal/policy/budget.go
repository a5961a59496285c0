package policy

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"pearmoor/internal/vm"
)

// BudgetTerms bound the extra sends to one service, from all daemons together: in
// any Window, Ratio times its requests and Burst.
type BudgetTerms struct {
	Ratio  float64
	Burst  float64
	Window time.Duration
}

// unknownDaemons stands for the number of daemons while no membership is known.
const unknownDaemons = 100

func known(daemons int) int {
	if daemons <= 0 {
		return unknownDaemons
	}
	return daemons
}

const (
	budgetSlots = 20
	// budgetUse is the part of the terms that this daemon allows itself: requests
	// of daemons that are counted by others a moment later, and a member that the
	// others don't know of yet, must not add up to more than the whole.
	budgetUse = 0.85
	// hedgeUse is the part of the allowance that hedges may use up; the rest is
	// kept for requests whose leaf has failed.
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
	most     int // daemons that shared the terms in the last windows
	mostAt   vm.Instant
}

// NewBudgets returns budgets that share terms with daemons() others.
func NewBudgets(terms BudgetTerms, clock vm.Clock, daemons func() int) *Budgets {
	return &Budgets{terms: terms, clock: clock, started: clock(), daemons: daemons, services: make(map[string]*budget)}
}

// budget counts the requests and the extra sends of a window and one slot more.
type budget struct {
	slot     int64 // number of the newest
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

// Request counts a request for the service.
func (b *Budgets) Request(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	x := b.of(service)
	x.requests[x.slot%(budgetSlots+1)]++
}

// Spend takes one extra send. A hedge, which may not be needed, leaves a part of
// the allowance to retries.
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

// allowed returns this daemon's part of the terms. A daemon that was killed and
// starts again has forgotten what it spent: for one window it goes without the
// burst, so that a restart does not hand the burst out twice.
func (b *Budgets) allowed(x *budget) float64 {
	out := b.terms.Ratio * float64(sum(&x.requests))
	if b.clock().Sub(b.started) > b.terms.Window {
		out += b.terms.Burst / float64(b.sharers())
	}
	return out * budgetUse
}

// sharers returns how many daemons share the burst: the most there were in the last
// two windows. What a daemon spent before it was lost still counts, so its share
// goes to the others only when that is past.
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
