package tier

import (
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Limits of each process, so that an experiment does not exhaust the machine.
const (
	memoryLimit     = "GOMEMLIMIT=512MiB"
	standinMaxProcs = "GOMAXPROCS=8" // one process simulates many VMs
	fileMode        = 0o644
	killTimeout     = 10 * time.Second
	ticksPerSecond  = 100 // per second in /proc/PID/stat on Linux
)

// DaemonMaxProcs is the GOMAXPROCS of a daemon, because deployed daemons run on small VMs.
const DaemonMaxProcs = 2

// process is a program with its log file. It can be started again after it has ended.
type process struct {
	name string
	path string
	args []string
	env  []string
	log  string

	cmd  *exec.Cmd
	done chan struct{} // closed when the process has been waited for
	err  error         // set before done is closed
}

func (p *process) start() error {
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(p.path, p.args...)
	cmd.Env = append(os.Environ(), p.env...)
	cmd.Stdout, cmd.Stderr = out, out
	// The kernel kills the child when the experiment ends for any reason.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, p.name)
	}
	p.cmd = cmd
	done := make(chan struct{})
	p.done = done
	go func() {
		p.err = cmd.Wait()
		close(done)
	}()
	return nil
}

func (p *process) running() bool {
	if p.done == nil {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

func (p *process) sendSignal(s os.Signal) error {
	if !p.running() {
		return errors.Newf("%s does not run", p.name)
	}
	return p.cmd.Process.Signal(s)
}

// wait waits for the process to end and returns its exit error, or an error after limit.
func (p *process) wait(limit time.Duration) error {
	select {
	case <-p.done:
		return p.err
	case <-time.After(limit):
		return errors.Newf("%s has not ended after %v; see %s", p.name, limit, p.log)
	}
}

func (p *process) kill() {
	if !p.running() {
		return
	}
	_ = p.cmd.Process.Kill()
	_ = p.wait(killTimeout)
}

// cpu returns the processor time that the process has used.
func (p *process) cpu() (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	// The command name in parentheses may contain spaces, so parse the fields after it.
	_, rest, ok := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	const user, system = 11, 12
	if !ok || len(fields) <= system {
		return 0, errors.Newf("%s: unreadable stat", p.name)
	}
	var ticks int64
	for _, f := range []string{fields[user], fields[system]} {
		n, err := strconv.ParseInt(f, 10, 64)
		if err != nil {
			return 0, err
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / ticksPerSecond, nil
}
