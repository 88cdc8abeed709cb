package ctl

import (
	"context"
	"encoding/json"
	"io"
	"os"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/internal/load"
)

// pairReport is the output of load --slowdown.
type pairReport struct {
	Slowdown load.Slowdown `json:"slowdown"`
	Alone    *load.Report  `json:"alone"`
	Mixed    *load.Report  `json:"mixed"`
}

func (t *tool) load(ctx context.Context) error {
	o, err := t.loadOptions()
	if err != nil {
		return errors.Trace(err)
	}
	if c := t.args.Load; c.Slowdown || len(c.Quiet) > 0 {
		return t.loadPair(ctx, o, load.Subset{Short: c.Slowdown, Workspaces: c.Quiet})
	}
	rep, err := load.Run(ctx, o)
	if err != nil {
		return errors.Trace(err)
	}
	rep.Short = nil
	if err := t.print(rep, rep.WriteTable); err != nil {
		return errors.Trace(err)
	}
	return checkWhole(rep.Whole())
}

func (t *tool) loadPair(ctx context.Context, o load.Options, part load.Subset) error {
	alone, mixed, slow, err := load.RunPair(ctx, o, part)
	if err != nil {
		return errors.Trace(err)
	}
	alone.Short, mixed.Short = nil, nil
	err = t.print(pairReport{Slowdown: slow, Alone: alone, Mixed: mixed}, func(w io.Writer) error {
		for _, rep := range []*load.Report{alone, mixed} {
			if err := rep.WriteTable(w); err != nil {
				return errors.Trace(err)
			}
		}
		slow.WriteText(w)
		return nil
	})
	if err != nil {
		return errors.Trace(err)
	}
	return checkWhole(alone.Whole() && mixed.Whole())
}

func checkWhole(whole bool) error {
	if whole {
		return nil
	}
	return errors.Annotate(errCheck, "some answers were lost, cut, doubled, reordered or crossed, or some requests not sent")
}

func (t *tool) loadOptions() (load.Options, error) {
	c := t.args.Load
	mix, err := load.LoadMix(c.Mix)
	if err != nil {
		return load.Options{}, errors.Trace(err)
	}
	if c.Model != "" {
		mix.Model = c.Model
	}
	o := load.Options{
		Targets:  c.Target,
		Mix:      mix,
		Rate:     c.Rate,
		For:      c.For,
		Seed:     c.Seed,
		Direct:   c.Direct,
		Only:     load.Subset{Short: c.ShortOnly},
		InFlight: c.InFlight,
		Fleet:    c.fleet(),
		Progress: t.progress(),
	}
	if c.Factor == 0 {
		return o, nil
	}
	if c.Rate != 0 || o.Fleet.Engines <= 0 || o.Fleet.PrefillRate <= 0 || o.Fleet.DecodeRate <= 0 {
		return o, errors.Annotate(errUsage, "--factor excludes --rate and needs --engines, --prefill-rate, --decode-rate")
	}
	o.Rate = mix.Rate(o.Fleet, c.Factor)
	return o, nil
}

func (f *fleetOptions) fleet() load.Fleet {
	return load.Fleet{
		Engines:      f.Engines,
		PrefillRate:  f.PrefillRate,
		DecodeRate:   f.DecodeRate,
		MemoryTokens: f.MemoryTokens,
	}
}

func (t *tool) experiment(ctx context.Context) error {
	data, err := os.ReadFile(t.args.Experiment.File)
	if err != nil {
		return errors.WithType(errors.Annotate(err, "step read experiment"), errUsage)
	}
	var e load.Experiment
	if err := json.Unmarshal(data, &e); err != nil {
		return errors.WithType(errors.Annotate(err, "step decode experiment"), errUsage)
	}
	rep, err := e.Run(ctx, t.progress())
	if err != nil {
		return errors.Trace(err)
	}
	if err := t.print(rep, rep.WriteTable); err != nil {
		return errors.Trace(err)
	}
	return checkWhole(rep.Whole())
}
