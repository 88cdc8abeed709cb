package daemon

import (
	"context"
	"time"

	"github.com/briarturn/briarturn/internal/dev"
	"github.com/briarturn/briarturn/internal/load"
	"github.com/briarturn/briarturn/invariant"
	"github.com/briarturn/briarturn/routing"
	"github.com/juju/errors"
)

type experimentCommand struct {
	Policies    []string      `arg:"--policy,separate" help:"cost, round-robin, least-load, or direct to bypass the system and send to the engines in turn; repeatable, default all"`
	Mixes       []string      `arg:"--mix,separate" help:"request mix: derwent, atlas or derwent-flood; repeatable, default the first two"`
	Factors     []float64     `arg:"--factor,separate" help:"offered load divided by the fleet's capacity; repeatable, default 0.5, 0.8 and 1.1"`
	For         time.Duration `arg:"--for" default:"30s" help:"duration of each of the two runs of a case"`
	Seed        uint64        `arg:"--seed" default:"7"`
	PrefillRate float64       `arg:"--prefill-rate" default:"40000" help:"prefill tokens/s of an engine"`
	Chunk       int           `arg:"--chunk" default:"512" help:"prefill tokens per engine step"`
	Flood       bool          `arg:"--flood" help:"in the first run, send the requests of all workspaces except the first instead of the short requests"`
	Detail      bool          `arg:"--detail" help:"print the full report and the counters of each case"`
	LogLevel    string        `arg:"--log-level" default:"error"`
}

// run compares routing policies and runs each case on its own fleet.
func (c *experimentCommand) run(ctx context.Context, e env) error {
	invariant.SetPanic(true)
	log, err := newLogger(e.err, c.LogLevel, "text")
	if err != nil {
		return err
	}
	x := dev.DefaultExperiment()
	x.For, x.Seed, x.Flood, x.Log = c.For, c.Seed, c.Flood, log
	x.Engine.PrefillRate, x.Engine.ChunkTokens = c.PrefillRate, c.Chunk
	if len(c.Policies) > 0 {
		x.Policies = c.Policies
	}
	if len(c.Mixes) > 0 {
		x.Mixes = c.Mixes
	}
	if len(c.Factors) > 0 {
		x.Factors = c.Factors
	}
	if c.Detail {
		x.Detail = e.out
	}
	if err := checkExperiment(&x); err != nil {
		return errors.WithType(err, errUsage)
	}
	cases, err := x.Run(ctx, e.out)
	if err != nil {
		return err
	}
	for i := range cases {
		if !cases[i].Mixed.Whole() || !cases[i].Alone.Whole() {
			return errors.New("an answer was lost, doubled or crossed: see column bad")
		}
	}
	return nil
}

func checkExperiment(x *dev.Experiment) error {
	for _, p := range x.Policies {
		if p == dev.PolicyDirect {
			continue
		}
		if _, err := routing.New(p, routing.Options{}); err != nil {
			return err
		}
	}
	for _, m := range x.Mixes {
		if _, err := load.LoadMix(m); err != nil {
			return err
		}
	}
	for _, f := range x.Factors {
		if !(f > 0) {
			return errors.NotValidf("factor %v", f)
		}
	}
	if x.For <= 0 || !(x.Engine.PrefillRate > 0) || x.Engine.ChunkTokens <= 0 {
		return errors.NotValidf("duration, prefill rate or chunk size of 0 or less")
	}
	return nil
}
