//go:build review

package tier

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"

	"pearmoor/platform"
	"pearmoor/platform/standin"
)

// The region of the deployment and its zones.
const Region = "gj-west"

var zones = []string{"anand-hall", "vadodara-a", "vadodara-b", "kheda-rack"}

// metricsPort is where the program serves its metrics without further settings.
const metricsPort = "9464"

// Tier is a deployment.
type Tier struct {
	Record   *Record
	Platform *Platform
	VMs      []*VM
	ports    standin.Ports
	dir      string
	program  string
	root     string
}

// VM is one machine with the process on it.
type VM struct {
	Name, IP, Zone string
	Disk           bool
	tier           *Tier
	settings       string // path of the settings file
	mu             sync.Mutex
	cmd            *exec.Cmd
	exited         chan struct{}
	stopping       bool
}

// New prepares a deployment of disks VMs with a disk and others without. Nothing runs yet.
// root is the root of the repository, where the platform starts the programs.
func New(root string, rec *Record, disks, others int) (*Tier, error) {
	dir, err := os.MkdirTemp("", "review-tier-")
	if err != nil {
		return nil, err
	}
	t := &Tier{Record: rec, dir: dir, root: root, program: filepath.Join(root, "target", "pearmoor-entry")}
	if _, err := os.Stat(t.program); err != nil {
		return nil, fmt.Errorf("the program is not built: %w", err)
	}
	if err := t.findAddresses(disks + others); err != nil {
		return nil, err
	}
	for i, vm := range t.VMs {
		vm.Disk = i < disks
		vm.Name = fmt.Sprintf("edge-%s-%d", vm.Zone, 1+i/len(zones))
	}
	t.Platform, err = newPlatform(rec)
	return t, err
}

// findAddresses gives n VMs an address each and the ports that are free on all of them.
func (t *Tier) findAddresses(n int) error {
	for range 50 {
		net2, net3 := 64+rand.IntN(128), rand.IntN(256)
		t.VMs = nil
		for i := range n {
			t.VMs = append(t.VMs, &VM{tier: t, IP: fmt.Sprintf("127.%d.%d.%d", net2, net3, 10+i), Zone: zones[i%len(zones)]})
		}
		base := 20000 + rand.IntN(8000)
		port := func(i int) string { return strconv.Itoa(base + i) }
		t.ports = standin.Ports{Callers: port(0), Ready: port(1), Operators: port(2), Directory: port(3), Peers: port(4)}
		if t.allFree([]string{port(0), port(1), port(2), port(3), port(4), metricsPort}) {
			return nil
		}
	}
	return fmt.Errorf("no free addresses found")
}

func (t *Tier) allFree(ports []string) bool {
	for _, vm := range t.VMs {
		for _, p := range ports {
			l, err := net.Listen("tcp", net.JoinHostPort(vm.IP, p))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// ControlAddr returns the address at which the VM serves operators.
func (v *VM) ControlAddr() string { return net.JoinHostPort(v.IP, v.tier.ports.Operators) }

// EdgeAddr returns the address at which the VM serves clients.
func (v *VM) EdgeAddr() string { return net.JoinHostPort(v.IP, v.tier.ports.Callers) }

// ReadyAddr returns the address of the VM's readiness.
func (v *VM) ReadyAddr() string { return net.JoinHostPort(v.IP, v.tier.ports.Ready) }

// WriteSettings writes the VM's settings file, as the platform's template renders it.
func (v *VM) WriteSettings(seeds []*VM, bootstrap bool) error {
	t := v.tier
	var seedAddrs []string
	for _, s := range seeds {
		seedAddrs = append(seedAddrs, s.ControlAddr())
	}
	conf := standin.VM{
		Name: v.Name, IP: v.IP, Domain: v.Zone, Region: Region, Ports: t.ports, Seeds: seedAddrs, FirstStart: bootstrap,
		Cores: 0.4, Tolerated: 1, DrainMS: 3000, GraceS: 6, BudgetRatio: 0.2, BudgetBurst: 64, BudgetWindowS: 10,
		ListAddr: t.Platform.Addr(), ListRate: 55,
	}
	if v.Disk {
		conf.DataDir, conf.DiskMB, conf.Cores = filepath.Join(t.dir, v.Name, "data"), 64, 0.72
	}
	body, err := conf.EncodeSettings()
	if err != nil {
		return err
	}
	v.settings = filepath.Join(t.dir, v.Name, "local.yaml")
	if err := os.MkdirAll(filepath.Dir(v.settings), 0o755); err != nil {
		return err
	}
	temp := v.settings + ".new"
	if err := os.WriteFile(temp, body, 0o644); err != nil {
		return err
	}
	return os.Rename(temp, v.settings)
}

// Start starts the VM's process with the command of the deploy file.
func (v *VM) Start() error {
	log, err := os.OpenFile(filepath.Join(v.tier.dir, v.Name, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	if v.Disk {
		if err := os.MkdirAll(filepath.Join(v.tier.dir, v.Name, "data"), 0o755); err != nil {
			return err
		}
	}
	cmd := exec.Command(v.tier.program)
	cmd.Dir, cmd.Stdout, cmd.Stderr = v.tier.root, log, log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), platform.SettingsVariable + "=" + v.settings}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	v.mu.Lock()
	v.cmd, v.exited = cmd, exited
	v.mu.Unlock()
	go func() {
		err := cmd.Wait()
		v.mu.Lock()
		if !v.stopping {
			v.tier.Record.Line("platform: process of %s ended by itself: %v", v.Name, err)
		}
		v.mu.Unlock()
		close(exited)
	}()
	return nil
}

// Signal sends a signal to the VM's process.
func (v *VM) Signal(sig syscall.Signal) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd == nil {
		return fmt.Errorf("%s does not run", v.Name)
	}
	return v.cmd.Process.Signal(sig)
}

// Kill ends the VM's process.
func (v *VM) Kill() {
	v.mu.Lock()
	cmd, exited := v.cmd, v.exited
	v.stopping = true
	v.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGCONT)
	_ = cmd.Process.Kill()
	<-exited
}

// LogPath returns the path of the VM's log.
func (v *VM) LogPath() string { return filepath.Join(v.tier.dir, v.Name, "log") }

// StartAll writes the settings files of the first start and starts all VMs.
func (t *Tier) StartAll(seeds []*VM) error {
	for _, v := range t.VMs {
		if err := v.WriteSettings(seeds, true); err != nil {
			return err
		}
	}
	for _, v := range t.VMs {
		if err := v.Start(); err != nil {
			return err
		}
	}
	return nil
}

// Close ends all processes and removes the temporary folder.
func (t *Tier) Close() {
	var wg sync.WaitGroup
	for _, v := range t.VMs {
		wg.Go(v.Kill)
	}
	wg.Wait()
	t.Platform.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(t.dir)
	} else {
		fmt.Println("kept:", t.dir)
	}
}
