package soak

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"pearmoor/internal/freeport"
	"pearmoor/platform"
	"pearmoor/platform/standin"
)

const (
	daemons  = 5
	disks    = 3
	domain   = "hall-1"
	region   = "valley"
	host     = "soak.example"
	firstNet = "127.0.10." // the addresses of the VMs; callers connect to them directly, peers through a proxy
	innerNet = "127.0.11." // where the daemons listen for peers, behind the proxy
)

// ports are the ports that every VM listens on.
type ports struct{ callers, ready, operators, directory, peers string }

// harness is the state of one soak run: the VMs, leaves, callers, operators and failures.
type world struct {
	t     *testing.T
	dir   string
	bin   string
	rng   *rand.Rand // for faults
	ports ports
	vms   []*vmProcess
	list  *http.Server
	lists string

	nextLeaf, nextID, stamps atomic.Int64
	listFails                atomic.Bool

	mu       sync.Mutex
	leaves   []*leaf
	runs     map[string][]string // services that ran a request, by request ID
	wants    map[string]string   // requests as sent, by request ID
	restless time.Time           // last time at which a process may have missed a change
	failures []string
	served   map[string]int // number of answers by HTTP status
	ops      operatorState
}

func (w *world) fail(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failures = append(w.failures, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// markDisturbed records that some process may miss changes made now.
func (w *world) disturb() {
	w.mu.Lock()
	w.restless = time.Now()
	w.mu.Unlock()
}

func (w *world) calmFor() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Since(w.restless)
}

// recordRun records that a leaf runs a request, and checks that it is the request sent under
// that ID.
func (w *world) ran(id, service, request string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[id] = append(w.runs[id], service)
	if want, sent := w.wants[id]; !sent || want != request {
		w.failures = append(w.failures, fmt.Sprintf("%s runs %q for request %s, but the request sent was %q", service, request, id, want))
	}
}

func (w *world) runsOf(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.runs[id])
}

// vmProcess is a VM: its own IP address and the daemon process on it.
type vmProcess struct {
	w    *world
	ip   string
	name string
	disk bool
	link *proxy // proxy through which other daemons connect

	mu      sync.Mutex
	cmd     *exec.Cmd
	done    chan struct{}
	first   bool
	harmed  time.Time // last kill, pause, link fault or start
	stopped bool      // paused by SIGSTOP
	claimed bool      // a fault is in progress on it
}

// claim reserves the VM for one fault. It returns false if another is in progress.
func (v *vmProcess) claim() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.claimed {
		return false
	}
	v.claimed = true
	return true
}

func (v *vmProcess) release() {
	v.mu.Lock()
	v.claimed = false
	v.mu.Unlock()
}

// canLoseDisk reports whether the control group tolerates the loss of one disk now: no other
// VM with a disk has been disrupted within 6 s or is claimed by another fault.
func (w *world) mayLoseDisk() bool {
	harmed := 0
	for _, v := range w.vms[:disks] {
		if v.harmedWithin(6*time.Second) || v.isClaimed() {
			harmed++
		}
	}
	return harmed <= 1 // the VM that is about to lose its disk is claimed
}

func (v *vmProcess) isClaimed() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.claimed
}

func newWorld(t *testing.T, seed uint64) *world {
	w := &world{
		t: t, dir: t.TempDir(), rng: rand.New(rand.NewPCG(seed, 1)),
		runs: map[string][]string{}, wants: map[string]string{}, served: map[string]int{},
	}
	w.bin = filepath.Join(w.dir, "pearmoor-entry")
	if out, err := exec.Command("go", "build", "-tags", "faultydisk", "-o", w.bin, "../cmd/pearmoor-entry").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	free, err := freeport.Ports("127.0.0.1", 5)
	if err != nil {
		t.Fatal(err)
	}
	w.ports = ports{free[0], free[1], free[2], free[3], free[4]}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc(standin.ListPath, w.serveList)
	w.list, w.lists = &http.Server{Handler: mux}, lis.Addr().String()
	go func() { _ = w.list.Serve(lis) }()
	for i := range daemons {
		v := &vmProcess{w: w, ip: fmt.Sprintf("%s%d", firstNet, i+1), name: fmt.Sprintf("vm-%d", i+1), disk: i < disks, first: true}
		if v.link, err = newProxy(v.addr(w.ports.peers), v.inner()); err != nil {
			t.Fatalf("link to %s: %v", v.name, err)
		}
		w.vms = append(w.vms, v)
	}
	w.disturb()
	return w
}

