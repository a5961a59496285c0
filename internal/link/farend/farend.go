// Package farend ends connections to leaves so that they are counted for as long as
// the leaf counts them.
package farend

import (
	"net"
	"time"
)

// bufferSize takes what the other side still sends, in bytes.
const bufferSize = 512

// Await tells the other side of conn that nothing more comes, waits until it has closed
// its end, limit at most, closes conn, and calls over. It returns at once.
//
// A leaf counts a connection until it has seen its end. Closed from here at once, its
// place would be taken by a new one before the leaf has let go of the old, and on a link that
// holds back for a while what is sent, both come to the leaf together: it has more than
// the share. A leaf that has closed its end holds nothing any more; one that is silent for
// the whole limit is taken for lost, and its connections count nowhere.
func Await(conn net.Conn, limit time.Duration, over func()) {
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
