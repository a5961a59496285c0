package tier

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"syscall"

	"pearmoor/internal/settings"
)

// Leaves is a running pearmoor-standin process, which simulates all leaves.
type Leaves struct {
	URL  string         // of its control and statistics interface
	Tree *settings.Tree // with the addresses that the leaves listen on
	proc *process
}

// StartLeaves starts the leaves of cfg.Tree.
func StartLeaves(ctx context.Context, cfg Config) (*Leaves, error) {
	if err := Build(ctx, cfg.Dir, leavesProgram); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp(cfg.Dir, "leaves-")
	if err != nil {
		return nil, err
	}
	treeFile, realTreeFile, readyFile := filepath.Join(dir, "tree.yaml"), filepath.Join(dir, "real.yaml"), filepath.Join(dir, "ready")
	if err := os.WriteFile(treeFile, []byte(cfg.Tree), fileMode); err != nil {
		return nil, err
	}
	l := &Leaves{proc: &process{
		name: "leaves",
		path: filepath.Join(cfg.Dir, "bin", leavesProgram),
		args: append([]string{"leaves", "--tree=" + treeFile, "--out=" + realTreeFile, "--ready-file=" + readyFile}, cfg.StandinFlags...),
		env:  []string{memoryLimit, standinMaxProcs},
		log:  filepath.Join(dir, "leaves.log"),
	}}
	if err := l.proc.start(); err != nil {
		return nil, err
	}
	if err := l.awaitReady(ctx, realTreeFile, readyFile); err != nil {
		l.proc.kill()
		return nil, err
	}
	return l, nil
}

func (l *Leaves) awaitReady(ctx context.Context, treeFile, readyFile string) error {
	if err := poll(ctx, startTimeout, func() (bool, error) { return fileExists(readyFile), checkRunning(l.proc) }); err != nil {
		return err
	}
	control, err := os.ReadFile(readyFile)
	if err != nil {
		return err
	}
	l.URL = strings.TrimSpace(string(control))
	text, err := os.ReadFile(treeFile)
	if err != nil {
		return err
	}
	l.Tree, err = settings.ParseFile(text)
	return err
}

// Stop terminates the process with SIGTERM and waits for it.
func (l *Leaves) Stop() error {
	if !l.proc.running() {
		return nil
	}
	if err := l.proc.sendSignal(syscall.SIGTERM); err != nil {
		return err
	}
	return l.proc.wait(stopTimeout)
}
