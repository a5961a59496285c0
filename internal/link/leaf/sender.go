package leaf

import (
	"context"
	"crypto/tls"
	"maps"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"pearmoor/internal/admit"
	"pearmoor/internal/contract"
	"pearmoor/internal/settings"
	"pearmoor/internal/vm"
	"pearmoor/internal/work"
)

// task is an exchange and the context that bounds its wait for a connection.
type task struct {
	ctx context.Context
	x   *exchange
}

func (t task) run() { t.x.run(t.ctx) }

// Config configures a Sender.
type Config struct {
	Clock vm.Clock    // nil: vm.Now
	TLS   *tls.Config // for leaves with ConnConfig.TLS; nil: use the system's root CAs
}

// Sender sends requests to leaves over bounded pools of connections.
type Sender struct {
	clock          vm.Clock
	tls            *tls.Config
	abandonTimeout time.Duration // see defaultAbandonTimeout
	poolsOverLimit atomic.Int64  // number of pools with more connections open than their limit

	workers *work.Pool[task]

	mu    sync.RWMutex
	pools map[string]*pool // by address
}

// NewSender returns a Sender. It cannot send to a leaf until Configure was called for it.
func NewSender(c Config) *Sender {
	s := &Sender{clock: c.Clock, tls: c.TLS, abandonTimeout: defaultAbandonTimeout, workers: work.NewPool(task.run), pools: make(map[string]*pool)}
	if s.clock == nil {
		s.clock = vm.Now
	}
	if s.tls == nil {
		s.tls = new(tls.Config)
	}
	return s
}

// Configure sets the connection limit and the connection settings of a leaf. If the limit
// is lowered, surplus idle connections are closed at once and others after their exchange.
func (s *Sender) Configure(leaf settings.Leaf, config ConnConfig) {
	closeAll(s.configure(leaf.Addr, config))
}

func (s *Sender) configure(addr string, config ConnConfig) (surplus []*conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pools[addr]
	if p == nil {
		if config.MaxConns <= 0 {
			return nil
		}
		p = &pool{sender: s, addr: addr}
		s.pools[addr] = p
	}
	surplus = p.configure(config, s.tls)
	if p.unused() {
		delete(s.pools, addr)
	}
	return surplus
}

// removePool removes a pool that has no connections and may open none. A pool with open
// connections is kept even if its limit is 0, so that they are counted if the limit is
// raised again.
func (s *Sender) removePool(p *pool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pools[p.addr] == p && p.unused() {
		delete(s.pools, p.addr)
	}
}

// WithinLimits reports whether no leaf has more connections open than its limit, so that a
// lowered limit may be acknowledged.
func (s *Sender) WithinLimits() bool { return s.poolsOverLimit.Load() == 0 }

func (s *Sender) pool(addr string) *pool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.pools[addr]
}

// ConnStats returns the number of connections to a leaf that are open or being opened, and
// the expected time to open one.
func (s *Sender) ConnStats(addr string) (open int, connectTime time.Duration) {
	p := s.pool(addr)
	if p == nil {
		return 0, 0
	}
	return p.openConns(), p.expectedConnectTime()
}

// Close closes idle connections at once and others after their exchange.
func (s *Sender) Close() {
	s.workers.Close()
	s.mu.RLock()
	addrs := slices.Collect(maps.Keys(s.pools))
	s.mu.RUnlock()
	for _, addr := range addrs {
		closeAll(s.configure(addr, ConnConfig{}))
	}
}

// Send sends req at most once and waits for its reply until ctx is done. It takes ownership of
// the permit and returns it when the leaf has finished or is given up, which may be after Send
// has returned. The request carries the time left until ctx's deadline or the end of the
// lease, whichever is earlier. The error is always a *contract.Error.
func (s *Sender) Send(ctx context.Context, leaf settings.Leaf, req *contract.LeafRequest, permit *admit.Permit) (*contract.LeafReply, error) {
	p := s.pool(leaf.Addr)
	if p == nil {
		permit.Release()
		return nil, notConnected(errNoShare).err
	}
	wait, cancel := context.WithCancel(context.Background())
	defer cancel()
	x := &exchange{
		pool:     p,
		permit:   permit,
		clock:    s.clock,
		req:      *req,
		deadline: s.requestDeadline(ctx, permit),
		cancel:   cancel,
		done:     make(chan struct{}),
	}
	s.workers.Run(task{ctx: wait, x: x})
	select {
	case <-x.done:
		return x.result()
	case <-ctx.Done():
	}
	if x.finished() {
		return x.result()
	}
	if x.callerDone() {
		return nil, contract.Refuse(contract.ReasonDeadline, ctx.Err())
	}
	return nil, &contract.Error{Verdict: contract.MayHaveRun, Reason: contract.ReasonDeadline, Cause: ctx.Err()}
}

func (x *exchange) result() (*contract.LeafReply, error) {
	if x.err != nil {
		return nil, x.err
	}
	return x.reply, nil
}

// requestDeadline returns the earlier of ctx's deadline and the end of the permit's lease. The
// cap prevents an overflow when durations are added to it.
func (s *Sender) requestDeadline(ctx context.Context, permit *admit.Permit) vm.Instant {
	end := permit.LeaseEnd()
	if d, ok := ctx.Deadline(); ok {
		end = min(end, s.clock().Add(time.Until(d)))
	}
	return min(end, vm.Instant(math.MaxInt64/2))
}
