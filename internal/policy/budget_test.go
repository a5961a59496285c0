package policy

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pearmoor/internal/vm"
)

// TestMain gives rapid a fixed seed, so that every run has the same result.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "3", "rapid.checks": "100", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

type budgetEvent struct {
	when  vm.Instant
	extra bool
}

// In any window, the extra sends of all daemons together must stay within the limits, even
// when daemons are killed, lose their records and restart. While some are down, the others
// see fewer daemons to share with; they must not receive what the lost daemons have already
// spent.
func TestExtraSendsOfAllDaemonsStayWithinLimits(t *testing.T) {
	limits := BudgetLimits{Ratio: 0.2, Burst: 62, Window: 10 * time.Second}
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "daemons")
		now := vm.Instant(1)
		clock := func() vm.Instant { return now }
		daemons := make([]*Budgets, n)
		alive := n
		start := func(i int) { daemons[i] = NewBudgets(limits, clock, func() int { return alive }) }
		for i := range daemons {
			start(i)
		}
		var events []budgetEvent
		for range rapid.IntRange(100, 1500).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, n-1).Draw(t, "daemon")
			switch rapid.IntRange(0, 30).Draw(t, "what") {
			case 0:
				if daemons[i] == nil {
					start(i)
					alive++
				} else if alive > 1 {
					daemons[i] = nil
					alive--
				}
			case 1, 2, 3, 4, 5, 6, 7, 8, 9, 10:
				if daemons[i] != nil {
					daemons[i].RecordRequest("s")
					events = append(events, budgetEvent{now, false})
				}
			default:
				if daemons[i] != nil && daemons[i].Spend("s", rapid.Bool().Draw(t, "hedge")) {
					events = append(events, budgetEvent{now, true})
				}
			}
		}
		checkLimits(t, limits, events)
	})
}

// checkLimits checks each window that ends at an extra send against the limits. The number
// of requests is the largest of three windows: the one that ends at the send, the one half a
// window earlier and the one a whole window earlier.
func checkLimits(t *rapid.T, limits BudgetLimits, events []budgetEvent) {
	count := func(from, to vm.Instant, extra bool) float64 {
		n := 0.0
		for _, a := range events {
			if a.when > from && a.when <= to && a.extra == extra {
				n++
			}
		}
		return n
	}
	for _, a := range events {
		if !a.extra {
			continue
		}
		from := a.when.Add(-limits.Window)
		half := limits.Window / 2
		requests := max(count(from, a.when, false), count(from.Add(-half), a.when.Add(-half), false), count(from.Add(-limits.Window), from, false))
		if got, limit := count(from, a.when, true), limits.Ratio*requests+limits.Burst; got > limit {
			t.Fatalf("%v extra sends in the window that ends at %v, %v are allowed for %v requests", got, a.when, limit, requests)
		}
	}
}

// Hedges must leave a part of the allowance to retries of requests whose leaf has failed.
func TestHedgesLeaveAllowanceForRetries(t *testing.T) {
	now := vm.Instant(1)
	b := NewBudgets(BudgetLimits{Ratio: 0.2, Burst: 0, Window: 10 * time.Second}, func() vm.Instant { return now }, func() int { return 1 })
	for range 1000 {
		b.RecordRequest("s")
	}
	hedges, retries := 0, 0
	for b.Spend("s", true) {
		hedges++
	}
	for b.Spend("s", false) {
		retries++
	}
	if hedges != 136 || retries != 34 {
		t.Errorf("%d hedges and %d retries of the 170 that 1000 requests allow", hedges, retries)
	}
}

// Eleven daemons spend their whole shares. Then four of them lose power, and the others see
// seven daemons to share the burst with. Within the same window the others must not receive
// what the lost daemons have spent: an overloaded service would get more extra sends than
// the limits allow.
func TestSpentShareOfLostDaemonsIsNotReassigned(t *testing.T) {
	limits := BudgetLimits{Ratio: 0.2, Burst: 62, Window: 10 * time.Second}
	now, alive := vm.Instant(1), 11
	var daemons []*Budgets
	for range alive {
		daemons = append(daemons, NewBudgets(limits, func() vm.Instant { return now }, func() int { return alive }))
	}
	now = now.Add(2 * limits.Window)
	requests, extra := 0, 0
	for _, d := range daemons {
		for range 60 {
			d.RecordRequest("s")
			requests++
		}
	}
	spendAll := func(ds []*Budgets) {
		for _, d := range ds {
			for d.Spend("s", false) {
				extra++
			}
		}
	}
	spendAll(daemons)
	now = now.Add(2 * time.Second)
	alive = 7
	spendAll(daemons[:7])
	if limit := limits.Ratio*float64(requests) + limits.Burst; float64(extra) > limit*0.9 {
		t.Errorf("%d extra sends for %d requests, of %v that are allowed", extra, requests, limit)
	}
}
