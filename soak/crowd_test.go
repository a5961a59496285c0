package soak

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Settings of the VMs and sizes of the crowds. A VM at rest has some 25 MB.
const (
	crowdMemoryMB    = 64
	crowdDescriptors = 4100
	fewDescriptors   = 400

	crowdTime       = 4 * time.Second // for which a crowd goes on at least
	ordinaryTime    = time.Minute     // in which one ordinary request must be answered
	crowdWriteBytes = 64 << 20        // after which a client without end ends
	headLimit       = 16 << 10        // of the configuration
	longAnswerBytes = 60_000
)

// shortLines returns header lines of four bytes, of the given length in all.
func shortLines(length int) string { return strings.Repeat("A:\r\n", length/4) }

// requestHead returns the start of the head of a request of its own, without its end.
func requestHead(method string) string {
	return fmt.Sprintf("%s /charge/x HTTP/1.1\r\nHost: %s\r\n%s: crowd-%016x\r\n%s: 60000\r\n", method, hostname, dialect.RequestID, rand.Uint64(), dialect.Deadline)
}

// legalHead returns the start of a head of a legal size that is made of short lines.
func legalHead(method string) string {
	start := requestHead(method)
	return start + shortLines(headLimit-384-len(start))
}

// crowd is a number of clients that each send start, and then repeat until the connection ends, to
// one VM, and read nothing.
type crowd struct {
	clients int
	port    func(p ports) string
	start   func() string
	repeat  string // "": nothing follows, and the client waits
	window  int    // receive buffer in bytes; 0: the default
	answers bool   // leaves send long answers

	descriptors int
}

// Guards against clients whose heads are far over the limit and made of many short lines: a process
// keeps them all, at many times their size.
func TestCrowdOfLongHeads(t *testing.T) {
	crowd{clients: 40, port: callersPort, start: longHead}.check(t)
}

// Guards against the same at the directory.
func TestCrowdOfLongHeadsAtDirectory(t *testing.T) {
	crowd{clients: 40, port: func(p ports) string { return p.directory }, start: longHead}.check(t)
}

// Guards against the same at the operators' port.
func TestCrowdOfLongHeadsAtOperators(t *testing.T) {
	crowd{clients: 40, port: func(p ports) string { return p.operators }, start: longHead}.check(t)
}

// Guards against the same at the port of readiness checks.
func TestCrowdOfLongHeadsAtReadiness(t *testing.T) {
	crowd{clients: 40, port: func(p ports) string { return p.ready }, start: longHead}.check(t)
}

// Guards against the same at the port of the metrics.
func TestCrowdOfLongHeadsAtMetrics(t *testing.T) {
	crowd{clients: 40, port: func(p ports) string { return p.metrics }, start: longHead}.check(t)
}

// Guards against heads without an end, of many lines.
func TestCrowdOfEndlessHeaderLines(t *testing.T) {
	crowd{clients: 40, port: callersPort, start: func() string { return requestHead(http.MethodGet) }, repeat: "A: b\r\n"}.check(t)
}

// Guards against heads without an end, of many lines, at the directory.
func TestCrowdOfEndlessHeaderLinesAtDirectory(t *testing.T) {
	crowd{clients: 40, port: func(p ports) string { return p.directory }, start: func() string { return requestHead(http.MethodGet) }, repeat: "A: b\r\n"}.check(t)
}

// Guards against heads without an end, of one line.
func TestCrowdOfEndlessHeaderLine(t *testing.T) {
	crowd{clients: 40, port: callersPort, start: func() string { return requestHead(http.MethodGet) + "A: " }, repeat: "x"}.check(t)
}

// Guards against heads of a legal size and many short lines whose ends are held back.
func TestCrowdOfUnfinishedHeads(t *testing.T) {
	crowd{clients: 400, port: callersPort, start: func() string { return legalHead(http.MethodGet) }}.check(t)
}

// Guards against such heads with a body that never comes.
func TestCrowdOfHeadsWithoutBody(t *testing.T) {
	crowd{clients: 400, port: callersPort, start: func() string { return legalHead(http.MethodPost) + "Content-Length: 1000\r\n\r\n" }}.check(t)
}

// Guards against bodies of a legal size of which the rest never comes.
func TestCrowdOfUnfinishedBodies(t *testing.T) {
	crowd{clients: 800, port: callersPort, start: func() string {
		return requestHead(http.MethodPost) + "Content-Length: 64000\r\n\r\n" + strings.Repeat("x", 60_000)
	}}.check(t)
}

// Guards against clients that send requests and read no answers.
func TestCrowdThatReadsNoAnswers(t *testing.T) {
	crowd{clients: 300, port: callersPort, window: 4 << 10, answers: true, start: func() string {
		var all strings.Builder
		for range 30 {
			all.WriteString(legalHead(http.MethodGet) + "\r\n")
		}
		return all.String()
	}}.check(t)
}

// Guards against more connections than the process has descriptors.
func TestCrowdOfIdleConnections(t *testing.T) {
	crowd{clients: 800, port: callersPort, start: func() string { return "" }, descriptors: fewDescriptors}.check(t)
}

