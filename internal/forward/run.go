package forward

import (
	"context"
	"time"

	"pearmoor/internal/contract"
	"pearmoor/internal/discovery"
	"pearmoor/internal/link/target"
	"pearmoor/internal/policy"
	"pearmoor/internal/quarantine"
	"pearmoor/internal/route"
)

const (
	maxPartBytes = 1 << 20 // maximum size of a part
	// bufferedReplyBytes is how many bytes of a reply are read before it is passed on. A
	// shorter reply that is truncated can still be replaced by a reply of another leaf.
	bufferedReplyBytes = 64 << 10
)

// run is the execution of one request. It is used only by the goroutine of execute.
type run struct {
	e           *Engine
	active      *activeTable
	entry       *route.Entry
	stats       *routeStats
	req         *Request
	leafRequest target.Request // the part of the request that is the same for every leaf

	shards             []shard
	requiredParts      int // parts needed for an answer
	receivedParts      int
	batches            []*delegatedBatch
	delegatedSends     int // first sends delegated to other daemons
	results            chan result
	finished           chan struct{} // closed when execute returns
	times              policy.Schedule
	hedgeAt            time.Time // next check for late shards; zero if there is none
	connectCheckAt     time.Time // next check for sends without a connection; zero if there is none
	hedgeCount         int
	sendCount          int
	budgetDenials      int // retries and hedges denied by the budget
	suspicion          policy.Suspicion
	isTrial            bool                     // the request is first sent to one leaf only, since it is suspected to crash leaves
	grantedTrial       *quarantine.Fingerprint  // fingerprint for which a trial is granted; nil if none is
	quarantined        bool                     // the request was found to be quarantined during the run
	hasHeldShards      bool                     // at least one shard may be held
	cachedFingerprints *quarantine.Fingerprints // nil until first used
	refusedRetryAfter  time.Duration            // Retry-After if too many shards have only excluded leaves; 0: the default
	callerLeft         bool                     // the caller has left before its answer
	verdict            contract.Verdict
	lastReply          *target.Reply
	lastErr            *contract.Error

	priority      int           // of the organisation, otherwise of the route; 0 is the highest
	keyRefusal    *keyRefusal   // why a send was refused right before its write; nil if none was
	quota         QuotaDecision // what Take has returned, if quotaTaken
	quotaTaken    bool
	handoverBegun bool // another daemon was told to begin the gather
}

// shard is the state of one service that the request goes to.
type shard struct {
	service      string
	pending      []pendingSend
	tried        []*discovery.Leaf
	reachedSends int      // sends that may have reached a leaf
	possibleRuns int      // sends that may have run
	totalSends   int      // sends started, for policy.MaxSends
	signature    string   // signature of the part
	body         []byte   // records of the part, if it did not arrive merged
	set          *partSet // the set of the part, if it arrived merged with others
	done         bool
	unsendable   bool      // there is no leaf to send to at present
	held         bool      // not sent to until a send for another shard has ended
	unreachable  bool      // the last send could not connect to its leaf
	hasLeaves    bool      // the service has leaves in the snapshot, reachable or not
	retryAt      time.Time // time of the next attempt; zero if none is scheduled
	backoff      time.Duration
}

// pendingSend is a send that has not ended.
type pendingSend struct {
	call  *target.Call
	leaf  *discovery.Leaf
	batch *delegatedBatch // the batch of a delegated send; nil for a direct send
	// connectBy is when a send of which nothing was written goes to another leaf; zero: never.
	connectBy time.Time
}

// result is the result of one send.
type result struct {
	shard int
	call  *target.Call
	leaf  *discovery.Leaf
	reply *target.Reply
	err   *contract.Error
	took  time.Duration
	set   *partSet // the parts that it was merged with; nil if it was not merged
	// together holds the results that arrived in the same reply. They must be handled together: an
	// answer made between two of them would contain records of parts that it does not list.
	together []result
}

// newRun prepares the execution of a request according to a route of the table.
func (e *Engine) newRun(active *activeTable, entry *route.Entry, req *Request) *run {
	r := &run{e: e, active: active, entry: entry, stats: active.stats[entry], req: req, finished: make(chan struct{}), verdict: contract.NotRun}
	terms := policy.TimeLimits{Timeout: entry.Timeout, TargetLatency: entry.TargetLatency, AnswerMargin: entry.AnswerMargin}
	r.times = policy.NewSchedule(terms, req.Wait, r.stats.callerWaits.Elapsed(req.Wait), &r.stats.pace)
	r.hedgeAt = r.afterArrival(r.times.HedgeAfter)
	r.priority = req.identity.priority(entry)
	r.prepareLeafRequest()
	return r
}

// prepareShards sets the state of the services that the request goes to. It is not part of newRun
// because a request that is refused or handed over needs none: for 90 shards it takes 25 KB.
func (r *run) prepareShards() {
	if r.entry.IsGather() {
		r.shards = make([]shard, len(r.entry.Shards))
		for i, s := range r.entry.Shards {
			r.shards[i].service = s
		}
		r.requiredParts = max(1, minParts(r.entry.MinCoverage, len(r.shards)))
	} else {
		r.shards = []shard{{service: r.entry.PickService()}}
		r.requiredParts = 1
	}
	r.results = make(chan result, len(r.shards))
}

// afterArrival returns the time d after the arrival of the request.
func (r *run) afterArrival(d time.Duration) time.Time { return r.req.Arrived.Add(d) }

// minParts returns the smallest number of parts that is at least the given share of total.
func minParts(share float64, total int) int {
	n := int(share * float64(total))
	if float64(n) < share*float64(total)-1e-9 {
		n++
	}
	return n
}

