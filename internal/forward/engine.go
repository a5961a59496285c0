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
	"pearmoor/internal/intake"
	"pearmoor/internal/link/target"
	"pearmoor/internal/policy"
	"pearmoor/internal/quarantine"
	"pearmoor/internal/route"
	"pearmoor/internal/vm"
	"pearmoor/internal/work"
)

// Config holds the dependencies of an Engine.
type Config struct {
	Clock   vm.Clock
	Dialect *target.Dialect
	Leaves  *discovery.LeafCache
	Tracker *LeafTracker
	Budgets *policy.Budgets
	Log     *decision.Log
	// DaemonCount returns the number of daemons that share the connection limits of the
	// leaves, 0 while it is unknown.
	DaemonCount func() int
	// Confirmation returns when the installed table was confirmed, by vm.Now; nil if it is
	// always current.
	Confirmation func() policy.Confirmation
	// ConfigApplyTime is the time within which an accepted configuration must be in use on
	// every daemon.
	ConfigApplyTime time.Duration
	// RevokeTime is the time after which an API key that was taken away must be dead on this
	// daemon even if it is cut off; 0: keys are served however old the confirmation is.
	RevokeTime time.Duration
	// Quotas counts the requests of organisations; nil if they are not limited.
	Quotas Quotas
	// Peers gives access to other daemons; nil if all sends are made directly.
	Peers PeerDaemons
	// RegionOf returns the region of a failure domain, "" if it is unknown.
	RegionOf func(domain string) string
	// ColdShare returns what this daemon may send to a leaf while the leaf is cold. rate is
	// what the leaf bears then, in requests per second from all daemons. HoldsShares reports
	// whether no other daemon uses the share of this one.
	ColdShare   func(l *discovery.Leaf, rate float64) policy.ColdShare
	HoldsShares func() bool
	// Quarantine records the requests that crash leaves; nil if there is no quarantine.
	Quarantine *quarantine.Registry
	// Millicores is the CPU of this VM in thousandths of a core; 0 if it is unknown.
	Millicores uint32
}

// Engine forwards requests according to the installed routing table. It is safe for
// concurrent use.
type Engine struct {
	cfg        Config
	active     atomic.Pointer[activeTable]
	finishing  chan struct{} // closed by FinishAll
	finishOnce sync.Once
	shutdown   atomic.Pointer[shutdown] // nil until BeginShutdown
	sendPool   *work.Pool[sendTask]
	now        vm.Clock // includes the time during which the VM is suspended
	room       *room

	evacuations atomic.Pointer[evacuations]
}

// activeTable is the routing table in use with the statistics of its routes.
type activeTable struct {
	daemonCount func() int
	table       *route.Table
	version     uint64 // of the settings tree that the table was made from
	stats       map[*route.Entry]*routeStats
}

// routeStats holds the statistics of a route. They are kept when a new table with the same
// route is installed.
type routeStats struct {
	pace        policy.LatencyEstimator
	callerWaits policy.CallerTimeouts
}

// New returns an engine that refuses every request until Install is called.
func New(cfg Config) *Engine {
	if cfg.Clock == nil {
		cfg.Clock = vm.Monotonic
	}
	e := &Engine{cfg: cfg, finishing: make(chan struct{}), now: vm.Now, room: newRoom(cfg.Clock)}
	e.sendPool = work.NewPool(e.perform)
	e.evacuations.Store(noEvacuations)
	return e
}

// Install makes t the table for requests that arrive from now on; version is the version of
// the settings tree that t was made from. A table that is not newer than the installed one is
// ignored.
func (e *Engine) Install(t *route.Table, version uint64) {
	old := e.active.Load()
	if old != nil && old.version >= version {
		return
	}
	previous := make(map[string]*routeStats)
	if old != nil {
		for entry, stats := range old.stats {
			previous[entry.Host+entry.Prefix] = stats
		}
	}
	next := &activeTable{daemonCount: e.cfg.DaemonCount, table: t, version: version, stats: make(map[*route.Entry]*routeStats)}
	var pacer work.Pacer
	for _, entry := range t.Entries() {
		pacer.Step()
		stats := previous[entry.Host+entry.Prefix]
		if stats == nil {
			stats = &routeStats{}
		}
		next.stats[entry] = stats
	}
	e.room.setLimits(roomLimits(t, e.cfg.Millicores))
	e.active.Store(next)
}

// Table returns the table in use, nil if none has been installed.
func (e *Engine) Table() *route.Table {
	if active := e.active.Load(); active != nil {
		return active.table
	}
	return nil
}

// Request is a request from a caller.
type Request struct {
	ID         string
	Method     string
	URI        string // path and query, unchanged
	Path       string
	Host       string
	Caller     string      // the caller's address without the port
	Header     http.Header // without hop-by-hop headers
	Body       []byte
	Stream     *target.Stream // the rest of a long body, or of one with a trailer; nil if Body is complete
	Arrived    time.Time
	Wait       time.Duration // how long the caller waits, from Arrived; 0 if not stated
	HandedOver bool          // the request was handed over by another daemon
	Head       []byte        // request head as sent to leaves; nil if it is to be rendered from the fields above

	identity identity     // set by the key check
	conn     *intake.Conn // of the caller; nil if another daemon has it
}

// Answer is the answer to a caller. A nil Answer means that the caller has left.
type Answer struct {
	Status     int
	Header     http.Header // from the leaf, if the answer is a leaf's reply
	Body       []byte
	Rest       *target.Rest
	Parts      []string // signatures of the parts, if the answer is merged
	Missing    int
	Merged     bool
	HandedOver bool // the gather was handed over to another daemon
	RetryAfter time.Duration
	Verdict    contract.Verdict
	Reason     contract.Reason
	Cause      error
}

