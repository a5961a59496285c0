package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"pearmoor/internal/policy"
)

// Guards against a body that is kept although it doesn't fit, and against one that is refused as if
// it might have run.
func TestBodyThatDoesNotFitIsRefusedAsNotRun(t *testing.T) {
	leaf := startLeaf(t, replyWith("done"))
	f := newFixture(t, singleRoute("s"), map[string][]*fakeLeaf{"s": {leaf}})
	_, addr := serveCallersWithin(t, f, nil, policy.IntakeLimits{Bytes: 600 << 10, Connections: 10})
	for _, c := range []struct{ length, status int }{{1000, http.StatusOK}, {60_000, http.StatusServiceUnavailable}, {1000, http.StatusOK}} {
		req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/", strings.NewReader(strings.Repeat("x", c.length)))
		if err != nil {
			t.Fatal(err)
		}
		req.Host = "127.0.0.1"
		req.Header.Set(testDialect.RequestID, fmt.Sprint("body-", lastRequestID.Add(1)))
		before := leaf.runs.Load()
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		ran := leaf.runs.Load() > before
		if resp.StatusCode != c.status || ran != (c.status == http.StatusOK) || c.status == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") == "" {
			t.Errorf("a body of %d bytes got status %d, ran: %v", c.length, resp.StatusCode, ran)
		}
	}
}

// Guards against a connection that is kept for good after its answer, for a body of which the rest
// never comes.
func TestUnfinishedBodyDoesNotKeepItsConnection(t *testing.T) {
	leaf := startLeaf(t, replyWith("done"))
	f := newFixture(t, singleRoute("s"), map[string][]*fakeLeaf{"s": {leaf}})
	_, addr := serveCallers(t, f, nil)
	for name, head := range map[string]string{
		"refused": "POST / HTTP/1.1\r\nHost: unknown.example\r\nRequest-Id: %s\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("x", 70_000),
		"invalid": "POST / HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: 100000\r\n\r\n",
		"streamed": "POST / HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest-Id: %s\r\nWait-Ms: 300\r\nContent-Length: 100000\r\n\r\n" +
			strings.Repeat("x", 70_000),
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			_, _ = io.WriteString(conn, strings.Replace(head, "%s", fmt.Sprint("unfinished-", lastRequestID.Add(1)), 1))
			_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatalf("no answer: %v", err)
			}
			if resp.StatusCode < 400 {
				t.Errorf("status %d", resp.StatusCode)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			if _, err := conn.Read(make([]byte, 1)); err == nil || strings.Contains(err.Error(), "timeout") {
				t.Errorf("the connection is kept: %v", err)
			}
		})
	}
}
