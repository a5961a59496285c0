// Package linger closes connections to leaves so that they are counted for as long as
// the leaf counts them.
package linger

import (
	"net"
	"time"
)

// bufferSize takes what the other side still sends, in bytes.
const bufferSize = 512

// Close shuts down the write side of conn, waits for the peer's FIN, limit at most, closes
// conn, and calls over. It returns at once.
//
// A leaf counts a connection until it has seen its end. Closed from here at once, its
// place would be taken by a new one while the leaf still counts the old, and on a link that
// delays both arrive together: the leaf has more than the share. A leaf that has closed its end
// counts nothing any more; one that is silent for the whole limit is considered lost.
func Close(conn net.Conn, limit time.Duration, over func()) {
	half, ok := conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		_ = conn.Close()
		over()
		return
	}
	go func() {
		_ = conn.SetReadDeadline(time.Now().Add(limit))
		rest := make([]byte, bufferSize)
		for err := error(nil); err == nil; {
			_, err = conn.Read(rest)
		}
		_ = conn.Close()
		over()
	}()
}
