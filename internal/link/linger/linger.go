// Package linger closes connections to leaves gracefully, so that the caller can count a
// connection as open until the leaf has closed its side too.
package linger

import (
	"net"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// drainBufferSize is the size in bytes of the buffer for data that is read and discarded.
	drainBufferSize = 1 << 10
	// MaxDrainBytes bounds the data that is read and discarded on one connection. It is well above
	// what a leaf has under way when it sees that its peer has closed.
	MaxDrainBytes = 256 << 10
)

var (
	drainBuffers = sync.Pool{New: func() any { return new([drainBufferSize]byte) }}

	connsReset = metrics.GetOrRegisterCounter("leaf.connections.reset_while_closing", metrics.DefaultRegistry)
)

// Close shuts down the write side of conn, waits up to timeout for the peer to close its side,
// closes conn and calls onClosed. It does not block.
//
// A leaf counts a connection until it has processed our FIN. If conn were closed and replaced
// at once, a delaying network could deliver the FIN and the new connection together, and the
// leaf would count more connections than this daemon's share. Once the leaf has closed its
// side it no longer counts the connection. A leaf that does not close its side within timeout
// is considered lost.
//
// A leaf that goes on sending is cut off: after MaxDrainBytes the connection is reset. Nothing
// tells when the leaf has seen that, so onClosed is then called at the end of timeout.
func Close(conn net.Conn, timeout time.Duration, onClosed func()) {
	halfCloser, ok := conn.(interface{ CloseWrite() error })
	if !ok || halfCloser.CloseWrite() != nil {
		_ = conn.Close()
		onClosed()
		return
	}
	end := time.Now().Add(timeout)
	go func() {
		_ = conn.SetReadDeadline(end)
		if drain(conn) {
			_ = conn.Close()
			onClosed()
			return
		}
		connsReset.Inc(1)
		reset(conn)
		time.AfterFunc(time.Until(end), onClosed)
	}()
}

// drain reads and discards data until the peer has closed its side or the read deadline has
// passed. It returns false if there is more than MaxDrainBytes.
func drain(conn net.Conn) bool {
	buf := drainBuffers.Get().(*[drainBufferSize]byte)
	defer drainBuffers.Put(buf)
	for total := 0; total <= MaxDrainBytes; {
		n, err := conn.Read(buf[:])
		if err != nil {
			return true
		}
		total += n
	}
	return false
}

// reset closes conn without waiting for data to be acknowledged, so that the peer's next write fails.
func reset(conn net.Conn) {
	if c, ok := conn.(interface{ SetLinger(int) error }); ok {
		_ = c.SetLinger(0)
	}
	_ = conn.Close()
}
