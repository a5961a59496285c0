package query

import (
	"context"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"pearmoor/internal/admit"
	"pearmoor/internal/contract"
	"pearmoor/internal/domain"
	"pearmoor/internal/link/leaf"
	"pearmoor/internal/policy"
	"pearmoor/internal/query/scatter"
	"pearmoor/internal/settings"
)

// minExtraRate is the number of hedges and of retries per second that a service may always
// send, so that a service with little traffic can use them at all.
const minExtraRate = 1

// unknownLeavesRetryAfter is the Retry-After of a home that has not probed all leaves yet.
const unknownLeavesRetryAfter = 100 * time.Millisecond

// homeState is the state that a daemon keeps for a service as a home of its leaf groups.
type homeState struct {
	scatterGroup   *scatter.Group
	hedgeShare     atomicFloat
	retryShare     atomicFloat
	shardsInFlight atomic.Int64 // shards queued or running at this home
}

// atomicFloat is a float64 that is safe for concurrent use.
type atomicFloat struct{ bits atomic.Uint64 }

func (f *atomicFloat) set(v float64) { f.bits.Store(math.Float64bits(v)) }
func (f *atomicFloat) get() float64  { return math.Float64frombits(f.bits.Load()) }

// homeStateFor returns the homeState of a service, and updates its hedge and retry shares from
// the settings.
func (e *Engine) homeStateFor(service string, eff *settings.Effective) *homeState {
	v, ok := e.homes.Load(service)
	if !ok {
		v, _ = e.homes.LoadOrStore(service, e.newHomeState())
	}
	h := v.(*homeState)
	h.hedgeShare.set(eff.HedgeBudget)
	h.retryShare.set(eff.RetryBudget)
	return h
}

func (e *Engine) newHomeState() *homeState {
	h := &homeState{}
	hedges := admit.NewBudget(h.hedgeShare.get, minExtraRate, e.Clock)
	retries := admit.NewBudget(h.retryShare.get, minExtraRate, e.Clock)
	h.scatterGroup = scatter.NewGroup(e.Gates, e.Sender, e.Clock, hedges, retries)
	return h
}

// serve answers q, as a home, from the leaves of its group. It returns when ctx ends at the
// latest.
func (e *Engine) serve(ctx context.Context, st tierView, q *subquery) *partialAnswer {
	if st == nil || !st.Confirmed(e.Clock()) {
		return refusedAnswer(contract.ReasonUnconfirmed, unconfirmedRetryAfter)
	}
	if e.blocked(q) {
		return refusedAnswer(contract.ReasonQuarantined, policy.QuarantinedRetryAfter)
	}
	eff, ok := st.Effective(q.service)
	if !ok || len(eff.Leaves) == 0 {
		return refusedAnswer(contract.ReasonUnknownPath, 0)
	}
	if k, ok := e.Catalog.(ProbeStatus); ok && !k.Known(q.service) {
		// A daemon that has just become a home would answer only from the leaves that it
		// has probed so far. Another home knows all of them.
		return refusedAnswer(contract.ReasonNoLiveTarget, unknownLeavesRetryAfter)
	}
	snaps := e.snapshots(q.leafGroup, eff)
	p := e.serveFrom(ctx, st, eff, snaps, q)
	p.versions = versionStates(snaps)
	return p
}

// serveFrom answers q from the snapshot of snaps that chooseSnapshot selects. It refuses if
// there is none, or if the pinned version is incomplete and q does not accept that.
func (e *Engine) serveFrom(ctx context.Context, st tierView, eff *settings.Effective, snaps []leaf.Snapshot, q *subquery) *partialAnswer {
	snap := chooseSnapshot(snaps, q)
	if snap == nil {
		if q.pin == 0 {
			return refusedAnswer(contract.ReasonNoLiveTarget, eff.ProbeInterval)
		}
		return refusedAnswer(contract.ReasonNoCommonVersion, 0)
	}
	if q.pin != 0 && !q.partial && !allLive(snap, q.shards) {
		return refusedAnswer(contract.ReasonNoCommonVersion, 0)
	}
	h := e.homeStateFor(q.service, eff)
	job := newJob(eff, snap, q)
	if !q.immediate {
		job.Lender = e.otherHomesOf(st, q.leafGroup, eff)
	}
	n := int64(len(snap.LeavesByShard))
	h.shardsInFlight.Add(n)
	r := h.scatterGroup.Run(ctx, job)
	h.shardsInFlight.Add(-n)
	p := newPartialAnswer(job, r, q)
	p.shardsInFlight = int(h.shardsInFlight.Load())
	p.admitLevel, _ = e.ownLevel(eff)
	return p
}

