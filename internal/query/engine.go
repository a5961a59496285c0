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
	replyMargin           = 5 * time.Millisecond
	unconfirmedRetryAfter = time.Second // by then, a lost lease may have been renewed
	drainingRetryAfter    = 100 * time.Millisecond
)

// Engine answers queries of callers, as their entry, and sub-queries of other daemons, as a
// home of leaf groups. It is safe for concurrent use.
type Engine struct {
	Config
	currentView func() tierView
	issuer      *session.Issuer
	keyTable    *session.Table
	homes       sync.Map // service -> *homeState
	routes      sync.Map // leafGroup -> *groupRoute
	work        workTracker
}

// New returns an Engine. It starts no goroutine of its own.
func New(c Config) *Engine {
	if c.KeyLimits == (session.Limits{}) {
		c.KeyLimits = DefaultKeyLimits
	}
	e := &Engine{Config: c, issuer: session.NewIssuer(c.Self), keyTable: session.NewTable(c.KeyLimits)}
	e.currentView = func() tierView {
		v := c.Source.Current()
		if v == nil || v.Tree == nil {
			return nil
		}
		return relayTierView{v}
	}
	return e
}

// Query answers r. The error is a *contract.Error; if the request is invalid, its cause is
// contract.Faults. Query returns by the deadline of r, and at once when r is refused.
func (e *Engine) Query(ctx context.Context, requestID string, r *contract.Request) (*contract.Answer, error) {
	start := time.Now()
	a, err := e.query(ctx, requestID, r)
	if err != nil {
		countRefusal(err.Reason)
		return nil, err
	}
	a.ElapsedMS = float64(time.Since(start)) / float64(time.Millisecond)
	recordAnswer(a, time.Since(start))
	return a, nil
}

func (e *Engine) query(ctx context.Context, id string, r *contract.Request) (*contract.Answer, *contract.Error) {
	if !e.work.start() {
		return nil, drainingError()
	}
	defer e.work.end()
	st := e.currentView()
	if st == nil {
		return nil, unconfirmedError()
	}
	if !r.IsRepeatable() {
		return e.queryKeyed(ctx, st, id, r)
	}
	p, err := validate(st, id, r)
	if err != nil {
		return nil, err
	}
	return e.runConfirmed(ctx, st, p)
}

// runConfirmed runs p if the daemon's lease is valid now.
func (e *Engine) runConfirmed(ctx context.Context, st tierView, p *plan) (*contract.Answer, *contract.Error) {
	if !st.Confirmed(e.Clock()) {
		return nil, unconfirmedError()
	}
	ctx, cancel := context.WithTimeout(ctx, p.timeout-min(replyMargin, p.timeout/10))
	defer cancel()
	return e.runWithQuarantine(ctx, st, p)
}

// sessionGrace is how long a session accepts new keys after the address list that it came
// with has expired. It covers the time that the list takes to reach the caller, and that a
// request begun while the list was valid takes to reach the daemon.
const sessionGrace = 500 * time.Millisecond

// IssueSession returns a session for non-repeatable requests, bound to this incarnation of
// the daemon.
func (e *Engine) IssueSession() string {
	var tier settings.Tier
	if st := e.currentView(); st != nil {
		tier = st.Tier()
	}
	return e.issuer.Issue(e.Clock(), tier.AddressLifetime+sessionGrace, tier.ResendWindow)
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
		RetryAfter: unconfirmedRetryAfter.Milliseconds()}
}

func drainingError() *contract.Error {
	return &contract.Error{Verdict: contract.NotRun, Reason: contract.ReasonDraining,
		RetryAfter: drainingRetryAfter.Milliseconds()}
}

// recordAnswer updates the metrics for an answer.
func recordAnswer(a *contract.Answer, took time.Duration) {
	meters.latency.Update(took)
	meters.coverage.Update(int64(100 * a.Coverage.Fraction()))
	switch {
	case len(a.Coverage.Missing) == 0:
		meters.full.Inc(1)
	case a.Early:
		meters.early.Inc(1)
	default:
		meters.partial.Inc(1)
	}
	for i := range a.Coverage.Missing {
		countMissing(a.Coverage.Missing[i].Reason)
	}
}

// workTracker counts queries and sub-queries in flight and signals when the last one has
// ended.
type workTracker struct {
	mu     sync.Mutex
	n      int
	closed bool
	idle   chan struct{} // closed when no query is in flight after close
}

// start adds one query. It returns false after close.
func (t *workTracker) start() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	t.n++
	meters.inFlight.Inc(1)
	return true
}

func (t *workTracker) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.n--
	meters.inFlight.Dec(1)
	if t.closed && t.n == 0 {
		close(t.idle)
	}
}

// close refuses new queries. The channel that it returns is closed once none is in flight.
func (t *workTracker) close() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return t.idle
	}
	t.closed = true
	t.idle = make(chan struct{})
	if t.n == 0 {
		close(t.idle)
	}
	return t.idle
}

func (t *workTracker) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.n
}
