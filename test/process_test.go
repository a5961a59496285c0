package test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"pearmoor/internal/daemon"
)

const (
	// waitTimeout bounds every wait for an event. A passing test waits far less.
	waitTimeout  = 40 * time.Second
	pollInterval = 20 * time.Millisecond
)

// await polls condition until it is true, and fails the test after waitTimeout. what
// names the awaited event in the error.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if condition() {
			return
		}
	}
	t.Fatalf("timed out after %v waiting for: %s", waitTimeout, what)
}

// hostCount counts the loopback hosts that newHost has returned. Each daemon has its
// own host, so that its ports, picked by the kernel, are still free when it is
// restarted: nothing else binds to that host, and outgoing connections come from
// 127.0.0.1.
var hostCount atomic.Uint32

func newHost() string {
	const first = 2
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", pid>>8&0xff, pid&0xff, first+hostCount.Add(1)%250)
}

// process is a daemon, which may be started several times.
type process struct {
	t              *testing.T
	name           string
	args           []string
	dir            string
	callerURL      string // base URL for callers; empty on a control VM
	peerAddr       string // peer address that other daemons connect to
	peerListenAddr string // peer address that it listens on; differs from peerAddr behind a network
	operatorAddr   string
	callerAddr     string // host:port for callers; used by entry VMs only

	log    *logBuffer
	cmd    *exec.Cmd // nil while the process is not running
	exited chan error
	pid    atomic.Int64 // 0 while the process is not running
	proc   atomic.Pointer[os.Process]
	starts int
}

// start starts the daemon and waits until it serves on its ports.
func (p *process) start() {
	p.t.Helper()
	p.launch()
	p.awaitServing()
}

// launch starts the daemon without waiting for it.
func (p *process) launch() {
	p.t.Helper()
	p.starts++
	p.cmd = exec.Command(daemonPath, append([]string{"--ready-file=" + p.readyFile()}, p.args...)...)
	p.cmd.Env = append(os.Environ(), "PEARMOOR_PLAINTEXT_PEERS=true")
	p.cmd.Stderr = p.log
	if err := p.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.pid.Store(int64(p.cmd.Process.Pid))
	p.proc.Store(p.cmd.Process)
	p.exited = make(chan error, 1)
	go func(cmd *exec.Cmd, exit chan<- error) { exit <- cmd.Wait() }(p.cmd, p.exited)
}

func (p *process) readyFile() string {
	return filepath.Join(p.dir, fmt.Sprintf("%s-%d.json", p.name, p.starts))
}

func (p *process) awaitServing() {
	p.t.Helper()
	await(p.t, p.name+" to serve", func() bool {
		_, err := os.Stat(p.readyFile())
		return err == nil
	})
}

func (p *process) signal(s os.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Fatalf("%s: %v", p.name, err)
	}
}

// kill ends the daemon with SIGKILL, as if its VM were lost.
func (p *process) kill() {
	p.t.Helper()
	p.signal(os.Kill)
	<-p.exited
	p.markStopped()
}

func (p *process) markStopped() {
	p.cmd = nil
	p.pid.Store(0)
}

func (p *process) pause()  { p.t.Helper(); p.signal(syscall.SIGSTOP) }
func (p *process) resume() { p.t.Helper(); p.signal(syscall.SIGCONT) }

// stop sends SIGTERM and waits for the graceful shutdown.
func (p *process) stop() {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	select {
	case err := <-p.exited:
		p.markStopped()
		if err != nil {
			p.t.Errorf("%s: graceful shutdown failed: %v", p.name, err)
		}
	case <-time.After(waitTimeout):
		p.t.Errorf("%s: no exit after SIGTERM", p.name)
	}
}

// close kills the daemon if it is still running, and prints the end of its log if the
// test has failed.
func (p *process) close() {
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-p.exited
		p.markStopped()
	}
	if p.t.Failed() {
		p.t.Logf("log of %s:\n%s", p.name, p.log.tail())
	}
}

// status reads the operator's status page; ok is false if the daemon does not answer.
func (p *process) status() (s daemon.Status, ok bool) {
	body, code := p.get("/status")
	return s, code == http.StatusOK && json.Unmarshal(body, &s) == nil
}

// ready reports whether the daemon accepts new work, and the reason.
func (p *process) ready() (bool, string) {
	body, code := p.get("/readyz")
	return code == http.StatusOK, string(body)
}

// operatorClient has a short timeout, since a paused daemon does not answer.
var operatorClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func (p *process) get(path string) ([]byte, int) {
	resp, err := operatorClient.Get("http://" + p.operatorAddr + path)
	if err != nil {
		return nil, 0
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, 0
	}
	return body, resp.StatusCode
}

// logBuffer collects the log output of a daemon.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *logBuffer) tail() string {
	const limit = 3000
	b.mu.Lock()
	defer b.mu.Unlock()
	all := b.buf.Bytes()
	return string(all[max(0, len(all)-limit):])
}

// tryPause and tryResume have no effect on a process that has exited.
func (p *process) tryPause()  { _ = p.proc.Load().Signal(syscall.SIGSTOP) }
func (p *process) tryResume() { _ = p.proc.Load().Signal(syscall.SIGCONT) }
