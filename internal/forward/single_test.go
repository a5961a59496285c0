package forward

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"pearmoor/internal/route"
)

func singleRoute(service string) route.Route { return route.Route{Service: service, MaxAttempts: 2} }

func repeatableRoute(service string) route.Route {
	return route.Route{Service: service, MaxAttempts: 2, Repeatable: true}
}

// The request line, the body and the caller's end-to-end headers reach the leaf unchanged.
// Hop-by-hop headers and forged headers of the tier do not.
func TestRequestIsForwardedUnchanged(t *testing.T) {
	leaf := startLeaf(t, replyWith("whole"))
	f := newFixture(t, singleRoute("s"), map[string][]*fakeLeaf{"s": {leaf}})
	req, _ := http.NewRequest(http.MethodPost, f.url+"/a%2Fb/../c//d?x=1&y=%20", strings.NewReader("the body"))
	for k, v := range map[string]string{"Request-Id": "id", "Wait-Ms": "1500", "Leaf-Id": "forged", "Custom": "kept", "Connection": "Drop-Me", "Drop-Me": "x"} {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	got := leaf.requests()
	if len(got) != 1 || got[0].line != "POST /a%2Fb/../c//d?x=1&y=%20 HTTP/1.1" || got[0].body != "the body" {
		t.Fatalf("the leaf got %+v", got)
	}
	h := got[0].header
	if h["Request-Id"] != "id" || h["Custom"] != "kept" || h["Leaf-Id"] != "i-s-0" || h["Drop-Me"] != "" {
		t.Errorf("headers at the leaf: %v", h)
	}
	var left int
	if _, err := fmt.Sscan(h["Wait-Ms"], &left); err != nil || left > 1500 || left < 500 {
		t.Errorf("deadline at the leaf is %q ms, want 500 to 1500", h["Wait-Ms"])
	}
}

// Guards against an unrepeatable request that is sent to a second leaf, or reported as not
// run, after a leaf has read it and dropped the connection.
func TestLostReplyOfUnrepeatableRequest(t *testing.T) {
	drop := func(l *fakeLeaf, _ net.Conn, _ receivedRequest) bool { l.runs.Add(1); return false }
	a, b := startLeaf(t, drop), startLeaf(t, drop)
	f := newFixture(t, singleRoute("s"), map[string][]*fakeLeaf{"s": {a, b}})
	resp, _ := f.do(t, http.MethodPost, "/", "charge")
	if resp.StatusCode != http.StatusBadGateway {
		t.Errorf("status %d", resp.StatusCode)
	}
	if n := a.runs.Load() + b.runs.Load(); n != 1 {
		t.Errorf("the request ran %d times, want 1", n)
	}
}

// A request that a leaf refuses as not run is sent to another leaf, even if it is not
// repeatable.
func TestRefusedRequestGoesToAnotherLeaf(t *testing.T) {
	fullLeaf := startLeaf(t, func(_ *fakeLeaf, c net.Conn, req receivedRequest) bool {
		return reply(c, req, 503, "", "Not-Run: full")
	})
	healthyLeaf := startLeaf(t, replyWith("done"))
	f := newFixture(t, singleRoute("s"), map[string][]*fakeLeaf{"s": {fullLeaf, healthyLeaf}})
	for range 6 {
		if resp, text := f.do(t, http.MethodPost, "/", "x"); resp.StatusCode != 200 || text != "done" {
			t.Fatalf("%d %q", resp.StatusCode, text)
		}
	}
	if healthyLeaf.runs.Load() != 6 {
		t.Errorf("%d runs of 6 requests, want 6", healthyLeaf.runs.Load())
	}
}

// Guards against a caller that waits until its deadline although every leaf refuses. It gets
// an answer that the request did not run, with a Retry-After.
func TestAllLeavesRefuse(t *testing.T) {
	full := func(_ *fakeLeaf, c net.Conn, req receivedRequest) bool {
		return reply(c, req, 503, "", "Not-Run: full")
	}
	f := newFixture(t, singleRoute("s"), map[string][]*fakeLeaf{"s": {startLeaf(t, full), startLeaf(t, full)}})
	began := time.Now()
	resp, _ := f.do(t, http.MethodPost, "/", "x")
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Errorf("status %d, Retry-After %q", resp.StatusCode, resp.Header.Get("Retry-After"))
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("answered after %v, want at most 1 s", took)
	}
}

// Guards against a 503 for a request that may have run. Callers take that status to mean that
// the request did not run, but the leaf has returned it without stating so.
func TestUnmarked503IsNotPassedOn(t *testing.T) {
	leaf := startLeaf(t, func(l *fakeLeaf, c net.Conn, req receivedRequest) bool {
		l.runs.Add(1)
		return reply(c, req, 503, "broken", nextSignature())
	})
	f := newFixture(t, singleRoute("s"), map[string][]*fakeLeaf{"s": {leaf}})
	resp, _ := f.do(t, http.MethodPost, "/", "x")
	if resp.StatusCode != http.StatusBadGateway || resp.Header.Get("Signature") != "" {
		t.Errorf("status %d, signature %q", resp.StatusCode, resp.Header.Get("Signature"))
	}
}

