package tier

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"pearmoor/internal/freeport"
	"pearmoor/internal/link/peer"
)

// Config describes a tier to start.
type Config struct {
	Dir             string // binaries, logs, data; must exist
	Tree            string // YAML of the settings tree
	Daemons         int    // all of them accept callers
	ControlVMs      int    // number of daemons, counted from the first, that are also control VMs
	Domains         []string
	StandinFlags    []string // additional flags of pearmoor-standin leaves
	DaemonFlags     []string // additional flags of every pearmoord
	UsePlatformList bool     // daemons read the VM list of pearmoor-standin
}

const (
	startTimeout = 60 * time.Second
	stopTimeout  = 90 * time.Second
	pollInterval = 20 * time.Millisecond
	regionName   = "experiment"

	daemonProgram = "pearmoord"
	leavesProgram = "pearmoor-standin"
)

// Tier is a running tier with its leaves.
type Tier struct {
	Leaves *Leaves

	dir     string
	http    *http.Client
	pool    *peer.Pool
	daemons []*daemon
}

type daemon struct {
	process
	callerAddr, peerAddr, operatorAddr string // host:port
	control                            bool   // it is also a control VM
}

// Build compiles a program of ./cmd into dir/bin unless the file exists.
func Build(ctx context.Context, dir, program string) error {
	bin := filepath.Join(dir, "bin", program)
	if fileExists(bin) {
		return nil
	}
	cmd := exec.CommandContext(ctx, "go", "build", "-o", bin, "./cmd/"+program)
	cmd.Stdout, cmd.Stderr = os.Stderr, os.Stderr
	return errors.Wrap(cmd.Run(), "go build")
}

// Start starts the leaves and the daemons, commits the settings tree and waits
// until every daemon serves callers with it.
func Start(ctx context.Context, cfg Config) (*Tier, error) {
	if err := Build(ctx, cfg.Dir, daemonProgram); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp(cfg.Dir, "tier-")
	if err != nil {
		return nil, err
	}
	t := &Tier{
		dir:  dir,
		http: &http.Client{Transport: &http.Transport{}},
		pool: peer.NewPool(nil),
	}
	if err := t.start(ctx, cfg); err != nil {
		t.Kill()
		return nil, errors.Wrapf(err, "see the logs in %s", dir)
	}
	return t, nil
}

