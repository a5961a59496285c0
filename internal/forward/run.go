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
	partLimit = 1 << 20 // maximum size of a part
	// bufferedReplyBytes is how many bytes of a reply are read before it is passed on. A
	// shorter reply that is truncated can still be replaced by a reply of another leaf.
	wholeLimit = 64 << 10
)

// run is the execution of one request. It is used only by the goroutine of execute.
type run struct {
	e     *Engine
	a     *active
	entry *route.Entry
	know  *learned
	req   *Request
	send  target.Request // the part of the request that is the same for every leaf

	shards    []shard
	need      int // parts needed for an answer
	have      int
	batches   []*batch
	delegated int // first sends delegated to other daemons
	results   chan result
	over      chan struct{} // closed when execute returns
	times     policy.Times
	hedgeAt   time.Time // next check for late shards; zero if there is none
	hedges    int
	sends     int
	denied    int // retries and hedges denied by the budget
	suspicion policy.Suspicion
	trial     bool                     // the request is first sent to one leaf only, since it is suspected to crash leaves
	granted   bool                     // the leader has granted the trial
	blocked   bool                     // the request was found to be quarantined during the run
	held      bool                     // at least one shard may be held
	names     *quarantine.Fingerprints // nil until first used
	verdict   contract.Verdict
	last      *target.Reply
	lastErr   *contract.Error
}

// shard is the state of one service that the request goes to.
type shard struct {
	service string
	flights []flight
	tried   []*discovery.Leaf
	sends   int      // sends that may have reached a leaf
	runs    int      // sends that may have run
	tries   int      // sends started, for policy.MostSends
	stamp   string   // signature of the part
	body    []byte   // records of the part, if it did not arrive merged
	set     *partSet // the set of the part, if it arrived merged with others
	done    bool
	stuck   bool      // there is no leaf to send to at present
	held    bool      // not sent to until a send for another shard has ended
	gone    bool      // the last send could not connect to its leaf
	listed  bool      // the service has leaves in the snapshot, reachable or not
	wake    time.Time // time of the next attempt; zero if none is scheduled
	pause   time.Duration
}

// pendingSend is a send that has not ended.
type flight struct {
	call  *target.Call
	leaf  *discovery.Leaf
	batch *batch // the batch of a delegated send; nil for a direct send
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
	with []result
}

func (e *Engine) newRun(a *active, entry *route.Entry, req *Request) *run {
	r := &run{e: e, a: a, entry: entry, know: a.learned[entry], req: req, over: make(chan struct{}), verdict: contract.NotRun}
	if entry.Gathers() {
		r.shards = make([]shard, len(entry.Shards))
		for i, s := range entry.Shards {
			r.shards[i].service = s
		}
		r.need = max(1, ceilShare(entry.LeastCoverage, len(r.shards)))
	} else {
		r.shards = []shard{{service: entry.Pick()}}
		r.need = 1
	}
	r.results = make(chan result, len(r.shards))
	terms := policy.Terms{Timeout: entry.Timeout, Aim: entry.TargetLatency, Margin: entry.AnswerMargin}
	r.times = policy.TimesOf(terms, req.Wait, r.know.waits.Passed(req.Wait), &r.know.pace)
	r.hedgeAt = r.at(r.times.Late)
	r.prepare()
	return r
}

// afterArrival returns the time d after the arrival of the request.
func (r *run) at(d time.Duration) time.Time { return r.req.Arrived.Add(d) }

// minParts returns the smallest number of parts that is at least the given share of total.
func ceilShare(share float64, of int) int {
	n := int(share * float64(of))
	if float64(n) < share*float64(of)-1e-9 {
		n++
	}
	return n
}

// prepareLeafRequest sets the part of the request that is the same in every send.
func (r *run) prepare() {
	r.send = target.Request{
		Dialect: r.e.cfg.Dialect, Method: r.req.Method, ID: r.req.ID,
		Head: r.req.Head, Body: r.req.Body, Stream: r.req.Stream,
		Deadline: r.at(r.times.Deadline), Repeatable: r.entry.Repeatable,
		BodyLimit: wholeLimit, ConnWait: policy.ConnWait(r.know.pace.Usual()),
	}
	if r.send.Head == nil {
		r.send.Head = head(r.req)
	}
	if r.entry.Gathers() {
		r.send.BodyLimit, r.send.WholeOnly = partLimit, true
	}
}

