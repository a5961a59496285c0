package entry

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"pearmoor/internal/contract"
	"pearmoor/internal/intake"
	"pearmoor/internal/policy"
)

// serveWithin serves s within the given limits.
func serveWithin(t *testing.T, s *Server, limits policy.IntakeLimits) (addr string) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.conf.Intake = intake.New(limits, nil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx, lis, nil) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return lis.Addr().String()
}

// Guards against a request that is told as not run because its body doesn't fit, although it may be
// a resend of one that ran.
func TestBodyThatDoesNotFitMayHaveRun(t *testing.T) {
	addr := serveWithin(t, testServer(t, nil, false), policy.IntakeLimits{Bytes: 200 << 10, Connections: 10})
	resp, err := http.Post("http://"+addr+QueryPath, "application/json", strings.NewReader(`{"path":"/desk/a","repeatable":false,"key":"fee-1","session":"s-1","body":"`+strings.Repeat("x", 100<<10)+`"}`))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var f contract.Failure
	if err := json.NewDecoder(resp.Body).Decode(&f); err != nil || f.Verdict != contract.MayHaveRun || f.RetryAfterMS == 0 {
		t.Errorf("status %d, %+v, %v", resp.StatusCode, f, err)
	}
}

// Guards against heads without an end that keep callers out.
func TestCallersAreServedBesideEndlessHeads(t *testing.T) {
	limits := policy.IntakeLimits{Bytes: 4 << 20, Connections: 20}
	s := testServer(t, nil, false)
	addr := serveWithin(t, s, limits)
	for range 3 * limits.Connections {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_ = c.SetWriteDeadline(time.Now().Add(time.Second))
		_, _ = io.WriteString(c, "POST "+QueryPath+" HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("A:\r\n", 20<<10))
	}
	resp, err := http.Get("http://" + addr + AddressesPath + "?service=/desk/a")
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Errorf("status %d", resp.StatusCode)
	}
}
