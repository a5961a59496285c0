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

// machine drives two gates through random shares, arrivals for one or both,
// outcomes, pauses of the process and lapses of the lease, and holds after each
// step what must always hold at the leaves.
type machine struct {
	w        *world
	slots    map[string]int
	flying   map[string][]*Permit
	waiting  []*waiter
	deadline map[*waiter]vm.Instant
}

// collect takes in how waits have ended since the last step.
func (m *machine) collect(t *rapid.T) {
	kept := m.waiting[:0]
	for _, x := range m.waiting {
		r, ok := x.ended()
		switch {
		case !ok:
			kept = append(kept, x)
		case r.permit != nil:
			if r.permit.granted >= m.w.fence.end() {
				t.Fatal("a permit was granted after the lease ran out")
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
		t.Fatalf("respected is %v", m.w.Respected())
	}
	for _, x := range m.waiting {
		if m.deadline[x] < m.w.now {
			t.Fatal("a request waits past its deadline")
		}
	}
}

func (m *machine) checkGate(t *rapid.T, leaf string) {
	gt := m.w.get(leaf)
	if gt == nil {
		if len(m.flying[leaf]) > 0 {
			t.Fatal("the gate was forgotten while in use")
		}
		return
	}
	gt.queue.prune()
	if len(gt.flying) != len(m.flying[leaf]) {
		t.Fatalf("%d in flight; expected %d", len(gt.flying), len(m.flying[leaf]))
	}
	if gt.queue.len() > len(m.waiting) {
		t.Fatalf("%d wait of %d", gt.queue.len(), len(m.waiting))
	}
	if gt.queue.len() == 0 {
		return
	}
	if gt.closed(m.w.now) == nil && gt.room(m.w.now) {
		t.Fatal("requests wait while there is room")
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
				t.Skip("nobody waits")
			}
			at := rapid.IntRange(0, len(m.waiting)-1).Draw(t, "which")
			x := m.waiting[at]
			if !x.claim() {
				t.Fatal("a wait that has not ended can't be left")
			}
			m.waiting = append(m.waiting[:at:at], m.waiting[at+1:]...)
			x.leaveQueues(m.w.find(nil, leaves))
		},
		"pause": func(t *rapid.T) {
			// The process stands still: time passes, no timer fires, the lease ends.
			m.w.now = m.w.now.Add(10 * time.Second)
			for _, leaf := range leaves {
				for _, p := range m.flying[leaf] {
					if m.w.now >= m.w.fence.end() && p.Check() == nil {
						t.Fatal("a permit passes after the lease ran out")
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
		t.Skip("no leaf")
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
			t.Fatalf("a permit with %d in flight of %d", before[leaf], m.slots[leaf])
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
	p.Done(Answered, 0) // a second call counts for nothing
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

// Whatever the arrivals, ordinary requests wait for at most ordinaryTurn-1
// urgent grants in a row, hedges go first in their class, then deadlines order
// it, and the order foreseen is the order granted.
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
					t.Skip("empty")
				}
				var order []*waiter
				q.each(func(w *waiter, ahead float64) bool {
					if int(ahead) != len(order) {
						t.Fatalf("%v ahead of number %d", ahead, len(order))
					}
					order = append(order, w)
					return true
				})
				ordinary := len(q.class[settings.Ordinary])
				w := q.pop()
				if w != order[0] {
					t.Fatal("the order foreseen is not the order granted")
				}
				for _, o := range q.class[w.Priority] {
					if o.before(w) {
						t.Fatal("one that goes before was passed over")
					}
				}
				if w.Priority == settings.Urgent && ordinary > 0 {
					urgentRun++
				} else {
					urgentRun = 0
				}
				if urgentRun >= ordinaryTurn {
					t.Fatal("ordinary requests starve")
				}
			},
		})
	})
}

// An overload reaches twenty homes, each in its own order of arrival. If each
// dropped other queries, nearly every query would lose some of its services.
// All homes must keep the same ones, and hedges and urgent requests last.
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
			t.Fatalf("one home keeps %v, the other %v", one, other)
		}
		if len(one) != min(n, limit) {
			t.Fatalf("%d kept of %d with places for %d", len(one), n, limit)
		}
	})
}

// Every attempt of a fleet fails and everybody hedges and retries at once. What
// is spent stays within ratio x primaries + floor x time + the burst, for each
// stretch of time, however the calls fall.
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
					t.Fatalf("%v extra attempts; at most %v", spent, most)
				}
				if ratio == 0 && spent > 0 {
					t.Fatal("a budget of 0 was spent from")
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
