package leaf

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// ConnConfig is the configuration of the connections to a leaf.
type ConnConfig struct {
	MaxConns    int           // this daemon's share of the leaf's connections; 0: no connection may be open
	TLS         bool          // use HTTPS with the sender's TLS configuration
	ConnectTime time.Duration // configured time to open a connection: the lower bound of the estimate
}

// conn is an open connection to a leaf and its HTTP/1.1 client. It carries one exchange at a
// time and never resends a request.
type conn struct {
	client  *http.ClientConn
	netConn *trackedConn
	reused  bool // has carried a complete exchange
	usesTLS bool
}

// pool holds the connections to one leaf. Those in use, idle and being dialled never exceed
// config.MaxConns together. Idle connections are kept until the leaf closes them.
type pool struct {
	sender *Sender
	addr   string

	mu            sync.Mutex
	config        ConnConfig
	tls           *tls.Config // used if config.TLS is set
	open          int         // being dialled, idle, in use, or closing until the leaf has closed its side
	overLimit     bool        // more connections are open than config.MaxConns
	idle          []*conn     // most recently used last; taken from the end
	waiters       []chan struct{}
	connectTime   time.Duration // moving average of the time to open a connection; 0: no sample
	cancelSupport cancelSupport
}

var (
	errNoConns = errors.New("the daemon's share of the leaf's connections is in use")
	errNoShare = errors.New("the daemon holds no share of the leaf's connections")
)

// configure applies cfg and returns the idle connections that it no longer allows. The caller
// must close them without holding a lock, because closing a connection calls connClosed.
func (p *pool) configure(cfg ConnConfig, conf *tls.Config) []*conn {
	p.mu.Lock()
	if cfg.TLS != p.config.TLS {
		p.connectTime = 0
	}
	p.config, p.tls = cfg, conf
	surplus := p.removeSurplus()
	p.updateOverLimit()
	for len(p.waiters) > 0 {
		p.wakeNext()
	}
	p.mu.Unlock()
	return surplus
}

// updateOverLimit updates overLimit and the sender's count of pools over their limit.
func (p *pool) updateOverLimit() {
	over := p.open > p.config.MaxConns
	if over == p.overLimit {
		return
	}
	p.overLimit = over
	if over {
		p.sender.poolsOverLimit.Add(1)
	} else {
		p.sender.poolsOverLimit.Add(-1)
	}
}

// unused reports whether the pool has no connections and may open none.
func (p *pool) unused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.config.MaxConns <= 0 && p.open == 0
}

func (p *pool) openConns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// removeSurplus removes and returns the idle connections that may no longer be used: those
// above the limit, idle longest first, and those whose use of TLS differs from the
// configuration.
func (p *pool) removeSurplus() []*conn {
	n := min(max(p.open-p.config.MaxConns, 0), len(p.idle))
	surplus := slices.Clone(p.idle[:n])
	p.idle = slices.Delete(p.idle, 0, n)
	p.idle = slices.DeleteFunc(p.idle, func(c *conn) bool {
		if c.usesTLS != p.config.TLS {
			surplus = append(surplus, c)
		}
		return c.usesTLS != p.config.TLS
	})
	return surplus
}

// closeAll calls closeGraceful on all connections. The caller must not hold a lock.
func closeAll(cs []*conn) {
	for _, c := range cs {
		c.closeGraceful()
	}
}

// closeGraceful closes c, which counts as open until the leaf has closed its side.
func (c *conn) closeGraceful() { _ = c.netConn.Close() }

// close closes c without waiting for the leaf.
func (c *conn) close() {
	c.netConn.closedNow.Store(true)
	c.client.Close()
	_ = c.netConn.closeNow()
}

// get returns an idle connection or a new one. At the connection limit it waits. ctx ends
// only that wait: a dial that has started is completed even if ctx ends, and the connection
// is kept for other requests.
func (p *pool) get(ctx context.Context) (*conn, error) {
	for {
		c, wait, err := p.takeOrReserve()
		switch {
		case err != nil:
			return nil, err
		case c != nil:
			return c, nil
		case wait == nil:
			return p.dial()
		}
		select {
		case <-wait:
		case <-ctx.Done():
			p.removeWaiter(wait)
			return nil, errors.CombineErrors(errNoConns, ctx.Err())
		}
	}
}

// tryGet is like get but returns errNoConns instead of waiting at the connection limit.
func (p *pool) tryGet() (*conn, error) {
	c, wait, err := p.takeOrReserve()
	switch {
	case err != nil:
		return nil, err
	case wait != nil:
		p.removeWaiter(wait)
		return nil, errNoConns
	case c != nil:
		return c, nil
	}
	return p.dial()
}

