package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"pearmoor/platform"
	"pearmoor/platform/standin"
)

var dialect = platform.Dialect()

// leafMode is the behavior of a leaf.
type leafMode int32

const (
	healthy leafMode = iota
	slow
	hangs
	resetsBeforeRun // resets the connection before running the request
	refuses         // answers that it does not run the request
	resetsAfterRun  // runs the request and resets the connection without an answer
	answersTwice    // sends the answer twice, 10 ms apart
	leafModeCount
	// These are above leafModeCount, so that they are not drawn as random faults, which would change
	// the faults of existing seeds.
	repeatsRefusals // refuses most requests, and sends copies of refusals in front of later answers
	neverEnds       // sends headers until the connection is closed
	answersLong     // sends answers of longAnswerBytes
)

// maxLeafConns is the limit on open connections to a leaf, from all daemons together.
const maxLeafConns = 28

// leafDrainTime is how long a leaf continues to serve after the list shows it as leaving.
const leafDrainTime = 3 * time.Second

// leaf is a stand-in leaf. A restarted leaf is a new leaf on another port.
type leaf struct {
	h       *harness
	id      string
	service string
	domain  string
	addr    string // address of the link, as shown in the list
	link    *proxy
	server  *http.Server
	mode    atomic.Int32
	conns   atomic.Int32
	crashed atomic.Bool

	mu            sync.Mutex
	leaving       time.Time // when the leaf was marked as leaving; zero if it was not
	linkDisturbed time.Time // when the link was last disturbed; in the future while it is
}

func (h *harness) startLeaf(service string) *leaf {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		h.fail("leaf: %v", err)
		return nil
	}
	link, err := newProxy("127.0.0.1:0", lis.Addr().String())
	if err != nil {
		h.fail("link to a leaf: %v", err)
		return nil
	}
	number := h.nextLeaf.Add(1)
	l := &leaf{h: h, id: fmt.Sprintf("i-%d", number), service: service, domain: domainOf(number), addr: link.addr(), link: link}
	l.server = &http.Server{Handler: l, ConnState: l.countConnections}
	go func() { _ = l.server.Serve(repeatingListener{lis, l}) }()
	h.mu.Lock()
	h.leaves = append(h.leaves, l)
	h.mu.Unlock()
	return l
}

// countConnections tracks the open connections and checks their limit.
func (l *leaf) countConnections(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		if n := l.conns.Add(1); n > maxLeafConns {
			l.h.fail("leaf %s has %d connections, its limit is %d", l.id, n, maxLeafConns)
		}
	case http.StateClosed, http.StateHijacked:
		l.conns.Add(-1)
	}
}

