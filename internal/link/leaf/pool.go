package leaf

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Link is what a daemon may use to reach a leaf.
type Link struct {
	Conns       int           // this daemon's share of the leaf's connections; 0: none
	TLS         bool          // HTTPS, with the sender's TLS configuration
	ConnectCost time.Duration // stated cost of a new connection, until one was measured
}

// conn is an open connection to a leaf with its HTTP/1.1 exchange state. It
// carries one exchange at a time and never resends.
type conn struct {
	client *http.ClientConn
	wire   *wire
	reused bool
}

// pool keeps the connections to one leaf: never more than its cap, those being
// dialled included, and warm ones for as long as the leaf keeps them.
type pool struct {
	addr string
	tls  *tls.Config // nil for plain TCP

	mu      sync.Mutex
	link    Link
	open    int     // dialling, idle or in use
	idle    []*conn // the last used is taken first
	waiting []chan struct{}
	cost    time.Duration // learnt connect cost
}

var (
	errNoConns = errors.New("the daemon's share of the leaf's connections is in use")
	errNoShare = errors.New("the daemon holds no share of the leaf's connections")
)

func (p *pool) setLink(l Link) {
	p.mu.Lock()
	p.link = l
	surplus := p.takeSurplus()
	p.wake()
	p.mu.Unlock()
	closeAll(surplus)
}

// takeSurplus removes idle connections beyond the cap, those idle longest first.
func (p *pool) takeSurplus() []*conn {
	n := min(max(p.open-p.link.Conns, 0), len(p.idle))
	surplus := slices.Clone(p.idle[:n])
	p.idle = slices.Delete(p.idle, 0, n)
	return surplus
}

// closeAll closes connections; the pool's lock must not be held.
func closeAll(cs []*conn) {
	for _, c := range cs {
		c.close()
	}
}

func (c *conn) close() {
	c.client.Close()
	c.wire.Close()
}

// get returns an idle connection or a new one, or waits for either while the
// cap is reached. ctx ends only the wait: a connection once begun is finished
// and kept, since its cost is already paid.
func (p *pool) get(ctx context.Context) (*conn, error) {
	for {
		c, wait, err := p.take()
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
			p.stopWaiting(wait)
			return nil, errors.CombineErrors(errNoConns, ctx.Err())
		}
	}
}

// tryGet is get without waiting at the cap.
func (p *pool) tryGet() (*conn, error) {
	c, wait, err := p.take()
	switch {
	case err != nil:
		return nil, err
	case wait != nil:
		p.stopWaiting(wait)
		return nil, errNoConns
	case c != nil:
		return c, nil
	}
	return p.dial()
}

// take returns an idle connection, or a channel to wait on, or neither when
// the caller may dial: its place is then already counted.
func (p *pool) take() (*conn, chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.link.Conns <= 0 {
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
	if p.open < p.link.Conns {
		p.open++
		return nil, nil, nil
	}
	wait := make(chan struct{}, 1)
	p.waiting = append(p.waiting, wait)
	return nil, wait, nil
}

func (p *pool) stopWaiting(wait chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at := slices.Index(p.waiting, wait); at >= 0 {
		p.waiting = slices.Delete(p.waiting, at, at+1)
		return
	}
	p.wake() // the signal it got goes to the next
}

// wake signals the first waiter; the lock is held.
func (p *pool) wake() {
	if len(p.waiting) == 0 {
		return
	}
	p.waiting[0] <- struct{}{}
	p.waiting = slices.Delete(p.waiting, 0, 1)
}

// put gives a connection back after a whole exchange.
func (p *pool) put(c *conn) {
	c.reused = true
	p.mu.Lock()
	if p.open > p.link.Conns || c.wire.half.Load() || c.client.Err() != nil {
		p.mu.Unlock()
		c.close()
		return
	}
	p.idle = append(p.idle, c)
	p.wake()
	p.mu.Unlock()
}

// closed counts a connection out.
func (p *pool) closed(w *wire) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.idle = slices.DeleteFunc(p.idle, func(c *conn) bool { return c.wire == w })
	p.wake()
}

// dial opens the connection whose place take has counted.
func (p *pool) dial() (*conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	begin := time.Now()
	w := &wire{pool: p, exact: p.tls == nil}
	client, err := p.transport(w).NewClientConn(ctx, "http", p.addr)
	if err != nil {
		if w.Conn != nil {
			w.Close()
			return nil, err
		}
		p.mu.Lock()
		p.open--
		p.wake()
		p.mu.Unlock()
		return nil, err
	}
	connsOpened.Inc(1)
	p.learnCost(time.Since(begin))
	return &conn{client: client, wire: w}, nil
}

// transport returns a transport for one connection: its dialler yields w. TLS
// is spoken inside w, so that w sees each write before it is encrypted and the
// transport itself speaks plain HTTP/1.1.
func (p *pool) transport(w *wire) *http.Transport {
	return &http.Transport{
		DisableCompression: true,
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			var err error
			if p.tls != nil {
				w.Conn, err = dialTLS(ctx, addr, p.tls)
			} else {
				w.Conn, err = dialPlain(ctx, addr)
			}
			if err != nil {
				w.Conn = nil
				return nil, err
			}
			return w, nil
		},
	}
}

// costWeight is the weight of a new sample of the connect cost.
const costWeight = 4

func (p *pool) learnCost(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cost == 0 {
		p.cost = d
		return
	}
	p.cost += (d - p.cost) / costWeight
}

// connectCost is what closing a connection will cost later.
func (p *pool) connectCost() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.cost, p.link.ConnectCost)
}
