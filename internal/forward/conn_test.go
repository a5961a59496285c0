package forward

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"pearmoor/internal/decision"
	"pearmoor/internal/vm"
)

// panicsAt is a Near that panics, as a fault in the handling of one request does.
type panicsAt struct{ oneNear }

func (*panicsAt) Daemon(string) string { panic("a fault of the daemon") }

// Guards against a panic in the handling of a request that reaches its caller as a closed connection.
func TestPanicIsAnsweredWithAnError(t *testing.T) {
	rt, leaves := awayRoute(t, wholePart)
	w := newTwoDaemons(t, rt, leaves)
	w.engine.cfg.Near = &panicsAt{}
	before := panics.Count()
	resp, text := w.do(t, http.MethodGet, "/", "")
	if resp.StatusCode != http.StatusInternalServerError || !strings.Contains(text, "may_have_run") {
		t.Errorf("status %d, %q", resp.StatusCode, text)
	}
	if n := panics.Count() - before; n != 1 {
		t.Errorf("%d panics counted", n)
	}
}

// lockedBuffer is a buffer that a log writes to while a test reads it.
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

// Guards against a connection that is closed without an answer and without a line that says why.
func TestUnansweredConnectionIsLogged(t *testing.T) {
	reached := make(chan struct{}, 1)
	leaf := startLeaf(t, func(_ *fakeLeaf, c net.Conn, _ asked) bool {
		reached <- struct{}{}
		_, _ = io.Copy(io.Discard, c)
		return false
	})
	w := newWorld(t, once("s"), map[string][]*fakeLeaf{"s": {leaf}})
	out := &lockedBuffer{}
	lines := decision.New(out)
	defer lines.Close()
	s := NewServer(&Handler{Engine: w.engine, Dialect: testDialect, Log: lines, Draining: func() bool { return false }})
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer lis.Close()
	go func() { _ = s.Serve(t.Context(), lis) }()
	c, err := net.Dial("tcp", lis.Addr().String())
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
	t.Errorf("no line: %s", out)
}
