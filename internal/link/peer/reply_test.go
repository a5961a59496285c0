package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"
	"storj.io/drpc"
	"storj.io/drpc/drpcmanager"
)

// stringEncoding is a drpc.Encoding of strings. It calls onReply when a reply is decoded.
type stringEncoding struct{ onReply func() }

func (stringEncoding) Marshal(msg drpc.Message) ([]byte, error) { return []byte(*msg.(*string)), nil }

func (t stringEncoding) Unmarshal(buf []byte, msg drpc.Message) error {
	if t.onReply != nil {
		t.onReply()
	}
	if len(buf) == 0 {
		return errors.New("empty")
	}
	*msg.(*string) = string(buf)
	return nil
}

// replyAndReset serves one call and resets the connection when reset is closed, before it
// has sent the end of the stream.
func replyAndReset(t *testing.T, reply string, reset <-chan struct{}) (addr string, closed <-chan struct{}) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer lis.Close()
		raw, err := lis.Accept()
		if err != nil {
			return
		}
		man := drpcmanager.NewWithOptions(raw, managerOptions())
		stream, _, err := man.NewServerStream(context.Background())
		if err != nil {
			return
		}
		var in string
		if stream.MsgRecv(&in, stringEncoding{}) == nil && stream.MsgSend(&reply, stringEncoding{}) == nil {
			<-reset
		}
		_ = raw.(*net.TCPConn).SetLinger(0)
		_ = man.Close()
	}()
	return lis.Addr().String(), done
}

// Guards against calls that fail with "context canceled" although they were answered. A VM
// in a planned stop sends the reply and closes the connection right after it. The caller
// has received the reply, and then fails to tell the other side, on the closed connection,
// that the call is finished.
func TestReplyReceivedBeforeConnectionEnds(t *testing.T) {
	call := func(reply string) (string, error) {
		reset := make(chan struct{})
		addr, gone := replyAndReset(t, reply, reset)
		pool := NewPool(nil)
		defer pool.Close()
		conn, err := pool.Conn(context.Background(), addr)
		if err != nil {
			return "", err
		}
		in, out := "question", ""
		enc := stringEncoding{onReply: func() {
			close(reset)
			<-gone
		}}
		ctx, cancel := context.WithTimeout(context.Background(), testWait)
		defer cancel()
		err = conn.Invoke(ctx, "/any/call", enc, &in, &out)
		return out, err
	}
	Convey("A call succeeds once its whole reply was received, even if the connection ends after it", t, func() {
		out, err := call("answer")
		So(err, ShouldBeNil)
		So(out, ShouldEqual, "answer")
	})
	Convey("A call fails if its reply cannot be decoded", t, func() {
		_, err := call("")
		So(err, ShouldNotBeNil)
	})
	Convey("A call fails if the connection ends without a reply", t, func() {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer lis.Close()
		go func() {
			raw, err := lis.Accept()
			if err == nil {
				time.Sleep(10 * time.Millisecond)
				_ = raw.Close()
			}
		}()
		pool := NewPool(nil)
		defer pool.Close()
		conn, err := pool.Conn(context.Background(), lis.Addr().String())
		So(err, ShouldBeNil)
		in, out := "question", ""
		So(conn.Invoke(context.Background(), "/any/call", stringEncoding{}, &in, &out), ShouldNotBeNil)
	})
}
