package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pearmoor/internal/discovery"
	"pearmoor/internal/intake"
	"pearmoor/internal/policy"
	"pearmoor/internal/route"
	"pearmoor/internal/vm"
)

// receivedRequest is one request as a fake leaf received it.
type receivedRequest struct {
	line   string
	header map[string]string
	body   string
}

// fakeLeaf is a leaf on the loopback interface. Its script replies to each request on the raw
// connection and returns false to close the connection.
type fakeLeaf struct {
	addr     string
	lis      net.Listener
	runs     atomic.Int32
	mu       sync.Mutex
	received []receivedRequest
}

type script func(l *fakeLeaf, c net.Conn, req receivedRequest) bool

func startLeaf(t *testing.T, s script) *fakeLeaf {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { lis.Close() })
	l := &fakeLeaf{addr: lis.Addr().String(), lis: lis}
	go func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			go l.serve(c, s)
		}
	}()
	return l
}

func (l *fakeLeaf) serve(c net.Conn, s script) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := readLeafRequest(r)
		if err != nil {
			return
		}
		l.mu.Lock()
		l.received = append(l.received, req)
		l.mu.Unlock()
		if !s(l, c, req) {
			return
		}
	}
}

func readLeafRequest(r *bufio.Reader) (receivedRequest, error) {
	var out receivedRequest
	out.header = map[string]string{}
	first := true
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return out, err
		}
		line = strings.TrimRight(line, "\r\n")
		switch {
		case first:
			out.line, first = line, false
		case line == "":
			n := 0
			if _, err := fmt.Sscan(out.header["Content-Length"], &n); err == nil {
				b := make([]byte, n)
				_, err := io.ReadFull(r, b)
				out.body = string(b)
				return out, err
			}
			return out, nil
		default:
			k, v, _ := strings.Cut(line, ": ")
			out.header[k] = v
		}
	}
}

func (l *fakeLeaf) requests() []receivedRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]receivedRequest(nil), l.received...)
}

// reply writes a complete reply with the id of the request.
func reply(c net.Conn, req receivedRequest, status int, body string, headers ...string) bool {
	extra := ""
	for _, h := range headers {
		extra += h + "\r\n"
	}
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d x\r\nRequest-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s",
		status, req.header["Request-Id"], extra, len(body), body)
	return err == nil
}

var lastSignature atomic.Int64

func nextSignature() string { return fmt.Sprintf("Signature: s%d", lastSignature.Add(1)) }

// replyWith returns a script that counts each request as run and replies immediately.
func replyWith(body string) script {
	return func(l *fakeLeaf, c net.Conn, req receivedRequest) bool {
		l.runs.Add(1)
		return reply(c, req, 200, body, nextSignature())
	}
}

// crash is a script that simulates a leaf that crashes when it runs a request.
func crash(l *fakeLeaf, _ net.Conn, _ receivedRequest) bool {
	l.runs.Add(1)
	_ = l.lis.Close()
	return false
}

// neverReply is a script that counts each request as run and does not reply.
func neverReply(l *fakeLeaf, c net.Conn, _ receivedRequest) bool {
	l.runs.Add(1)
	_, _ = io.Copy(io.Discard, c) // until the other side closes
	return false
}

// fixture is an engine behind an HTTP server.
type fixture struct {
	url     string
	tracker *LeafTracker
	engine  *Engine
}

func newFixture(t *testing.T, rt route.Route, leaves map[string][]*fakeLeaf) *fixture {
	t.Helper()
	rel := &route.Release{Number: 1, Routes: []route.Route{rt}}
	rel.Routes[0].Name, rel.Routes[0].Host, rel.Routes[0].Prefix = "r", "127.0.0.1", "/"
	if rt.Timeout == 0 {
		rel.Routes[0].Timeout = 2 * time.Second
	}
	var list []discovery.ListedLeaf
	for _, name := range rt.Targets() {
		rel.Services = append(rel.Services, route.Service{Name: name})
		for i, l := range leaves[name] {
			list = append(list, discovery.ListedLeaf{ID: fmt.Sprintf("i-%s-%d", name, i), Service: name, Addr: l.addr, Slots: 2})
		}
	}
	if err := rel.Validate(); err != nil {
		t.Fatal(err)
	}
	book := discovery.NewLeafCache(vm.Monotonic)
	book.ApplyReading(list, vm.Monotonic())
	one := func() int { return 1 }
	tracker := NewLeafTracker(vm.Monotonic, "")
	e := New(Config{
		Clock: vm.Monotonic, Dialect: testDialect, Leaves: book, Tracker: tracker, DaemonCount: one,
		Budgets: policy.NewBudgets(policy.BudgetLimits{Ratio: 100, Burst: 100, Window: 10 * time.Second}, vm.Monotonic, one),
	})
	e.Install(route.NewTable(rel), 1)
	srv := httptest.NewUnstartedServer(&Handler{Engine: e, Dialect: testDialect, Draining: func() bool { return false }})
	in := intake.New(policy.NewIntakeLimits(0, 0), nil)
	port := intake.Port{Share: policy.CallerShare, HeadBytes: func() int { return defaultHeaderLimit }}
	srv.Listener, srv.Config.ConnContext = callerListener{Listener: in.Listen(srv.Listener, port)}, withCallerConn
	srv.Config.ConnState = intake.ConnState
	srv.Start()
	t.Cleanup(srv.Close)
	return &fixture{url: srv.URL, tracker: tracker, engine: e}
}

var lastRequestID atomic.Int64

func (f *fixture) do(t *testing.T, method, path, body string) (*http.Response, string) {
	t.Helper()
	resp, text, err := f.doRequest(method, path, body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, text
}

func (f *fixture) doRequest(method, path, body string) (*http.Response, string, error) {
	req, err := http.NewRequest(method, f.url+path, strings.NewReader(body))
	if err != nil {
		return nil, "", err
	}
	req.Header.Set("Request-Id", fmt.Sprintf("id-%d", lastRequestID.Add(1)))
	req.Header.Set("Wait-Ms", "1500")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp, string(text), err
}