// ServeHTTP answers a request according to the mode of the leaf.
func (l *leaf) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(dialect.RequestID)
	if leafID := r.Header.Get(dialect.LeafID); leafID != l.id {
		rw.Header().Set(dialect.RequestID, id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if l.h.organisations != nil {
		l.h.organisations.checkAtLeaf(l, r, id)
	}
	l.checkNoRequestsAfterDrain()
	l.checkNoRequestsWhileEvacuated()
	if l.domain == evacuationDomain {
		l.h.evacuatedRequests.Add(1)
	}
	body, _ := io.ReadAll(r.Body)
	if l.h.organisations != nil && l.h.organisations.refusePatient(rw, r, id) {
		return
	}
	switch m := leafMode(l.mode.Load()); m {
	case resetsBeforeRun:
		l.resetConnection(rw)
	case refuses:
		refuse(rw, id)
	case neverEnds:
		l.sendHeaders(rw, id)
	case repeatsRefusals:
		if rand.IntN(3) > 0 {
			refuse(rw, id)
			return
		}
		l.run(rw, r, id, string(body), m)
	default:
		l.run(rw, r, id, string(body), m)
	}
}

// refuse answers that the leaf does not run the request.
func refuse(rw http.ResponseWriter, id string) {
	rw.Header().Set(dialect.RequestID, id)
	rw.Header().Set(dialect.NotRun, "full")
	rw.WriteHeader(http.StatusServiceUnavailable)
}

func (l *leaf) run(rw http.ResponseWriter, r *http.Request, id, body string, m leafMode) {
	l.h.recordRun(id, l.service, r.Method+" "+r.RequestURI+" "+body)
	if r.RequestURI == crashingPath {
		go l.crash()
		<-r.Context().Done() // crash closes the connections
		return
	}
	wait := 3 * time.Millisecond
	switch m {
	case slow:
		wait = 150 * time.Millisecond
	case hangs:
		wait = 4 * time.Second
	}
	select {
	case <-time.After(wait):
	case <-r.Context().Done():
		return
	}
	if m == resetsAfterRun {
		l.resetConnection(rw)
		return
	}
	signature := strings.Join([]string{l.service, id, strconv.FormatInt(l.h.lastSignature.Add(1), 10)}, "/")
	text := standin.PartialAnswer(l.service, id)
	if m == answersTwice {
		l.answerTwice(rw, id, signature, text)
		return
	}
	rw.Header().Set(dialect.RequestID, id)
	rw.Header().Set(dialect.Signature, signature)
	rw.Header().Set(dialect.Load, "1,0,8")
	if m == answersLong {
		text = strings.Repeat("x", longAnswerBytes)
	}
	_, _ = io.WriteString(rw, text)
}

func (l *leaf) resetConnection(rw http.ResponseWriter) {
	if c, _, err := rw.(http.Hijacker).Hijack(); err == nil {
		if tcp, ok := c.(interface{ SetLinger(int) error }); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (l *leaf) answerTwice(rw http.ResponseWriter, id, signature, text string) {
	c, _, err := rw.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	for range 2 {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", dialect.RequestID, id, dialect.Signature, signature, len(text), text)
		time.Sleep(10 * time.Millisecond)
	}
}

// checkNoRequestsAfterDrain checks that a leaf receives no requests after its drain time.
// It does not fail shortly after a disturbance, since a process that was paused, has just
// started or could not read the list may not know yet that the leaf is leaving.
func (l *leaf) checkNoRequestsAfterDrain() {
	l.mu.Lock()
	since := l.leaving
	l.mu.Unlock()
	if since.IsZero() {
		return
	}
	late := time.Since(since) - leafDrainTime
	if late > 500*time.Millisecond && l.h.undisturbedFor() > leafDrainTime+2*time.Second {
		l.h.fail("leaf %s received a request %v after its drain time had ended", l.id, late)
	}
}

// disturbLink records that the link is disturbed until the given time.
func (l *leaf) disturbLink(until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.linkDisturbed = until
}

// linkOpenSince reports whether the link has delayed no data since the given time.
func (l *leaf) linkOpenSince(t time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.linkDisturbed.Before(t)
}

// startLeaving marks the leaf as leaving in the list.
func (l *leaf) startLeaving() {
	l.mu.Lock()
	if l.leaving.IsZero() {
		l.leaving = time.Now()
	}
	l.mu.Unlock()
}

func (l *leaf) listState() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leaving.IsZero() {
		return standin.Ready
	}
	return standin.Draining
}

// removeLeaf stops the leaf and removes it from the list.
func (h *harness) removeLeaf(l *leaf) {
	h.mu.Lock()
	h.leaves = slices.DeleteFunc(h.leaves, func(o *leaf) bool { return o == l })
	h.mu.Unlock()
	l.link.close()
	_ = l.server.Close()
}

// serveList serves the platform's list of leaves.
func (h *harness) serveList(rw http.ResponseWriter, _ *http.Request) {
	if h.listFailing.Load() {
		rw.WriteHeader(http.StatusTooManyRequests)
		return
	}
	h.mu.Lock()
	leaves := slices.Clone(h.leaves)
	h.mu.Unlock()
	rows := make([]standin.Leaf, len(leaves))
	for i, l := range leaves {
		rows[i] = standin.Leaf{ID: l.id, Service: l.service, Addr: l.addr, Domain: l.domain, Slots: 8, State: l.listState()}
	}
	text, err := standin.EncodePage(rows, "")
	if err != nil {
		h.fail("list: %v", err)
	}
	_, _ = rw.Write(text)
}
