// Command briarturnctl is the command-line tool for operators. It applies objects, shows
// the state of a fleet and sends load to it. Run briarturnctl --help for usage.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/briarturn/briarturn/internal/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := ctl.Main(ctx, os.Args[1:], ctl.Env{
		Stdin:    os.Stdin,
		Stdout:   os.Stdout,
		Stderr:   os.Stderr,
		Terminal: isTerminal(os.Stderr),
		Now:      time.Now,
	})
	stop()
	os.Exit(code)
}

func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
