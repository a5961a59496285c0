package forward

import (
	"context"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"pearmoor/internal/contract"
	"pearmoor/internal/decision"
	"pearmoor/internal/discovery"
	"pearmoor/internal/link/target"
	"pearmoor/internal/policy"
	"pearmoor/internal/quarantine"
	"pearmoor/internal/route"
	"pearmoor/internal/vm"
	"pearmoor/internal/work"
)

// Config is what an Engine needs.
type Config struct {
	Clock   vm.Clock
	Dialect *target.Dialect
	Book    *discovery.Book
	Board   *Board
	Budgets *policy.Budgets
	Log     *decision.Log
	// Senders returns among how many daemons what is shared by those that send to leaves
	// is divided, 0 while that is not known.
	Senders func() int
	// Near finds daemons near leaves; nil: every part is asked for directly.
	Near Near
	// Quarantine knows the requests that crash leaves; nil: none.
	Quarantine *quarantine.Registry
}

// Engine forwards requests by the newest table. It is safe for concurrent use.
type Engine struct {
	cfg    Config
	active atomic.Pointer[active]
	ending chan struct{} // closed by EndAll
	ended  sync.Once
	sends  *work.Pool[send]
}

// active is a table in use, with what has been learned of its routes.
type active struct {
	senders func() int
	table   *route.Table
	version uint64 // of the settings tree
	learned map[*route.Entry]*learned
}

// learned is what is known of a route over all tables that held it.
type learned struct {
	pace  policy.Pace
	waits policy.Waits
}

// New returns an engine that refuses every request until Install.
func New(cfg Config) *Engine {
	e := &Engine{cfg: cfg, ending: make(chan struct{})}
	e.sends = work.NewPool(e.perform)
	return e
}

// EndAll gives every request under way its final answer now, and every later one: the
// process is about to end. A connection that breaks off tells its caller less than an
// answer that says whether the request may have run.
func (e *Engine) EndAll() { e.ended.Do(func() { close(e.ending) }) }

// Install puts a table in use for the requests that arrive from now on; version is
// that of the settings tree it was made from. An older one is left out.
func (e *Engine) Install(t *route.Table, version uint64) {
	old := e.active.Load()
	if old != nil && old.version >= version {
		return
	}
	known := make(map[string]*learned)
	if old != nil {
		for entry, l := range old.learned {
			known[entry.Host+entry.Prefix] = l
		}
	}
	next := &active{senders: e.cfg.Senders, table: t, version: version, learned: make(map[*route.Entry]*learned)}
	var pace work.Pacer
	for _, entry := range t.Entries() {
		pace.Step()
		l := known[entry.Host+entry.Prefix]
		if l == nil {
			l = &learned{}
		}
		next.learned[entry] = l
	}
	e.active.Store(next)
}

// Table returns the table in use, nil when there is none.
func (e *Engine) Table() *route.Table {
	if a := e.active.Load(); a != nil {
		return a.table
	}
	return nil
}

// Request is a caller's request as it arrived.
type Request struct {
	ID      string
	Method  string
	URI     string // path and query, as the caller sent them
	Path    string
	Host    string
	Caller  string      // its address, without the port
	Header  http.Header // less those that concern one connection only
	Body    []byte
	Stream  *target.Stream // the rest of a long body; nil when Body is whole
	Arrived time.Time
	Wait    time.Duration // how long the caller waits from its arrival; 0: not stated
	Handed  bool          // another daemon handed it over
	Head    []byte        // as it goes to leaves; nil: to be made of the above
}

// Answer is what a caller is told. A nil Answer means that the caller has left.
type Answer struct {
	Status     int
	Header     http.Header // of the leaf, when the answer is a leaf's reply
	Body       []byte
	Rest       *target.Rest
	Parts      []string // signatures of the parts, when the answer is made of parts
	Missing    int
	Merged     bool
	Handed     bool // by another daemon
	RetryAfter time.Duration
	Verdict    contract.Verdict
	Reason     contract.Reason
	Cause      error
}

// firstRetryAfter is told to a caller who came before this daemon had learned the
// configuration: longer than a daemon takes to learn it after a restart of everything.
const firstRetryAfter = 500 * time.Millisecond

// Forward answers one request. It returns when the answer is ready, the request
// has been given up, or ctx ends because the caller has left.
func (e *Engine) Forward(ctx context.Context, req *Request) *Answer {
	a := e.active.Load()
	if a == nil {
		return &Answer{Status: http.StatusServiceUnavailable, RetryAfter: firstRetryAfter,
			Verdict: contract.NotRun, Reason: contract.ReasonUnconfirmed}
	}
	entry, ok := a.table.Find(req.Host, req.Path)
	if !ok {
		e.cfg.Log.Line("route", "none").Str("id", req.ID).Str("host", req.Host).Str("path", req.Path).
			Int("release", int64(a.table.Number)).End()
		return &Answer{Status: http.StatusNotFound, Verdict: contract.NotRun, Reason: contract.ReasonUnknownPath}
	}
	r := e.newRun(a, entry, req)
	if answer, handed := r.handOver(ctx); handed {
		return answer
	}
	return r.enterAndDo(ctx)
}

// enterAndDo answers a request here, unless it must not reach a leaf.
func (r *run) enterAndDo(ctx context.Context) *Answer {
	if refused := r.enter(ctx); refused != nil {
		r.log(refused)
		return refused
	}
	return r.do(ctx)
}

// guard answers a request whose handling panics with an error: its caller would see a
// connection that breaks off, which says nothing of what became of the request.
func (e *Engine) guard(id string, handle func() *Answer) (a *Answer) {
	defer func() {
		if p := recover(); p != nil {
			panics.Inc(1)
			klog.Errorf("caller: handling id=%s panicked: %v %s", id, p, debug.Stack())
			a = &Answer{Status: http.StatusInternalServerError, Verdict: contract.MayHaveRun, Reason: contract.ReasonInternal}
		}
	}()
	return handle()
}

// limit returns how many connections this daemon may have open to a leaf. The leaf's own
// limit is for all daemons together.
func (a *active) limit(l *discovery.Leaf) int {
	most := 0
	if s, ok := a.table.Service(l.Service); ok {
		most = s.Connections
	}
	return policy.Connections(most, a.senders())
}

// Tend adjusts links to the newest leaves and membership until ctx ends.
func (e *Engine) Tend(ctx context.Context) {
	for vm.Sleep(ctx, tendEvery) {
		snap := e.cfg.Book.Snapshot()
		e.cfg.Board.Keep(snap)
		if a := e.active.Load(); a != nil {
			e.cfg.Board.SetLimits(snap, a.limit)
		}
	}
}

const tendEvery = 500 * time.Millisecond
