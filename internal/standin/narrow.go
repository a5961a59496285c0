package standin

import (
	"net"
	"sync"
	"time"
)

const (
	narrowPiece = 4 << 10
	narrowQueue = 8 // parcels that wait; more hold up the sender
)

// NarrowLink forwards connections to one address over a link that carries so many bytes
// a second each way, however many connections there are, and delivers each a while after it
// was sent.
type NarrowLink struct {
	lis    net.Listener
	target string
	rate   float64
	late   time.Duration
	up     chan parcel
	down   chan parcel
	once   sync.Once
	done   chan struct{}
}

// parcel is what was read at one end and is due at the other.
type parcel struct {
	to   net.Conn
	data []byte // empty: the end
	sent time.Time
}

// NewNarrowLink listens on a loopback port and forwards to target at rate, in bytes a
// second, and late, until Close.
func NewNarrowLink(target string, rate float64, late time.Duration) (*NarrowLink, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &NarrowLink{
		lis: lis, target: target, rate: rate, late: late,
		up: make(chan parcel, narrowQueue), down: make(chan parcel, narrowQueue), done: make(chan struct{}),
	}
	go l.deliver(l.up)
	go l.deliver(l.down)
	go l.accept()
	return l, nil
}

// Addr returns the address that stands for the target.
func (l *NarrowLink) Addr() string { return l.lis.Addr().String() }

// Close ends the link and what passes over it.
func (l *NarrowLink) Close() {
	l.once.Do(func() {
		close(l.done)
		_ = l.lis.Close()
	})
}

func (l *NarrowLink) accept() {
	for {
		in, err := l.lis.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", l.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		go l.read(in, out, l.up)
		go l.read(out, in, l.down)
	}
}

// read hands on what comes from one end until that or the link ends.
func (l *NarrowLink) read(from, to net.Conn, queue chan<- parcel) {
	defer func() { _ = from.Close() }()
	for {
		p := parcel{to: to, data: make([]byte, narrowPiece)}
		n, err := from.Read(p.data)
		p.data, p.sent = p.data[:n], time.Now()
		if n > 0 && !l.hand(queue, p) {
			return
		}
		if err != nil {
			l.hand(queue, parcel{to: to, sent: time.Now()})
			return
		}
	}
}

func (l *NarrowLink) hand(queue chan<- parcel, p parcel) bool {
	select {
	case queue <- p:
		return true
	case <-l.done:
		_ = p.to.Close()
		return false
	}
}

// deliver hands parcels over in order, each when the link has carried it.
func (l *NarrowLink) deliver(queue <-chan parcel) {
	free := time.Now()
	for {
		select {
		case <-l.done:
			return
		case p := <-queue:
			if free.Before(p.sent) {
				free = p.sent
			}
			free = free.Add(time.Duration(float64(len(p.data)) / l.rate * float64(time.Second)))
			time.Sleep(time.Until(free.Add(l.late)))
			if len(p.data) == 0 {
				_ = p.to.Close()
			} else if _, err := p.to.Write(p.data); err != nil {
				_ = p.to.Close()
			}
		}
	}
}
