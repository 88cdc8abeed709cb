package dev

import (
	"context"
	"fmt"
	"io"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/briarturn/briarturn/declared"
	"github.com/briarturn/briarturn/internal/load"
	standinengine "github.com/briarturn/briarturn/internal/standin/engine"
	"github.com/briarturn/briarturn/internal/table"
	"github.com/briarturn/briarturn/request"
	"github.com/briarturn/briarturn/routing"
)

// Experiment measures policies side by side. Each case, a policy with a mix and
// a load factor, gets a fleet of its own and two runs of the same arrivals: a
// part of the mix alone, then all of it. Cases of one mix and factor get the
// same arrivals.
type Experiment struct {
	Policies []string
	Mixes    []string // built in
	Factors  []float64
	// Alone is the part that runs alone first: the short requests, or the
	// workspaces other than the first if Flood is set.
	Flood  bool
	For    time.Duration        // of each run
	Seed   uint64               // 7 offers what the factors say, within 7%, in 30 s
	Engine standinengine.Config // zero: ExperimentEngine
	Log    logrus.FieldLogger
	// Detail gets the full report on each mixed run. May be nil.
	Detail io.Writer
}

// PolicyDirect stands for no system at all: arrivals go to the engines in turn,
// as behind a plain balancer. Engines then see no priorities, prompts that need
// more than one engine's memory are refused, and plain services are left out.
const PolicyDirect = "direct"

// Case is what one case gave.
type Case struct {
	Policy   string
	Mix      string
	Factor   float64 // of capacity, as load.Mix.Rate counts it
	Slowdown load.Slowdown
	Alone    *load.Report
	Mixed    *load.Report
	// Cores is how many processor cores the process used in the mixed run. On
	// a machine that has no more, a case measures the machine.
	Cores float64
}

// ExperimentEngine is slow enough that the requests/s of a whole fleet leave a
// shared machine mostly idle: 50 ms of prefill for a prompt of 2,000 tokens.
func ExperimentEngine() standinengine.Config {
	c := standinengine.DefaultConfig()
	c.PrefillRate = 40_000
	c.DecodeBase = time.Millisecond
	c.ChunkTokens = 512
	c.AnswerTokensPerChunk = 1 // TTFT is of the first token, not of the fourth
	return c
}

// DefaultExperiment compares all policies on both users' mixes.
func DefaultExperiment() Experiment {
	return Experiment{
		Policies: []string{routing.PolicyCost, routing.PolicyRoundRobin, routing.PolicyLeastLoad, PolicyDirect},
		Mixes:    []string{"derwent", "atlas"},
		Factors:  []float64{0.5, 0.8, 1.1},
		For:      30 * time.Second,
		Seed:     7,
		Engine:   ExperimentEngine(),
	}
}

// Run runs the cases one after the other and prints a line for each to w as it
// ends.
func (e *Experiment) Run(ctx context.Context, w io.Writer) ([]Case, error) {
	var out []Case
	for _, mix := range e.Mixes {
		for _, factor := range e.Factors {
			for _, policy := range e.Policies {
				c, err := e.run(ctx, Case{Policy: policy, Mix: mix, Factor: factor})
				if err != nil {
					return out, errors.Annotatef(err, "step case %s %s %.2f", policy, mix, factor)
				}
				out = append(out, c)
				if err := WriteCases(w, out[len(out)-1:]); err != nil {
					return out, errors.Trace(err)
				}
			}
		}
	}
	return out, nil
}

func (e *Experiment) run(ctx context.Context, c Case) (Case, error) {
	mix, err := load.LoadMix(c.Mix)
	if err != nil {
		return c, errors.Trace(err)
	}
	bed, err := e.start(ctx, mix, c.Policy)
	if err != nil {
		return c, errors.Trace(err)
	}
	defer bed.close()
	o := load.Options{
		Targets: bed.targets,
		Direct:  bed.fleet == nil,
		Mix:     mix,
		Rate:    mix.Rate(bed.size, c.Factor),
		For:     e.For,
		Seed:    e.Seed,
		Fleet:   bed.size,
		Only:    e.part(mix),
	}
	if c.Alone, err = load.Run(ctx, o); err != nil {
		return c, errors.Annotate(err, "step alone")
	}
	o.Only = load.Subset{}
	used, began := processorTime(), time.Now()
	if c.Mixed, err = load.Run(ctx, o); err != nil {
		return c, errors.Annotate(err, "step mixed")
	}
	c.Cores = (processorTime() - used).Seconds() / time.Since(began).Seconds()
	if e.Detail != nil {
		if err := c.Mixed.WriteTable(e.Detail); err != nil {
			return c, errors.Trace(err)
		}
		bed.writeTallies(e.Detail)
	}
	c.Slowdown, err = load.Compare(c.Alone, c.Mixed)
	return c, errors.Trace(err)
}

