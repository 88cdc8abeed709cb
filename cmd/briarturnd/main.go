// Command briarturnd is the daemon. It runs a role from a settings file, the whole system
// in one process, or a stand-in for the platform, an engine or a service. It also checks
// settings files and runs chaos tests and experiments. Run briarturnd --help for usage.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/briarturn/briarturn/internal/daemon"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := daemon.Main(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