// Guards against repeated sends to an address that another leaf has taken over. That leaf
// refuses the request with 421 and does not run it.
func TestReusedAddressIsAvoided(t *testing.T) {
	otherLeaf := startLeaf(t, func(_ *fakeLeaf, c net.Conn, req receivedRequest) bool { return reply(c, req, 421, "") })
	healthyLeaf := startLeaf(t, replyWith("done"))
	f := newFixture(t, singleRoute("s"), map[string][]*fakeLeaf{"s": {otherLeaf, healthyLeaf}})
	for range 4 {
		if resp, _ := f.do(t, http.MethodPost, "/", "x"); resp.StatusCode != 200 {
			t.Fatalf("status %d", resp.StatusCode)
		}
	}
	if n := len(otherLeaf.requests()); n > 1 {
		t.Errorf("%d requests were sent to the wrong leaf, want at most 1", n)
	}
}

// Guards against a caller that gets the reply to another request. The leaf sends a second
// reply to each request late, on a kept connection where the reply to the next request is
// expected.
func TestExtraReplyIsNotUsedForNextRequest(t *testing.T) {
	leaf := startLeaf(t, func(l *fakeLeaf, c net.Conn, req receivedRequest) bool {
		l.runs.Add(1)
		body := "answer to " + req.header["Request-Id"]
		if !reply(c, req, 200, body, nextSignature()) {
			return false
		}
		time.Sleep(20 * time.Millisecond)
		return reply(c, req, 200, body, nextSignature())
	})
	f := newFixture(t, repeatableRoute("s"), map[string][]*fakeLeaf{"s": {leaf}})
	for i := range 8 {
		want := fmt.Sprintf("answer to id-%d", lastRequestID.Load()+1)
		resp, text := f.do(t, http.MethodGet, "/", "")
		if resp.StatusCode == 200 && text != want {
			t.Fatalf("request %d got %q, want %q", i, text, want)
		}
		time.Sleep(time.Duration(i) * 6 * time.Millisecond)
	}
}

// Guards against a truncated reply of a leaf that looks complete to the caller.
func TestTruncatedReplyIsNotComplete(t *testing.T) {
	leaf := startLeaf(t, func(_ *fakeLeaf, c net.Conn, req receivedRequest) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 x\r\nRequest-Id: %s\r\nSignature: s\r\nContent-Length: 400000\r\n\r\n%s", req.header["Request-Id"], strings.Repeat("x", 200000))
		return false
	})
	f := newFixture(t, singleRoute("s"), map[string][]*fakeLeaf{"s": {leaf}})
	if _, text, err := f.doRequest(http.MethodPost, "/", "x"); err == nil {
		t.Errorf("a truncated reply of %d bytes looks complete", len(text))
	}
}

// Guards against a repeatable request that fails because the leaf has dropped the idle
// connection, and against the leaf being treated as failed. The request is sent again
// immediately.
func TestDroppedIdleConnectionIsRetried(t *testing.T) {
	var n atomic.Int32
	leaf := startLeaf(t, func(l *fakeLeaf, c net.Conn, req receivedRequest) bool {
		if n.Add(1) == 2 {
			return false // drops the request that arrives on the idle connection
		}
		l.runs.Add(1)
		return reply(c, req, 200, "done", nextSignature())
	})
	f := newFixture(t, repeatableRoute("s"), map[string][]*fakeLeaf{"s": {leaf}})
	for range 3 {
		if resp, _ := f.do(t, http.MethodGet, "/", ""); resp.StatusCode != 200 {
			t.Fatalf("status %d", resp.StatusCode)
		}
	}
}

// Guards against a leaf that keeps working after the caller has left: the connection to the
// leaf must be closed within half a second of the caller leaving.
func TestCallerLeavingClosesLeafConnection(t *testing.T) {
	closed := make(chan time.Time, 1)
	leaf := startLeaf(t, func(_ *fakeLeaf, c net.Conn, _ receivedRequest) bool {
		_, _ = c.Read(make([]byte, 1))
		closed <- time.Now()
		return false
	})
	f := newFixture(t, repeatableRoute("s"), map[string][]*fakeLeaf{"s": {leaf}})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, f.url+"/", nil)
	req.Header.Set("Request-Id", "leaving")
	req.Header.Set("Wait-Ms", "1500")
	if _, err := http.DefaultClient.Do(req); err == nil {
		t.Fatal("the request was answered")
	}
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Error("the connection to the leaf is still open after the caller has left")
	}
}

// A body that is longer than bufferedBodyBytes is streamed to the leaf.
func TestLongBodyIsForwarded(t *testing.T) {
	long := strings.Repeat("0123456789", 15_000)
	leaf := startLeaf(t, replyWith("done"))
	f := newFixture(t, singleRoute("s"), map[string][]*fakeLeaf{"s": {leaf}})
	if resp, _ := f.do(t, http.MethodPost, "/", long); resp.StatusCode != 200 {
		t.Fatalf("status %d", resp.StatusCode)
	}
	if got := leaf.requests(); got[0].body != long {
		t.Errorf("the leaf got %d bytes of %d", len(got[0].body), len(long))
	}
}

