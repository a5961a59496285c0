package soak

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// linkState is what a proxy does with what passes through it.
type linkState int32

const (
	passes linkState = iota
	delays           // each piece by proxyDelay
	holds            // both ways, as on a link that is cut: nothing arrives and nothing is refused
	deaf             // one way: what is sent arrives, answers don't
	linkStates
	// narrows is not among the faults that are drawn, whose order is the seed's.
	narrows = linkStates + 1 // each connection carries proxyRate and no more
)

const (
	proxyDelay = 30 * time.Millisecond
	proxyPoll  = 5 * time.Millisecond
	proxyPiece = 16 << 10
	proxyRate  = 300_000 // bytes a second
)

// proxy forwards connections to one address; what it holds arrives when the link is
// well again, as over a network that repeats what was lost.
type proxy struct {
	lis    net.Listener
	target string
	state  atomic.Int32
	closed atomic.Bool

	mu    sync.Mutex
	conns map[net.Conn]bool
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
	defer p.drop(in)
	p.keep(in)
	p.wait(false)
	out, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		return
	}
	defer p.drop(out)
	p.keep(out)
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.pump(in, out, true)
		_ = in.Close()
	}()
	p.pump(out, in, false)
	_ = out.Close()
	<-done
}

// pump copies until either side ends.
func (p *proxy) pump(dst, src net.Conn, answers bool) {
	piece := make([]byte, proxyPiece)
	for {
		n, err := src.Read(piece)
		if n > 0 {
			p.wait(answers)
			if linkState(p.state.Load()) == narrows {
				time.Sleep(time.Duration(n) * time.Second / proxyRate)
			}
			if _, err := dst.Write(piece[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// wait returns when the link lets a piece pass.
func (p *proxy) wait(answers bool) {
	for !p.closed.Load() {
		switch linkState(p.state.Load()) {
		case delays:
			time.Sleep(proxyDelay)
			return
		case holds:
		case deaf:
			if !answers {
				return
			}
		default:
			return
		}
		time.Sleep(proxyPoll)
	}
}

func (p *proxy) keep(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = true
}

func (p *proxy) drop(c net.Conn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// reset ends every connection at once, without a word.
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
