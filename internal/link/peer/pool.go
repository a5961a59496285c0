package peer

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"
)

const (
	// connsPerAddr bounds the calls in flight to one address. A drpc connection carries
	// one call at a time.
	connsPerAddr = 64
	// idleTimeout is how long an unused connection stays open.
	idleTimeout = time.Minute
	// maxAge is the age at which a connection is replaced. A random part of up to
	// maxAge/maxAgeJitterDivisor is subtracted, so that connections made at the same time
	// are not replaced at the same time.
	maxAge              = 10 * time.Minute
	maxAgeJitterDivisor = 5
	// forgetAddressAfter is how long the state of an unused address is kept.
	forgetAddressAfter = time.Hour
)

// Pool keeps connections to other processes and reuses them. The zero value is
// not usable; make one with NewPool.
type Pool struct {
	conf    *tls.Config
	trusted bool // plain text is allowed to any address
	idle    *drpcpool.Pool[string, *expiringConn]

	mu     sync.Mutex
	peers  map[string]*addressState
	closed bool
}

// NewPool returns a pool that dials with tlsConf, or in plain text to loopback
// addresses only if it is nil.
func NewPool(tlsConf *tls.Config) *Pool {
	return &Pool{
		conf:  tlsConf,
		idle:  drpcpool.New[string, *expiringConn](drpcpool.Options{Expiration: idleTimeout, KeyCapacity: connsPerAddr}),
		peers: make(map[string]*addressState),
	}
}

// NewTrustedPool returns a pool that dials any address in plain text. It is for a network
// on which only the tier's own VMs can send, where the operator issues no certificates.
func NewTrustedPool() *Pool {
	p := NewPool(nil)
	p.trusted = true
	return p
}

// Conn returns a handle for calls to addr; any number of calls may use it concurrently.
// The handle dials when a call needs it, so an unreachable address is reported as a
// NotSentError of the call. Closing the handle does not close pooled connections.
func (p *Pool) Conn(_ context.Context, addr string) (drpc.Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, &NotSentError{Addr: addr, Cause: errors.New("the pool is closed")}
	}
	state, ok := p.peers[addr]
	if !ok {
		p.evictUnused(time.Now())
		state = &addressState{slots: make(chan struct{}, connsPerAddr)}
		p.peers[addr] = state
	}
	state.lastUsed.Store(time.Now().UnixNano())
	return &handle{pool: p, addr: addr, state: state, closed: make(chan struct{})}, nil
}

// evictUnused deletes the state of addresses that are no longer called. VMs are replaced
// every day, so in a daemon that runs for years the map would grow without bound.
func (p *Pool) evictUnused(now time.Time) {
	for addr, state := range p.peers {
		if len(state.slots) == 0 && now.Sub(time.Unix(0, state.lastUsed.Load())) > forgetAddressAfter {
			delete(p.peers, addr)
		}
	}
}

// Close closes the idle connections and refuses new calls. Calls in flight continue.
func (p *Pool) Close() error {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	return p.idle.Close()
}

func (p *Pool) isClosed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closed
}

// addressState is the state of one address in a pool.
type addressState struct {
	slots    chan struct{} // one element for each call in flight
	lastUsed atomic.Int64  // Unix time of the latest handle or call, in ns
	health
}

// expiringConn is a connection that is not reused after expiresAt, because the
// certificates checked in its handshake may have been issued by an authority that has been
// replaced since.
type expiringConn struct {
	*drpcconn.Conn
	expiresAt time.Time
}

type handle struct {
	pool  *Pool
	addr  string
	state *addressState

	once   sync.Once
	closed chan struct{}
}

// Close implements drpc.Conn.
func (h *handle) Close() error {
	h.once.Do(func() { close(h.closed) })
	return nil
}

// Closed implements drpc.Conn.
func (h *handle) Closed() <-chan struct{} { return h.closed }

