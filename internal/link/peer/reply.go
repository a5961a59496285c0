package peer

import (
	"storj.io/drpc"
	"storj.io/drpc/drpcenc"
)

// replyEncoding notes that the reply of a call was received whole. What fails after that
// is only the word to the other side that the call is done with, and that side may have
// closed the connection behind its reply, as it does in a planned stop: the call failed at
// its caller, though it had been run and answered. Nothing is lost by passing over
// the failure: a connection on which it came about is closed, and not used again.
type replyEncoding struct {
	drpc.Encoding
	received bool
}

// MarshalAppend keeps the way of the wrapped encoding that needs no buffer of its own.
func (e *replyEncoding) MarshalAppend(buf []byte, msg drpc.Message) ([]byte, error) {
	return drpcenc.MarshalAppend(msg, e.Encoding, buf)
}

// Unmarshal implements drpc.Encoding.
func (e *replyEncoding) Unmarshal(buf []byte, msg drpc.Message) error {
	err := e.Encoding.Unmarshal(buf, msg)
	e.received = err == nil
	return err
}
