package standin

import (
	"net"
	"sync"
	"time"
)

const (
	chunkBytes   = 4 << 10
	queuedChunks = 8 // chunks that wait in each direction; a full queue blocks the sender
)

// ThrottledLink forwards connections to one address. All connections share a bandwidth of
// rate bytes per second in each direction, and data is delivered delay after the link
// has carried it.
type ThrottledLink struct {
	lis       net.Listener
	target    string
	rate      float64
	delay     time.Duration
	up        chan chunk
	down      chan chunk
	closeOnce sync.Once
	done      chan struct{}
}

// chunk is data read from one connection that is to be written to another.
type chunk struct {
	to   net.Conn
	data []byte // empty: end of the connection
	sent time.Time
}

// NewThrottledLink listens on a loopback port and forwards to target until Close. rate is in
// bytes per second; delay is added to the delivery of all data.
func NewThrottledLink(target string, rate float64, delay time.Duration) (*ThrottledLink, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &ThrottledLink{
		lis: lis, target: target, rate: rate, delay: delay,
		up: make(chan chunk, queuedChunks), down: make(chan chunk, queuedChunks), done: make(chan struct{}),
	}
	go l.deliver(l.up)
	go l.deliver(l.down)
	go l.accept()
	return l, nil
}

// Addr returns the address to connect to instead of the target.
func (l *ThrottledLink) Addr() string { return l.lis.Addr().String() }

// Close closes the listener and stops forwarding.
func (l *ThrottledLink) Close() {
	l.closeOnce.Do(func() {
		close(l.done)
		_ = l.lis.Close()
	})
}

func (l *ThrottledLink) accept() {
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
		go l.readChunks(in, out, l.up)
		go l.readChunks(out, in, l.down)
	}
}

// readChunks queues the data read from a connection until the connection or the link ends.
func (l *ThrottledLink) readChunks(from, to net.Conn, queue chan<- chunk) {
	defer func() { _ = from.Close() }()
	for {
		c := chunk{to: to, data: make([]byte, chunkBytes)}
		n, err := from.Read(c.data)
		c.data, c.sent = c.data[:n], time.Now()
		if n > 0 && !l.enqueue(queue, c) {
			return
		}
		if err != nil {
			l.enqueue(queue, chunk{to: to, sent: time.Now()})
			return
		}
	}
}

func (l *ThrottledLink) enqueue(queue chan<- chunk, c chunk) bool {
	select {
	case queue <- c:
		return true
	case <-l.done:
		_ = c.to.Close()
		return false
	}
}

// deliver writes chunks in order, each when the link has carried it and the delay has passed.
func (l *ThrottledLink) deliver(queue <-chan chunk) {
	idleAt := time.Now()
	for {
		select {
		case <-l.done:
			return
		case c := <-queue:
			if idleAt.Before(c.sent) {
				idleAt = c.sent
			}
			idleAt = idleAt.Add(time.Duration(float64(len(c.data)) / l.rate * float64(time.Second)))
			time.Sleep(time.Until(idleAt.Add(l.delay)))
			if len(c.data) == 0 {
				_ = c.to.Close()
			} else if _, err := c.to.Write(c.data); err != nil {
				_ = c.to.Close()
			}
		}
	}
}
