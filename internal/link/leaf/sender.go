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

// task is an exchange and the context that ends its wait for a connection.
type task struct {
	ctx context.Context
	x   *exchange
}

func (t task) run() { t.x.run(t.ctx) }

// Config makes a Sender.
type Config struct {
	Clock vm.Clock    // nil: vm.Now
	TLS   *tls.Config // for leaves with Link.TLS; nil: the system's authorities
}

// Sender sends requests to leaves over bounded pools of connections.
type Sender struct {
	clock vm.Clock
	tls   *tls.Config
	hold  time.Duration // see holdLimit
	over  atomic.Int64  // pools with more connections open than their share

	workers *work.Pool[task]

	mu    sync.RWMutex
	pools map[string]*pool // by address
}

// NewSender returns a sender that reaches no leaf until Limit has named its link.
func NewSender(c Config) *Sender {
	s := &Sender{clock: c.Clock, tls: c.TLS, hold: holdLimit, workers: work.NewPool(task.run), pools: make(map[string]*pool)}
	if s.clock == nil {
		s.clock = vm.Now
	}
	if s.tls == nil {
		s.tls = new(tls.Config)
	}
	return s
}

// Limit sets what may be used to reach a leaf. A smaller share of connections
// closes idle ones at once and the others when their exchange is over.
func (s *Sender) Limit(leaf settings.Leaf, l Link) {
	endAll(s.limit(leaf.Addr, l))
}

func (s *Sender) limit(addr string, l Link) (surplus []*conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pools[addr]
	if p == nil {
		if l.Conns <= 0 {
			return nil
		}
		p = &pool{sender: s, addr: addr}
		s.pools[addr] = p
	}
	surplus = p.setLink(l, s.tls)
	if p.unused() {
		delete(s.pools, addr)
	}
	return surplus
}

// forget drops a pool that holds nothing and may hold nothing. Until then it
// stays known: a share that comes back must count what is still open.
func (s *Sender) forget(p *pool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pools[p.addr] == p && p.unused() {
		delete(s.pools, p.addr)
	}
}

// Respected reports whether no leaf has more connections open than its share,
// so that a smaller share may be acknowledged.
func (s *Sender) Respected() bool { return s.over.Load() == 0 }

func (s *Sender) pool(addr string) *pool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.pools[addr]
}

// Conns returns how many connections to a leaf are open or being opened, and
// what opening one costs.
func (s *Sender) Conns(addr string) (open int, cost time.Duration) {
	p := s.pool(addr)
	if p == nil {
		return 0, 0
	}
	return p.opened(), p.connectCost()
}

// Close closes idle connections, and the others when their exchange is over.
func (s *Sender) Close() {
	s.workers.Close()
	s.mu.RLock()
	addrs := slices.Collect(maps.Keys(s.pools))
	s.mu.RUnlock()
	for _, addr := range addrs {
		endAll(s.limit(addr, Link{}))
	}
}

// Send sends req once and waits for its reply until ctx ends. It owns the
// permit from here on and gives it back when the leaf is known to be done,
// which may be after Send has returned. The leaf is told the time left until
// ctx's deadline or the end of the lease, whichever is first. The error is
// always a *contract.Error.
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
		deadline: s.deadline(ctx, permit),
		cancel:   cancel,
		done:     make(chan struct{}),
	}
	s.workers.Run(task{ctx: wait, x: x})
	select {
	case <-x.done:
		return x.result()
	case <-ctx.Done():
	}
	if x.over() {
		return x.result()
	}
	if x.leave() {
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

func (s *Sender) deadline(ctx context.Context, permit *admit.Permit) vm.Instant {
	end := permit.Until()
	if d, ok := ctx.Deadline(); ok {
		end = min(end, s.clock().Add(time.Until(d)))
	}
	return min(end, vm.Instant(math.MaxInt64/2))
}
