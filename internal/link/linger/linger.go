// Package linger closes connections to leaves gracefully, so that the caller can count a
// connection as open until the leaf has closed its side too.
package linger

import (
	"net"
	"time"
)

// drainBufferSize is the size in bytes of the buffer for data that is read and discarded.
const drainBufferSize = 512

// Close shuts down the write side of conn, waits up to timeout for the peer to close its side,
// closes conn and calls onClosed. It does not block.
//
// A leaf counts a connection until it has processed our FIN. If conn were closed and replaced
// at once, a delaying network could deliver the FIN and the new connection together, and the
// leaf would count more connections than this daemon's share. Once the leaf has closed its
// side it no longer counts the connection. A leaf that does not close its side within timeout
// is considered lost.
func Close(conn net.Conn, timeout time.Duration, onClosed func()) {
	halfCloser, ok := conn.(interface{ CloseWrite() error })
	if !ok || halfCloser.CloseWrite() != nil {
		_ = conn.Close()
		onClosed()
		return
	}
	go func() {
		_ = conn.SetReadDeadline(time.Now().Add(timeout))
		buf := make([]byte, drainBufferSize)
		for err := error(nil); err == nil; {
			_, err = conn.Read(buf)
		}
		_ = conn.Close()
		onClosed()
	}()
}