// execute sends the request to leaves and returns its answer, nil if the caller leaves.
func (r *run) do(ctx context.Context) *Answer {
	defer close(r.over)
	defer r.abandon()
	defer r.report()
	for i := range r.shards {
		r.e.cfg.Budgets.Request(r.shards[i].service)
	}
	r.launchAll()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		now := time.Now()
		if a := r.decide(now); a != nil {
			r.log(a)
			return a
		}
		timer.Reset(r.next(now).Sub(now))
		select {
		case res := <-r.results:
			r.take(res)
			for _, w := range res.with {
				r.take(w)
			}
			r.resume()
		case <-timer.C:
			r.wake(time.Now())
		case <-r.e.ending:
			a := r.finalAnswer()
			r.log(a)
			return a
		case <-ctx.Done():
			r.logLeft(ctx)
			return nil
		}
	}
}

// nextTimer returns the next time at which something is due even if no result arrives.
func (r *run) next(now time.Time) time.Time {
	at := r.at(r.times.End)
	if by := r.at(r.times.AnswerBy); by.After(now) {
		at = by // AnswerBy is never after End
	}
	if !r.hedgeAt.IsZero() && r.hedgeAt.Before(at) {
		at = r.hedgeAt
	}
	for i := range r.shards {
		if w := r.shards[i].wake; !w.IsZero() && w.Before(at) {
			at = w
		}
	}
	return at
}

// runTimers makes the hedges and retries that are due at now.
func (r *run) wake(now time.Time) {
	if !r.hedgeAt.IsZero() && !now.Before(r.hedgeAt) {
		r.hedgeAt = time.Time{}
		r.hedge(now)
	}
	for i := range r.shards {
		s := &r.shards[i]
		if !s.wake.IsZero() && !now.Before(s.wake) {
			s.wake = time.Time{}
			r.launch(i, false)
		}
	}
}

// hedge sends once more for every late shard. If many shards are late, this daemon or all
// leaves are overloaded, and as many additional sends would slow both down further. The check
// is then repeated after policy.HedgeAgain.
func (r *run) hedge(now time.Time) {
	if !r.entry.Repeatable || r.send.Stream != nil || r.suspicion.Guarded() {
		return
	}
	missing := len(r.shards) - r.have - r.sendForSilent(now)
	if policy.HoldHedges(missing, len(r.shards)) {
		if again := now.Add(policy.HedgeAgain); again.Before(r.at(r.times.End)) {
			r.hedgeAt = again
			return
		}
	}
	for i := range r.shards {
		s := &r.shards[i]
		if s.done || len(s.flights) != 1 || !r.mayRepeat(s) {
			continue
		}
		if s.unheard() {
			r.hedgeAt = now.Add(policy.HedgeAgain)
			continue
		}
		r.launch(i, true)
	}
}

// bypassSilentDaemons sends directly for the shards delegated to daemons that have not replied
// although their first parts are overdue. It returns how many shards of such daemons are still
// missing.
func (r *run) sendForSilent(now time.Time) int {
	n := 0
	for _, b := range r.batches {
		first := !b.given && b.silent(now, r.at(r.times.Late))
		if first {
			b.given = true
			r.e.cfg.Near.Suspect(b.addr)
		}
		if !b.given {
			continue
		}
		for k := range b.sends {
			i := b.sends[k].shard
			s := &r.shards[i]
			if s.done {
				continue
			}
			n++
			if first && len(s.flights) == 1 && r.mayRepeat(s) {
				r.launch(i, true)
			}
		}
	}
	return n
}

// awaitsFirstReply reports whether the only pending send of the shard is delegated to a daemon
// that has not replied yet.
func (s *shard) unheard() bool {
	return len(s.flights) == 1 && s.flights[0].batch != nil && !s.flights[0].batch.heard
}
