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
	gates         *admit.Gates
	sender        Sender
	clock         vm.Clock
	hedges        Budget
	retries       Budget
	latency       *Latency
	rotation      atomic.Uint32  // rotates the replica that first attempts start at
	pending       sync.WaitGroup // attempts that a finished job left in flight
	borrowBackoff borrowBackoff
	notHeld       notHeldCache
	meter         *meters
}

// defaultHedgeDelay is the hedge delay while there are too few samples of the service's
// reply times.
const defaultHedgeDelay = 100 * time.Millisecond

// initialHedgeShare is the hedge share until the first Job states one.
const initialHedgeShare = 0.02

// NewGroup returns a Group without samples.
func NewGroup(gates *admit.Gates, sender Sender, clock vm.Clock, hedges, retries Budget) *Group {
	return &Group{
		gates: gates, sender: sender, clock: clock,
		hedges: hedges, retries: retries,
		latency: NewLatency(initialHedgeShare), meter: newMeters(metrics.DefaultRegistry),
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
	r := &jobRun{g: g, job: job, shardResults: make([]ShardResult, len(job.Replicas)), began: g.clock()}
	r.ctx, r.stop = context.WithCancel(ctx)
	defer r.stop()
	r.gather()
	return &Result{
		Shards: r.shardResults, ExtraSends: int(r.extraSends.Load()), Early: r.early, RetryAfter: time.Duration(r.retryAfter.Load()),
		LeafExits: r.guard.leafExits(),
	}
}

// jobRun is a Job in progress.
type jobRun struct {
	g            *Group
	job          *Job
	ctx          context.Context
	stop         context.CancelFunc
	began        vm.Instant
	shardResults []ShardResult
	extraSends   atomic.Int32
	retryAfter   atomic.Int64 // nanoseconds; 0: unknown
	early        bool
	guard        crashGuard
}

// finishedShard is the result of one shard, with its index.
type finishedShard struct {
	shard  uint32
	result ShardResult
}

// wantedShards returns the indexes of the shards to query.
func (r *jobRun) wantedShards() []uint32 {
	if len(r.job.OnlyShards) > 0 {
		return r.job.OnlyShards
	}
	all := make([]uint32, len(r.job.Replicas))
	for i := range all {
		all[i] = uint32(i)
	}
	return all
}

// gather starts a goroutine for each shard and collects the results.
func (r *jobRun) gather() {
	want := r.wantedShards()
	done := make(chan finishedShard, len(want))
	for _, s := range want {
		go func() { done <- finishedShard{s, newShardRun(r, s).execute()} }()
	}
	answered := 0
	var earlyTimer <-chan time.Time
	for range want {
		var d finishedShard
		select {
		case d = <-done:
		case <-earlyTimer:
			r.early = true
			r.stop()
			d = <-done
		}
		r.shardResults[d.shard] = d.result
		if d.result.Answered {
			answered++
		}
		if earlyTimer == nil && r.mayAnswerEarly(answered, len(want)) {
			timer := time.NewTimer(r.earlyDelay())
			defer timer.Stop()
			earlyTimer = timer.C
		}
	}
	r.markEarly()
}

// mayAnswerEarly reports whether the coverage suffices for an early answer and shards are
// still missing.
func (r *jobRun) mayAnswerEarly(answered, want int) bool {
	return r.job.EarlyCoverage > 0 && answered < want && float64(answered) >= r.job.EarlyCoverage*float64(want)
}

// earlyDelay returns how long an early answer still waits for the missing shards: until they
// count as stragglers, so that ordinary replies are not cut off. It is twice as long if the
// goal is coverage.
func (r *jobRun) earlyDelay() time.Duration {
	delay := r.hedgeDelay()
	if r.job.Goal == settings.Coverage {
		delay *= 2
	}
	return max(0, delay-r.g.clock().Sub(r.began))
}

// markEarly sets the reason of the shards that an early answer left out.
func (r *jobRun) markEarly() {
	if !r.early {
		return
	}
	leftOut := false
	for i := range r.shardResults {
		s := &r.shardResults[i]
		if !s.Answered && s.Reason == contract.ReasonDeadline {
			s.Reason = contract.ReasonEarlyAnswer
			leftOut = true
		}
	}
	r.early = leftOut
}

// hedgeDelay returns the time after the send at which an attempt counts as a straggler.
func (r *jobRun) hedgeDelay() time.Duration {
	if r.job.HedgeAfter > 0 {
		return r.job.HedgeAfter
	}
	if d, ok := r.g.latency.Threshold(r.job.Goal); ok {
		return d
	}
	delay := defaultHedgeDelay
	if at, ok := r.ctx.Deadline(); ok {
		delay = min(delay, time.Until(at)/4)
	}
	return max(delay, minHedgeDelay)
}

// recordRetryAfter keeps the shortest Retry-After, in milliseconds.
func (r *jobRun) recordRetryAfter(ms int64) {
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
