package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/internal/chaos"
	"github.com/briarturn/briarturn/invariant"
)

type chaosCommand struct {
	For      time.Duration `arg:"--for" default:"60s" help:"how long to inject faults and send load"`
	Seed     uint64        `arg:"--seed" help:"random seed of faults and load, generated if not given; always printed"`
	Faults   []string      `arg:"--fault,separate" help:"kind of fault to inject; repeatable, default all"`
	Rate     float64       `arg:"--rate" default:"30" help:"prompts/s, and also probe calls/s"`
	JSON     bool          `arg:"--json" help:"print JSON"`
	LogLevel string        `arg:"--log-level" default:"error"`
}

// run makes one chaos run and returns an error if a check or an invariant was
// violated.
func (c *chaosCommand) run(ctx context.Context, e env) error {
	log, err := newLogger(e.err, c.LogLevel, "text")
	if err != nil {
		return err
	}
	if c.Seed == 0 {
		c.Seed = uint64(time.Now().UnixNano())
	}
	fmt.Fprintln(e.err, "seed", c.Seed)
	invariant.SetPanic(false) // violations are counted and the run continues
	report, err := chaos.Run(ctx, chaos.Options{
		Seed: c.Seed, For: c.For, Faults: c.Faults, Rate: c.Rate, Calls: c.Rate, Log: log,
	})
	if errors.Is(err, chaos.ErrOptions) {
		return errors.WithType(err, errUsage)
	}
	if err != nil {
		return err
	}
	if err := c.print(e, report); err != nil {
		return err
	}
	if n := report.Violations(); n > 0 {
		return errors.Errorf("%d violations, seed %d", n, c.Seed)
	}
	return nil
}

func (c *chaosCommand) print(e env, report *chaos.Report) error {
	if !c.JSON {
		return report.WriteTable(e.out)
	}
	encoder := json.NewEncoder(e.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(report)
}
