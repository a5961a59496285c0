package sim

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"pearmoor/internal/policy"
	"pearmoor/internal/vm"
)

// Route is one kind of request. Each goes to all shards.
type Route struct {
	Name              string
	RequestsPerSecond float64
	Work              time.Duration // mean of the exponentially distributed time at a leaf of average speed
	TargetLatency     time.Duration // as seen by the caller
	Timeout           time.Duration
	AnswerMargin      time.Duration // how long before TargetLatency the answer is sent
	RequiredShare     float64       // of the shards that an answer must contain
	Worth             float64       // of a complete answer in time
	LateFactor        float64       // factor on the worth of a late answer
}

// Slowdown is a period in which all leaves of some shards are slower.
type Slowdown struct {
	Start, Duration time.Duration
	ShardShare      float64 // fraction of the shards
	Factor          float64
}

// Burst is a period of higher load.
type Burst struct {
	Start, Duration time.Duration
	Factor          float64
}

// Disabled says which mechanisms are switched off.
type Disabled struct {
	Hedges    bool // no second request to a shard whose reply is late
	ConnWaits bool // requests do not wait for a free connection
	LeafStats bool // leaves are chosen without their statistics
}

// Config describes one simulation.
type Config struct {
	Seed           uint64
	Duration       time.Duration
	Daemons        int
	Domains        int
	Shards         int
	LeavesPerShard int

	Slots                             int
	QueueSize                         int // requests that wait at a leaf for a slot
	MaxConns                          int // that a leaf accepts, from all daemons together
	PauseInterval                     time.Duration
	PauseDuration                     time.Duration
	SameDomainDelay, CrossDomainDelay time.Duration // one-way, to a leaf of the same or another failure domain
	CallerDelay                       time.Duration // one-way

	Routes    []Route
	Budget    policy.BudgetLimits
	Slowdowns []Slowdown
	Bursts    []Burst
	Disabled  Disabled
}

// simulation is the state of one running simulation.
type simulation struct {
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
	run func()
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

// after schedules do to run in d.
func (w *simulation) after(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.events, event{w.now.Add(max(d, 0)), w.seq, run})
}

// Run simulates cfg.Duration and then runs on until every request has been answered.
func Run(cfg Config) *Result {
	sim := &simulation{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 1)), now: 1, result: newResult(cfg)}
	for s := range cfg.Shards {
		var leaves []*leaf
		first := sim.rng.IntN(cfg.Domains)
		for c := range cfg.LeavesPerShard {
			leaves = append(leaves, newLeaf(sim, s, (first+c)%cfg.Domains))
		}
		sim.leaves = append(sim.leaves, leaves)
	}
	for i := range cfg.Daemons {
		sim.daemons = append(sim.daemons, newDaemon(sim, i%cfg.Domains))
	}
	for r := range cfg.Routes {
		sim.scheduleArrival(r)
	}
	for len(sim.events) > 0 {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.run()
	}
	return sim.result
}

// elapsed returns the virtual time since the start.
func (w *simulation) elapsed() time.Duration { return time.Duration(w.now - 1) }

// scheduleArrival schedules the next request of a route.
func (w *simulation) scheduleArrival(route int) {
	rate := w.cfg.Routes[route].RequestsPerSecond
	for _, b := range w.cfg.Bursts {
		if at := w.elapsed(); at >= b.Start && at < b.Start+b.Duration {
			rate *= b.Factor
		}
	}
	w.after(time.Duration(w.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		if w.elapsed() >= w.cfg.Duration {
			return
		}
		w.daemons[w.rng.IntN(len(w.daemons))].startGather(route)
		w.scheduleArrival(route)
	})
}
