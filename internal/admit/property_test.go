package admit

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pearmoor/internal/contract"
	"pearmoor/internal/settings"
	"pearmoor/internal/vm"
)

var testLeaves = []string{leafA, "10.0.0.2:80"}

// gateModel drives two gates through random shares, requests for one or both leaves,
// outcomes, process pauses and lease expiries, and checks the gates' invariants
// after each action.
type gateModel struct {
	gates    *testGates
	slots    map[string]int
	inFlight map[string][]*Permit
	waiting  []*waiter
	deadline map[*waiter]vm.Instant
}

// collectEnded handles the waits that ended since the last action.
func (m *gateModel) collectEnded(t *rapid.T) {
	stillWaiting := m.waiting[:0]
	for _, x := range m.waiting {
		r, ok := x.outcome()
		switch {
		case !ok:
			stillWaiting = append(stillWaiting, x)
		case r.permit != nil:
			if r.permit.granted >= m.gates.lease.end() {
				t.Fatal("a permit was granted after the lease expired")
			}
			m.addInFlight(r.permit)
		case contract.VerdictOf(r.err) != contract.NotRun:
			t.Fatalf("refused with %v", r.err)
		}
		if _, twice := x.outcome(); twice {
			t.Fatal("a wait ended twice")
		}
	}
	m.waiting = stillWaiting
}

func (m *gateModel) addInFlight(p *Permit) {
	m.inFlight[p.gate.leaf] = append(m.inFlight[p.gate.leaf], p)
}

func (m *gateModel) check(t *rapid.T) {
	m.collectEnded(t)
	withinLimits := true
	for _, leaf := range testLeaves {
		m.checkGate(t, leaf)
		withinLimits = withinLimits && len(m.inFlight[leaf]) <= m.slots[leaf]
	}
	if m.gates.WithinLimits() != withinLimits {
		t.Fatalf("WithinLimits returns %v", m.gates.WithinLimits())
	}
	for _, x := range m.waiting {
		if m.deadline[x] < m.gates.now {
			t.Fatal("a request is still queued after its deadline")
		}
	}
}

func (m *gateModel) checkGate(t *rapid.T, leaf string) {
	gt := m.gates.gateOf(leaf)
	if gt == nil {
		if len(m.inFlight[leaf]) > 0 {
			t.Fatal("the gate was removed while permits were held")
		}
		return
	}
	gt.queue.prune()
	if len(gt.inFlight) != len(m.inFlight[leaf]) {
		t.Fatalf("gate has %d in flight, want %d", len(gt.inFlight), len(m.inFlight[leaf]))
	}
	if gt.queue.len() > len(m.waiting) {
		t.Fatalf("gate has %d waiters, but only %d requests wait", gt.queue.len(), len(m.waiting))
	}
	if gt.queue.len() == 0 {
		return
	}
	if gt.closedError(m.gates.now) == nil && gt.canStart(m.gates.now) {
		t.Fatal("requests wait although one may start")
	}
	if gt.timer == nil {
		t.Fatal("requests wait and no timer is set")
	}
}

