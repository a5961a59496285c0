package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"pearmoor/internal/freeport"
)

const (
	startTimeout = 2 * time.Minute
	stopTimeout  = 30 * time.Second
	pollInterval = 20 * time.Millisecond
	// startInterval spaces the starts of processes, so that they do not starve those that already run.
	startInterval = 15 * time.Millisecond
)

// daemon is one pearmoord process.
type daemon struct {
	name         string
	cmd          *exec.Cmd
	done         chan struct{} // closed when the process has ended
	peerAddr     string        // host:port
	operatorAddr string        // host:port
}

// tier is a running tier.
type tier struct {
	dir      string
	opt      *options
	controls []*daemon
	entries  []*daemon
}

// startTier starts the control VMs and then size entries, and waits until all entries serve callers.
func startTier(ctx context.Context, opt *options, size int) (*tier, error) {
	dir, err := os.MkdirTemp("", "pearmoor-control-")
	if err != nil {
		return nil, err
	}
	t := &tier{dir: dir, opt: opt}
	if err := t.startControls(ctx); err != nil {
		return t, err
	}
	for i := range size {
		d, err := t.startDaemon(fmt.Sprintf("entry-%03d", i), i, nil)
		if err != nil {
			return t, err
		}
		t.entries = append(t.entries, d)
		time.Sleep(startInterval)
	}
	for _, d := range t.entries {
		if err := t.waitReady(ctx, d); err != nil {
			return t, err
		}
	}
	return t, t.waitServing(ctx)
}

func (t *tier) startControls(ctx context.Context) error {
	addrs, err := freeport.Addrs("127.0.0.1", t.opt.controlVMs)
	if err != nil {
		return err
	}
	var voters []string
	for i, addr := range addrs {
		voters = append(voters, fmt.Sprintf("--bootstrap-voter=%d=%s", i+1, addr))
	}
	for i, addr := range addrs {
		flags := append([]string{
			"--no-entry", "--control-id=" + strconv.Itoa(i+1), "--bootstrap", "--peer-listen=" + addr,
			"--data-dir=" + filepath.Join(t.dir, "control-"+strconv.Itoa(i+1)),
		}, voters...)
		d, err := t.startDaemon(fmt.Sprintf("control-%d", i+1), i, flags)
		if err != nil {
			return err
		}
		t.controls = append(t.controls, d)
	}
	for _, d := range t.controls {
		if err := t.waitReady(ctx, d); err != nil {
			return err
		}
	}
	return nil
}

// startDaemon starts one pearmoord. If flags is nil, it is an entry of the tier.
func (t *tier) startDaemon(name string, index int, flags []string) (*daemon, error) {
	args := append([]string{
		"--name=" + name, "--region=valley", fmt.Sprintf("--domain=hall-%d", index%3), "--plaintext-peers",
		"--operator-listen=127.0.0.1:0", "--ready-file=" + t.readyFile(name),
	}, flags...)
	if flags == nil {
		args = append(args, "--peer-listen=127.0.0.1:0", "--caller-listen=127.0.0.1:0", "--control="+t.controlAddrs())
	}
	if t.opt.relayAbove > 0 {
		args = append(args, "--relay-above="+strconv.Itoa(t.opt.relayAbove))
	}
	if t.opt.relayFanout > 0 {
		args = append(args, "--relay-fanout="+strconv.Itoa(t.opt.relayFanout))
	}
	log, err := os.Create(filepath.Join(t.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	d := &daemon{name: name, cmd: exec.Command(filepath.Join(t.opt.bin, "pearmoord"), args...), done: make(chan struct{})}
	d.cmd.Stdout, d.cmd.Stderr = log, log
	// The kernel kills the process when the experiment ends for any reason.
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	d.cmd.Env = append(os.Environ(), "GOMAXPROCS=2")
	if err := d.cmd.Start(); err != nil {
		return nil, errors.Wrap(err, name)
	}
	go func() {
		_ = d.cmd.Wait()
		close(d.done)
	}()
	return d, nil
}

func (t *tier) controlAddrs() string {
	addrs := make([]string, len(t.controls))
	for i, d := range t.controls {
		addrs[i] = d.peerAddr
	}
	return strings.Join(addrs, ",")
}

func (t *tier) readyFile(name string) string { return filepath.Join(t.dir, name+".json") }

// waitReady waits for the daemon's ready file and reads the bound addresses from it.
func (t *tier) waitReady(ctx context.Context, d *daemon) error {
	return waitFor(ctx, d, func() bool {
		body, err := os.ReadFile(t.readyFile(d.name))
		if err != nil {
			return false
		}
		var bound struct{ Peer, Operator string }
		if json.Unmarshal(body, &bound) != nil {
			return false
		}
		d.peerAddr, d.operatorAddr = bound.Peer, bound.Operator
		return true
	})
}

// waitServing waits until every entry is ready for callers.
func (t *tier) waitServing(ctx context.Context) error {
	for _, d := range t.entries {
		err := waitFor(ctx, d, func() bool {
			resp, err := http.Get("http://" + d.operatorAddr + "/readyz")
			if err != nil {
				return false
			}
			defer resp.Body.Close()
			return resp.StatusCode == http.StatusOK
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func waitFor(ctx context.Context, d *daemon, done func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for !done() {
		select {
		case <-d.done:
			return errors.Newf("%s ended early", d.name)
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "waiting for %s", d.name)
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// stop terminates the entries and then the control VMs, and removes the folder. It
// kills processes that do not end within stopTimeout.
func (t *tier) stop() {
	for _, ds := range [][]*daemon{t.entries, t.controls} {
		for _, d := range ds {
			_ = d.cmd.Process.Signal(syscall.SIGTERM)
		}
		limit := time.After(stopTimeout)
		for _, d := range ds {
			select {
			case <-d.done:
			case <-limit:
				_ = d.cmd.Process.Kill()
				<-d.done
			}
		}
	}
	_ = os.RemoveAll(t.dir)
}