// newJob returns the scatter job for q at the version of snap.
func newJob(eff *settings.Effective, snap *leaf.Snapshot, q *subquery) *scatter.Job {
	job := &scatter.Job{
		ID: q.id, AttemptBase: q.attemptBase, Service: q.service,
		Version: snap.Version, Replicas: snap.LeavesByShard, OnlyShards: existingShards(q.shards, len(snap.LeavesByShard)),
		Body: q.body, Repeatable: q.repeatable,
		Priority: eff.Priority, Goal: eff.Goal,
		HedgeAfter: eff.HedgeAfter, HedgeShare: eff.HedgeBudget,
		ShedOrder: requestOrder(q.id), Immediate: q.immediate, AvoidAddrs: q.avoid, Canary: q.canary,
	}
	if q.canary && len(job.OnlyShards) == 0 && len(snap.LeavesByShard) > 0 {
		job.OnlyShards = []uint32{firstLiveShard(snap)}
	}
	if q.minCoverage > 0 && eff.EarlyCoverage > 0 {
		job.EarlyCoverage = max(q.minCoverage, eff.EarlyCoverage)
	}
	return job
}

// firstLiveShard returns the first shard with a live leaf, or 0.
func firstLiveShard(s *leaf.Snapshot) uint32 {
	i := slices.IndexFunc(s.LeavesByShard, func(h []settings.Leaf) bool { return len(h) > 0 })
	return uint32(max(i, 0))
}

// existingShards returns those of shards that exist in a partition map of n shards.
func existingShards(shards []uint32, n int) []uint32 {
	kept := shards[:0:0]
	for _, s := range shards {
		if int(s) < n {
			kept = append(kept, s)
		}
	}
	return kept
}

// newPartialAnswer builds the answer of a home from the outcomes of its shards. The answer is
// a refusal when shards are missing and no leaf ran anything.
func newPartialAnswer(job *scatter.Job, r *scatter.Result, q *subquery) *partialAnswer {
	p := &partialAnswer{leafExits: r.LeafExits, version: job.Version, shards: uint32(len(r.Shards)), extraAttempts: r.ExtraSends, early: r.Early, retryAfter: r.RetryAfter}
	noneRan := true
	forEachShard(job, func(shard uint32) {
		out := &r.Shards[shard]
		if out.Verdict != contract.NotRun {
			noneRan = false
		}
		if !out.Answered {
			p.missing = append(p.missing, contract.Missing{Service: q.service, Shard: shard, Reason: out.Reason, Verdict: out.Verdict})
			return
		}
		p.answered++
		for _, hit := range out.Hits {
			p.hits = append(p.hits, contract.ServiceHit{Service: q.service, Shard: shard, Hit: hit})
		}
	})
	p.hits, p.hitsOmitted = topHits(p.hits, q.limit)
	if noneRan && len(p.missing) > 0 {
		p.refusal = mostCommonReason(p.missing)
	}
	return p
}

// forEachShard calls f for each shard that job requests.
func forEachShard(job *scatter.Job, f func(shard uint32)) {
	if len(job.OnlyShards) > 0 {
		for _, s := range job.OnlyShards {
			f(s)
		}
		return
	}
	for s := range job.Replicas {
		f(uint32(s))
	}
}

// mostCommonReason returns the most frequent reason in missing.
func mostCommonReason(missing []contract.Missing) contract.Reason {
	counts := make(map[contract.Reason]int, 2)
	best := missing[0].Reason
	for _, m := range missing {
		counts[m.Reason]++
		if counts[m.Reason] > counts[best] {
			best = m.Reason
		}
	}
	return best
}

// snapshots returns the index versions that the leaves of group g hold, newest first.
func (e *Engine) snapshots(g leafGroup, eff *settings.Effective) []leaf.Snapshot {
	snaps := e.Catalog.Snapshots(g.service)
	if scatterGroup := e.homeStateFor(g.service, eff).scatterGroup; scatterGroup.AnyNotHeld() {
		snaps = dropDeclined(snaps, scatterGroup)
	}
	if domain.GroupIndex(len(eff.Leaves), len(eff.Leaves)-1) == 0 {
		return snaps
	}
	return filterGroup(snaps, g.group, eff)
}

