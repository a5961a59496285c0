package forward

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// cutReply returns a script that sends the first bytes of a reply, as many as cut says, and closes
// the connection; with reset the close is a reset.
func cutReply(text func(id string) string, cut *atomic.Int64, reset bool) script {
	return func(_ *fakeLeaf, c net.Conn, req receivedRequest) bool {
		all := text(req.header["Request-Id"])
		_, _ = c.Write([]byte(all[:min(int(cut.Load()), len(all))]))
		if reset {
			time.Sleep(resetDelay) // what was sent before is read first
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		return false
	}
}

const resetDelay = 20 * time.Millisecond

// headForms are forms of the head of a reply with a body of the given length.
var headForms = []struct {
	name string
	text func(id string, body string) string
}{
	{"length", func(id, body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSignature: sig\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
	}},
	{"chunks", func(id, body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nRequest-Id: %s\r\nSignature: sig\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", id, len(body), body)
	}},
	{"interim reply", func(id, body string) string {
		return fmt.Sprintf("HTTP/1.1 103 x\r\nLink: y\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSignature: sig\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
	}},
	{"bare line feeds", func(id, body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\nRequest-Id: %s\nSignature: sig\nContent-Length: %d\n\n%s", id, len(body), body)
	}},
	{"no length", func(id, body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSignature: sig\r\n\r\n%s", id, body)
	}},
}

// Guards against a reply that ends in its head, or before its stated end, and that a caller gets as
// whole.
func TestCutReplyIsNoAnswer(t *testing.T) {
	t.Parallel()
	const body = "0123456789abcdef"
	for _, form := range headForms {
		for _, gather := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, gather %v", form.name, gather), func(t *testing.T) {
				t.Parallel()
				var cut atomic.Int64
				leaf := startLeaf(t, cutReply(func(id string) string { return form.text(id, body) }, &cut, false))
				rt := singleRoute("s")
				if gather {
					rt = repeatableRoute("")
					rt.Shards, rt.Top, rt.MinCoverage, rt.MaxAttempts = []string{"s"}, 5, 1, 1
				}
				f := newFixture(t, rt, map[string][]*fakeLeaf{"s": {leaf}})
				whole := len(form.text("id-000", body)) // ids of this test are as long
				if form.name == "no length" {
					whole -= len(body) // where such a body ends can't be known
				}
				for n := range whole {
					cut.Store(int64(n))
					status, got, err := f.askOnce(fmt.Sprintf("id-%03d", n), "HTTP/1.1")
					if err == nil && status < 300 {
						t.Fatalf("cut after %d of %d bytes: status %d with %d bytes, framed as whole", n, whole, status, len(got))
					}
				}
			})
		}
	}
}

// Guards against a long answer that breaks off on its way and looks whole to its caller, also
// where it has no length.
func TestBrokenLongAnswerLooksBroken(t *testing.T) {
	t.Parallel()
	body := strings.Repeat("0123456789abcdef", 3*bufferedReplyBytes/16)
	for _, form := range headForms {
		for _, protocol := range []string{"HTTP/1.1", "HTTP/1.0"} {
			t.Run(form.name+" to "+protocol, func(t *testing.T) {
				t.Parallel()
				var cut atomic.Int64
				text := func(id string) string { return form.text(id, body) }
				leaf := startLeaf(t, cutReply(text, &cut, form.name == "no length"))
				f := newFixture(t, singleRoute("s"), map[string][]*fakeLeaf{"s": {leaf}})
				whole := len(text("id-000"))
				for i, n := range []int{whole - 2*bufferedReplyBytes + 1000, whole - bufferedReplyBytes, whole - 10, whole - 1} {
					cut.Store(int64(n))
					status, got, err := f.askOnce(fmt.Sprintf("id-%03d", i), protocol)
					if err == nil && status < 300 {
						t.Errorf("cut after %d of %d bytes: status %d with %d bytes, framed as whole", n, whole, status, len(got))
					}
				}
			})
		}
	}
}

// askOnce sends one request on a connection of its own. err is what shows the caller that an
// answer is not whole.
func (f *fixture) askOnce(id, protocol string) (status int, body []byte, err error) {
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	if err != nil {
		return 0, nil, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	var req bytes.Buffer
	fmt.Fprintf(&req, "GET / %s\r\nHost: 127.0.0.1\r\nRequest-Id: %s\r\nWait-Ms: 1500\r\n\r\n", protocol, id)
	if _, err := conn.Write(req.Bytes()); err != nil {
		return 0, nil, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, nil, err
	}
	body, err = io.ReadAll(resp.Body)
	return resp.StatusCode, body, err
}