func (t *Tier) start(ctx context.Context, cfg Config) error {
	var err error
	if t.Leaves, err = StartLeaves(ctx, cfg); err != nil {
		return err
	}
	if err := t.startDaemons(cfg); err != nil {
		return err
	}
	for i := range t.daemons {
		if err := t.WaitHealthy(ctx, i); err != nil {
			return err
		}
	}
	if err := t.commitTree(ctx); err != nil {
		return err
	}
	for i := range t.daemons {
		if err := t.WaitServing(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

func checkRunning(p *process) error {
	if p.running() {
		return nil
	}
	return errors.Newf("%s ended: %v", p.name, p.err)
}

func (t *Tier) startDaemons(cfg Config) error {
	const portsPerDaemon = 3
	addrs, err := freeport.Addrs("127.0.0.1", cfg.Daemons*portsPerDaemon)
	if err != nil {
		return err
	}
	var control, voters []string
	for i := range cfg.ControlVMs {
		control = append(control, addrs[i*portsPerDaemon+1])
		voters = append(voters, fmt.Sprintf("--bootstrap-voter=%d=%s", i+1, addrs[i*portsPerDaemon+1]))
	}
	for i := range cfg.Daemons {
		name := fmt.Sprintf("vm-%02d", i+1)
		d := &daemon{callerAddr: addrs[i*portsPerDaemon], peerAddr: addrs[i*portsPerDaemon+1], operatorAddr: addrs[i*portsPerDaemon+2], control: i < cfg.ControlVMs}
		args := []string{
			"--name=" + name,
			"--domain=" + cfg.Domains[i%len(cfg.Domains)],
			"--region=" + regionName,
			"--caller-listen=" + d.callerAddr,
			"--peer-listen=" + d.peerAddr,
			"--operator-listen=" + d.operatorAddr,
			"--plaintext-peers",
			"--control=" + strings.Join(control, ","),
		}
		if cfg.UsePlatformList {
			args = append(args, "--platform-url="+t.Leaves.URL)
		}
		if d.control {
			args = append(args, fmt.Sprintf("--control-id=%d", i+1), "--data-dir="+filepath.Join(t.dir, name), "--bootstrap")
			args = append(args, voters...)
		}
		d.process = process{
			name: name,
			path: filepath.Join(cfg.Dir, "bin", daemonProgram),
			args: append(args, cfg.DaemonFlags...),
			env:  []string{memoryLimit, fmt.Sprintf("GOMAXPROCS=%d", DaemonMaxProcs)},
			log:  filepath.Join(t.dir, name+".log"),
		}
		if err := d.start(); err != nil {
			return err
		}
		t.daemons = append(t.daemons, d)
	}
	return nil
}

// EntryURLs returns the base URLs for callers, one for each daemon.
func (t *Tier) EntryURLs() []string {
	out := make([]string, len(t.daemons))
	for i, d := range t.daemons {
		out[i] = "http://" + d.callerAddr
	}
	return out
}

// Daemons returns the number of daemons.
func (t *Tier) Daemons() int { return len(t.daemons) }

// Name returns the VM name of daemon i.
func (t *Tier) Name(i int) string { return t.daemons[i].name }

// WaitHealthy waits until daemon i reports on its operator port that it is healthy.
func (t *Tier) WaitHealthy(ctx context.Context, i int) error {
	d := t.daemons[i]
	err := poll(ctx, startTimeout, func() (bool, error) {
		return t.status(ctx, "http://"+d.operatorAddr+"/healthz") == http.StatusOK, checkRunning(&d.process)
	})
	return errors.Wrapf(err, "%s is not healthy", d.name)
}

// WaitServing waits until daemon i is ready for callers, which requires a lease.
func (t *Tier) WaitServing(ctx context.Context, i int) error {
	d := t.daemons[i]
	err := poll(ctx, startTimeout, func() (bool, error) {
		return t.status(ctx, "http://"+d.operatorAddr+"/readyz") == http.StatusOK, checkRunning(&d.process)
	})
	return errors.Wrapf(err, "%s is not ready", d.name)
}

func (t *Tier) status(ctx context.Context, url string) int {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0
	}
	resp, err := t.http.Do(r)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// Signal sends s to daemon i.
func (t *Tier) Signal(i int, s syscall.Signal) error { return t.daemons[i].sendSignal(s) }

// WaitExit waits for daemon i to end and returns its exit error.
func (t *Tier) WaitExit(i int, limit time.Duration) error { return t.daemons[i].wait(limit) }

// Restart starts daemon i, which must have ended, again at the same addresses.
func (t *Tier) Restart(i int) error { return t.daemons[i].start() }

// CPU returns the processor time that the running daemons have used.
func (t *Tier) CPU() (time.Duration, error) {
	var sum time.Duration
	for _, d := range t.daemons {
		if !d.running() {
			continue
		}
		c, err := d.cpu()
		if err != nil {
			return 0, err
		}
		sum += c
	}
	return sum, nil
}

// Profile writes a CPU profile of daemon i over the given time to a file.
func (t *Tier) Profile(ctx context.Context, i int, span time.Duration, path string) error {
	url := fmt.Sprintf("http://%s/debug/pprof/profile?seconds=%d", t.daemons[i].operatorAddr, max(int(span.Seconds()), 1))
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := t.http.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return errors.Newf("%s: %s %v", url, resp.Status, err)
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	return os.WriteFile(path, data, fileMode)
}

// Stop terminates the tier and kills processes that do not end in time. The
// control VMs are stopped last, because daemons notify them when they stop. The
// error names each process that did not end on SIGTERM with exit status 0.
func (t *Tier) Stop() error {
	errs := t.stopDaemons(false)
	errs = errors.CombineErrors(errs, t.stopDaemons(true))
	errs = errors.CombineErrors(errs, t.Leaves.Stop())
	t.Kill()
	return errs
}

func (t *Tier) stopDaemons(control bool) error {
	var errs error
	var stopping []*daemon
	for _, d := range t.daemons {
		if d.control != control || !d.running() {
			continue
		}
		_ = d.sendSignal(syscall.SIGCONT)
		errs = errors.CombineErrors(errs, d.sendSignal(syscall.SIGTERM))
		stopping = append(stopping, d)
	}
	for _, d := range stopping {
		errs = errors.CombineErrors(errs, errors.Wrap(d.wait(stopTimeout), d.name))
	}
	return errs
}

// Kill kills every process of the tier.
func (t *Tier) Kill() {
	for _, d := range t.daemons {
		d.kill()
	}
	if t.Leaves != nil {
		t.Leaves.proc.kill()
	}
	_ = t.pool.Close()
	t.http.CloseIdleConnections()
}

func fileExists(path string) bool {
	_, err := os.Stat(path)
	return err == nil
}

// poll calls ok until it returns true or an error, or until limit has passed.
func poll(ctx context.Context, limit time.Duration, ok func() (bool, error)) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		done, err := ok()
		if done || err != nil {
			return err
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return errors.Newf("nothing after %v", limit)
		}
	}
}