func (v *vmProcess) addr(port string) string { return net.JoinHostPort(v.ip, port) }

func (v *vmProcess) inner() string {
	return net.JoinHostPort(innerNet+strings.TrimPrefix(v.ip, firstNet), v.w.ports.peers)
}

func (v *vmProcess) folder() string { return filepath.Join(v.w.dir, v.name) }

func (v *vmProcess) settingsFile() string { return filepath.Join(v.w.dir, v.name+".json") }

// writeSettings replaces the settings file atomically, with the seeds in the given order.
func (v *vmProcess) writeSettings(order []int) {
	w := v.w
	vm := standin.VM{
		Name: v.name, IP: v.ip, Domain: domain, Region: region,
		Ports: standin.Ports{
			Callers: w.ports.callers, Ready: w.ports.ready, Operators: w.ports.operators,
			Directory: w.ports.directory, Peers: w.ports.peers,
		},
		FirstStart: v.first, DiskMB: 64, Cores: 1, Tolerated: 1, DrainMS: 3000, GraceS: 3,
		BudgetRatio: 0.2, BudgetBurst: 62, BudgetWindowS: 10, ListAddr: w.lists, ListRate: 50,
	}
	if v.disk {
		vm.DataDir = v.folder()
	}
	for _, i := range order {
		vm.Seeds = append(vm.Seeds, w.vms[i].addr(w.ports.operators))
	}
	text, err := vm.Settings()
	fresh := v.settingsFile() + ".new"
	if err == nil {
		err = os.WriteFile(fresh, text, 0o600)
	}
	if err == nil {
		err = os.Rename(fresh, v.settingsFile())
	}
	if err != nil {
		w.fail("settings of %s: %v", v.name, err)
	}
}

// start starts the process and appends its output to the log file of the VM.
func (v *vmProcess) start() {
	w := v.w
	v.writeSettings([]int{0, 1, 2})
	out, err := os.OpenFile(filepath.Join(w.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		w.fail("log: %v", err)
		return
	}
	cmd := exec.Command(w.bin, "--metrics-port=0", "--peers-listen="+v.inner())
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+v.settingsFile())
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		w.fail("start %s: %v", v.name, err)
		return
	}
	done := make(chan struct{})
	go func() { _ = cmd.Wait(); _ = out.Close(); close(done) }()
	v.mu.Lock()
	v.cmd, v.done, v.first, v.stopped, v.harmed = cmd, done, false, false, time.Now()
	v.mu.Unlock()
	w.disturb()
}

func (v *vmProcess) signal(sig syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd != nil {
		_ = v.cmd.Process.Signal(sig)
	}
	if sig != syscall.SIGTERM && sig != syscall.SIGHUP {
		v.harmed = time.Now()
	}
	switch sig {
	case syscall.SIGSTOP:
		v.stopped = true
	case syscall.SIGCONT:
		v.stopped = false
	}
}

// kill sends SIGKILL and waits for the process to exit.
func (v *vmProcess) kill() {
	v.w.disturb()
	v.signal(syscall.SIGCONT)
	v.signal(syscall.SIGKILL)
	<-v.done
	v.w.disturb()
}

// markDisrupted records that the VM may have missed what happened until now.
func (v *vmProcess) harm() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.harmed = time.Now()
}

// disruptedWithin reports whether the process is paused, or was disrupted within the last d.
func (v *vmProcess) harmedWithin(d time.Duration) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.stopped || time.Since(v.harmed) < d
}

func (w *world) vmAt(addr string) *vmProcess {
	for _, v := range w.vms {
		if strings.HasPrefix(addr, v.ip+":") {
			return v
		}
	}
	return nil
}

// close stops everything that the run has started.
func (w *world) close() {
	for _, v := range w.vms {
		if v.cmd != nil {
			v.kill()
		}
		v.link.close()
	}
	w.mu.Lock()
	leaves := w.leaves
	w.mu.Unlock()
	for _, l := range leaves {
		l.link.close()
		_ = l.server.Close()
	}
	_ = w.list.Close()
}

// doHTTP sends a request and returns the status and body, or 0 if there was no answer.
func get(client *http.Client, method, url string, body string) (int, []byte) {
	req, err := http.NewRequest(method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, nil
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, b
}
