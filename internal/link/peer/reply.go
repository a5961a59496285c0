package peer

import (
	"storj.io/drpc"
	"storj.io/drpc/drpcenc"
)

// replyEncoding records whether the reply of a call was received completely. A failure
// after that concerns only the message that tells the other side that the call is
// finished. The other side may have closed the connection right after its reply, as in a
// planned stop, and the call would fail at the caller although it had been run and
// answered. Ignoring the failure is safe: a connection on which it occurs is closed and
// not reused.
type replyEncoding struct {
	drpc.Encoding
	received bool
}

// MarshalAppend appends to buf, so that an encoding with its own MarshalAppend needs no
// extra buffer.
func (e *replyEncoding) MarshalAppend(buf []byte, msg drpc.Message) ([]byte, error) {
	return drpcenc.MarshalAppend(msg, e.Encoding, buf)
}

// Unmarshal implements drpc.Encoding.
func (e *replyEncoding) Unmarshal(buf []byte, msg drpc.Message) error {
	err := e.Encoding.Unmarshal(buf, msg)
	e.received = err == nil
	return err
}