// Invalid requests are refused with the matching status and do not reach a leaf.
func TestBadRequests(t *testing.T) {
	leaf := startLeaf(t, replyWith("done"))
	f := newFixture(t, singleRoute("s"), map[string][]*fakeLeaf{"s": {leaf}})
	host := strings.TrimPrefix(f.url, "http://")
	for name, c := range map[string]struct {
		head   string
		status string
	}{
		"no id":        {"GET / HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n", "400"},
		"two ids":      {"GET / HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest-Id: a\r\nRequest-Id: b\r\n\r\n", "400"},
		"bad wait":     {"GET / HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest-Id: a\r\nWait-Ms: soon\r\n\r\n", "400"},
		"NaN wait":     {"GET / HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest-Id: a\r\nWait-Ms: NaN\r\n\r\n", "400"},
		"two lengths":  {"POST / HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest-Id: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx", "400"},
		"bad length":   {"POST / HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest-Id: a\r\nContent-Length: -1\r\n\r\n", "400"},
		"NUL in name":  {"GET / HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest-Id: a\r\nX\x00Y: b\r\n\r\n", "400"},
		"CR in value":  {"GET / HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest-Id: a\r\nX: b\rc\r\n\r\n", "400"},
		"whole URL":    {"GET http://127.0.0.1/ HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest-Id: a\r\n\r\n", "400"},
		"unknown host": {"GET / HTTP/1.1\r\nHost: nobody.example\r\nRequest-Id: a\r\n\r\n", "404"},
		"long header":  {"GET / HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest-Id: a\r\nX: " + strings.Repeat("x", 70_000) + "\r\n\r\n", "431"},
		"long body":    {"POST / HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest-Id: a\r\nContent-Length: 99999999\r\n\r\n", "413"},
	} {
		conn, err := net.Dial("tcp", host)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprint(conn, c.head)
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		buf := make([]byte, 64)
		n, _ := conn.Read(buf)
		conn.Close()
		if got := string(buf[:n]); !strings.HasPrefix(got, "HTTP/1.1 "+c.status) {
			t.Errorf("%s: %q, want %s", name, got, c.status)
		}
	}
	if n := len(leaf.requests()); n != 0 {
		t.Errorf("%d invalid requests reached the leaf", n)
	}
}

// Guards against request smuggling with both Content-Length and chunked encoding, which
// servers interpret differently. The leaf gets the body as parsed here, with new framing.
func TestContentLengthWithChunkedBody(t *testing.T) {
	leaf := startLeaf(t, replyWith("done"))
	f := newFixture(t, singleRoute("s"), map[string][]*fakeLeaf{"s": {leaf}})
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprint(conn, "POST / HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest-Id: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n")
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, _ = conn.Read(make([]byte, 64))
	for _, got := range leaf.requests() {
		if got.body != "hello" || got.header["Transfer-Encoding"] != "" {
			t.Errorf("the leaf got %+v", got)
		}
	}
}

// Guards against connections that break when a daemon is stopped during a request. Before the
// process exits, the caller of an unrepeatable request gets an answer that it may have run,
// and a gather returns the parts received so far.
func TestFinishAllAnswersRequestsInProgress(t *testing.T) {
	hang := func(l *fakeLeaf, _ net.Conn, _ receivedRequest) bool {
		l.runs.Add(1)
		time.Sleep(5 * time.Second)
		return false
	}
	silentLeaf := startLeaf(t, hang)
	f := newFixture(t, singleRoute("s"), map[string][]*fakeLeaf{"s": {silentLeaf}})
	time.AfterFunc(100*time.Millisecond, f.engine.FinishAll)
	began := time.Now()
	resp, text := f.do(t, http.MethodPost, "/", "charge")
	if resp.StatusCode != http.StatusBadGateway || !strings.Contains(text, "draining, may_have_run") {
		t.Errorf("status %d, %q", resp.StatusCode, text)
	}
	if took := time.Since(began); took > 600*time.Millisecond {
		t.Errorf("answered after %v, want at most 600 ms", took)
	}

	replyingLeaf := startLeaf(t, replyWith("0123456789abcdef"))
	gather := route.Route{Shards: []string{"a", "b"}, MaxAttempts: 2, Repeatable: true, Top: 5, MinCoverage: 0.5}
	f = newFixture(t, gather, map[string][]*fakeLeaf{"a": {replyingLeaf}, "b": {startLeaf(t, hang)}})
	time.AfterFunc(200*time.Millisecond, f.engine.FinishAll)
	resp, _ = f.do(t, http.MethodGet, "/", "")
	if resp.StatusCode != http.StatusOK || resp.Header.Get(testDialect.MissingParts) != "1" {
		t.Errorf("gather: status %d, %q missing", resp.StatusCode, resp.Header.Get(testDialect.MissingParts))
	}
}
