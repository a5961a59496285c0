// Command pearmoor is the command-line tool for operators of a tier: it edits and
// reads the tree of settings, shows the tier's state, and sends queries as a caller
// does.
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
