package forward

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"pearmoor/internal/decision"
	"pearmoor/internal/intake"
	"pearmoor/internal/policy"
	"pearmoor/internal/vm"
)

// panickingPeers is a PeerDaemons that panics, to simulate a bug in the handling of a request.
type panickingPeers struct{ fakePeers }

func (*panickingPeers) DelegateAddr(string) string { panic("simulated bug in request handling") }

// Guards against a panic in request handling that the caller sees as a closed connection
// instead of an error answer.
func TestPanicInHandlingReturnsInternalError(t *testing.T) {
	rt, leaves := remoteRoute(t, validPart)
	f := newTwoDaemonFixture(t, rt, leaves)
	f.engine.cfg.Peers = &panickingPeers{}
	before := handlerPanics.Count()
	resp, text := f.do(t, http.MethodGet, "/", "")
	if resp.StatusCode != http.StatusInternalServerError || !strings.Contains(text, "may_have_run") {
		t.Errorf("status %d, %q", resp.StatusCode, text)
	}
	if n := handlerPanics.Count() - before; n != 1 {
		t.Errorf("%d panics counted, want 1", n)
	}
}

// lockedBuffer is a buffer that is safe for concurrent use by a log and a test.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// serveCallers starts a Server for the fixture's engine, as the daemon does, and returns its
// address.
func serveCallers(t *testing.T, f *fixture, log *decision.Log) (*Server, string) {
	t.Helper()
	return serveCallersWithin(t, f, log, policy.NewIntakeLimits(0, 0))
}

// serveCallersWithin is like serveCallers with the given limits.
func serveCallersWithin(t *testing.T, f *fixture, log *decision.Log, limits policy.IntakeLimits) (*Server, string) {
	t.Helper()
	s := NewServer(&Handler{Engine: f.engine, Dialect: testDialect, Log: log, Draining: func() bool { return false }}, intake.New(limits, log))
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.http.Close() })
	go func() { _ = s.Serve(t.Context(), lis) }()
	return s, lis.Addr().String()
}

// Guards against a connection that is closed without an answer and without a log line that
// gives the cause.
func TestUnansweredConnectionIsLogged(t *testing.T) {
	reached := make(chan struct{}, 1)
	leaf := startLeaf(t, func(_ *fakeLeaf, c net.Conn, _ receivedRequest) bool {
		reached <- struct{}{}
		_, _ = io.Copy(io.Discard, c)
		return false
	})
	f := newFixture(t, singleRoute("s"), map[string][]*fakeLeaf{"s": {leaf}})
	out := &lockedBuffer{}
	log := decision.New(out)
	defer log.Close()
	_, addr := serveCallers(t, f, log)
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest-Id: lost-7\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	<-reached
	c.Close()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); vm.Sleep(t.Context(), 20*time.Millisecond) {
		if text := out.String(); strings.Contains(text, "closed without an answer") {
			if !strings.Contains(text, "lost-7") || !strings.Contains(text, "EOF") {
				t.Errorf("%s", text)
			}
			return
		}
	}
	t.Errorf("no log line for the unanswered connection: %s", out)
}

// Guards against the idle timeout closing a connection whose next request has already been
// read.
func TestIdleTimeoutKeepsReceivedRequest(t *testing.T) {
	const callers, requestsPerCaller = 16, 60
	leaf := startLeaf(t, replyWith("done"))
	f := newFixture(t, repeatableRoute("s"), map[string][]*fakeLeaf{"s": {leaf}})
	s, addr := serveCallers(t, f, nil)
	var stop atomic.Bool
	var sweeps, requests sync.WaitGroup
	sweeps.Go(func() {
		for !stop.Load() {
			s.idle.expireIdle(0)
			runtime.Gosched()
		}
	})
	var lost, answered atomic.Int32
	for c := range callers {
		requests.Go(func() {
			var conn net.Conn
			var r *bufio.Reader
			var err error
			for i := range requestsPerCaller {
				if conn == nil {
					if conn, err = net.Dial("tcp", addr); err != nil {
						t.Error(err)
						return
					}
					r = bufio.NewReader(conn)
				}
				id := fmt.Sprintf("id-%d-%d", c, i)
				_, _ = fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest-Id: %s\r\n\r\n", id)
				resp, err := http.ReadResponse(r, nil)
				if err == nil {
					_, err = io.Copy(io.Discard, resp.Body)
				}
				if err == nil {
					answered.Add(1)
					continue
				}
				conn.Close()
				conn = nil
				if slices.ContainsFunc(leaf.requests(), func(a receivedRequest) bool { return a.header["Request-Id"] == id }) {
					lost.Add(1)
				}
			}
		})
	}
	requests.Wait()
	stop.Store(true)
	sweeps.Wait()
	if lost.Load() > 0 || answered.Load() == 0 {
		t.Errorf("%d requests reached the leaf but were not answered, %d were answered", lost.Load(), answered.Load())
	}
}

// Guards against idle connections that stay open past the idle timeout and use up file
// descriptors.
func TestIdleConnectionIsClosed(t *testing.T) {
	f := newFixture(t, repeatableRoute("s"), map[string][]*fakeLeaf{"s": {startLeaf(t, replyWith("done"))}})
	s, addr := serveCallers(t, f, nil)
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest-Id: one\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	r := bufio.NewReader(conn)
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() {
		_, err := r.ReadByte()
		ended <- err
	}()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); vm.Sleep(t.Context(), 5*time.Millisecond) {
		s.idle.expireIdle(time.Millisecond)
		select {
		case err := <-ended:
			if !errors.Is(err, io.EOF) {
				t.Errorf("the connection ended with %v, want EOF", err)
			}
			return
		default:
		}
	}
	t.Error("the idle connection is still open")
}