// bed is what a case runs on: a fleet, or nothing but engines.
type bed struct {
	fleet   *Fleet // nil with PolicyDirect
	engines []*standinengine.Server
	targets []string
	size    load.Fleet
}

func (b *bed) close() {
	if b.fleet != nil {
		b.fleet.Close()
	}
	for _, engine := range b.engines {
		engine.Close()
	}
}

func (b *bed) writeTallies(w io.Writer) {
	if b.fleet != nil {
		b.fleet.writeTallies(w)
	}
}

func (e *Experiment) start(ctx context.Context, mix *load.Mix, policy string) (*bed, error) {
	if policy == PolicyDirect {
		return e.startEngines(mix)
	}
	fleet, err := e.startFleet(ctx, mix, policy)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &bed{fleet: fleet, targets: fleet.Targets(), size: fleet.Size()}, nil
}

// startEngines starts the engines of a deployment and no agents, which would
// cancel runs that they didn't admit.
func (e *Experiment) startEngines(mix *load.Mix) (*bed, error) {
	cfg := e.Engine
	cfg.Models = []string{mix.Model}
	b := &bed{size: load.Fleet{
		Engines:      sizes[mix.Model].Engines,
		PrefillRate:  int64(cfg.PrefillRate),
		DecodeRate:   decodeRate(cfg),
		MemoryTokens: int64(cfg.MemoryTokens),
	}}
	for range b.size.Engines {
		engine, address, err := standinengine.Start(cfg)
		if err != nil {
			b.close()
			return nil, errors.Trace(err)
		}
		b.engines = append(b.engines, engine)
		b.targets = append(b.targets, "http://"+address)
	}
	return b, nil
}

func (e *Experiment) startFleet(ctx context.Context, mix *load.Mix, policy string) (*Fleet, error) {
	objects, err := Deployment(mix, e.Engine)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return Start(ctx, Config{Objects: objects, Policy: policy, Log: e.Log, Engine: e.engine})
}

func (e *Experiment) engine(*declared.ModelPool) standinengine.Config { return e.Engine }

func (e *Experiment) part(mix *load.Mix) load.Subset {
	if !e.Flood {
		return load.Subset{Short: true}
	}
	var quiet load.Subset
	for _, w := range mix.Workspaces[1:] {
		quiet.Workspaces = append(quiet.Workspaces, w.Name)
	}
	return quiet
}

// processorTime returns what the process used so far, on all cores.
func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// WriteCases prints one line a case.
func WriteCases(w io.Writer, cases []Case) error {
	header := []string{"policy", "mix", "load", "slowdown p50", "p99", "missing"}
	for class := range request.ClassCount {
		header = append(header, "TTFT p50/p99 ms "+class.Name())
	}
	header = append(header, ">100k/ideal p50", "p95", "in time", "goodput tok/s", "not run", "bad", "send lag p99 ms", "cores")
	var rows [][]string
	for i := range cases {
		rows = append(rows, cases[i].cells())
	}
	return table.Write(w, header, rows)
}

func (c *Case) cells() []string {
	m, all := c.Mixed, c.Mixed.All()
	line := []string{c.Policy, c.Mix, fmt.Sprintf("%.2f", c.Factor),
		fmt.Sprintf("%.2f", c.Slowdown.P50), fmt.Sprintf("%.2f", c.Slowdown.P99), fmt.Sprint(c.Slowdown.Missing)}
	for class := range request.ClassCount {
		q := m.Class(class).TTFT
		line = append(line, fmt.Sprintf("%.0f/%.0f", q.P50, q.P99))
	}
	bad := all.Sent - all.Finished - all.NotRun
	return append(line,
		fmt.Sprintf("%.2f", m.LongIdeal.P50), fmt.Sprintf("%.2f", m.LongIdeal.P95),
		fmt.Sprintf("%.4f", float64(all.InTime)/float64(max(all.Sent, 1))),
		fmt.Sprintf("%.0f", m.GoodputTotal),
		fmt.Sprint(all.NotRun), fmt.Sprint(bad),
		fmt.Sprintf("%.1f", m.SendLag.P99), fmt.Sprintf("%.1f", c.Cores))
}
