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
	firstNet = "127.0.10." // where VMs are told to be, and take callers
	innerNet = "127.0.11." // where they take other daemons, behind a proxy
)

// ports are the same on all VMs.
type ports struct{ callers, ready, operators, directory, peers string }

// world is one run: the VMs, their leaves, callers and operators.
type world struct {
	t     *testing.T
	dir   string
	bin   string
	rng   *rand.Rand // of the faults
	ports ports
	vms   []*vmProcess
	list  *http.Server
	lists string

	nextLeaf, nextID, stamps atomic.Int64
	listFails                atomic.Bool

	mu       sync.Mutex
	leaves   []*leaf
	runs     map[string][]string // by request id: the services that ran it
	wants    map[string]string   // by request id: the request as it was sent
	restless time.Time           // last moment at which a process may have missed something
	failures []string
	served   map[string]int // by status
	ops      operatorState
}

func (w *world) fail(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failures = append(w.failures, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// disturb notes that some process may miss what happens now.
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

// ran notes that a leaf runs a request.
func (w *world) ran(id, service, request string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[id] = append(w.runs[id], service)
	if want, sent := w.wants[id]; !sent || want != request {
		w.failures = append(w.failures, fmt.Sprintf("%s runs %q for id %s, sent was %q", service, request, id, want))
	}
}

func (w *world) runsOf(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.runs[id])
}

// vmProcess is one VM: an address of its own and the process on it.
type vmProcess struct {
	w    *world
	ip   string
	name string
	disk bool
	link *proxy // what other daemons connect to

	mu      sync.Mutex
	cmd     *exec.Cmd
	done    chan struct{}
	first   bool
	harmed  time.Time // last kill, pause or start
	stopped bool      // paused now
	claimed bool      // a fault is being played on it
}

// claim takes the VM for one fault; false when another is under way there.
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

// mayLoseDisk reports whether the loss of one disk now is one that the group bears:
// no other VM with a disk was harmed while that one would be catching up.
func (w *world) mayLoseDisk() bool {
	harmed := 0
	for _, v := range w.vms[:disks] {
		if v.harmedWithin(6*time.Second) || v.isClaimed() {
			harmed++
		}
	}
	return harmed <= 1 // itself is claimed
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

// writeSettings writes the settings file whole, with the seeds in that order.
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

// start runs the process; what it writes goes to a file of its own.
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

// kill ends the process at once and waits for its end.
func (v *vmProcess) kill() {
	v.w.disturb()
	v.signal(syscall.SIGCONT)
	v.signal(syscall.SIGKILL)
	<-v.done
	v.w.disturb()
}

// harm notes that the VM may have missed what happened until now.
func (v *vmProcess) harm() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.harmed = time.Now()
}

// harmedWithin reports whether the process was killed, paused or started so lately.
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

// close ends everything that the run has started.
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

// get makes a bounded call and returns status and body; 0 when there was no answer.
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
