package entryvm

import (
	"net"
	"testing"
	"time"
)

// narrowLink forwards connections to one address over a link that carries so many bytes
// a second each way, whatever the number of connections, and takes a while for each.
type narrowLink struct {
	rate float64 // bytes a second
	late time.Duration
	up   chan parcel
	down chan parcel
}

// parcel is what was read at one end and is due at the other.
type parcel struct {
	to   net.Conn
	data []byte // empty: the end
	sent time.Time
}

const (
	narrowPiece  = 4 << 10
	narrowQueue  = 8 // parcels that wait; more hold up the sender
	narrowLatent = 30 * time.Millisecond
)

// newNarrowLink returns the address that stands for target until the test ends.
func newNarrowLink(t *testing.T, target string, rate float64) string {
	t.Helper()
	lis := listen(t)
	l := &narrowLink{rate: rate, late: narrowLatent, up: make(chan parcel, narrowQueue), down: make(chan parcel, narrowQueue)}
	done := make(chan struct{})
	t.Cleanup(func() { close(done); _ = lis.Close() })
	go l.deliver(l.up, done)
	go l.deliver(l.down, done)
	go func() {
		for {
			in, err := lis.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", target)
			if err != nil {
				_ = in.Close()
				continue
			}
			go l.read(in, out, l.up, done)
			go l.read(out, in, l.down, done)
		}
	}()
	return lis.Addr().String()
}

func (l *narrowLink) read(from, to net.Conn, queue chan<- parcel, done <-chan struct{}) {
	for {
		p := parcel{to: to, data: make([]byte, narrowPiece)}
		n, err := from.Read(p.data)
		p.data, p.sent = p.data[:n], time.Now()
		if n > 0 || err != nil {
			select {
			case queue <- p:
			case <-done:
				_ = to.Close()
				return
			}
		}
		if err != nil {
			_ = from.Close()
			if n > 0 {
				queue <- parcel{to: to, sent: time.Now()}
			}
			return
		}
	}
}

// deliver hands parcels over in order, each when the link has carried it.
func (l *narrowLink) deliver(queue <-chan parcel, done <-chan struct{}) {
	free := time.Now()
	for {
		select {
		case <-done:
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
