// Package test causes the failures that the tier is meant to bear, with the real
// daemons as processes and stand-in leaves in this process, which count what was
// truly run.
package test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"go.uber.org/goleak"
)

// pearmoord is the daemon's program, built once for all tests.
var pearmoord string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "pearmoor-test-")
	if err == nil {
		pearmoord = filepath.Join(dir, "pearmoord")
		err = build(pearmoord)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "test: pearmoord was not built:", err)
		os.Exit(1)
	}
	goleak.VerifyTestMain(m,
		// The library's one ticker for all meters runs as long as the process.
		goleak.IgnoreTopFunction("github.com/rcrowley/go-metrics.(*meterArbiter).tick"),
		goleak.Cleanup(func(code int) {
			os.RemoveAll(dir)
			os.Exit(code)
		}))
}

// build makes the program as it is shipped.
func build(out string) error {
	cmd := exec.Command("go", "build", "-o", out, "pearmoor/cmd/pearmoord")
	cmd.Stdout, cmd.Stderr = os.Stderr, os.Stderr
	return cmd.Run()
}
