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

var leaves = []string{leafA, "10.0.0.2:80"}

// gateModel drives two gates through random shares, requests for one or both leaves,
// outcomes, process pauses and lease expiries, and checks the gates' invariants
// after each action.
type machine struct {
	w        *world
	slots    map[string]int
	flying   map[string][]*Permit
	waiting  []*waiter
	deadline map[*waiter]vm.Instant
}

// collectEnded handles the waits that ended since the last action.
func (m *machine) collect(t *rapid.T) {
	kept := m.waiting[:0]
	for _, x := range m.waiting {
		r, ok := x.ended()
		switch {
		case !ok:
			kept = append(kept, x)
		case r.permit != nil:
			if r.permit.granted >= m.w.fence.end() {
				t.Fatal("a permit was granted after the lease expired")
			}
			m.took(r.permit)
		case contract.VerdictOf(r.err) != contract.NotRun:
			t.Fatalf("refused with %v", r.err)
		}
		if _, twice := x.ended(); twice {
			t.Fatal("a wait ended twice")
		}
	}
	m.waiting = kept
}

func (m *machine) took(p *Permit) {
	m.flying[p.gate.leaf] = append(m.flying[p.gate.leaf], p)
}

func (m *machine) check(t *rapid.T) {
	m.collect(t)
	respected := true
	for _, leaf := range leaves {
		m.checkGate(t, leaf)
		respected = respected && len(m.flying[leaf]) <= m.slots[leaf]
	}
	if m.w.Respected() != respected {
		t.Fatalf("WithinLimits returns %v", m.w.Respected())
	}
	for _, x := range m.waiting {
		if m.deadline[x] < m.w.now {
			t.Fatal("a request is still queued after its deadline")
		}
	}
}

func (m *machine) checkGate(t *rapid.T, leaf string) {
	gt := m.w.get(leaf)
	if gt == nil {
		if len(m.flying[leaf]) > 0 {
			t.Fatal("the gate was removed while permits were held")
		}
		return
	}
	gt.queue.prune()
	if len(gt.flying) != len(m.flying[leaf]) {
		t.Fatalf("gate has %d in flight, want %d", len(gt.flying), len(m.flying[leaf]))
	}
	if gt.queue.len() > len(m.waiting) {
		t.Fatalf("gate has %d waiters, but only %d requests wait", gt.queue.len(), len(m.waiting))
	}
	if gt.queue.len() == 0 {
		return
	}
	if gt.closed(m.w.now) == nil && gt.room(m.w.now) {
		t.Fatal("requests wait although one may start")
	}
	if gt.timer == nil {
		t.Fatal("requests wait and no timer is set")
	}
}

func (m *machine) steps() map[string]func(*rapid.T) {
	aLeaf := rapid.SampledFrom(leaves)
	return map[string]func(*rapid.T){
		"": m.check,
		"configure": func(t *rapid.T) {
			leaf := aLeaf.Draw(t, "leaf")
			m.slots[leaf] = rapid.IntRange(0, 4).Draw(t, "slots")
			m.w.Configure(leaf, Limits{Slots: m.slots[leaf], Queue: rapid.IntRange(0, 6).Draw(t, "queue"), Ramp: time.Second})
		},
		"ask":  m.ask,
		"done": m.done,
		"advance": func(t *rapid.T) {
			m.w.advance(time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * ms)
		},
		"renew": func(t *rapid.T) {
			m.w.Fence(m.w.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * ms))
		},
		"drain": func(t *rapid.T) { m.w.Drain(aLeaf.Draw(t, "leaf"), rapid.Bool().Draw(t, "on")) },
		"ramp":  func(t *rapid.T) { m.w.Ramp(aLeaf.Draw(t, "leaf")) },
		"leave": func(t *rapid.T) {
			if len(m.waiting) == 0 {
				t.Skip("no request is waiting")
			}
			at := rapid.IntRange(0, len(m.waiting)-1).Draw(t, "which")
			x := m.waiting[at]
			if !x.claim() {
				t.Fatal("a waiter without a result can't be claimed")
			}
			m.waiting = append(m.waiting[:at:at], m.waiting[at+1:]...)
			x.leaveQueues(m.w.find(nil, leaves))
		},
		"pause": func(t *rapid.T) {
			// The process is paused: time passes, no timer fires, and the lease may expire.
			m.w.now = m.w.now.Add(10 * time.Second)
			for _, leaf := range leaves {
				for _, p := range m.flying[leaf] {
					if m.w.now >= m.w.fence.end() && p.Check() == nil {
						t.Fatal("a permit is valid after the lease expired")
					}
				}
			}
			m.w.advance(0)
		},
	}
}

