// Package test injects the failures that the tier must tolerate. It runs the real
// daemons as processes, and stand-in leaves in the test process that count the
// requests they have run.
package test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"go.uber.org/goleak"
)

// daemonPath is the path of the pearmoord binary, built once for all tests.
var daemonPath string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "pearmoor-test-")
	if err == nil {
		daemonPath = filepath.Join(dir, "pearmoord")
		err = buildDaemon(daemonPath)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "test: building pearmoord failed:", err)
		os.Exit(1)
	}
	goleak.VerifyTestMain(m,
		// go-metrics runs one ticker goroutine for all meters until the process exits.
		goleak.IgnoreTopFunction("github.com/rcrowley/go-metrics.(*meterArbiter).tick"),
		goleak.Cleanup(func(code int) {
			os.RemoveAll(dir)
			os.Exit(code)
		}))
}

// buildDaemon builds pearmoord with the default build options, as for a release.
func buildDaemon(out string) error {
	cmd := exec.Command("go", "build", "-o", out, "pearmoor/cmd/pearmoord")
	cmd.Stdout, cmd.Stderr = os.Stderr, os.Stderr
	return cmd.Run()
}
