package sim

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"pearmoor/internal/policy"
	"pearmoor/internal/vm"
)

// Route is one kind of request: a gather over all shards.
type Route struct {
	Name      string
	PerSecond float64
	Work      time.Duration // mean at a leaf of usual speed, exponential
	Aim       time.Duration // target latency, counted from the caller
	Timeout   time.Duration
	Margin    time.Duration // of the aim
	Need      float64       // least share of the shards
	Worth     float64       // of an answer in time with all parts
	LateWorth float64       // of one that is late, in place of 1
}

// Spell is a time in which all copies of some shards work slower.
type Spell struct {
	From, For time.Duration
	Shards    float64 // share
	Factor    float64
}

// Burst is a time with more callers.
type Burst struct {
	From, For time.Duration
	Factor    float64
}

// Without names mechanisms that are switched off.
type Without struct {
	Hedges   bool // no second send to a shard that is late
	Waits    bool // no wait for a connection
	Learning bool // leaves are taken in turn, whatever is known of them
}

// Config is one play.
type Config struct {
	Seed    uint64
	Length  time.Duration
	Daemons int
	Domains int
	Shards  int
	Copies  int

	Slots       int
	Queue       int // requests that a leaf keeps beside those it runs
	Connections int // that a leaf accepts from all daemons together
	PauseEvery  time.Duration
	PauseFor    time.Duration
	Near, Far   time.Duration // one way to a leaf of the own and of another domain
	ToCaller    time.Duration // one way

	Routes  []Route
	Budget  policy.BudgetLimits
	Spells  []Spell
	Bursts  []Burst
	Without Without
}

// world is one play under way.
type world struct {
	cfg     Config
	rng     *rand.Rand
	now     vm.Instant
	events  events
	seq     int
	leaves  [][]*leaf // by shard
	daemons []*daemon
	result  *Result
}

type event struct {
	at  vm.Instant
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// after does something d from now.
func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.events, event{w.now.Add(max(d, 0)), w.seq, do})
}

// Run plays to the end, and until every request that came by then has its answer.
func Run(cfg Config) *Result {
	w := &world{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 1)), now: 1, result: newResult(cfg)}
	for s := range cfg.Shards {
		var copies []*leaf
		first := w.rng.IntN(cfg.Domains)
		for c := range cfg.Copies {
			copies = append(copies, newLeaf(w, s, (first+c)%cfg.Domains))
		}
		w.leaves = append(w.leaves, copies)
	}
	for i := range cfg.Daemons {
		w.daemons = append(w.daemons, newDaemon(w, i%cfg.Domains))
	}
	for r := range cfg.Routes {
		w.arrive(r)
	}
	for len(w.events) > 0 {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	return w.result
}

// passed is the time since the beginning.
func (w *world) passed() time.Duration { return time.Duration(w.now - 1) }

// arrive has the next request of a route come.
func (w *world) arrive(route int) {
	rate := w.cfg.Routes[route].PerSecond
	for _, b := range w.cfg.Bursts {
		if at := w.passed(); at >= b.From && at < b.From+b.For {
			rate *= b.Factor
		}
	}
	w.after(time.Duration(w.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		if w.passed() >= w.cfg.Length {
			return
		}
		w.daemons[w.rng.IntN(len(w.daemons))].gather(route)
		w.arrive(route)
	})
}
