package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/examples"
	"github.com/briarturn/briarturn/internal/dev"
	"github.com/briarturn/briarturn/internal/load"
	"github.com/briarturn/briarturn/invariant"
)

// devStartTimeout limits the start of the dev fleet, devDrainTimeout its drain.
const (
	devStartTimeout = 30 * time.Second
	devDrainTimeout = 30 * time.Second
)

type devCommand struct {
	Example  string        `arg:"--example" default:"derwent" help:"example to run: derwent or atlas"`
	Load     time.Duration `arg:"--load" help:"send the example's request mix for this long, print the report and exit"`
	Rate     float64       `arg:"--rate" default:"40" help:"requests/s with --load"`
	Seed     uint64        `arg:"--seed" default:"1"`
	Entries  int           `arg:"--entries" default:"3"`
	Speed    float64       `arg:"--speed" default:"8" help:"factor by which the stand-in engines exceed their declared rates"`
	Policy   string        `arg:"--policy" help:"routing policy of the entries: cost, round-robin or least-load"`
	Listen   string        `arg:"--listen" default:"127.0.0.1:8080" help:"address of the first entry; ignored with --load, which takes a free port"`
	JSON     bool          `arg:"--json" help:"print JSON"`
	LogLevel string        `arg:"--log-level" default:"warning"`
}

// run starts the fleet and either sends load to it or serves until ctx ends.
func (c *devCommand) run(ctx context.Context, e env) error {
	invariant.SetPanic(true)
	objects, err := examples.Objects(c.Example)
	if err != nil {
		return errors.WithType(err, errUsage)
	}
	log, err := newLogger(e.err, c.LogLevel, "text")
	if err != nil {
		return err
	}
	cfg := dev.Config{Objects: objects, Entries: c.Entries, Policy: c.Policy, Speed: c.Speed, FirstAddress: c.Listen, Log: log}
	if c.Load > 0 {
		cfg.FirstAddress = ""
	}
	startCtx, cancel := context.WithTimeout(ctx, devStartTimeout)
	defer cancel()
	fleet, err := dev.Start(startCtx, cfg)
	if err != nil {
		return err
	}
	defer fleet.Close()
	if c.Load > 0 {
		return c.load(ctx, e, fleet)
	}
	return c.serve(ctx, e, fleet)
}

func (c *devCommand) serve(ctx context.Context, e env, fleet *dev.Fleet) error {
	for i, n := range fleet.Entries {
		fmt.Fprintf(e.out, "entry %d: http://%s  admin http://%s\n", i+1, n.Address(), n.AdminAddress())
	}
	fmt.Fprintf(e.out, "%d backend servers; interrupt to drain and stop\n", len(fleet.Backends))
	<-ctx.Done()
	drainCtx, cancel := drainContext(devDrainTimeout)
	defer cancel()
	return fleet.Drain(drainCtx)
}

// load sends the example's request mix, prints the report and drains the fleet.
// It returns an error if checkLoadRun does.
func (c *devCommand) load(ctx context.Context, e env, fleet *dev.Fleet) error {
	mix, err := load.LoadMix(c.Example)
	if err != nil {
		return errors.WithType(err, errUsage)
	}
	options := load.Options{Targets: fleet.Targets(), Mix: mix, Rate: c.Rate, For: c.Load, Seed: c.Seed, Fleet: fleet.Size()}
	if info, err := os.Stderr.Stat(); err == nil && info.Mode()&os.ModeCharDevice != 0 {
		options.Progress = e.err
	}
	report, err := load.Run(ctx, options)
	if err != nil {
		return err
	}
	if err := c.print(e, report); err != nil {
		return err
	}
	drainCtx, cancel := drainContext(devDrainTimeout)
	defer cancel()
	if err := fleet.Drain(drainCtx); err != nil {
		return err
	}
	return checkLoadRun(fleet, report)
}

func (c *devCommand) print(e env, report *load.Report) error {
	if c.JSON {
		encoder := json.NewEncoder(e.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(report)
	}
	return report.WriteTable(e.out)
}

// checkLoadRun returns an error if an answer was lost, doubled or crossed, a
// non-idempotent call ran more than once, or an invariant was violated.
func checkLoadRun(fleet *dev.Fleet, report *load.Report) error {
	if !report.Whole() {
		return errors.New("an answer was lost, doubled or crossed: see the table")
	}
	if n := fleet.DoubleRuns(); n > 0 {
		return errors.Errorf("%d non-idempotent calls ran twice", n)
	}
	for _, count := range invariant.Counts() {
		if count.Violated > 0 {
			return errors.Errorf("invariant %s violated %d times", count.Name, count.Violated)
		}
	}
	return nil
}