func (m *gateModel) actions() map[string]func(*rapid.T) {
	leafGen := rapid.SampledFrom(testLeaves)
	return map[string]func(*rapid.T){
		"": m.check,
		"configure": func(t *rapid.T) {
			leaf := leafGen.Draw(t, "leaf")
			m.slots[leaf] = rapid.IntRange(0, 4).Draw(t, "slots")
			m.gates.Configure(leaf, Limits{Slots: m.slots[leaf], MaxQueue: rapid.IntRange(0, 6).Draw(t, "queue"), Ramp: time.Second})
		},
		"ask":  m.request,
		"done": m.done,
		"advance": func(t *rapid.T) {
			m.gates.advance(time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * ms)
		},
		"renew": func(t *rapid.T) {
			m.gates.SetLeaseEnd(m.gates.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * ms))
		},
		"drain": func(t *rapid.T) { m.gates.SetDraining(leafGen.Draw(t, "leaf"), rapid.Bool().Draw(t, "on")) },
		"ramp":  func(t *rapid.T) { m.gates.StartRamp(leafGen.Draw(t, "leaf")) },
		"leave": func(t *rapid.T) {
			if len(m.waiting) == 0 {
				t.Skip("no request is waiting")
			}
			i := rapid.IntRange(0, len(m.waiting)-1).Draw(t, "which")
			x := m.waiting[i]
			if !x.claim() {
				t.Fatal("a waiter without a result can't be claimed")
			}
			m.waiting = append(m.waiting[:i:i], m.waiting[i+1:]...)
			x.removeFromQueues(m.gates.gatesOf(nil, testLeaves))
		},
		"pause": func(t *rapid.T) {
			// The process is paused: time passes, no timer fires, and the lease may expire.
			m.gates.now = m.gates.now.Add(10 * time.Second)
			for _, leaf := range testLeaves {
				for _, p := range m.inFlight[leaf] {
					if m.gates.now >= m.gates.lease.end() && p.Check() == nil {
						t.Fatal("a permit is valid after the lease expired")
					}
				}
			}
			m.gates.advance(0)
		},
	}
}

func (m *gateModel) request(t *rapid.T) {
	candidates := testLeaves[rapid.IntRange(0, 1).Draw(t, "from"):rapid.IntRange(1, 2).Draw(t, "to")]
	if len(candidates) == 0 {
		t.Skip("no leaf drawn")
	}
	req := PermitRequest{
		Priority: settings.Priority(rapid.IntRange(0, 1).Draw(t, "priority")),
		Hedge:    rapid.Bool().Draw(t, "hedge"),
		ShedRank: rapid.Uint64Range(0, 3).Draw(t, "order"),
	}
	d := time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * ms
	before := map[string]int{}
	for _, leaf := range candidates {
		before[leaf] = len(m.inFlight[leaf])
	}
	p, x, err := m.gates.requestAny(d, req, candidates...)
	switch {
	case p != nil:
		if leaf := p.gate.leaf; before[leaf] >= m.slots[leaf] {
			t.Fatalf("permit granted with %d in flight, limit %d", before[leaf], m.slots[leaf])
		}
		m.addInFlight(p)
	case x != nil:
		m.waiting = append(m.waiting, x)
		m.deadline[x] = m.gates.now.Add(d)
	case contract.VerdictOf(err) != contract.NotRun:
		t.Fatalf("refused with %v", err)
	}
}

func (m *gateModel) done(t *rapid.T) {
	leaf := rapid.SampledFrom(testLeaves).Draw(t, "leaf")
	permits := m.inFlight[leaf]
	if len(permits) == 0 {
		t.Skip("nothing in flight")
	}
	i := rapid.IntRange(0, len(permits)-1).Draw(t, "which")
	p := permits[i]
	m.inFlight[leaf] = append(permits[:i:i], permits[i+1:]...)
	p.Done(Outcome(rapid.IntRange(0, int(Cancelled)).Draw(t, "outcome")), time.Duration(rapid.IntRange(0, 50).Draw(t, "after"))*ms)
	p.Done(Answered, 0) // a second call has no effect
}

func TestGateProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &gateModel{
			gates:    newTestGates(),
			slots:    make(map[string]int),
			inFlight: make(map[string][]*Permit),
			deadline: make(map[*waiter]vm.Instant),
		}
		t.Repeat(m.actions())
	})
}

