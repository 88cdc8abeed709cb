package chaos

import (
	"context"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/briarturn/briarturn/internal/dev"
	"github.com/briarturn/briarturn/internal/load"
	"github.com/briarturn/briarturn/invariant"
)

// startLimit bounds the start of the fleet.
const startLimit = time.Minute

// Defaults of Options.
const (
	defaultRate  = 30
	defaultCalls = 30
)

// ErrOptions: the options of a run make no sense.
const ErrOptions = errors.ConstError("invalid chaos options")

// Options sets up a run. Zero fields take defaults, but For must be set.
type Options struct {
	Seed   uint64
	For    time.Duration // faults and load; starting and settling come on top
	Faults []string      // kinds to draw from; all of Kinds by default
	Rate   float64       // prompts/s of the mix; default 30
	Calls  float64       // probes/s with known ids and keys; default 30
	Log    logrus.FieldLogger
}

func (o Options) withDefaults() (Options, error) {
	if o.For <= 0 {
		return o, errors.Annotate(ErrOptions, "duration must be above 0")
	}
	if o.Rate == 0 {
		o.Rate = defaultRate
	}
	if o.Calls == 0 {
		o.Calls = defaultCalls
	}
	if o.Log == nil {
		quiet := logrus.New()
		quiet.SetOutput(io.Discard)
		o.Log = quiet
	}
	if len(o.Faults) == 0 {
		o.Faults = Kinds()
	}
	for _, kind := range o.Faults {
		if _, ok := catalog[kind]; !ok {
			return o, errors.Annotatef(ErrOptions, "unknown fault %q", kind)
		}
	}
	return o, nil
}

// bench is one run: the fleet, its faults and its checks.
type bench struct {
	options Options
	fleet   *dev.Fleet
	targets []string
	checks  *checks
	net     network
	store   storeFaults
	drains  sync.WaitGroup // watches of draining servers that still run
	probes  *prober
	race    contest

	mu     sync.Mutex // guards counts
	counts map[string]int64

	settleLimit time.Duration // shorter in tests of the checks
}

// Run starts a fleet, brings about faults under load, lets the system settle,
// and reports. An error means that the run could not be made; violations are in
// the report.
func Run(ctx context.Context, o Options) (*Report, error) {
	o, err := o.withDefaults()
	if err != nil {
		return nil, err
	}
	before := invariant.Counts()
	b := &bench{options: o, checks: newChecks(), counts: map[string]int64{}, settleLimit: settleLimit}
	if err := b.start(ctx); err != nil {
		return nil, errors.Annotate(err, "step start chaos run")
	}
	defer b.fleet.Close()
	report := &Report{Seed: o.Seed, For: o.For}
	if report.Load, err = b.disturb(ctx); err != nil {
		return nil, errors.Annotate(err, "step disturb")
	}
	if err := b.heal(); err != nil {
		return nil, errors.Annotate(err, "step heal")
	}
	b.settle(ctx)
	b.judge(report.Load)
	b.fill(report, before)
	return report, ctx.Err()
}

func (b *bench) start(ctx context.Context) error {
	objects, err := deployment()
	if err != nil {
		return err
	}
	limited, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	b.fleet, err = dev.Start(limited, dev.Config{
		Objects:       objects,
		Engine:        engineConfig,
		DatagramFault: b.net.fault,
		Log:           b.options.Log,
	})
	if err != nil {
		return err
	}
	b.targets = b.fleet.Targets()
	b.store.memory = b.fleet.Store
	b.race.store = b.fleet.Store
	b.probes = newProber(b.targets, b.options.Seed)
	return nil
}

// disturb runs load, probes, faults and watches side by side. It returns the
// load's report when all of them have ended.
func (b *bench) disturb(ctx context.Context) (*load.Report, error) {
	watching, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	var watches, work sync.WaitGroup
	watches.Go(func() { b.watchRevisions(watching) })

	limited, cancel := context.WithTimeout(ctx, b.options.For)
	defer cancel()
	work.Go(func() { b.probes.run(limited, b.options.Calls) })
	work.Go(func() { b.faultRounds(limited) })
	report, err := load.Run(ctx, load.Options{
		Targets: b.targets,
		Mix:     mix(),
		Rate:    b.options.Rate,
		For:     b.options.For,
		Seed:    b.options.Seed,
	})
	work.Wait()
	b.drains.Wait()
	stopWatching()
	watches.Wait()
	return report, errors.Trace(err)
}

// random returns a source that follows from the run's seed and a name's number.
func (b *bench) random(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(b.options.Seed, stream))
}

// Streams of random numbers, one for each use, so that one use doesn't change
// what another draws.
const (
	streamFaults = iota + 1
	streamProbes
	streamNetwork
)

func (b *bench) count(kind string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts[kind]++
}
