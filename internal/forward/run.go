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
	partLimit = 1 << 20 // bytes of a part
	// wholeLimit is how many bytes of a reply are read before it is passed on: a
	// shorter one that breaks off can still be had from another leaf.
	wholeLimit = 64 << 10
)

// run is one request under way. Only the goroutine of do uses it.
type run struct {
	e     *Engine
	a     *active
	entry *route.Entry
	know  *learned
	req   *Request
	send  target.Request // what goes to every leaf

	shards    []shard
	need      int // parts
	have      int
	batches   []*batch
	delegated int // first sends asked for at other daemons
	results   chan result
	over      chan struct{} // closed when do returns
	times     policy.Times
	hedgeAt   time.Time // when to look for late shards next; zero: not again
	hedges    int
	sends     int
	denied    int // further sends that the budget did not allow
	suspicion policy.Suspicion
	trial     bool                     // it is sent to one leaf first, since it is suspected to crash leaves
	granted   bool                     // with the leader's permission
	blocked   bool                     // it was found to be so meanwhile
	held      bool                     // a shard may be held
	names     *quarantine.Fingerprints // once they were asked for
	verdict   contract.Verdict
	last      *target.Reply
	lastErr   *contract.Error
}

// shard is one service that is to answer.
type shard struct {
	service string
	flights []flight
	tried   []*discovery.Leaf
	sends   int // that may have reached a leaf
	runs    int // that may have run
	tries   int
	stamp   string
	body    []byte   // of the part, where it came alone
	set     *partSet // where it came merged with others
	done    bool
	stuck   bool      // there is no leaf to send to now
	held    bool      // it is not sent to while another send is under way
	gone    bool      // because none could be connected to
	listed  bool      // the service has leaves, be they out of reach
	wake    time.Time // when to try again; zero: not waiting
	pause   time.Duration
}

type flight struct {
	call  *target.Call
	leaf  *discovery.Leaf
	batch *batch // of the daemon that is asked for it; nil: this one sends itself
}

type result struct {
	shard int
	call  *target.Call
	leaf  *discovery.Leaf
	reply *target.Reply
	err   *contract.Error
	took  time.Duration
	set   *partSet // the parts that it came merged with; nil: it came alone
	with  []result // those that came with it. Taken one by one, an answer between two of them would hold records of parts that it does not name
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

// at returns the instant that is d after the request's arrival.
func (r *run) at(d time.Duration) time.Time { return r.req.Arrived.Add(d) }

// ceilShare returns the least number of parts that make up the share.
func ceilShare(share float64, of int) int {
	n := int(share * float64(of))
	if float64(n) < share*float64(of)-1e-9 {
		n++
	}
	return n
}

// prepare makes what is the same in every send.
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

// do sends the request and follows it to its answer.
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

// next returns when something is due without a reply, after now.
func (r *run) next(now time.Time) time.Time {
	at := r.at(r.times.End)
	if by := r.at(r.times.AnswerBy); by.After(now) {
		at = by // it is never after the end
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

// wake does what is due at now.
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

// hedge sends once more to every shard that is late. Where many are, it is this
// daemon that is behind, or all leaves are: their replies are looked at a moment
// later, since as many sends again would make both slower still.
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

// sendForSilent sends directly for the shards of daemons from which nothing has come
// although the first parts are overdue, and returns how many of these are still missing.
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

// unheard reports whether a shard's one send is with a daemon whose first word is
// still to come.
func (s *shard) unheard() bool {
	return len(s.flights) == 1 && s.flights[0].batch != nil && !s.flights[0].batch.heard
}
