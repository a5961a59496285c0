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
	// wayBack is kept free at the end of a deadline for the answer to reach the
	// caller, but at most a tenth of the deadline.
	wayBack         = 5 * time.Millisecond
	unconfirmedWait = time.Second // until a lost lease may be back
	drainingWait    = 100 * time.Millisecond
)

// Engine answers queries: as the entry that a caller reached, and as a home that
// other entries ask. It is safe for concurrent use.
type Engine struct {
	Config
	view   func() state
	issuer *session.Issuer
	keys   *session.Table
	homes  sync.Map // service -> *home
	routes sync.Map // unit -> *route
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

// Query answers r. The error is a *contract.Error; faults of the request are its
// cause, as contract.Faults. The answer comes at the latest at the deadline of r,
// and at once when r is refused.
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

// confirmed runs p if the daemon's lease covers the present.
func (e *Engine) confirmed(ctx context.Context, st state, p *plan) (*contract.Answer, *contract.Error) {
	if !st.Confirmed(e.Clock()) {
		return nil, unconfirmedError()
	}
	ctx, cancel := context.WithTimeout(ctx, p.timeout-min(wayBack, p.timeout/10))
	defer cancel()
	return e.guarded(ctx, st, p)
}

// sessionSlack is how much longer than its list a session takes new keys: for the way of
// the list to its caller and of a request back that was begun while the list was valid.
const sessionSlack = 500 * time.Millisecond

// IssueSession returns a session for requests that are not repeatable, bound to
// this run of the daemon.
func (e *Engine) IssueSession() string {
	var tier settings.Tier
	if st := e.view(); st != nil {
		tier = st.Tier()
	}
	return e.issuer.Issue(e.Clock(), tier.AddressLifetime+sessionSlack, tier.ResendWindow)
}

// Drain refuses new work and waits for what is in flight, or for ctx.
func (e *Engine) Drain(ctx context.Context) error {
	idle := e.work.close()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "query: %d still in flight", e.work.count())
	}
}

// InFlight returns the number of queries and sub-queries under way.
func (e *Engine) InFlight() int { return e.work.count() }

func unconfirmedError() *contract.Error {
	return &contract.Error{Verdict: contract.NotRun, Reason: contract.ReasonUnconfirmed,
		RetryAfter: unconfirmedWait.Milliseconds()}
}

func drainingError() *contract.Error {
	return &contract.Error{Verdict: contract.NotRun, Reason: contract.ReasonDraining,
		RetryAfter: drainingWait.Milliseconds()}
}

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

// inFlight counts work and tells when the last of it has ended.
type inFlight struct {
	mu     sync.Mutex
	n      int
	closed bool
	idle   chan struct{}
}

// start counts one more; false once closed.
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

// close refuses new work; the channel it returns is closed when none is left.
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
