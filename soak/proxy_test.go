package soak

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// linkState is what a proxy does with the data that passes through it.
type linkState int32

const (
	linkOpen        linkState = iota
	linkDelayed               // delays each read by proxyDelay
	linkHeld                  // holds data in both directions and keeps connections open, as a network partition does
	linkAnswersHeld           // forwards requests and holds answers
	linkStateCount
	// linkNarrow is not below linkStateCount, so that it is not drawn as a random fault, which
	// would change the faults of existing seeds.
	linkNarrow = linkStateCount + 1 // limits each connection to proxyRate in each direction
)

const (
	proxyDelay      = 30 * time.Millisecond
	proxyPoll       = 5 * time.Millisecond
	proxyBufferSize = 16 << 10
	proxyRate       = 300_000 // bytes per second
)

// proxy forwards connections to one address. Data that it holds is delivered when the link
// is open again, as TCP retransmits after a network failure.
type proxy struct {
	lis    net.Listener
	target string
	state  atomic.Int32
	closed atomic.Bool

	mu    sync.Mutex
	conns map[net.Conn]bool // value: the connection has gone silent
}

// newProxy listens on addr and forwards to target.
func newProxy(addr, target string) (*proxy, error) {
	lis, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	p := &proxy{lis: lis, target: target, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) addr() string { return p.lis.Addr().String() }

func (p *proxy) accept() {
	for {
		in, err := p.lis.Accept()
		if err != nil {
			return
		}
		go p.forward(in)
	}
}

func (p *proxy) forward(in net.Conn) {
	defer p.closeConn(in)
	p.track(in)
	p.awaitOpen(false)
	out, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		return
	}
	defer p.closeConn(out)
	p.track(out)
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.forwardData(in, out, true)
		_ = in.Close()
	}()
	p.forwardData(out, in, false)
	_ = out.Close()
	<-done
}

// forwardData copies from src to dst until either connection is closed. answers is true if src
// is the target, so that the data are answers.
func (p *proxy) forwardData(dst, src net.Conn, answers bool) {
	buf := make([]byte, proxyBufferSize)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			p.awaitOpen(answers)
			if p.isSilent(src) {
				continue
			}
			if linkState(p.state.Load()) == linkNarrow {
				time.Sleep(time.Duration(n) * time.Second / proxyRate)
			}
			if _, err := dst.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// awaitOpen waits until the link may forward the data that was read.
func (p *proxy) awaitOpen(answers bool) {
	for !p.closed.Load() {
		switch linkState(p.state.Load()) {
		case linkDelayed:
			time.Sleep(proxyDelay)
			return
		case linkHeld:
		case linkAnswersHeld:
			if !answers {
				return
			}
		default:
			return
		}
		time.Sleep(proxyPoll)
	}
}

func (p *proxy) track(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = false
}

func (p *proxy) closeConn(c net.Conn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// silence makes the open connections drop all data from now on, without closing them.
func (p *proxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		p.conns[c] = true
	}
}

func (p *proxy) isSilent(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conns[c]
}

// reset closes all connections with a TCP reset.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (p *proxy) close() {
	p.closed.Store(true)
	_ = p.lis.Close()
	p.reset()
}
