package standin

import (
	"net"
	"sync"
	"time"
)

const (
	narrowPiece = 4 << 10
	narrowQueue = 8 // chunks that wait in each direction; a full queue blocks the sender
)

// ThrottledLink forwards connections to one address. All connections share a bandwidth of
// rate bytes per second in each direction, and data is delivered delay after the link
// has carried it.
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

// chunk is data read from one connection that is to be written to another.
type parcel struct {
	to   net.Conn
	data []byte // empty: end of the connection
	sent time.Time
}

// NewThrottledLink listens on a loopback port and forwards to target until Close. rate is in
// bytes per second; delay is added to the delivery of all data.
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

// Addr returns the address to connect to instead of the target.
func (l *NarrowLink) Addr() string { return l.lis.Addr().String() }

// Close closes the listener and stops forwarding.
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

// readChunks queues the data read from a connection until the connection or the link ends.
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

// deliver writes chunks in order, each when the link has carried it and the delay has passed.
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
