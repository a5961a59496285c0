package query

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"pearmoor/internal/contract"
	"pearmoor/internal/query/session"
	"pearmoor/internal/settings"
)

const (
	// replyMargin is reserved at the end of a deadline for the answer to reach the
	// caller. It is at most a tenth of the deadline.
	wayBack         = 5 * time.Millisecond
	unconfirmedWait = time.Second // a daemon usually renews a lost lease within this time
	drainingWait    = 100 * time.Millisecond
)

// Engine answers queries of callers, as their entry, and sub-queries of other daemons, as a
// home of leaf groups. It is safe for concurrent use.
type Engine struct {
	Config
	view   func() state
	issuer *session.Issuer
	keys   *session.Table
	homes  sync.Map // service -> *homeState
	routes sync.Map // leafGroup -> *groupRoute
	work   inFlight
}

// New returns an Engine. It starts no goroutine of its own.
func New(c Config) *Engine {
	if c.Keys == (session.Limits{}) {
		c.Keys = DefaultKeys
	}
	e := &Engine{Config: c, issuer: session.NewIssuer(c.Self), keys: session.NewTable(c.Keys)}
	e.view = func() state {
		v := c.Source.Current()
		if v == nil || v.Tree == nil {
			return nil
		}
		return viewState{v}
	}
	return e
}

// Query answers r. The error is a *contract.Error; if the request is invalid, its cause is
// contract.Faults. Query returns by the deadline of r, and at once when r is refused.
func (e *Engine) Query(ctx context.Context, requestID string, r *contract.Request) (*contract.Answer, error) {
	began := time.Now()
	a, err := e.query(ctx, requestID, r)
	if err != nil {
		countRefusal(err.Reason)
		return nil, err
	}
	a.ElapsedMS = float64(time.Since(began)) / float64(time.Millisecond)
	count(a, time.Since(began))
	return a, nil
}

func (e *Engine) query(ctx context.Context, id string, r *contract.Request) (*contract.Answer, *contract.Error) {
	if !e.work.start() {
		return nil, drainingError()
	}
	defer e.work.end()
	st := e.view()
	if st == nil {
		return nil, unconfirmedError()
	}
	if !r.IsRepeatable() {
		return e.keyed(ctx, st, id, r)
	}
	p, err := validate(st, id, r)
	if err != nil {
		return nil, err
	}
	return e.confirmed(ctx, st, p)
}

// runConfirmed runs p if the daemon's lease is valid now.
func (e *Engine) confirmed(ctx context.Context, st state, p *plan) (*contract.Answer, *contract.Error) {
	if !st.Confirmed(e.Clock()) {
		return nil, unconfirmedError()
	}
	ctx, cancel := context.WithTimeout(ctx, p.timeout-min(wayBack, p.timeout/10))
	defer cancel()
	return e.guarded(ctx, st, p)
}

// sessionGrace is how long a session accepts new keys after the address list that it came
// with has expired. It covers the time that the list takes to reach the caller, and that a
// request begun while the list was valid takes to reach the daemon.
const sessionSlack = 500 * time.Millisecond

// IssueSession returns a session for non-repeatable requests, bound to this incarnation of
// the daemon.
func (e *Engine) IssueSession() string {
	var tier settings.Tier
	if st := e.view(); st != nil {
		tier = st.Tier()
	}
	return e.issuer.Issue(e.Clock(), tier.AddressLifetime+sessionSlack, tier.ResendWindow)
}

// Drain refuses new queries and waits until those in flight have ended, or until ctx is
// done.
func (e *Engine) Drain(ctx context.Context) error {
	idle := e.work.close()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "query: %d still in flight", e.work.count())
	}
}

// InFlight returns the number of queries and sub-queries in flight.
func (e *Engine) InFlight() int { return e.work.count() }

func unconfirmedError() *contract.Error {
	return &contract.Error{Verdict: contract.NotRun, Reason: contract.ReasonUnconfirmed,
		RetryAfter: unconfirmedWait.Milliseconds()}
}

func drainingError() *contract.Error {
	return &contract.Error{Verdict: contract.NotRun, Reason: contract.ReasonDraining,
		RetryAfter: drainingWait.Milliseconds()}
}

// recordAnswer updates the metrics for an answer.
func count(a *contract.Answer, took time.Duration) {
	meter.latency.Update(took)
	meter.coverage.Update(int64(100 * a.Coverage.Fraction()))
	switch {
	case len(a.Coverage.Missing) == 0:
		meter.full.Inc(1)
	case a.Early:
		meter.early.Inc(1)
	default:
		meter.partial.Inc(1)
	}
	for i := range a.Coverage.Missing {
		countMissing(a.Coverage.Missing[i].Reason)
	}
}

// workTracker counts queries and sub-queries in flight and signals when the last one has
// ended.
type inFlight struct {
	mu     sync.Mutex
	n      int
	closed bool
	idle   chan struct{} // closed when no query is in flight after close
}

// start adds one query. It returns false after close.
func (f *inFlight) start() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return false
	}
	f.n++
	meter.inFlight.Inc(1)
	return true
}

func (f *inFlight) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.n--
	meter.inFlight.Dec(1)
	if f.closed && f.n == 0 {
		close(f.idle)
	}
}

// close refuses new queries. The channel that it returns is closed once none is in flight.
func (f *inFlight) close() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return f.idle
	}
	f.closed = true
	f.idle = make(chan struct{})
	if f.n == 0 {
		close(f.idle)
	}
	return f.idle
}

func (f *inFlight) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.n
}