// takeOrReserve returns an idle connection, or a channel that is signalled when the caller
// should try again, or neither if the caller may dial: the new connection is then already
// counted in open.
func (p *pool) takeOrReserve() (*conn, chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.config.MaxConns <= 0 {
		return nil, nil, errNoShare
	}
	for len(p.idle) > 0 {
		last := len(p.idle) - 1
		c := p.idle[last]
		p.idle[last] = nil
		p.idle = p.idle[:last]
		if c.client.Err() == nil {
			return c, nil, nil
		}
	}
	if p.open < p.config.MaxConns {
		p.open++
		return nil, nil, nil
	}
	wait := make(chan struct{}, 1)
	p.waiters = append(p.waiters, wait)
	return nil, wait, nil
}

func (p *pool) removeWaiter(wait chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at := slices.Index(p.waiters, wait); at >= 0 {
		p.waiters = slices.Delete(p.waiters, at, at+1)
		return
	}
	p.wakeNext() // the waiter was already signalled: pass the signal on to the next one
}

// wakeNext signals the first waiter. The caller must hold p.mu.
func (p *pool) wakeNext() {
	if len(p.waiters) == 0 {
		return
	}
	p.waiters[0] <- struct{}{}
	p.waiters = slices.Delete(p.waiters, 0, 1)
}

// put returns a connection to the pool after a complete exchange.
func (p *pool) put(c *conn) {
	c.reused = true
	p.mu.Lock()
	if p.open > p.config.MaxConns || c.usesTLS != p.config.TLS || c.netConn.writeClosed.Load() || c.client.Err() != nil {
		p.mu.Unlock()
		c.closeGraceful()
		return
	}
	p.idle = append(p.idle, c)
	p.wakeNext()
	p.mu.Unlock()
}

// connClosed removes a closed connection from the count and from the idle list.
func (p *pool) connClosed(w *trackedConn) {
	p.mu.Lock()
	p.open--
	p.idle = slices.DeleteFunc(p.idle, func(c *conn) bool { return c.netConn == w })
	p.updateOverLimit()
	p.wakeNext()
	empty := p.open == 0 && p.config.MaxConns <= 0
	p.mu.Unlock()
	if empty {
		p.sender.removePool(p)
	}
}

// connectionRefused reports whether the leaf's address refuses a new connection, which means
// that no process listens there. If the connection succeeds, it is kept in the pool.
func (p *pool) connectionRefused() bool {
	p.mu.Lock()
	reserved := p.open < p.config.MaxConns
	if reserved {
		p.open++
	}
	p.mu.Unlock()
	if !reserved {
		return false // at the limit: other connections are open or being opened
	}
	c, err := p.dialWithTimeout(refusalCheckTimeout)
	if err == nil {
		p.put(c)
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// dial opens the connection that takeOrReserve has already counted.
func (p *pool) dial() (*conn, error) { return p.dialWithTimeout(dialTimeout) }

// dialWithTimeout opens a connection that is already counted in open.
func (p *pool) dialWithTimeout(timeout time.Duration) (*conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	conf := p.tlsConfig()
	w := &trackedConn{pool: p, plainTCP: conf == nil}
	w.allowance.Store(maxHeadBytes)
	start := time.Now()
	client, err := newTransport(w, conf).NewClientConn(ctx, "http", p.addr)
	if err != nil {
		_ = w.closeNow()
		return nil, err
	}
	connsOpened.Inc(1)
	p.recordConnectTime(time.Since(start))
	return &conn{client: client, netConn: w, usesTLS: conf != nil}, nil
}

func (p *pool) tlsConfig() *tls.Config {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.config.TLS {
		return nil
	}
	return p.tls
}

// newTransport returns a transport for a single connection, which its dialler returns as w.
// TLS is handled below w, so that w sees each write before encryption and the transport
// itself speaks plain HTTP/1.1.
func newTransport(w *trackedConn, conf *tls.Config) *http.Transport {
	return &http.Transport{
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeadBytes,
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			c, err := dialLeaf(ctx, addr, conf)
			if err != nil {
				return nil, err
			}
			w.Conn = c
			return w, nil
		},
	}
}

// connectTimeWeight is the inverse weight of a new sample in the moving average of the time to
// open a connection.
const connectTimeWeight = 4

func (p *pool) recordConnectTime(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.connectTime == 0 {
		p.connectTime = d
		return
	}
	p.connectTime += (d - p.connectTime) / connectTimeWeight
}

// expectedConnectTime estimates the time to open a connection, and so what closing one costs
// a later request.
func (p *pool) expectedConnectTime() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.connectTime, p.config.ConnectTime)
}
