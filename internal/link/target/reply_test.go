package target

import (
	"bufio"
	"net"
	"testing"
	"time"

	"pearmoor/internal/policy"
)

var testDialect = &Dialect{
	RequestID: "Request-Id", Deadline: "Wait-Ms", LeafID: "Leaf", Signature: "Signature", Load: "Load", NotRun: "Not-Run",
	ParseLoad: func(string) (policy.Load, bool) { return policy.Load{}, false },
}

// exchangeAnswer performs one exchange with a leaf that sends the bytes of answer.
func exchangeAnswer(answer []byte) (*Link, *Reply, bool) {
	ours, theirs := net.Pipe()
	go func() {
		_, _ = theirs.Read(make([]byte, 4096))
		_, _ = theirs.Write(answer)
		_ = theirs.Close()
	}()
	l := NewLink("leaf", "127.0.0.1:1", 1)
	l.openConns = 1
	c := &conn{Conn: ours, reader: bufio.NewReaderSize(ours, readBufferSize), idleTimeout: maxIdleTime}
	req := &Request{
		Dialect: testDialect, Method: "GET", ID: "id-1", Head: []byte("GET / HTTP/1.1\r\nHost: h\r\n"),
		Deadline: time.Now().Add(5 * time.Second), Idempotent: true, BodyLimit: 1 << 16, FailOverLimit: true,
	}
	reply, err := l.exchange(&Call{}, c, req, time.Second)
	return l, reply, err == nil
}

// Whatever bytes a leaf sends, only a complete reply that echoes the request's id may be
// accepted. A connection on which further bytes follow must not be reused, because the next
// caller would get them as its reply.
func FuzzReply(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\nContent-Length: 2\r\n\r\nab"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\nContent-Length: 2\r\n\r\nabHTTP/1.1 200 OK\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nRequest-Id: id-2\r\nContent-Length: 0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 421 x\r\nRequest-Id: id-1\r\nKeep-Alive: timeout=-1\r\nLoad: x\r\nRetry-After: 1e999\r\n\r\n"))
	f.Fuzz(func(t *testing.T, answer []byte) {
		l, reply, ok := exchangeAnswer(answer)
		if l.openConns < 0 || l.openConns > 1 || len(l.idle) > l.openConns || len(l.inUse) > 0 {
			t.Fatalf("%d connections open, %d idle, %d in use", l.openConns, len(l.idle), len(l.inUse))
		}
		if !ok {
			if l.openConns != 0 {
				t.Fatal("the connection of a failed exchange is still open")
			}
			return
		}
		if got := reply.Header["Request-Id"]; len(got) == 0 || got[0] != "id-1" {
			t.Fatalf("accepted a reply to %q", got)
		}
		for _, c := range l.idle {
			if c.reader.Buffered() > 0 {
				t.Fatalf("kept a connection with %d unread bytes", c.reader.Buffered())
			}
		}
	})
}