// Invoke implements drpc.Conn.
func (h *handle) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	conn, err := h.getConn(ctx)
	if err != nil {
		return &NotSentError{Addr: h.addr, Cause: err}
	}
	defer h.putConn(conn)
	reply := &replyEncoding{Encoding: enc}
	err = conn.Invoke(ctx, rpc, reply, in, out)
	h.closeIdleIfLost(conn, err)
	if reply.received {
		return nil
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		// A missing answer may mean that the link was cut silently, and every later call
		// on this connection would wait as long. With a new connection the dial detects
		// it.
		_ = conn.Close()
	}
	return err
}

// NewStream implements drpc.Conn.
func (h *handle) NewStream(ctx context.Context, rpc string, enc drpc.Encoding) (drpc.Stream, error) {
	conn, err := h.getConn(ctx)
	if err != nil {
		return nil, &NotSentError{Addr: h.addr, Cause: err}
	}
	stream, err := conn.NewStream(ctx, rpc, enc)
	if err != nil {
		h.closeIdleIfLost(conn, err)
		h.putConn(conn)
		return nil, err
	}
	go func() {
		<-stream.Context().Done()
		h.putConn(conn)
	}()
	return stream, nil
}

// closeIdleIfLost closes the idle connections to the address if a failed call has lost its
// connection. When a process ends, all connections to it are lost together. If each of
// them cost a call, a daemon with five of them to each control VM would receive no change
// for seconds after the control VMs are back, because the pause after each failed call
// grows.
func (h *handle) closeIdleIfLost(conn *expiringConn, err error) {
	if err == nil {
		return
	}
	select {
	case <-conn.Closed():
	default:
		return
	}
	for {
		idle, ok := h.pool.idle.Take(h.addr)
		if !ok {
			return
		}
		_ = idle.Close()
	}
}

func (h *handle) getConn(ctx context.Context) (*expiringConn, error) {
	if err := h.acquireSlot(ctx); err != nil {
		return nil, err
	}
	if conn, ok := h.pool.idle.Take(h.addr); ok {
		return conn, nil
	}
	conn, err := h.dial(ctx)
	if err != nil {
		<-h.state.slots
		return nil, err
	}
	return conn, nil
}

func (h *handle) dial(ctx context.Context) (*expiringConn, error) {
	if err := h.state.allow(time.Now()); err != nil {
		fastFailures.Inc(1)
		return nil, err
	}
	start := time.Now()
	conn, err := dial(ctx, h.addr, h.pool.conf, h.pool.trusted)
	h.state.recordDial(ctx, start, err)
	if err != nil {
		dialFailures.Inc(1)
		return nil, err
	}
	dials.Inc(1)
	age := maxAge - rand.N(maxAge/maxAgeJitterDivisor)
	return &expiringConn{Conn: conn, expiresAt: time.Now().Add(age)}, nil
}

func (h *handle) acquireSlot(ctx context.Context) error {
	h.state.lastUsed.Store(time.Now().UnixNano())
	select {
	case <-h.closed:
		return errors.New("the connection is closed")
	case h.state.slots <- struct{}{}:
		return nil
	default:
	}
	slotWaits.Inc(1)
	select {
	case h.state.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "all %d connections are busy", connsPerAddr)
	}
}

func (h *handle) putConn(conn *expiringConn) {
	if h.pool.isClosed() || time.Now().After(conn.expiresAt) {
		_ = conn.Close()
	} else {
		h.pool.idle.Put(h.addr, conn)
	}
	<-h.state.slots
}

var (
	dials        = metrics.GetOrRegisterCounter("peer.pool.dials", metrics.DefaultRegistry)
	dialFailures = metrics.GetOrRegisterCounter("peer.pool.dial_failures", metrics.DefaultRegistry)
	fastFailures = metrics.GetOrRegisterCounter("peer.pool.fast_failures", metrics.DefaultRegistry)
	slotWaits    = metrics.GetOrRegisterCounter("peer.pool.waits", metrics.DefaultRegistry)
)
