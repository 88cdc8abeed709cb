package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/juju/errors"

	"github.com/briarturn/briarturn/internal/admin"
	"github.com/briarturn/briarturn/objectapi"
	"github.com/briarturn/briarturn/platform"
)

// The tool's own limits on the object API; a person waits for it.
const (
	readsPerSecond  = 200
	writesPerSecond = 100
)

// Env is what the tool needs of its surroundings.
type Env struct {
	Stdin    io.Reader
	Stdout   io.Writer
	Stderr   io.Writer
	Terminal bool // Stderr is a terminal: progress lines are welcome
	Now      func() time.Time
	// Store, if set, is used in place of the object API at --platform.
	Store objectapi.Store
}

// Main runs one command line, without the program's name, and returns the exit
// code.
func Main(ctx context.Context, argv []string, env Env) int {
	var args arguments
	if done, code := parse(argv, &args, env); done {
		return code
	}
	t := &tool{args: &args, env: env}
	err := t.run(ctx)
	if err != nil {
		fmt.Fprintf(env.Stderr, "briarturnctl: %v\n", err)
	}
	return exitCode(err)
}

func parse(argv []string, args *arguments, env Env) (done bool, code int) {
	p, err := arg.NewParser(arg.Config{Program: "briarturnctl"}, args)
	if err != nil {
		fmt.Fprintf(env.Stderr, "briarturnctl: %v\n", err)
		return true, ExitUsage
	}
	err = p.Parse(argv)
	switch {
	case errors.Is(err, arg.ErrHelp):
		writeHelp(p, env.Stdout)
		return true, ExitOK
	case err == nil && p.Subcommand() == nil:
		err = errors.New("a command is required")
	case err == nil && args.Report != nil && args.Report.Burn == nil:
		err = errors.New("report needs one of: burn")
	}
	if err != nil {
		_ = p.WriteUsageForSubcommand(env.Stderr, p.SubcommandNames()...)
		fmt.Fprintf(env.Stderr, "briarturnctl: %v\n", err)
		return true, ExitUsage
	}
	return false, ExitOK
}

// writeHelp prints the help of the command that was named, with its examples
// alone where there is one.
func writeHelp(p *arg.Parser, w io.Writer) {
	names := p.SubcommandNames()
	if len(names) == 0 {
		p.WriteHelp(w)
		return
	}
	var help bytes.Buffer
	// Fails only for names that the parser didn't give.
	_ = p.WriteHelpForSubcommand(&help, names...)
	text, _, _ := strings.Cut(help.String(), "\nExamples:\n")
	fmt.Fprintf(w, "%s\nExamples:\n%s", text, examples[names[0]])
}

// tool is one run of the program.
type tool struct {
	args *arguments
	env  Env
}

func (t *tool) run(ctx context.Context) error {
	a := t.args
	switch {
	case a.Watch != nil:
		return t.watch(ctx)
	case a.Load != nil:
		return t.load(ctx)
	case a.Soak != nil:
		return t.soak(ctx)
	case a.Capacity != nil:
		return t.capacity(ctx)
	case a.Explain != nil:
		return t.explain()
	case a.Summary != nil:
		return t.summary()
	case a.Experiment != nil:
		return t.experiment(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	switch {
	case a.Apply != nil:
		return t.apply(ctx)
	case a.Get != nil:
		return t.get(ctx)
	case a.Status != nil:
		return t.status(ctx)
	case a.Drain != nil:
		return t.drain(ctx)
	case a.Parts != nil:
		return t.parts(ctx)
	case a.Evacuate != nil:
		return t.evacuate(ctx)
	}
	return t.burn(ctx)
}

// store returns the object API.
func (t *tool) store() (objectapi.Store, error) {
	if t.env.Store != nil {
		return t.env.Store, nil
	}
	if t.args.Platform == "" {
		return nil, errors.Annotate(errUsage, "--platform or BRIARTURN_PLATFORM is required")
	}
	base := t.args.Platform
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	c, err := platform.NewStoreClient(platform.StoreConfig{
		BaseURL:         base,
		ReadsPerSecond:  readsPerSecond,
		WritesPerSecond: writesPerSecond,
	})
	if err != nil {
		return nil, errors.WithType(err, errUsage)
	}
	return c, nil
}

// admins returns a client for each admin address.
func (t *tool) admins() ([]*admin.Client, error) {
	var out []*admin.Client
	for _, address := range t.args.Admin {
		out = append(out, admin.NewClient(address))
	}
	if len(out) == 0 {
		return nil, errors.Annotate(errUsage, "--admin or BRIARTURN_ADMIN is required")
	}
	return out, nil
}

func (t *tool) progress() io.Writer {
	if t.env.Terminal {
		return t.env.Stderr
	}
	return nil
}

// print writes v as JSON, or calls text.
func (t *tool) print(v any, text func(io.Writer) error) error {
	if !t.args.JSON {
		return errors.Trace(text(t.env.Stdout))
	}
	enc := json.NewEncoder(t.env.Stdout)
	enc.SetIndent("", "  ")
	return errors.Annotate(enc.Encode(v), "step print")
}