func (m *machine) ask(t *rapid.T) {
	of := leaves[rapid.IntRange(0, 1).Draw(t, "from"):rapid.IntRange(1, 2).Draw(t, "to")]
	if len(of) == 0 {
		t.Skip("no leaf drawn")
	}
	a := Ask{
		Priority: settings.Priority(rapid.IntRange(0, 1).Draw(t, "priority")),
		Hedge:    rapid.Bool().Draw(t, "hedge"),
		Order:    rapid.Uint64Range(0, 3).Draw(t, "order"),
	}
	d := time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * ms
	before := map[string]int{}
	for _, leaf := range of {
		before[leaf] = len(m.flying[leaf])
	}
	p, x, err := m.w.askAny(d, a, of...)
	switch {
	case p != nil:
		if leaf := p.gate.leaf; before[leaf] >= m.slots[leaf] {
			t.Fatalf("permit granted with %d in flight, limit %d", before[leaf], m.slots[leaf])
		}
		m.took(p)
	case x != nil:
		m.waiting = append(m.waiting, x)
		m.deadline[x] = m.w.now.Add(d)
	case contract.VerdictOf(err) != contract.NotRun:
		t.Fatalf("refused with %v", err)
	}
}

func (m *machine) done(t *rapid.T) {
	leaf := rapid.SampledFrom(leaves).Draw(t, "leaf")
	out := m.flying[leaf]
	if len(out) == 0 {
		t.Skip("nothing in flight")
	}
	at := rapid.IntRange(0, len(out)-1).Draw(t, "which")
	p := out[at]
	m.flying[leaf] = append(out[:at:at], out[at+1:]...)
	p.Done(Outcome(rapid.IntRange(0, int(Cancelled)).Draw(t, "outcome")), time.Duration(rapid.IntRange(0, 50).Draw(t, "after"))*ms)
	p.Done(Answered, 0) // a second call has no effect
}

func TestGateProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{
			w:        newWorld(),
			slots:    make(map[string]int),
			flying:   make(map[string][]*Permit),
			deadline: make(map[*waiter]vm.Instant),
		}
		t.Repeat(m.steps())
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
				a := Ask{
					Priority: settings.Priority(rapid.IntRange(0, 1).Draw(t, "priority")),
					Hedge:    rapid.Bool().Draw(t, "hedge"),
				}
				q.push(newWaiter(a, vm.Instant(rapid.IntRange(0, 100).Draw(t, "deadline")), 1))
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
				ordinary := len(q.class[settings.Ordinary])
				w := q.pop()
				if w != order[0] {
					t.Fatal("pop does not follow the order of each")
				}
				for _, o := range q.class[w.Priority] {
					if o.before(w) {
						t.Fatal("a waiter that has precedence was passed over")
					}
				}
				if w.Priority == settings.Urgent && ordinary > 0 {
					urgentRun++
				} else {
					urgentRun = 0
				}
				if urgentRun >= ordinaryTurn {
					t.Fatal("too many urgent grants in a row while ordinary requests wait")
				}
			},
		})
	})
}

// Twenty home daemons are overloaded and receive the same queries in different
// orders. If each shed different queries, nearly every query would lose some of its
// services. All must keep the same queries, and shed hedges and urgent requests last.
func TestHomesShedTheSameQueries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 30).Draw(t, "queries")
		limit := rapid.IntRange(1, 20).Draw(t, "queue")
		asks := make([]Ask, n)
		for i := range asks {
			asks[i] = Ask{
				Priority: settings.Priority(rapid.IntRange(0, 1).Draw(t, "priority")),
				Hedge:    rapid.Bool().Draw(t, "hedge"),
				Order:    uint64(i),
			}
		}
		kept := func(arrivals []Ask) []uint64 {
			w := newWorld()
			w.Configure(leafA, Limits{Slots: 1, Queue: limit})
			w.TryAcquire(leafA)
			var left []uint64
			waits := map[*waiter]uint64{}
			for _, a := range arrivals {
				_, x, _ := w.askAny(time.Hour, a, leafA)
				waits[x] = a.Order
			}
			for x, order := range waits {
				if _, ended := x.ended(); !ended {
					left = append(left, order)
				}
			}
			slices.Sort(left)
			return left
		}
		one := kept(rapid.Permutation(asks).Draw(t, "at one home"))
		other := kept(rapid.Permutation(asks).Draw(t, "at another"))
		if !slices.Equal(one, other) {
			t.Fatalf("one home keeps queries %v, the other %v", one, other)
		}
		if len(one) != min(n, limit) {
			t.Fatalf("%d of %d queries kept, queue limit %d", len(one), n, limit)
		}
	})
}

// Every attempt fails and all callers hedge and retry. Over any period the extra
// attempts must stay within ratio x primaries + minPerSecond x seconds + the burst.
func TestBudgetProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := vm.Instant(0)
		ratio := rapid.Float64Range(0, 1).Draw(t, "ratio")
		floor := rapid.Float64Range(0, 5).Draw(t, "floor")
		b := NewBudget(func() float64 { return ratio }, floor, func() vm.Instant { return now })
		var primaries, spent float64
		since := now
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				most := ratio*primaries + floor*now.Sub(since).Seconds() + budgetBurst + 1e-6
				if spent > most {
					t.Fatalf("%v extra attempts, want at most %v", spent, most)
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
			"restart the count": func(*rapid.T) { primaries, spent, since = 0, 0, now },
		})
	})
}
