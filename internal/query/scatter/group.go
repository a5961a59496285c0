package scatter

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"pearmoor/internal/admit"
	"pearmoor/internal/contract"
	"pearmoor/internal/settings"
	"pearmoor/internal/vm"
)

// maxReplicas bounds the replicas considered for a shard.
const maxReplicas = 64

// Group is the state that one home keeps for a query service across jobs: learned reply
// times and budgets. It is safe for concurrent use.
type Group struct {
	gates    *admit.Gates
	sender   Sender
	clock    vm.Clock
	hedges   Budget
	retries  Budget
	latency  *Latency
	turn     atomic.Uint32  // rotates the replica that first attempts start at
	pending  sync.WaitGroup // attempts that a finished job left in flight
	lending  lending
	declines declines
	meter    *meters
}

// defaultHedgeDelay is the hedge delay while there are too few samples of the service's
// reply times.
const unlearnedDelay = 100 * time.Millisecond

// initialHedgeShare is the hedge share until the first Job states one.
const initialShare = 0.02

// NewGroup returns a Group without samples.
func NewGroup(gates *admit.Gates, sender Sender, clock vm.Clock, hedges, retries Budget) *Group {
	return &Group{
		gates: gates, sender: sender, clock: clock,
		hedges: hedges, retries: retries,
		latency: NewLatency(initialShare), meter: newMeters(metrics.DefaultRegistry),
	}
}

// Latency returns the learned reply times.
func (g *Group) Latency() *Latency { return g.latency }

// Wait waits until no attempt is in flight. Run must not be called meanwhile.
func (g *Group) Wait() { g.pending.Wait() }

// Run sends job to its shards and returns a result for every shard, at the latest when ctx
// ends.
func (g *Group) Run(ctx context.Context, job *Job) *Result {
	if job.HedgeShare > 0 {
		g.latency.SetShare(job.HedgeShare)
	}
	r := &run{g: g, job: job, shards: make([]Shard, len(job.Holders)), began: g.clock()}
	r.ctx, r.stop = context.WithCancel(ctx)
	defer r.stop()
	r.gather()
	return &Result{
		Shards: r.shards, Extra: int(r.extra.Load()), Early: r.early, RetryAfter: time.Duration(r.retryAfter.Load()),
		LeafEnds: r.guard.ends(),
	}
}

// jobRun is a Job in progress.
type run struct {
	g          *Group
	job        *Job
	ctx        context.Context
	stop       context.CancelFunc
	began      vm.Instant
	shards     []Shard
	extra      atomic.Int32
	retryAfter atomic.Int64 // nanoseconds; 0: unknown
	early      bool
	guard      guard
}

// finishedShard is the result of one shard, with its index.
type shardDone struct {
	shard uint32
	out   Shard
}

// wantedShards returns the indexes of the shards to query.
func (r *run) wanted() []uint32 {
	if len(r.job.Only) > 0 {
		return r.job.Only
	}
	all := make([]uint32, len(r.job.Holders))
	for i := range all {
		all[i] = uint32(i)
	}
	return all
}

// gather starts a goroutine for each shard and collects the results.
func (r *run) gather() {
	want := r.wanted()
	done := make(chan shardDone, len(want))
	for _, s := range want {
		go func() { done <- shardDone{s, newShardRun(r, s).do()} }()
	}
	answered := 0
	var early <-chan time.Time
	for range want {
		var d shardDone
		select {
		case d = <-done:
		case <-early:
			r.early = true
			r.stop()
			d = <-done
		}
		r.shards[d.shard] = d.out
		if d.out.Answered {
			answered++
		}
		if early == nil && r.mayAnswerEarly(answered, len(want)) {
			timer := time.NewTimer(r.earlyWait())
			defer timer.Stop()
			early = timer.C
		}
	}
	r.markEarly()
}

// mayAnswerEarly reports whether the coverage suffices for an early answer and shards are
// still missing.
func (r *run) mayAnswerEarly(answered, want int) bool {
	return r.job.EarlyAt > 0 && answered < want && float64(answered) >= r.job.EarlyAt*float64(want)
}

// earlyDelay returns how long an early answer still waits for the missing shards: until they
// count as stragglers, so that ordinary replies are not cut off. It is twice as long if the
// goal is coverage.
func (r *run) earlyWait() time.Duration {
	patience := r.hedgeDelay()
	if r.job.Goal == settings.Coverage {
		patience *= 2
	}
	return max(0, patience-r.g.clock().Sub(r.began))
}

// markEarly sets the reason of the shards that an early answer left out.
func (r *run) markEarly() {
	if !r.early {
		return
	}
	left := false
	for i := range r.shards {
		s := &r.shards[i]
		if !s.Answered && s.Reason == contract.ReasonDeadline {
			s.Reason = contract.ReasonEarly
			left = true
		}
	}
	r.early = left
}

// hedgeDelay returns the time after the send at which an attempt counts as a straggler.
func (r *run) hedgeDelay() time.Duration {
	if r.job.HedgeAfter > 0 {
		return r.job.HedgeAfter
	}
	if d, ok := r.g.latency.Threshold(r.job.Goal); ok {
		return d
	}
	delay := unlearnedDelay
	if at, ok := r.ctx.Deadline(); ok {
		delay = min(delay, time.Until(at)/4)
	}
	return max(delay, hedgeFloor)
}

// recordRetryAfter keeps the shortest Retry-After, in milliseconds.
func (r *run) noteRetryAfter(ms int64) {
	d := ms * int64(time.Millisecond)
	for d > 0 {
		old := r.retryAfter.Load()
		if old != 0 && old <= d {
			return
		}
		if r.retryAfter.CompareAndSwap(old, d) {
			return
		}
	}
}
