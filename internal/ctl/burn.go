package ctl

import (
	"context"
	"io"
	"os"
	"sync"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/internal/admin"
	"github.com/briarturn/briarturn/slo"
)

// burn reports the service-level burn of all entries. One that is out of reach
// fails the command: a report that leaves an entry out looks better than the
// service is.
func (t *tool) burn(ctx context.Context) error {
	c := t.args.Report.Burn
	levels, err := t.levels(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	clients, err := t.admins()
	if err != nil {
		return errors.Trace(err)
	}
	snaps, err := askSLO(ctx, clients)
	if err != nil {
		return errors.Trace(err)
	}
	rep, err := slo.NewReport(levels, snaps, t.env.Now())
	if err != nil {
		return errors.Trace(err)
	}
	if err := t.print(rep, rep.WriteTable); err != nil {
		return errors.Trace(err)
	}
	if err := firstOf(writeFile(c.HTML, rep.WriteHTML), writeFile(c.SVG, rep.WriteSVG)); err != nil {
		return errors.Trace(err)
	}
	if c.Check && rep.State() == slo.StatePage {
		return errors.Annotate(errCheck, "a service level is at page")
	}
	return nil
}

func askSLO(ctx context.Context, clients []*admin.Client) ([]slo.Snapshot, error) {
	snaps := make([]slo.Snapshot, len(clients))
	errs := make([]error, len(clients))
	var asked sync.WaitGroup
	for i, c := range clients {
		asked.Go(func() { snaps[i], errs[i] = c.SLO(ctx) })
	}
	asked.Wait()
	return snaps, errors.Trace(firstOf(errs...))
}

func writeFile(path string, write func(io.Writer) error) error {
	if path == "" {
		return nil
	}
	f, err := os.Create(path)
	if err != nil {
		return errors.Annotate(err, "step write report")
	}
	err = write(f)
	return errors.Annotatef(firstOf(err, f.Close()), "step write %s", path)
}