// unconfirmedRetryAfter is the Retry-After of requests that this daemon can neither serve nor
// deny, because it has no configuration or none that is confirmed. It is longer than a daemon
// needs to get the configuration after a restart of the whole system.
const unconfirmedRetryAfter = 500 * time.Millisecond

// unconfirmedAnswer is the answer to such a request.
func unconfirmedAnswer() *Answer {
	return &Answer{Status: http.StatusServiceUnavailable, RetryAfter: unconfirmedRetryAfter,
		Verdict: contract.NotRun, Reason: contract.ReasonUnconfirmed}
}

// unlistedRetryAfter is the Retry-After of requests that this daemon cannot serve because it has
// no list of leaves yet. After a restart of the whole system the list follows the configuration.
const unlistedRetryAfter = unconfirmedRetryAfter

// Forward answers one request. It returns when the answer is ready, the request has failed,
// or ctx is cancelled because the caller has left.
func (e *Engine) Forward(ctx context.Context, req *Request) *Answer {
	active, confirmation := e.confirmedTable()
	if active == nil {
		return unconfirmedAnswer()
	}
	entry, ok := active.table.Find(req.Host, req.Path)
	if !ok {
		e.cfg.Log.Line("route", "none").Str("id", req.ID).Str("host", req.Host).Str("path", req.Path).
			Int("release", int64(active.table.Number)).Bool("confirmed", confirmation.Exists()).Ms("confirmed_ago", confirmation.Age(vm.Now())).End()
		if !e.mayDenyBy(confirmation) {
			return unconfirmedAnswer()
		}
		return &Answer{Status: http.StatusNotFound, Verdict: contract.NotRun, Reason: contract.ReasonUnknownPath}
	}
	if refused := e.checkArrival(active, confirmation, entry, req); refused != nil {
		return refused
	}
	r := e.newRun(active, entry, req)
	if refused := r.checkShutdown(); refused != nil {
		return refused
	}
	if refused := r.takeQuota(ctx); refused != nil {
		return refused
	}
	answer := r.readWholeBody()
	if answer == nil {
		var handed bool
		if answer, handed = r.handOver(ctx); !handed {
			answer = r.checkAndExecute(ctx)
		}
	}
	r.returnQuota()
	return answer
}

// confirmation returns when the installed table was confirmed.
func (e *Engine) confirmation() policy.Confirmation {
	if e.cfg.Confirmation == nil {
		return policy.Confirmation(vm.Now())
	}
	return e.cfg.Confirmation()
}

// mayDeny reports whether a request may be denied because the installed table does not allow
// it. A newer configuration may allow it, and a caller does not repeat a request that was
// denied.
func (e *Engine) mayDeny() bool { return e.mayDenyBy(e.confirmation()) }

// mayDenyBy is like mayDeny for a table that was loaded after its confirmation was read.
func (e *Engine) mayDenyBy(confirmation policy.Confirmation) bool {
	return e.cfg.Confirmation == nil || confirmation.MayDeny(e.now(), e.cfg.ConfigApplyTime)
}

// checkAndExecute executes the request on this daemon, unless this VM has too little CPU left or
// the quarantine refuses it.
func (r *run) checkAndExecute(ctx context.Context) *Answer {
	leave, refused, ok := r.enterRoom(ctx)
	if !ok {
		return refused
	}
	defer leave()
	r.prepareShards()
	if refused := r.checkQuarantine(ctx); refused != nil {
		r.logAnswer(refused)
		return refused
	}
	return r.execute(ctx)
}

// recoverPanic calls handle and turns a panic into an internal error answer. Without it the
// caller would see a broken connection, which does not tell whether the request may have run.
func (e *Engine) recoverPanic(id string, handle func() *Answer) (a *Answer) {
	defer func() {
		if p := recover(); p != nil {
			handlerPanics.Inc(1)
			klog.Errorf("caller: handling id=%s panicked: %v %s", id, p, debug.Stack())
			a = &Answer{Status: http.StatusInternalServerError, Verdict: contract.MayHaveRun, Reason: contract.ReasonInternal}
		}
	}()
	return handle()
}

// connectionLimit returns how many connections this daemon may open to a leaf. It is this
// daemon's share of the leaf's limit, which applies to all daemons together.
func (a *activeTable) connectionLimit(l *discovery.Leaf) int {
	total := 0
	if s, ok := a.table.Service(l.Service); ok {
		total = s.Connections
	}
	return policy.ConnectionsPerDaemon(total, a.daemonCount())
}

// link returns the link to a leaf.
func (e *Engine) link(a *activeTable, l *discovery.Leaf) *target.Link {
	return e.cfg.Tracker.Link(l, a.connectionLimit, e.checkSend)
}

// MaintainLinks periodically adapts the links to the current leaves and number of daemons
// until ctx is cancelled.
func (e *Engine) MaintainLinks(ctx context.Context) {
	for vm.Sleep(ctx, linkMaintenanceInterval) {
		snap := e.cfg.Leaves.Snapshot()
		e.cfg.Tracker.Reconcile(snap)
		if active := e.active.Load(); active != nil {
			e.cfg.Tracker.SetConnectionLimits(snap, active.connectionLimit)
		}
	}
}

// linkMaintenanceInterval is the time between two runs of the maintenance of links.
const linkMaintenanceInterval = 500 * time.Millisecond
