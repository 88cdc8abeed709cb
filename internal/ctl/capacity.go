package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/internal/capacity"
)

type capacityCommand struct {
	Measure bool   `arg:"--measure" help:"measure the slopes here and print them as JSON"`
	Slopes  string `arg:"--slopes" placeholder:"FILE" help:"slopes that --measure printed"`
	Sweep   string `arg:"--sweep" placeholder:"FILE" help:"figures of a sweep, for its part of --page"`
	Fleet   string `arg:"--fleet" default:"letter" help:"letter, derwent or atlas"`
	Page    string `arg:"--page" placeholder:"FILE" help:"rewrite the printed part of this page, all fleets"`
}

// capacity measures slopes, or prints what follows from them.
func (t *tool) capacity(ctx context.Context) error {
	c := t.args.Capacity
	if c.Measure {
		return t.measureSlopes(ctx)
	}
	if c.Sweep != "" {
		return rewriteSweep(c)
	}
	if c.Slopes == "" {
		return errors.Annotate(errUsage, "capacity needs --measure, --slopes or --sweep")
	}
	slopes, err := capacity.ReadSlopes(c.Slopes)
	if err != nil {
		return errors.WithType(err, errUsage)
	}
	if c.Page != "" {
		return errors.Trace(capacity.RewritePage(c.Page, slopes))
	}
	fleet, err := capacity.FleetNamed(c.Fleet)
	if err != nil {
		return errors.WithType(err, errUsage)
	}
	page := capacity.Compute(fleet, slopes)
	return t.print(page, page.WriteMarkdown)
}

// rewriteSweep prints a sweep's part of a page anew.
func rewriteSweep(c *capacityCommand) error {
	if c.Page == "" {
		return errors.Annotate(errUsage, "capacity --sweep needs --page")
	}
	sweep, err := capacity.ReadSweep(c.Sweep)
	if err != nil {
		return errors.WithType(err, errUsage)
	}
	return errors.Trace(capacity.RewriteSweep(c.Page, sweep))
}

func (t *tool) measureSlopes(ctx context.Context) error {
	progress := t.progress()
	slopes, err := capacity.Measure(ctx, func(l capacity.Line) {
		if progress != nil {
			fmt.Fprintf(progress, "%s %.3g + %.3g x, residual %.1f%%\n", l.Name, l.Intercept, l.Slope, 100*l.Residual)
		}
	})
	if err != nil {
		return errors.Trace(err)
	}
	return t.print(slopes, func(w io.Writer) error {
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		return enc.Encode(slopes)
	})
}
