package ctl

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/briarturn/briarturn/internal/soak"
)

// soak plays seeds one after the other. A broken promise fails the command when all are
// played; the settings and logs of such a seed are kept.
func (t *tool) soak(ctx context.Context) error {
	a := t.args.Soak
	var reports []*soak.Report
	broken := 0
	for seed := a.Seed; seed < a.Seed+a.Seeds && ctx.Err() == nil; seed++ {
		report, err := t.soakSeed(ctx, seed)
		if err != nil {
			return err
		}
		if !t.args.JSON {
			if err := report.Write(t.env.Stdout); err != nil {
				return err
			}
		}
		reports = append(reports, report)
		broken += len(report.Violations)
	}
	err := t.print(reports, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "%d seeds, %d promises broken\n", len(reports), broken)
		return err
	})
	if err == nil && broken > 0 {
		err = errors.Annotatef(errCheck, "%d promises broken", broken)
	}
	return err
}

func (t *tool) soakSeed(ctx context.Context, seed uint64) (*soak.Report, error) {
	a := t.args.Soak
	dir := filepath.Join(a.Dir, fmt.Sprintf("seed-%d", seed))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, errors.Annotate(err, "step make directory")
	}
	log := logrus.New()
	log.SetOutput(t.env.Stderr)
	report, err := soak.Run(ctx, soak.Options{
		Seed: seed, For: a.For, Entries: a.Entries, Servers: a.Servers, Callers: a.Callers,
		Daemon: []string{a.Daemon}, Dir: dir, Log: log.WithField("seed", seed),
	})
	if errors.Is(err, soak.ErrOptions) {
		return nil, errors.WithType(err, errUsage)
	}
	if err == nil && len(report.Violations) == 0 && !a.Keep {
		err = os.RemoveAll(dir)
	}
	return report, errors.Annotatef(err, "step play seed %d", seed)
}
