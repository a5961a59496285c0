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
	secure bool
}

// pool keeps the connections to one leaf: never more than its cap, those being
// dialled included, and warm ones for as long as the leaf keeps them.
type pool struct {
	sender *Sender
	addr   string

	mu            sync.Mutex
	link          Link
	tls           *tls.Config // used if link.TLS
	open          int         // dialling, idle or in use
	over          bool        // more are open than the share allows
	idle          []*conn     // the last used is taken first
	waiting       []chan struct{}
	cost          time.Duration // learnt connect cost
	cancelSupport cancelSupport
}

var (
	errNoConns = errors.New("the daemon's share of the leaf's connections is in use")
	errNoShare = errors.New("the daemon holds no share of the leaf's connections")
)

// setLink returns the connections that the new link has no place for. The
// caller closes them when it holds no lock: each calls back.
func (p *pool) setLink(l Link, conf *tls.Config) []*conn {
	p.mu.Lock()
	if l.TLS != p.link.TLS {
		p.cost = 0
	}
	p.link, p.tls = l, conf
	surplus := p.takeSurplus()
	p.markOver()
	for len(p.waiting) > 0 {
		p.wake()
	}
	p.mu.Unlock()
	return surplus
}

func (p *pool) markOver() {
	over := p.open > p.link.Conns
	if over == p.over {
		return
	}
	p.over = over
	if over {
		p.sender.over.Add(1)
	} else {
		p.sender.over.Add(-1)
	}
}

// unused reports whether the pool holds nothing and may hold nothing.
func (p *pool) unused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.link.Conns <= 0 && p.open == 0
}

func (p *pool) opened() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// takeSurplus removes idle connections that may not be used any more: those
// beyond the cap, idle longest first, and those that do or don't speak TLS.
func (p *pool) takeSurplus() []*conn {
	n := min(max(p.open-p.link.Conns, 0), len(p.idle))
	surplus := slices.Clone(p.idle[:n])
	p.idle = slices.Delete(p.idle, 0, n)
	p.idle = slices.DeleteFunc(p.idle, func(c *conn) bool {
		if c.secure != p.link.TLS {
			surplus = append(surplus, c)
		}
		return c.secure != p.link.TLS
	})
	return surplus
}

// endAll ends connections; no lock may be held.
func endAll(cs []*conn) {
	for _, c := range cs {
		c.end()
	}
}

// end ends a connection: it counts until the leaf has closed its end.
func (c *conn) end() { _ = c.wire.Close() }

// close ends a connection whose leaf is not waited for any more.
func (c *conn) close() {
	c.wire.dropped.Store(true)
	c.client.Close()
	_ = c.wire.drop()
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
	if p.open > p.link.Conns || c.secure != p.link.TLS || c.wire.half.Load() || c.client.Err() != nil {
		p.mu.Unlock()
		c.end()
		return
	}
	p.idle = append(p.idle, c)
	p.wake()
	p.mu.Unlock()
}

// closed counts a connection out.
func (p *pool) closed(w *wire) {
	p.mu.Lock()
	p.open--
	p.idle = slices.DeleteFunc(p.idle, func(c *conn) bool { return c.wire == w })
	p.markOver()
	p.wake()
	empty := p.open == 0 && p.link.Conns <= 0
	p.mu.Unlock()
	if empty {
		p.sender.forget(p)
	}
}

// refuses reports whether nothing listens at the leaf's address any more: a connect is
// refused. One that succeeds is kept.
func (p *pool) refuses() bool {
	p.mu.Lock()
	place := p.open < p.link.Conns
	if place {
		p.open++
	}
	p.mu.Unlock()
	if !place {
		return false // other connections are open, or being opened
	}
	c, err := p.dialFor(probeTimeout)
	if err == nil {
		p.put(c)
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// dial opens the connection whose place take has counted.
func (p *pool) dial() (*conn, error) { return p.dialFor(dialTimeout) }

func (p *pool) dialFor(limit time.Duration) (*conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	conf := p.tlsConfig()
	w := &wire{pool: p, exact: conf == nil}
	begin := time.Now()
	client, err := transport(w, conf).NewClientConn(ctx, "http", p.addr)
	if err != nil {
		_ = w.drop()
		return nil, err
	}
	connsOpened.Inc(1)
	p.learnCost(time.Since(begin))
	return &conn{client: client, wire: w, secure: conf != nil}, nil
}

func (p *pool) tlsConfig() *tls.Config {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.link.TLS {
		return nil
	}
	return p.tls
}

// transport returns a transport for one connection: its dialler yields w. TLS
// is spoken inside w, so that w sees each write before it is encrypted and the
// transport itself speaks plain HTTP/1.1.
func transport(w *wire, conf *tls.Config) *http.Transport {
	return &http.Transport{
		DisableCompression: true,
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