// prepareLeafRequest sets the part of the request that is the same in every send.
func (r *run) prepareLeafRequest() {
	r.leafRequest = target.Request{
		Dialect: r.e.cfg.Dialect, Method: r.req.Method, ID: r.req.ID,
		Head: r.req.Head, Body: r.req.Body, Stream: r.req.Stream,
		Deadline: r.afterArrival(r.times.LeafDeadline), Idempotent: r.entry.Repeatable,
		BodyLimit: bufferedReplyBytes, RestLimit: r.entry.ReplyBytes, ConnWait: policy.ConnWait(r.stats.pace.Median()),
		SingleLeaf: !r.entry.IsGather() && r.runsOnce(), Check: r.e.keyCheck(&r.req.identity),
	}
	if r.leafRequest.Head == nil {
		r.leafRequest.Head = renderHead(r.req)
	}
	if r.entry.IsGather() {
		r.leafRequest.BodyLimit, r.leafRequest.FailOverLimit = maxPartBytes, true
	}
}

// execute sends the request to leaves and returns its answer, nil if the caller leaves.
func (r *run) execute(ctx context.Context) (answer *Answer) {
	defer func() {
		r.closeUnusedReply(answer)
		close(r.finished)
		r.closeUnusedResults()
	}()
	defer r.abandonSends()
	defer r.reportAttempt()
	for i := range r.shards {
		r.e.cfg.Budgets.RecordRequest(r.shards[i].service)
	}
	r.launchAll()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		now := time.Now()
		if a := r.decide(now); a != nil {
			r.logAnswer(a)
			return a
		}
		timer.Reset(r.nextTimer(now).Sub(now))
		select {
		case res := <-r.results:
			r.handleResult(res)
			for _, other := range res.together {
				r.handleResult(other)
			}
			r.resumeHeldShards()
		case <-timer.C:
			r.runTimers(time.Now())
		case <-r.e.finishing:
			a := r.finalAnswer()
			r.logAnswer(a)
			return a
		case <-ctx.Done():
			r.callerLeft = true
			r.logCallerLeft(ctx)
			return nil
		}
	}
}

// nextTimer returns the next time at which something is due even if no result arrives.
func (r *run) nextTimer(now time.Time) time.Time {
	at := r.afterArrival(r.times.AnswerDeadline)
	if by := r.afterArrival(r.times.PartialAfter); by.After(now) {
		at = by // PartialAfter is never after AnswerDeadline
	}
	if !r.hedgeAt.IsZero() && r.hedgeAt.Before(at) {
		at = r.hedgeAt
	}
	if !r.connectCheckAt.IsZero() && r.connectCheckAt.Before(at) {
		at = r.connectCheckAt
	}
	if end := r.afterArrival(policy.ProbeTimeout); r.suspicion.Unconfirmed && end.Before(at) {
		at = end
	}
	for i := range r.shards {
		if w := r.shards[i].retryAt; !w.IsZero() && w.Before(at) {
			at = w
		}
	}
	return at
}

// runTimers makes the hedges and retries that are due at now.
func (r *run) runTimers(now time.Time) {
	if !now.Before(r.afterArrival(policy.ProbeTimeout)) {
		r.endProbe()
	}
	if !r.hedgeAt.IsZero() && !now.Before(r.hedgeAt) {
		r.hedgeAt = time.Time{}
		r.hedge(now)
	}
	if !r.connectCheckAt.IsZero() && !now.Before(r.connectCheckAt) {
		r.moveUnwrittenSends(now)
	}
	for i := range r.shards {
		s := &r.shards[i]
		if !s.retryAt.IsZero() && !now.Before(s.retryAt) {
			s.retryAt = time.Time{}
			r.launch(i, false)
		}
	}
}

// hedge sends once more for every late shard. If many shards are late, this daemon or all
// leaves are overloaded, and as many additional sends would slow both down further. The check
// is then repeated after policy.HedgeRecheckInterval.
func (r *run) hedge(now time.Time) {
	if !r.entry.Repeatable || r.leafRequest.Stream != nil || r.suspicion.Guarded() {
		return
	}
	missing := len(r.shards) - r.receivedParts - r.bypassSilentDaemons(now)
	if policy.SuppressHedges(missing, len(r.shards)) {
		if next := now.Add(policy.HedgeRecheckInterval); next.Before(r.afterArrival(r.times.AnswerDeadline)) {
			r.hedgeAt = next
			return
		}
	}
	for i := range r.shards {
		s := &r.shards[i]
		if s.done || len(s.pending) != 1 || !r.mayRepeat(s) {
			continue
		}
		if s.awaitsFirstReply() {
			r.hedgeAt = now.Add(policy.HedgeRecheckInterval)
			continue
		}
		r.launch(i, true)
	}
}

// bypassSilentDaemons sends directly for the shards delegated to daemons that have not replied
// although their first parts are overdue. It returns how many shards of such daemons are still
// missing.
func (r *run) bypassSilentDaemons(now time.Time) int {
	missing := 0
	for _, b := range r.batches {
		first := !b.bypassed && b.isSilent(now, r.afterArrival(r.times.HedgeAfter))
		if first {
			b.bypassed = true
			r.e.cfg.Peers.ReportOverdue(b.addr)
		}
		if !b.bypassed {
			continue
		}
		for k := range b.sends {
			i := b.sends[k].shard
			s := &r.shards[i]
			if s.done {
				continue
			}
			missing++
			if first && len(s.pending) == 1 && r.mayRepeat(s) {
				r.launch(i, true)
			}
		}
	}
	return missing
}

// awaitsFirstReply reports whether the only pending send of the shard is delegated to a daemon
// that has not replied yet.
func (s *shard) awaitsFirstReply() bool {
	return len(s.pending) == 1 && s.pending[0].batch != nil && !s.pending[0].batch.replied
}