// dropDeclined returns snaps without the holders that recently declined a shard because they
// no longer hold it.
func dropDeclined(snaps []leaf.Snapshot, g *scatter.Group) []leaf.Snapshot {
	out := make([]leaf.Snapshot, len(snaps))
	for i, s := range snaps {
		out[i] = leaf.Snapshot{Version: s.Version, Shards: s.Shards, LeavesByShard: make([][]settings.Leaf, len(s.LeavesByShard))}
		for shard, holders := range s.LeavesByShard {
			for _, l := range holders {
				if g.Holds(l.Addr, s.Version, uint32(shard)) {
					out[i].LeavesByShard[shard] = append(out[i].LeavesByShard[shard], l)
				}
			}
		}
	}
	return out
}

// filterGroup returns snaps with only the holders that belong to the given group of the
// service's leaves.
func filterGroup(snaps []leaf.Snapshot, group int, eff *settings.Effective) []leaf.Snapshot {
	member := make(map[string]bool)
	for i, l := range eff.Leaves {
		if domain.GroupIndex(len(eff.Leaves), i) == group {
			member[l.Addr] = true
		}
	}
	out := make([]leaf.Snapshot, len(snaps))
	for i, s := range snaps {
		out[i] = leaf.Snapshot{Version: s.Version, Shards: s.Shards, LeavesByShard: make([][]settings.Leaf, len(s.LeavesByShard))}
		for shard, holders := range s.LeavesByShard {
			for _, l := range holders {
				if member[l.Addr] {
					out[i].LeavesByShard[shard] = append(out[i].LeavesByShard[shard], l)
				}
			}
		}
	}
	return out
}

// chooseSnapshot returns the snapshot of the version that q pins. Without a pin it returns
// the one with the largest fraction of live shards, and the newest of those that tie. It
// returns nil if there is none.
func chooseSnapshot(snaps []leaf.Snapshot, q *subquery) *leaf.Snapshot {
	var best *leaf.Snapshot
	bestFraction := -1.0
	for i := range snaps {
		s := &snaps[i]
		if q.pin != 0 {
			if s.Version == q.pin {
				return s
			}
			continue
		}
		if f := liveFraction(s); f > bestFraction || (f == bestFraction && s.Version > best.Version) {
			best, bestFraction = s, f
		}
	}
	return best
}

// liveFraction returns the fraction of the shards that have a live leaf.
func liveFraction(s *leaf.Snapshot) float64 {
	if len(s.LeavesByShard) == 0 {
		return 0
	}
	n := 0
	for _, h := range s.LeavesByShard {
		if len(h) > 0 {
			n++
		}
	}
	return float64(n) / float64(len(s.LeavesByShard))
}

// allLive reports whether each of shards has a live leaf, or each shard of s if shards is
// empty.
func allLive(s *leaf.Snapshot, shards []uint32) bool {
	if len(shards) == 0 {
		return liveFraction(s) == 1
	}
	for _, shard := range shards {
		if int(shard) >= len(s.LeavesByShard) || len(s.LeavesByShard[shard]) == 0 {
			return false
		}
	}
	return true
}

// versionStates converts snapshots to the form in which homes report them.
func versionStates(snaps []leaf.Snapshot) []versionState {
	out := make([]versionState, len(snaps))
	for i, s := range snaps {
		v := versionState{version: s.Version, shards: uint32(len(s.LeavesByShard)), liveShards: newShardSet(uint32(len(s.LeavesByShard)))}
		for shard, holders := range s.LeavesByShard {
			if len(holders) > 0 {
				v.liveShards.add(uint32(shard))
			}
		}
		out[i] = v
	}
	return out
}

// homeReplyMargin is reserved at the end of a deadline for the reply of a home to arrive. It
// is at most a tenth of the time left.
const homeReplyMargin = 2 * time.Millisecond

// homeTimeLeft returns how much of the time left a home may use.
func homeTimeLeft(left time.Duration) time.Duration { return left - min(homeReplyMargin, left/10) }
