package linger

import (
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// startPeer returns the near end of a connection whose far end is handled by serve.
func startPeer(t *testing.T, serve func(net.Conn)) net.Conn {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer lis.Close()
	c, err := net.Dial("tcp", lis.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	// Accepted before the listener is closed: closing it resets what waits in its queue.
	far, err := lis.Accept()
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		defer far.Close()
		serve(far)
	}()
	return c
}

// countingConn counts the bytes that are read.
type countingConn struct {
	*net.TCPConn
	n atomic.Int64
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	c.n.Add(int64(n))
	return n, err
}

// Guards against a leaf that sends without end and is read, as fast as it sends, until the timeout.
func TestPeerThatSendsWithoutEndIsCutOff(t *testing.T) {
	const timeout = 2 * time.Second
	cutOff := make(chan time.Time, 1)
	c := &countingConn{TCPConn: startPeer(t, func(c net.Conn) {
		for buf := make([]byte, 32<<10); ; {
			if _, err := c.Write(buf); err != nil {
				cutOff <- time.Now()
				return
			}
		}
	}).(*net.TCPConn)}
	start, closed := time.Now(), make(chan time.Time, 1)
	Close(c, timeout, func() { closed <- time.Now() })
	if took := (<-cutOff).Sub(start); took > timeout/2 {
		t.Errorf("the peer was cut off after %v", took)
	}
	if n := c.n.Load(); n > MaxDrainBytes+drainBufferSize {
		t.Errorf("read %d bytes, the limit is %d", n, MaxDrainBytes)
	}
	// The peer may count the connection until it has seen the reset.
	if took := (<-closed).Sub(start); took < timeout*9/10 {
		t.Errorf("counted as closed after %v, although the peer may not have seen the reset yet", took)
	}
}

// Guards against a rest of a reply that is cut off although it has an end: the leaf's side is then
// not known to be closed.
func TestRestOfReplyIsDrained(t *testing.T) {
	c := startPeer(t, func(c net.Conn) {
		_, _ = c.Write(make([]byte, MaxDrainBytes/2))
		_, _ = c.Read(make([]byte, 1)) // until the near end is shut
	})
	start, closed := time.Now(), make(chan struct{})
	Close(c, 10*time.Second, func() { close(closed) })
	<-closed
	if took := time.Since(start); took > 2*time.Second {
		t.Errorf("closed after %v", took)
	}
}
