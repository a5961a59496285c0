// Command pearmoor-standin runs simulated leaves for tests and experiments: all leaves
// that a settings tree declares, in one process.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"k8s.io/klog/v2"
)

func main() {
	app := kingpin.New("pearmoor-standin", "Stand-ins of the targets and the platform around a pearmoor tier.")
	app.DefaultEnvars()
	app.HelpFlag.Short('h')
	run := leavesCommand(app)
	kingpin.MustParse(app.Parse(os.Args[1:]))

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := run(ctx); err != nil {
		klog.Errorf("standin: %v", err)
		klog.Flush()
		os.Exit(1)
	}
	klog.Flush()
}
