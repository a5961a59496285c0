//go:build review

package tier

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"pearmoor/platform"
)

// Dialect has the names of the headers.
var Dialect = platform.Dialect()

// HealthPath is the path of the leafs' health checks.
const HealthPath = "/health"

// Leaf is a stand-in of a leaf: it takes one request at a time on a connection, works on Slots
// requests at once, queues Queue more and says of the rest that it has not run them.
type Leaf struct {
	ID, Service, Zone string
	Slots, Queue      int
	Work              time.Duration
	MaxConns          int

	// Extra, if set, decides whether an answer is followed by a late extra one: a copy of it
	// that arrives where the next answer on the connection is expected.
	Extra func() bool

	rec     *Record
	lis     net.Listener
	slots   chan struct{}
	waiting atomic.Int64
	running atomic.Int64
	conns   atomic.Int64

	Answers, Extras atomic.Int64

	mu   sync.Mutex
	runs map[string]int // by id
}

// StartLeaf starts a leaf and lists it.
func (t *Tier) StartLeaf(l *Leaf) error {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	l.rec, l.lis, l.slots, l.runs = t.Record, lis, make(chan struct{}, l.Slots), make(map[string]int)
	go l.accept()
	t.Platform.Add(l)
	return nil
}

// Addr returns the leaf's address.
func (l *Leaf) Addr() string { return l.lis.Addr().String() }

// Close stops the leaf.
func (l *Leaf) Close() { _ = l.lis.Close() }

// Runs returns how often the leaf ran each request, by id.
func (l *Leaf) Runs() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]int, len(l.runs))
	for id, n := range l.runs {
		out[id] = n
	}
	return out
}

func (l *Leaf) accept() {
	for {
		c, err := l.lis.Accept()
		if err != nil {
			return
		}
		if l.conns.Add(1) > int64(l.MaxConns) {
			l.conns.Add(-1)
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
			continue
		}
		go func() {
			defer l.conns.Add(-1)
			defer c.Close()
			l.serve(c)
		}()
	}
}

// serve handles the requests of one connection.
func (l *Leaf) serve(c net.Conn) {
	in := bufio.NewReader(c)
	var late []byte // an extra answer that is still to be sent
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		if late != nil {
			if _, err := c.Write(late); err != nil {
				return
			}
			late = nil
		}
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		gone := make(chan struct{}) // closed when the caller has closed the connection
		peeked := make(chan struct{})
		go func() {
			if _, err := in.Peek(1); err != nil {
				close(gone)
			}
			close(peeked)
		}()
		answer := l.handle(req, body, gone)
		if answer == nil {
			return
		}
		if _, err := c.Write(answer); err != nil {
			return
		}
		l.Answers.Add(1)
		if l.Extra != nil && req.Header.Get(Dialect.RequestID) != "" && l.Extra() {
			l.Extras.Add(1)
			l.rec.Line("leaf %s: a copy of the answer to %s will follow late", l.ID, req.Header.Get(Dialect.RequestID))
			late = answer
		}
		<-peeked
	}
}

// handle returns the answer to a request, nil if the caller has left meanwhile.
func (l *Leaf) handle(req *http.Request, body []byte, gone chan struct{}) []byte {
	id := req.Header.Get(Dialect.RequestID)
	if req.Method == http.MethodGet && req.URL.Path == HealthPath {
		return l.answer(200, id, "Instance-Id: "+l.ID+"\r\n", nil)
	}
	if id == "" {
		return l.answer(400, id, Dialect.NotRun+": no id\r\n", nil)
	}
	if want := req.Header.Get(Dialect.LeafID); want != "" && want != l.ID {
		l.rec.Line("leaf %s: %s is for %s: 421", l.ID, id, want)
		return l.answer(421, id, Dialect.NotRun+": another leaf\r\n", nil)
	}
	var deadline <-chan time.Time
	if ms, err := strconv.ParseFloat(req.Header.Get(Dialect.Deadline), 64); err == nil {
		timer := time.NewTimer(time.Duration(ms * float64(time.Millisecond)))
		defer timer.Stop()
		deadline = timer.C
	}
	select {
	case l.slots <- struct{}{}:
	default:
		if l.waiting.Add(1) > int64(l.Queue) {
			l.waiting.Add(-1)
			l.rec.Line("leaf %s: %s refused, full", l.ID, id)
			return l.answer(503, id, Dialect.NotRun+": full\r\n", nil)
		}
		select {
		case l.slots <- struct{}{}:
			l.waiting.Add(-1)
		case <-deadline:
			l.waiting.Add(-1)
			l.rec.Line("leaf %s: %s refused, its deadline passed in the queue", l.ID, id)
			return l.answer(503, id, Dialect.NotRun+": deadline\r\n", nil)
		case <-gone:
			l.waiting.Add(-1)
			return nil
		}
	}
	defer func() { <-l.slots }()
	l.running.Add(1)
	defer l.running.Add(-1)
	l.mu.Lock()
	l.runs[id]++
	l.mu.Unlock()
	l.rec.Line("leaf %s: runs %s %s %s", l.ID, id, req.Method, req.URL.Path)
	work := time.NewTimer(time.Duration(float64(l.Work) * (0.7 + 0.6*rand.Float64())))
	defer work.Stop()
	select {
	case <-work.C:
	case <-deadline:
		return l.answer(504, id, Dialect.Signature+": "+stamp()+"\r\n", nil)
	case <-gone:
		l.rec.Line("leaf %s: %s dropped, its connection closed", l.ID, id)
		return nil
	}
	return l.answer(200, id, Dialect.Signature+": "+stamp()+"\r\n", fmt.Appendf(nil, "%s did %s %x", l.ID, id, len(body)))
}

func stamp() string { return fmt.Sprintf("%016x", rand.Uint64()) }

func (l *Leaf) answer(status int, id, extra string, body []byte) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id != "" {
		fmt.Fprintf(&b, "%s: %s\r\n", Dialect.RequestID, id)
	}
	fmt.Fprintf(&b, "%s: %d,%d,%d\r\n%sContent-Length: %d\r\n\r\n", Dialect.Load, l.running.Load(), max(0, l.waiting.Load()), l.Slots, extra, len(body))
	b.Write(body)
	return b.Bytes()
}
