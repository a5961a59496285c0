package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/procfs"

	"pearmoor/internal/freeport"
	"pearmoor/internal/route"
	"pearmoor/platform"
	"pearmoor/platform/standin"
)

const (
	ipPrefix     = "127.0.20."
	vmsWithDisk  = 3
	startTimeout = 30 * time.Second
	callTimeout  = 2 * time.Second
)

// entryVM simulates an entry VM: a loopback address of its own and a pearmoor-entry process.
type entryVM struct {
	spec       standin.VM
	dir        string
	bin        string
	cmd        *exec.Cmd
	earlierCPU time.Duration // processor time of the VM's earlier processes
}

// entryTier is all VMs of the tier.
type entryTier struct {
	vms           []*entryVM
	client        *http.Client
	releaseNumber uint64
	shards        []string
	warmUpRate    float64 // what the services say that a cold leaf bears; 0: not stated
}

func newTier(dir, bin string, n int, listAddr string) (*entryTier, error) {
	ports, err := freeport.Ports("127.0.0.1", 5) // all VMs use the same
	if err != nil {
		return nil, err
	}
	t := &entryTier{client: &http.Client{Timeout: callTimeout}}
	for i := range n {
		v := &entryVM{dir: dir, bin: bin, spec: standin.VM{
			Name: fmt.Sprintf("vm-%d", i+1), IP: ipPrefix + strconv.Itoa(i+1), Domain: domains[i%len(domains)], Region: region,
			Ports:      standin.Ports{Callers: ports[0], Ready: ports[1], Operators: ports[2], Directory: ports[3], Peers: ports[4]},
			FirstStart: true, DiskMB: 64, Cores: 1, Tolerated: 1, DrainMS: 3000, GraceS: 6,
			BudgetRatio: 0.2, BudgetBurst: 62, BudgetWindowS: 10, ListAddr: listAddr, ListRate: 50,
		}}
		if i < vmsWithDisk {
			v.spec.DataDir = filepath.Join(dir, v.spec.Name)
		}
		t.vms = append(t.vms, v)
	}
	for _, v := range t.vms {
		for _, s := range t.vms[:min(vmsWithDisk, n)] {
			v.spec.Seeds = append(v.spec.Seeds, s.addr(s.spec.Ports.Operators))
		}
	}
	return t, nil
}

func (v *entryVM) addr(port string) string { return net.JoinHostPort(v.spec.IP, port) }

// start starts the VM's process. Its output goes to a log file beside its settings file.
func (v *entryVM) start() error {
	text, err := v.spec.EncodeSettings()
	if err != nil {
		return err
	}
	path := filepath.Join(v.dir, v.spec.Name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(v.dir, v.spec.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	v.cmd = exec.Command(v.bin, "--metrics-port=0")
	v.cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+path, "GOMAXPROCS=1")
	v.cmd.Stdout, v.cmd.Stderr = out, out
	// The kernel kills the process when this one ends for any reason.
	v.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return errors.Wrap(v.cmd.Start(), v.spec.Name)
}

// kill kills the process with SIGKILL.
func (v *entryVM) kill() {
	v.earlierCPU = v.cpu()
	_ = v.cmd.Process.Kill()
	_ = v.cmd.Wait() // the error only reports the kill
}

// cpu returns the processor time that the VM's processes have used.
func (v *entryVM) cpu() time.Duration {
	proc, err := procfs.NewProc(v.cmd.Process.Pid)
	if err != nil {
		return v.earlierCPU
	}
	stat, err := proc.Stat()
	if err != nil {
		return v.earlierCPU
	}
	return v.earlierCPU + time.Duration(stat.CPUTime()*float64(time.Second))
}

// release returns the configuration of the run: two routes over all shards, wide and
// quick, and one to a single service whose requests are not idempotent.
func (t *entryTier) release() *route.Release {
	r := &route.Release{
		Number: t.releaseNumber,
		Limits: route.Limits{HeaderBytes: 16 << 10, BodyBytes: 256 << 10, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
	for _, k := range requestKinds {
		rt := route.Route{
			Name: k.name, Host: host, Prefix: k.prefix, Repeatable: k.gathers, Timeout: k.timeout, TargetLatency: k.targetLatency,
			Priority: k.priority, MaxAttempts: 2,
		}
		if k.gathers {
			rt.Shards, rt.Top, rt.MinCoverage = t.shards, topRecordCount, k.minCoverage
		} else {
			rt.Service = singleService
		}
		r.Routes = append(r.Routes, rt)
	}
	for _, s := range append([]string{singleService}, t.shards...) {
		r.Services = append(r.Services, route.Service{Name: s, HealthPath: "/health", Connections: leafConns, Protocol: "h1", WarmUpRate: t.warmUpRate})
	}
	return r
}

// pushRelease sends the next configuration to the VMs in turn until one acknowledges it.
func (t *entryTier) pushRelease(ctx context.Context) error {
	t.releaseNumber++
	text, err := platform.EncodeRelease(t.release())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	last := errors.New("no VM was asked")
	for ctx.Err() == nil {
		for _, v := range t.vms {
			if last = t.postRelease(ctx, v, string(text)); last == nil {
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.Wrap(last, "the configuration is not acknowledged")
}

func (t *entryTier) postRelease(ctx context.Context, v *entryVM, text string) error {
	return t.postOrder(ctx, v, standin.PutConfigurationPath, text)
}

// postOrder sends an operator's order to one VM and returns nil if it is acknowledged.
func (t *entryTier) postOrder(ctx context.Context, v *entryVM, path, text string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+v.addr(v.spec.Ports.Operators)+path, strings.NewReader(text))
	if err != nil {
		return err
	}
	resp, err := t.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("%s answers %s", v.spec.Name, resp.Status)
	}
	return nil
}

func (t *entryTier) cpu() time.Duration {
	sum := time.Duration(0)
	for _, v := range t.vms {
		sum += v.cpu()
	}
	return sum
}

func (t *entryTier) stop() {
	for _, v := range t.vms {
		if v.cmd != nil && v.cmd.Process != nil {
			v.kill()
		}
	}
}
