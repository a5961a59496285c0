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

func once(service string) route.Route { return route.Route{Service: service, Attempts: 2} }

func repeatable(service string) route.Route {
	return route.Route{Service: service, Attempts: 2, Repeatable: true}
}

// The request line, the body and the caller's own headers reach the leaf unchanged;
// headers of one connection and the system's own do not pass.
func TestRequestGoesOnUnchanged(t *testing.T) {
	leaf := startLeaf(t, answers("whole"))
	w := newWorld(t, once("s"), map[string][]*fakeLeaf{"s": {leaf}})
	req, _ := http.NewRequest(http.MethodPost, w.url+"/a%2Fb/../c//d?x=1&y=%20", strings.NewReader("the body"))
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
		t.Errorf("headers %v", h)
	}
	var left int
	if _, err := fmt.Sscan(h["Wait-Ms"], &left); err != nil || left > 1500 || left < 500 {
		t.Errorf("the leaf is told to wait %q of 1500 ms", h["Wait-Ms"])
	}
}

// A leaf reads a request that must not run twice and then drops the connection. It
// may have run: the caller must not be told that it has not, and no other leaf may
// get it.
func TestLostAnswerOfUnrepeatable(t *testing.T) {
	drop := func(l *fakeLeaf, _ net.Conn, _ asked) bool { l.runs.Add(1); return false }
	a, b := startLeaf(t, drop), startLeaf(t, drop)
	w := newWorld(t, once("s"), map[string][]*fakeLeaf{"s": {a, b}})
	resp, _ := w.do(t, http.MethodPost, "/", "charge")
	if resp.StatusCode != http.StatusBadGateway {
		t.Errorf("status %d", resp.StatusCode)
	}
	if n := a.runs.Load() + b.runs.Load(); n != 1 {
		t.Errorf("it ran %d times", n)
	}
}

// A leaf says that it did not run the request: that may go to another leaf, also
// when it must not run twice.
func TestRefusedGoesToAnotherLeaf(t *testing.T) {
	full := startLeaf(t, func(_ *fakeLeaf, c net.Conn, req asked) bool {
		return reply(c, req, 503, "", "Not-Run: full")
	})
	good := startLeaf(t, answers("done"))
	w := newWorld(t, once("s"), map[string][]*fakeLeaf{"s": {full, good}})
	for range 6 {
		if resp, text := w.do(t, http.MethodPost, "/", "x"); resp.StatusCode != 200 || text != "done" {
			t.Fatalf("%d %q", resp.StatusCode, text)
		}
	}
	if good.runs.Load() != 6 {
		t.Errorf("%d runs of 6 requests", good.runs.Load())
	}
}

// Every leaf refuses: the caller is told truly that its request did not run, and
// when to come back, and is not held until its time is over.
func TestAllLeavesRefuse(t *testing.T) {
	full := func(_ *fakeLeaf, c net.Conn, req asked) bool { return reply(c, req, 503, "", "Not-Run: full") }
	w := newWorld(t, once("s"), map[string][]*fakeLeaf{"s": {startLeaf(t, full), startLeaf(t, full)}})
	began := time.Now()
	resp, _ := w.do(t, http.MethodPost, "/", "x")
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Errorf("status %d, come back %q", resp.StatusCode, resp.Header.Get("Retry-After"))
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("held for %v", took)
	}
}

// A leaf answers 503 without saying that it did not run the request. To a caller
// that status is a promise, so it must not see it for a request that may have run.
func TestUnmarkedRefusalIsNoPromise(t *testing.T) {
	leaf := startLeaf(t, func(l *fakeLeaf, c net.Conn, req asked) bool {
		l.runs.Add(1)
		return reply(c, req, 503, "broken", stamp())
	})
	w := newWorld(t, once("s"), map[string][]*fakeLeaf{"s": {leaf}})
	resp, _ := w.do(t, http.MethodPost, "/", "x")
	if resp.StatusCode != http.StatusBadGateway || resp.Header.Get("Signature") != "" {
		t.Errorf("status %d, signature %q", resp.StatusCode, resp.Header.Get("Signature"))
	}
}

// A leaf's address belongs to another leaf by now, which says so and does not run
// the request.
func TestReusedAddress(t *testing.T) {
	other := startLeaf(t, func(_ *fakeLeaf, c net.Conn, req asked) bool { return reply(c, req, 421, "") })
	good := startLeaf(t, answers("done"))
	w := newWorld(t, once("s"), map[string][]*fakeLeaf{"s": {other, good}})
	for range 4 {
		if resp, _ := w.do(t, http.MethodPost, "/", "x"); resp.StatusCode != 200 {
			t.Fatalf("status %d", resp.StatusCode)
		}
	}
	if n := len(other.requests()); n > 1 {
		t.Errorf("%d requests went to the wrong leaf, which was known after the first", n)
	}
}

// A leaf sends a second answer to a request, late: it arrives on the kept connection
// where the answer to the next request is expected. The next caller must never get it.
func TestLateExtraAnswer(t *testing.T) {
	leaf := startLeaf(t, func(l *fakeLeaf, c net.Conn, req asked) bool {
		l.runs.Add(1)
		body := "answer to " + req.header["Request-Id"]
		if !reply(c, req, 200, body, stamp()) {
			return false
		}
		time.Sleep(20 * time.Millisecond)
		return reply(c, req, 200, body, stamp())
	})
	w := newWorld(t, repeatable("s"), map[string][]*fakeLeaf{"s": {leaf}})
	for i := range 8 {
		want := fmt.Sprintf("answer to id-%d", idNumber.Load()+1)
		resp, text := w.do(t, http.MethodGet, "/", "")
		if resp.StatusCode == 200 && text != want {
			t.Fatalf("request %d got %q, want %q", i, text, want)
		}
		time.Sleep(time.Duration(i) * 6 * time.Millisecond)
	}
}

