package forward

import (
	"net"
	"net/http"
	"strconv"
	"syscall"
	"testing"
	"time"

	"pearmoor/internal/contract"
	"pearmoor/internal/discovery"
	"pearmoor/internal/link/target"
	"pearmoor/internal/route"
	"pearmoor/internal/vm"
)

// unreachableLeaf returns a leaf whose listen queue is full, so that a connect to it gets no
// answer, as with a VM that is powered off.
func unreachableLeaf(t *testing.T) *fakeLeaf {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	sockaddr, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := (&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: sockaddr.(*syscall.SockaddrInet4).Port}).String()
	for range 16 {
		c, err := net.DialTimeout("tcp", addr, 100*time.Millisecond)
		if err != nil {
			return &fakeLeaf{addr: addr}
		}
		t.Cleanup(func() { _ = c.Close() })
	}
	t.Fatal("the listen queue does not fill up")
	return nil
}

// Guards against a request that is reported as "may have run" when its time-out expires although
// nothing was sent to any leaf.
func TestUnsentRequestIsReportedNotRun(t *testing.T) {
	rt := singleRoute("s")
	rt.Timeout = 300 * time.Millisecond
	f := newFixture(t, rt, map[string][]*fakeLeaf{"s": {unreachableLeaf(t)}})
	resp, text := f.do(t, http.MethodPost, "/", "charge")
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Errorf("status %d %q, Retry-After %q", resp.StatusCode, text, resp.Header.Get("Retry-After"))
	}
}

// Guards against a gather that is reported as "not run" although it was sent to one leaf.
func TestPartlySentGatherMayHaveRun(t *testing.T) {
	rt := route.Route{Shards: []string{"s0", "s1"}, MaxAttempts: 1, Repeatable: true, Top: 2, MinCoverage: 1, Timeout: 300 * time.Millisecond}
	silentLeaf := startLeaf(t, neverReply)
	f := newFixture(t, rt, map[string][]*fakeLeaf{"s0": {unreachableLeaf(t)}, "s1": {silentLeaf}})
	resp, text := f.do(t, http.MethodGet, "/", "")
	if resp.StatusCode != http.StatusGatewayTimeout || silentLeaf.runs.Load() != 1 {
		t.Errorf("status %d %q, %d runs, want 1", resp.StatusCode, text, silentLeaf.runs.Load())
	}
}

// Guards against a request that is sent after its call was abandoned and reported as not run.
func TestAbandonedCallSendsNothing(t *testing.T) {
	leaf := startLeaf(t, replyWith("done"))
	call := &target.Call{}
	call.Abandon()
	link := target.NewLink("i", leaf.addr, 2)
	_, err := link.Do(call, &target.Request{Dialect: testDialect, Method: http.MethodGet, ID: "id", Deadline: time.Now().Add(time.Second)})
	if err == nil || err.Verdict != contract.NotRun || call.Sent() || len(leaf.requests()) != 0 {
		t.Errorf("err %v, %d requests reached the leaf", err, len(leaf.requests()))
	}
}

// Guards against callers that are told to come back before the daemon can have a list of leaves:
// after a restart of the whole system most of them have one more try.
func TestDaemonWithoutLeafListTellsCallersToWait(t *testing.T) {
	rt, leaves := remoteRoute(t, validPart)
	f := newFixture(t, rt, leaves)
	f.engine.cfg.Leaves = discovery.NewLeafCache(vm.Monotonic)
	resp, text := f.do(t, http.MethodGet, "/a", "")
	wait, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if resp.StatusCode != http.StatusServiceUnavailable || err != nil || wait < unlistedRetryAfter.Seconds() {
		t.Errorf("status %d, Retry-After %q, %q", resp.StatusCode, resp.Header.Get("Retry-After"), text)
	}
}
