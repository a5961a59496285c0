package forward

import (
	"context"
	"time"

	"pearmoor/internal/contract"
	"pearmoor/internal/discovery"
	"pearmoor/internal/link/target"
	"pearmoor/internal/route"
)

const (
	// returnMargin is kept before the end of a request's time for its final answer.
	returnMargin = 8 * time.Millisecond
	// mostSends bounds the sends for one service and request, whatever the reason.
	mostSends = 8
	// pauseAfterRound is the wait after every leaf of a service was tried.
	pauseAfterRound = 25 * time.Millisecond
	pauseLongest    = 200 * time.Millisecond
	partLimit       = 1 << 20 // bytes of a part
	// wholeLimit is how many bytes of a reply are read before it is passed on: a
	// shorter one that breaks off can still be had from another leaf.
	wholeLimit = 64 << 10
	// unlearnedShare is the part of the target latency after which a reply is late
	// while nothing is known of the route.
	unlearnedShare = 0.3
	unlearnedLate  = 100 * time.Millisecond
	hedgeFloor     = 2 * time.Millisecond
	// connWaitUsual is how many usual reply times a send may wait for a connection.
	connWaitUsual     = 1.5
	unlearnedConnWait = 40 * time.Millisecond
	// hedgeUsual is how many usual reply times pass before a second send.
	hedgeUsual = 1.5
	// Of the shards of a gather, at most one in hedgeMost is sent to twice at one
	// moment, or hedgeFew of a small gather.
	hedgeMost  = 4
	hedgeFew   = 2
	hedgeAgain = 4 * time.Millisecond
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
	end       time.Time     // final answer at the latest
	answerBy  time.Time     // with the parts there are, if they are enough
	hedgeAt   time.Time
	lateAt    time.Time // the first hedgeAt
	due       bool      // answerBy has passed
	hedges    int
	sends     int
	denied    int // further sends that the budget did not allow
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
	r.times()
	r.prepare()
	return r
}

// ceilShare returns the least number of parts that make up the share.
func ceilShare(share float64, of int) int {
	n := int(share * float64(of))
	if float64(n) < share*float64(of)-1e-9 {
		n++
	}
	return n
}

// times sets the run's instants. A caller's second attempt states a shorter wait
// than its first one: what is missing has passed already.
func (r *run) times() {
	wait := r.req.Wait
	passed := r.know.waits.passed(wait)
	limit := r.entry.Timeout
	if wait > 0 && wait < limit {
		limit = wait
	}
	r.end = r.req.Arrived.Add(limit - returnMargin)
	if aim := r.entry.TargetLatency; aim > 0 {
		r.answerBy = r.req.Arrived.Add(max(0, aim-r.entry.AnswerMargin-passed))
	} else {
		r.answerBy = r.end
	}
	if r.answerBy.After(r.end) {
		r.answerBy = r.end
	}
	r.hedgeAt = r.req.Arrived.Add(r.lateAfter())
	r.lateAt = r.hedgeAt
}

// lateAfter returns the time after which a reply is late enough for a second send.
func (r *run) lateAfter() time.Duration {
	late, ok := r.know.pace.Late()
	if !ok {
		if aim := r.entry.TargetLatency; aim > 0 {
			return time.Duration(unlearnedShare * float64(aim))
		}
		return unlearnedLate
	}
	usual := r.know.pace.Usual()
	late = max(late, time.Duration(hedgeUsual*float64(usual)), hedgeFloor)
	// A second send that can't be back in time is worth little; the last moment
	// for one that can goes before the learned one.
	if aim := r.entry.TargetLatency; aim > 0 {
		latest := aim - r.entry.AnswerMargin - 2*usual
		late = min(late, max(latest, usual))
	}
	return late
}

// prepare makes what is the same in every send.
func (r *run) prepare() {
	r.send = target.Request{
		Dialect: r.e.cfg.Dialect, Method: r.req.Method, ID: r.req.ID,
		Head: head(r.req), Body: r.req.Body, Stream: r.req.Stream,
		Deadline: r.end.Add(returnMargin), Repeatable: r.entry.Repeatable,
		BodyLimit: wholeLimit, ConnWait: connWait(r.know.pace.Usual()),
	}
	if r.entry.Gathers() {
		r.send.BodyLimit, r.send.WholeOnly = partLimit, true
	}
}

// connWait is how long a send may wait for one of the daemon's connections to a leaf, by
// how long a reply usually takes: until the one in use should be free again. Another
// leaf is tried after it.
func connWait(usual time.Duration) time.Duration {
	if usual <= 0 {
		return unlearnedConnWait
	}
	return time.Duration(connWaitUsual * float64(usual))
}

// do sends the request and follows it to its answer.
func (r *run) do(ctx context.Context) *Answer {
	defer close(r.over)
	for i := range r.shards {
		r.e.cfg.Budgets.Request(r.shards[i].service)
	}
	r.launchAll()
	timer := time.NewTimer(time.Until(r.next()))
	defer timer.Stop()
	for {
		if a := r.decide(time.Now()); a != nil {
			r.abandon()
			r.log(a)
			return a
		}
		timer.Reset(time.Until(r.next()))
		select {
		case res := <-r.results:
			r.take(res)
			for _, w := range res.with {
				r.take(w)
			}
		case <-timer.C:
			r.wake(time.Now())
		case <-r.e.ending:
			a := r.lastWord()
			r.abandon()
			r.log(a)
			return a
		case <-ctx.Done():
			r.abandon()
			r.logLeft()
			return nil
		}
	}
}

// next returns when something is due without a reply.
func (r *run) next() time.Time {
	at := r.end
	if !r.due && r.answerBy.Before(at) {
		at = r.answerBy
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
	if !r.entry.Repeatable || r.send.Stream != nil {
		return
	}
	missing := len(r.shards) - r.have - r.sendForSilent(now)
	if missing > hedgeFew && missing > len(r.shards)/hedgeMost {
		if again := now.Add(hedgeAgain); again.Before(r.end) {
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
			r.hedgeAt = now.Add(hedgeAgain)
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
		first := !b.given && b.silent(now, r.lateAt)
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