// A leaf's answer breaks off in the middle. The caller must not take what came for
// the whole.
func TestBrokenLongAnswer(t *testing.T) {
	leaf := startLeaf(t, func(_ *fakeLeaf, c net.Conn, req asked) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 x\r\nRequest-Id: %s\r\nSignature: s\r\nContent-Length: 400000\r\n\r\n%s", req.header["Request-Id"], strings.Repeat("x", 200000))
		return false
	})
	w := newWorld(t, once("s"), map[string][]*fakeLeaf{"s": {leaf}})
	if _, text, err := w.try(http.MethodPost, "/", "x"); err == nil {
		t.Errorf("%d bytes look like a whole answer", len(text))
	}
}

// A leaf has dropped the idle connection. A repeatable request goes out again at
// once, and the leaf is not taken for a failing one.
func TestIdleConnectionDropped(t *testing.T) {
	var n atomic.Int32
	leaf := startLeaf(t, func(l *fakeLeaf, c net.Conn, req asked) bool {
		if n.Add(1) == 2 {
			return false // what was sent on the idle connection is lost
		}
		l.runs.Add(1)
		return reply(c, req, 200, "done", stamp())
	})
	w := newWorld(t, repeatable("s"), map[string][]*fakeLeaf{"s": {leaf}})
	for range 3 {
		if resp, _ := w.do(t, http.MethodGet, "/", ""); resp.StatusCode != 200 {
			t.Fatalf("status %d", resp.StatusCode)
		}
	}
}

// The caller leaves while its request runs. The leaf's connection is closed within
// half a second, so that it works for nobody no longer.
func TestCallerLeaves(t *testing.T) {
	closed := make(chan time.Time, 1)
	leaf := startLeaf(t, func(_ *fakeLeaf, c net.Conn, _ asked) bool {
		_, _ = c.Read(make([]byte, 1))
		closed <- time.Now()
		return false
	})
	w := newWorld(t, repeatable("s"), map[string][]*fakeLeaf{"s": {leaf}})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, w.url+"/", nil)
	req.Header.Set("Request-Id", "leaving")
	req.Header.Set("Wait-Ms", "1500")
	if _, err := http.DefaultClient.Do(req); err == nil {
		t.Fatal("it was answered")
	}
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Error("the leaf still works for a caller that has left")
	}
}

// A body of more than what is read at once goes on as it comes, in chunks too.
func TestLongBodies(t *testing.T) {
	long := strings.Repeat("0123456789", 15_000)
	leaf := startLeaf(t, answers("done"))
	w := newWorld(t, once("s"), map[string][]*fakeLeaf{"s": {leaf}})
	if resp, _ := w.do(t, http.MethodPost, "/", long); resp.StatusCode != 200 {
		t.Fatalf("status %d", resp.StatusCode)
	}
	if got := leaf.requests(); got[0].body != long {
		t.Errorf("%d bytes arrived of %d", len(got[0].body), len(long))
	}
}

// Requests that are at fault are refused with what is wrong, and reach no leaf.
func TestBadRequests(t *testing.T) {
	leaf := startLeaf(t, answers("done"))
	w := newWorld(t, once("s"), map[string][]*fakeLeaf{"s": {leaf}})
	host := strings.TrimPrefix(w.url, "http://")
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
		t.Errorf("%d of them reached the leaf", n)
	}
}

// Length and chunks at once: which of the two holds is read differently by different
// servers. The leaf gets the one body that this side has read, framed anew.
func TestLengthAndChunks(t *testing.T) {
	leaf := startLeaf(t, answers("done"))
	w := newWorld(t, once("s"), map[string][]*fakeLeaf{"s": {leaf}})
	conn, err := net.Dial("tcp", strings.TrimPrefix(w.url, "http://"))
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

// A daemon is told to stop while a leaf says nothing to a request that must not run
// twice. Before the process ends the caller gets a final answer that promises nothing,
// in place of a connection that breaks off; a gather gets the parts there are.
func TestLastWordBeforeTheEnd(t *testing.T) {
	hold := func(l *fakeLeaf, _ net.Conn, _ asked) bool { l.runs.Add(1); time.Sleep(5 * time.Second); return false }
	silent := startLeaf(t, hold)
	w := newWorld(t, once("s"), map[string][]*fakeLeaf{"s": {silent}})
	time.AfterFunc(100*time.Millisecond, w.engine.EndAll)
	began := time.Now()
	resp, text := w.do(t, http.MethodPost, "/", "charge")
	if resp.StatusCode != http.StatusBadGateway || !strings.Contains(text, "draining, may_have_run") {
		t.Errorf("status %d, %q", resp.StatusCode, text)
	}
	if took := time.Since(began); took > 600*time.Millisecond {
		t.Errorf("the answer came after %v", took)
	}

	whole := startLeaf(t, answers("0123456789abcdef"))
	gather := route.Route{Shards: []string{"a", "b"}, Attempts: 2, Repeatable: true, Top: 5, LeastCoverage: 0.5}
	w = newWorld(t, gather, map[string][]*fakeLeaf{"a": {whole}, "b": {startLeaf(t, hold)}})
	time.AfterFunc(200*time.Millisecond, w.engine.EndAll)
	resp, _ = w.do(t, http.MethodGet, "/", "")
	if resp.StatusCode != http.StatusOK || resp.Header.Get(testDialect.Missing) != "1" {
		t.Errorf("gather: status %d, %q missing", resp.StatusCode, resp.Header.Get(testDialect.Missing))
	}
}
