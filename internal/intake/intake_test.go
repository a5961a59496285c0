package intake

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

const (
	testTimeout  = 10 * time.Second
	headLimit    = 16 << 10
	smallMachine = 64 << 20 // bytes
)

// server is an http.Server within an Intake.
type server struct {
	*Intake
	addr string
}

func serve(t *testing.T, limits policy.IntakeLimits, port Port, h http.HandlerFunc) *server {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	in := New(limits, nil)
	port.Share, port.HeadBytes = policy.CallerShare, func() int { return headLimit }
	s := &http.Server{Handler: h}
	go func() { _ = in.Serve(s, lis, port, 1) }()
	t.Cleanup(func() { _ = s.Close() })
	return &server{Intake: in, addr: lis.Addr().String()}
}

// client is a connection to a server.
type client struct {
	net.Conn
	t *testing.T
	r *bufio.Reader
}

func (s *server) dial(t *testing.T) *client {
	t.Helper()
	c, err := net.Dial("tcp", s.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	return &client{Conn: c, t: t, r: bufio.NewReader(c)}
}

func (c *client) send(text string) { _, _ = io.WriteString(c, text) }

// status returns the status of the next answer, 0 if the connection has ended.
func (c *client) status() int {
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

func (s *server) holds() (conns int, total int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns), s.total
}

func (s *server) awaitNothingHeld(t *testing.T) {
	t.Helper()
	eventually(t, "nothing is held", func() bool { conns, total := s.holds(); return conns == 0 && total == 0 })
}

func eventually(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", testTimeout, what)
		}
	}
}

func ok(http.ResponseWriter, *http.Request) {}

const plainRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

func shortLines(n int) string { return strings.Repeat("A:\r\n", n/4) }

// Guards against a single request inside the limits that is refused in calm.
func TestLegalHeadOfShortLinesIsServed(t *testing.T) {
	s := serve(t, policy.NewIntakeLimits(smallMachine, 400), Port{}, ok)
	for range 3 {
		c := s.dial(t)
		c.send("GET / HTTP/1.1\r\nHost: h\r\n" + shortLines(headLimit-200) + "\r\n")
		if status := c.status(); status != http.StatusOK {
			t.Errorf("status %d", status)
		}
	}
}

// Guards against a head that is read on after its limit, and against one that is denied for good by
// a VM that may not.
func TestHeadOverTheLimitIsRefusedEarly(t *testing.T) {
	for _, mayDeny := range []bool{true, false} {
		s := serve(t, policy.NewIntakeLimits(0, 0), Port{MayDeny: func() bool { return mayDeny }}, ok)
		c := s.dial(t)
		c.send("GET / HTTP/1.1\r\nHost: h\r\n" + shortLines(headLimit+headSlack))
		want := http.StatusServiceUnavailable
		if mayDeny {
			want = http.StatusRequestHeaderFieldsTooLarge
		}
		if status := c.status(); status != want {
			t.Errorf("may deny %v: status %d, want %d", mayDeny, status, want)
		}
		s.awaitNothingHeld(t)
	}
}

// Guards against a request that is being run and is closed for another connection, and against
// connections above the limit.
func TestRunningRequestKeepsItsPlace(t *testing.T) {
	const limit = 4
	started, finish := make(chan struct{}), make(chan struct{})
	s := serve(t, policy.IntakeLimits{Bytes: smallMachine, Connections: limit}, Port{}, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			close(started)
			<-finish
		}
	})
	running := s.dial(t)
	running.send("GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
	<-started
	for range 5 * limit {
		s.dial(t)
	}
	for range 3 {
		late := s.dial(t)
		late.send(plainRequest)
		if status := late.status(); status != http.StatusOK {
			t.Errorf("a later caller got status %d", status)
		}
	}
	if conns, _ := s.holds(); conns > limit {
		t.Errorf("%d connections, the limit is %d", conns, limit)
	}
	close(finish)
	if status := running.status(); status != http.StatusOK {
		t.Errorf("the request that was run got status %d", status)
	}
}

// Guards against ordinary requests that are refused while others hold all the memory.
func TestOrdinaryRequestDisplacesAGreedyOne(t *testing.T) {
	limits := policy.IntakeLimits{Bytes: 2 << 20, Connections: 100}
	s := serve(t, limits, Port{}, ok)
	for range 50 {
		s.dial(t).send("GET / HTTP/1.1\r\nHost: h\r\n" + shortLines(2000)) // their ends are held back
	}
	eventually(t, "the memory is in use", func() bool { _, total := s.holds(); return total > limits.Bytes/2 })
	for range 20 {
		c := s.dial(t)
		c.send(plainRequest)
		if status := c.status(); status != http.StatusOK {
			t.Fatalf("status %d", status)
		}
		if _, total := s.holds(); total > limits.Bytes {
			t.Errorf("clients hold %d bytes, the limit is %d", total, limits.Bytes)
		}
	}
}

// Guards against the part of a pipelined head that net/http has read with the request before it, and
// that counts for nothing.
func TestPipelinedHeadIsHeld(t *testing.T) {
	s := serve(t, policy.NewIntakeLimits(0, 0), Port{}, ok)
	c := s.dial(t)
	c.send(plainRequest + "GET / HTTP/1.1\r\nHost: h\r\n" + shortLines(3000))
	if status := c.status(); status != http.StatusOK {
		t.Fatalf("status %d", status)
	}
	eventually(t, "the next head is held", func() bool { _, total := s.holds(); return total > connBytes+3000/4*lineBytes })
}

// Guards against memory that counts as held for good, whatever way a connection ends.
func TestNothingIsHeldAfterConnectionsEnd(t *testing.T) {
	s := serve(t, policy.IntakeLimits{Bytes: 1 << 20, Connections: 10}, Port{}, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if r.URL.Path == "/abort" {
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write(make([]byte, 100_000))
	})
	var clients []*client
	for i := range 60 {
		c := s.dial(t)
		clients = append(clients, c)
		switch i % 6 {
		case 0:
			c.send(plainRequest)
			c.status()
		case 1:
			c.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 500000\r\n\r\n" + strings.Repeat("x", 50_000))
		case 2:
			c.send("GET /abort HTTP/1.1\r\nHost: h\r\n\r\n")
		case 3:
			c.send(strings.Repeat(plainRequest, 20)) // reads nothing
		case 4:
			c.send("no request\r\n\r\n")
		case 5:
			c.send("GET / HTTP/1.1\r\nHost: h\r\n" + shortLines(2*headLimit))
		}
		if i%2 == 0 {
			_ = c.Close()
		}
		if _, total := s.holds(); total > s.limits.Bytes {
			t.Fatalf("clients hold %d bytes, the limit is %d", total, s.limits.Bytes)
		}
	}
	for _, c := range clients {
		_ = c.Close()
	}
	s.awaitNothingHeld(t)
}

// Guards against a body that is kept beyond the limit.
func TestBodyBeyondTheLimitIsAnError(t *testing.T) {
	errs := make(chan error, 1)
	s := serve(t, policy.IntakeLimits{Bytes: 200 << 10, Connections: 10}, Port{}, func(_ http.ResponseWriter, r *http.Request) {
		_, err := io.ReadAll(r.Body)
		errs <- err
	})
	c := s.dial(t)
	c.send(fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", 100_000, strings.Repeat("x", 100_000)))
	if err := <-errs; err != ErrNoRoom {
		t.Errorf("the body was read: %v", err)
	}
}
