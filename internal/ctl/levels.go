package ctl

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/declared"
	"github.com/briarturn/briarturn/objectapi"
	"github.com/briarturn/briarturn/request"
	"github.com/briarturn/briarturn/slo"
)

// levels returns the service levels to report on: those of a file if one was
// named, else the ServiceLevel objects.
func (t *tool) levels(ctx context.Context) ([]slo.Level, error) {
	if path := t.args.Report.Burn.Levels; path != "" {
		return readLevels(path)
	}
	store, err := t.store()
	if err != nil {
		return nil, errors.Trace(err)
	}
	l, err := store.List(ctx, declared.KindServiceLevel, "")
	if err != nil {
		return nil, errors.Annotatef(err, "step list %s", declared.KindServiceLevel)
	}
	var out []slo.Level
	for _, o := range l.Objects {
		levels, err := levelsOf(o)
		if err != nil {
			return nil, errors.Trace(err)
		}
		out = append(out, levels...)
	}
	return out, nil
}

func readLevels(path string) ([]slo.Level, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.WithType(errors.Annotate(err, "step read levels"), errUsage)
	}
	var levels []slo.Level
	if err := json.Unmarshal(data, &levels); err != nil {
		return nil, errors.WithType(errors.Annotatef(err, "step decode %s", path), errUsage)
	}
	return levels, nil
}

// levelsOf returns one level for each measure that an object sets a target for.
func levelsOf(o objectapi.Object) ([]slo.Level, error) {
	spec, err := declared.Decode(o.Kind, o.Data)
	if err != nil {
		return nil, errors.Annotatef(err, "step decode %s/%s", o.Kind, o.Name)
	}
	sl, ok := spec.(*declared.ServiceLevel)
	if !ok {
		return nil, errors.Errorf("step decode %s/%s: not a service level", o.Kind, o.Name)
	}
	class, _ := declared.ParseLengthClass(sl.Class) // Decode has checked it
	level := func(measure string) slo.Level {
		objective := slo.ObjectiveName(o.Name, measure)
		return slo.Level{
			Name:       objective,
			Workspace:  sl.Workspace,
			Classes:    []request.Class{class},
			Objective:  objective,
			Target:     sl.Objective,
			AlertRules: pairsOf(sl.AlertRules),
		}
	}
	out := []slo.Level{level(slo.MeasureTTFT)}
	if sl.InterToken > 0 {
		out = append(out, level(slo.MeasureInterToken))
	}
	return out, nil
}

// pairsOf makes the pair that takes the fastest burn the one that pages.
func pairsOf(windows []declared.AlertRule) []slo.AlertRule {
	var fastest float64
	for _, w := range windows {
		fastest = max(fastest, w.BurnThreshold)
	}
	var out []slo.AlertRule
	for _, w := range windows {
		p := slo.AlertRule{ShortWindow: time.Duration(w.ShortWindow), LongWindow: time.Duration(w.LongWindow), BurnThreshold: w.BurnThreshold, State: slo.StateWarning}
		if w.BurnThreshold == fastest {
			p.State = slo.StatePage
		}
		out = append(out, p)
	}
	return out
}