// Guards against clients that send what is no part of a request without end.
func TestCrowdOfOddBytes(t *testing.T) {
	chunked := func() string { return requestHead(http.MethodPost) + "Transfer-Encoding: chunked\r\n\r\n" }
	for _, c := range []struct {
		name   string
		start  func() string
		repeat string
	}{
		{"empty lines", func() string { return "" }, "\r\n"},
		{"chunks of one byte", chunked, "1\r\na\r\n"},
		{"chunk extension", func() string { return chunked() + "1;x=" }, "y"},
		{"trailer lines", func() string { return chunked() + "0\r\n" }, "A: b\r\n"},
		{"pipelined requests", func() string { return "" }, requestHead(http.MethodGet) + "\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			crowd{clients: 40, port: callersPort, start: c.start, repeat: c.repeat}.check(t)
		})
	}
}

func callersPort(p ports) string { return p.callers }

func longHead() string { return requestHead(http.MethodGet) + shortLines(1<<20) }

// check plays the crowd against one VM of a small tier. The process must live, its memory and its
// descriptors stay within its settings, and an ordinary request be answered beside the crowd and
// after it.
func (c crowd) check(t *testing.T) {
	h := newHarness(t, 2, size{vms: 3, disks: 3})
	defer h.close()
	h.memoryMB, h.descriptors = crowdMemoryMB, crowdDescriptors
	if c.descriptors > 0 {
		h.descriptors = c.descriptors
	}
	h.startTier(2)
	v := h.vms[0]
	h.awaitOrdinaryAnswer(v, "before the crowd")
	if c.answers {
		h.setLeafModes(answersLong, func(*leaf) bool { return true })
	}
	watch := v.watchDescriptors()
	stop := c.send(v.addr(c.port(h.ports)))
	time.Sleep(crowdTime)
	h.setLeafModes(healthy, func(*leaf) bool { return true })
	h.awaitOrdinaryAnswer(v, "beside the crowd")
	stop()
	h.awaitOrdinaryAnswer(v, "after the crowd")
	open := watch()
	peak := v.peakMemory()
	t.Logf("%s: at most %d MB and %d descriptors", v.name, peak>>20, open)
	if v.hasExited() {
		t.Errorf("the process of %s has ended", v.name)
	}
	if limit := int64(h.memoryMB) << 20; peak > limit {
		t.Errorf("%s has had %d MB, its machine has %d", v.name, peak>>20, limit>>20)
	}
	if open > h.descriptors {
		t.Errorf("%s has had %d descriptors, its limit is %d", v.name, open, h.descriptors)
	}
}

// send starts the clients. stop ends them.
func (c crowd) send(addr string) (stop func()) {
	var wg sync.WaitGroup
	var stopped atomic.Bool
	var mu sync.Mutex
	var conns []net.Conn
	for range c.clients {
		wg.Go(func() {
			conn, err := net.DialTimeout("tcp", addr, 5*time.Second)
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, conn)
			mu.Unlock()
			if c.window > 0 {
				_ = conn.(*net.TCPConn).SetReadBuffer(c.window)
			}
			_, err = conn.Write([]byte(c.start()))
			if c.repeat == "" {
				return
			}
			block := bytes.Repeat([]byte(c.repeat), 1+(16<<10)/len(c.repeat))
			for sent := 0; err == nil && sent < crowdWriteBytes && !stopped.Load(); sent += len(block) {
				_, err = conn.Write(block)
			}
		})
	}
	return func() {
		stopped.Store(true)
		mu.Lock()
		for _, conn := range conns {
			_ = conn.Close()
		}
		mu.Unlock()
		wg.Wait()
	}
}

// awaitOrdinaryAnswer waits until a request of an ordinary caller is answered by the VM.
func (h *harness) awaitOrdinaryAnswer(v *vmProcess, when string) {
	h.t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 3 * time.Second}
	last := ""
	for end := time.Now().Add(ordinaryTime); time.Now().Before(end) && !v.hasExited(); time.Sleep(100 * time.Millisecond) {
		req, err := http.NewRequest(http.MethodPost, "http://"+v.addr(h.ports.callers)+"/charge/ordinary", strings.NewReader("an ordinary body"))
		if err != nil {
			h.t.Fatal(err)
		}
		req.Host = hostname
		req.Header.Set(dialect.RequestID, fmt.Sprintf("ordinary-%d", h.nextID.Add(1)))
		req.Header.Set(dialect.Deadline, "2000")
		resp, err := client.Do(req)
		if err != nil {
			last = err.Error()
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
		last = resp.Status
	}
	h.t.Errorf("no ordinary request was answered %s: %s", when, last)
}

func (v *vmProcess) hasExited() bool {
	select {
	case <-v.exited:
		return true
	default:
		return false
	}
}

func (v *vmProcess) procFile(name string) string {
	return filepath.Join("/proc", strconv.Itoa(v.cmd.Process.Pid), name)
}

// peakMemory returns the most memory that the process has had, in bytes; 0 if it has ended.
func (v *vmProcess) peakMemory() int64 {
	text, err := os.ReadFile(v.procFile("status"))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), "VmHWM:")
	var kb int64
	_, _ = fmt.Sscan(rest, &kb)
	return kb << 10
}

// watchDescriptors counts the open descriptors of the process until the returned function is
// called, which returns the most there were.
func (v *vmProcess) watchDescriptors() func() int {
	done, most := make(chan struct{}), make(chan int)
	go func() {
		n := 0
		for {
			if open, err := os.ReadDir(v.procFile("fd")); err == nil {
				n = max(n, len(open))
			}
			select {
			case <-done:
				most <- n
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	}()
	return func() int { close(done); return <-most }
}
