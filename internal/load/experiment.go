package load

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/internal/table"
	"github.com/briarturn/briarturn/request"
)

// Case is one cell of an experiment.
type Case struct {
	Policy string  `json:"policy"` // a label: the policy that the target runs
	Target string  `json:"target"`
	Mix    string  `json:"mix"`    // as LoadMix takes it
	Factor float64 `json:"factor"` // of the fleet's capacity for the mix
}

// Experiment compares cases. Cases of one mix and factor get the same
// arrivals. Fleet says what a factor of 1 means.
type Experiment struct {
	Fleet   Fleet  `json:"fleet"`
	Seconds int    `json:"seconds"` // length of each run
	Seed    uint64 `json:"seed"`
	Cases   []Case `json:"cases"`
}

func (e *Experiment) check() error {
	f := e.Fleet
	switch {
	case len(e.Cases) == 0 || e.Seconds <= 0:
		return errors.Annotate(ErrOptions, "cases and seconds are required")
	case f.Engines <= 0 || f.PrefillRate <= 0 || f.DecodeRate <= 0 || f.MemoryTokens <= 0:
		return errors.Annotate(ErrOptions, "fleet needs engines, prefill_rate, decode_rate, memory_tokens above 0")
	}
	for i, c := range e.Cases {
		if c.Target == "" || !(c.Factor > 0) {
			return errors.Annotatef(ErrOptions, "cases[%d]: target and a factor above 0 are required", i)
		}
	}
	return nil
}

// CaseResult is what one case gave: a run of the short requests alone, then
// one of the whole mix.
type CaseResult struct {
	Case
	Slowdown Slowdown `json:"slowdown"`
	Alone    *Report  `json:"alone"`
	Mixed    *Report  `json:"mixed"`
}

// ExperimentReport holds the results in the order of the cases.
type ExperimentReport struct {
	Experiment
	Results []CaseResult `json:"results"`
}

// Run runs the cases one after the other; together they would share the
// machine and measure each other. The samples of each run are left out of the
// report once they have been compared.
func (e *Experiment) Run(ctx context.Context, progress io.Writer) (*ExperimentReport, error) {
	if err := e.check(); err != nil {
		return nil, errors.Trace(err)
	}
	rep := &ExperimentReport{Experiment: *e}
	for _, c := range e.Cases {
		res, err := e.runCase(ctx, c, progress)
		if err != nil {
			return nil, errors.Annotatef(err, "step case %s %s %.2f, peer %s", c.Policy, c.Mix, c.Factor, c.Target)
		}
		rep.Results = append(rep.Results, res)
	}
	return rep, nil
}

func (e *Experiment) runCase(ctx context.Context, c Case, progress io.Writer) (CaseResult, error) {
	mix, err := LoadMix(c.Mix)
	if err != nil {
		return CaseResult{}, errors.Trace(err)
	}
	o := Options{
		Targets:  []string{c.Target},
		Mix:      mix,
		Rate:     mix.Rate(e.Fleet, c.Factor),
		For:      time.Duration(e.Seconds) * time.Second,
		Seed:     e.Seed,
		Fleet:    e.Fleet,
		Progress: progress,
	}
	alone, mixed, slow, err := RunPair(ctx, o, Subset{Short: true})
	if err != nil {
		return CaseResult{}, errors.Trace(err)
	}
	alone.Short, mixed.Short = nil, nil
	return CaseResult{Case: c, Slowdown: slow, Alone: alone, Mixed: mixed}, nil
}

// RunPair runs the part alone, then the whole mix, and compares the short
// requests of the part. With Subset.Short that is what long work costs the
// short; with a workspace, what the others cost that one.
func RunPair(ctx context.Context, o Options, part Subset) (alone, mixed *Report, slow Slowdown, err error) {
	o.Only = part
	if alone, err = Run(ctx, o); err != nil {
		return nil, nil, slow, errors.Annotate(err, "step alone")
	}
	o.Only = Subset{}
	if mixed, err = Run(ctx, o); err != nil {
		return nil, nil, slow, errors.Annotate(err, "step mixed")
	}
	slow, err = Compare(alone, mixed)
	return alone, mixed, slow, errors.Trace(err)
}

// Whole reports whether each answer of each run was whole and its caller's.
func (r *ExperimentReport) Whole() bool {
	for _, c := range r.Results {
		if !c.Alone.Whole() || !c.Mixed.Whole() {
			return false
		}
	}
	return true
}

// WriteTable prints one line a case, side by side.
func (r *ExperimentReport) WriteTable(w io.Writer) error {
	header := []string{"policy", "mix", "load", "slowdown p50", "p99", "paired p99", "missing",
		"TTFT p50 " + request.ClassShort.Name(), request.ClassMedium.Name(), request.ClassLarge.Name(), request.ClassHuge.Name(),
		"huge/ideal p50", "in time", "goodput tok/s", "bad"}
	var rows [][]string
	for i := range r.Results {
		rows = append(rows, r.Results[i].cells())
	}
	return table.Write(w, header, rows)
}

func (c *CaseResult) cells() []string {
	s, m := c.Slowdown, c.Mixed
	line := []string{c.Policy, c.Mix, fmt.Sprintf("%.2f", c.Factor),
		fmt.Sprintf("%.2f", s.P50), fmt.Sprintf("%.2f", s.P99), fmt.Sprintf("%.2f", s.PairedP99), fmt.Sprint(s.Missing)}
	for class := range request.ClassCount {
		line = append(line, cells(m.Class(class).TTFT)[0])
	}
	all := m.All()
	ideal, inTime := "-", "-"
	if m.LongIdeal.N > 0 {
		ideal = fmt.Sprintf("%.2f", m.LongIdeal.P50)
	}
	if all.Sent > 0 {
		inTime = fmt.Sprintf("%.4f", float64(all.InTime)/float64(all.Sent))
	}
	bad := all.wrong() + all.Transport + all.Overdue
	return append(line, ideal, inTime, fmt.Sprintf("%.0f", m.GoodputTotal), fmt.Sprint(bad))
}