// For any arrivals, ordinary requests wait for at most ordinaryInterval-1 urgent
// grants in a row, hedges go first in their class, the rest follow by deadline, and
// each predicts the order in which pop grants.
func TestQueueProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q queue
		urgentRun := 0
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				req := PermitRequest{
					Priority: settings.Priority(rapid.IntRange(0, 1).Draw(t, "priority")),
					Hedge:    rapid.Bool().Draw(t, "hedge"),
				}
				q.push(newWaiter(req, vm.Instant(rapid.IntRange(0, 100).Draw(t, "deadline")), 1))
			},
			"pop": func(t *rapid.T) {
				if q.len() == 0 {
					t.Skip("queue is empty")
				}
				var order []*waiter
				q.each(func(w *waiter, ahead float64) bool {
					if int(ahead) != len(order) {
						t.Fatalf("%v expected ahead of the waiter at index %d", ahead, len(order))
					}
					order = append(order, w)
					return true
				})
				ordinary := len(q.byPriority[settings.Ordinary])
				w := q.pop()
				if w != order[0] {
					t.Fatal("pop does not follow the order of each")
				}
				for _, other := range q.byPriority[w.Priority] {
					if other.grantedBefore(w) {
						t.Fatal("a waiter that has precedence was passed over")
					}
				}
				if w.Priority == settings.Urgent && ordinary > 0 {
					urgentRun++
				} else {
					urgentRun = 0
				}
				if urgentRun >= ordinaryInterval {
					t.Fatal("too many urgent grants in a row while ordinary requests wait")
				}
			},
		})
	})
}

// Twenty home daemons are overloaded and receive the same queries in different
// orders. If each shed different queries, nearly every query would lose some of its
// services. All must keep the same queries, and shed hedges and urgent requests last.
func TestHomesShedSameQueries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 30).Draw(t, "queries")
		limit := rapid.IntRange(1, 20).Draw(t, "queue")
		requests := make([]PermitRequest, n)
		for i := range requests {
			requests[i] = PermitRequest{
				Priority: settings.Priority(rapid.IntRange(0, 1).Draw(t, "priority")),
				Hedge:    rapid.Bool().Draw(t, "hedge"),
				ShedRank: uint64(i),
			}
		}
		survivors := func(arrivals []PermitRequest) []uint64 {
			w := newTestGates()
			w.Configure(leafA, Limits{Slots: 1, MaxQueue: limit})
			w.TryAcquire(leafA)
			var ranks []uint64
			waits := map[*waiter]uint64{}
			for _, a := range arrivals {
				_, x, _ := w.requestAny(time.Hour, a, leafA)
				waits[x] = a.ShedRank
			}
			for x, order := range waits {
				if _, ended := x.outcome(); !ended {
					ranks = append(ranks, order)
				}
			}
			slices.Sort(ranks)
			return ranks
		}
		first := survivors(rapid.Permutation(requests).Draw(t, "at one home"))
		second := survivors(rapid.Permutation(requests).Draw(t, "at another"))
		if !slices.Equal(first, second) {
			t.Fatalf("one home keeps queries %v, the other %v", first, second)
		}
		if len(first) != min(n, limit) {
			t.Fatalf("%d of %d queries kept, queue limit %d", len(first), n, limit)
		}
	})
}

// Every attempt fails and all callers hedge and retry. Over any period the extra
// attempts must stay within ratio x primaries + minPerSecond x seconds + the burst.
func TestBudgetProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := vm.Instant(0)
		ratio := rapid.Float64Range(0, 1).Draw(t, "ratio")
		minPerSecond := rapid.Float64Range(0, 5).Draw(t, "floor")
		b := NewBudget(func() float64 { return ratio }, minPerSecond, func() vm.Instant { return now })
		var primaries, spent float64
		windowStart := now
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				bound := ratio*primaries + minPerSecond*now.Sub(windowStart).Seconds() + budgetBurst + 1e-6
				if spent > bound {
					t.Fatalf("%v extra attempts, want at most %v", spent, bound)
				}
				if ratio == 0 && spent > 0 {
					t.Fatal("an extra attempt was allowed with a ratio of 0")
				}
			},
			"primary": func(*rapid.T) { b.Primary(); primaries++ },
			"storm": func(t *rapid.T) {
				for range rapid.IntRange(1, 200).Draw(t, "tries") {
					if b.Spend() {
						spent++
					}
				}
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * ms)
			},
			"restart the count": func(*rapid.T) { primaries, spent, windowStart = 0, 0, now },
		})
	})
}
