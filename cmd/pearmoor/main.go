// Command pearmoor is the operators' tool: it edits and reads the tree of
// settings of a tier, shows its state, and asks queries as a caller would.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"pearmoor/internal/cli"
)

// version is set by the linker: -ldflags "-X main.version=...".
var version = "development"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(cli.Run(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr, version))
}
