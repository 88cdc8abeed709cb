// Package daemon implements the briarturnd command: it parses the command line,
// loads the settings, runs a role until it is stopped, and drains it.
package daemon

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/juju/errors"
)

// Exit codes.
const (
	ExitOK     = 0
	ExitFailed = 1 // the command failed, or a check of its result did
	ExitUsage  = 2 // invalid command line or settings file
)

// errUsage marks errors in the command line or the settings. They lead to ExitUsage.
const errUsage = errors.ConstError("usage")

type arguments struct {
	Run        *runCommand        `arg:"subcommand:run" help:"run a role from a settings file"`
	Check      *checkCommand      `arg:"subcommand:check" help:"check a settings file and print every error"`
	Dev        *devCommand        `arg:"subcommand:dev" help:"run the whole system with stand-ins in one process"`
	Chaos      *chaosCommand      `arg:"subcommand:chaos" help:"run the whole system under load and random faults, and report violated checks and invariants"`
	Experiment *experimentCommand `arg:"subcommand:experiment" help:"compare routing policies"`
	Standin    *standinCommand    `arg:"subcommand:standin" help:"run a stand-in of the platform, an engine or a service"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "briarturnd serves prompts of a thousand to a million tokens over one fleet of model engines."
}

// Epilogue implements arg.Epilogued.
func (arguments) Epilogue() string {
	return `Examples:
  briarturnd dev --load 20s                      the derwent example under load
  briarturnd dev --example atlas                 serve until interrupted
  briarturnd experiment --mix derwent            all policies at three loads
  briarturnd check entry.json                    print every error of a file
  briarturnd run entry.json                      an entry or an agent
  briarturnd standin engine --listen 127.0.0.1:9001

SIGTERM or an interrupt drains: requests in progress are not aborted before the
drain timeout. Exit codes: 0 ok, 1 failed, 2 invalid command line or settings.`
}

type checkCommand struct {
	File string `arg:"positional,required"`
}

type runCommand struct {
	File string `arg:"positional,required,env:BRIARTURN_BOOT" help:"settings file"`
}

// env holds the output streams of a command.
type env struct {
	out, err io.Writer
}

// Main runs the command given by args until it finishes or ctx ends, and returns
// the exit code.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var parsed arguments
	parser, err := arg.NewParser(arg.Config{Program: "briarturnd"}, &parsed)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	err = parser.Parse(args)
	switch {
	case errors.Is(err, arg.ErrHelp):
		parser.WriteHelp(stdout)
		return ExitOK
	case err == nil && parser.Subcommand() == nil:
		err = errors.New("missing command")
		fallthrough
	case err != nil:
		parser.WriteUsage(stderr)
		fmt.Fprintln(stderr, "error:", err)
		return ExitUsage
	}
	return exitCode(dispatch(ctx, &parsed, env{stdout, stderr}), stderr)
}

func dispatch(ctx context.Context, a *arguments, e env) error {
	switch {
	case a.Run != nil:
		return a.Run.run(ctx, e)
	case a.Check != nil:
		return a.Check.run(e)
	case a.Dev != nil:
		return a.Dev.run(ctx, e)
	case a.Experiment != nil:
		return a.Experiment.run(ctx, e)
	case a.Chaos != nil:
		return a.Chaos.run(ctx, e)
	}
	return a.Standin.run(ctx, e)
}

func exitCode(err error, stderr io.Writer) int {
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(stderr, "error:", err)
	if errors.Is(err, errUsage) {
		return ExitUsage
	}
	return ExitFailed
}

// drainContext returns a context that limits a drain. It is not derived from the
// context whose end starts the drain.
func drainContext(timeout time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), timeout)
}
