package soak

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
)

// ErrOptions: the options of a run make no sense.
const ErrOptions = errors.ConstError("invalid soak options")

// Options sets up a run.
type Options struct {
	Seed    uint64
	For     time.Duration // faults and callers; starting and settling come on top
	Entries int
	Servers int
	Callers int
	// Daemon is the program and its first arguments that entries and stand-ins are started
	// with, Env what is added to their environment.
	Daemon []string
	Env    []string
	Dir    string // for settings and logs; must exist
	Log    logrus.FieldLogger
}

func (o Options) check() error {
	switch {
	case o.For <= calmStart:
		return errors.Annotatef(ErrOptions, "a run lasts longer than %v", calmStart)
	case o.Entries < 1 || o.Servers < 1 || o.Callers < 1:
		return errors.Annotate(ErrOptions, "entries, servers and callers must be 1 or more")
	case len(o.Daemon) == 0:
		return errors.Annotate(ErrOptions, "no program to start")
	}
	return nil
}

// Run starts a fleet, breaks it by the seed's plan under callers, lets it settle, and reports.
// An error means that the run could not be made; broken promises are in the report.
func Run(ctx context.Context, o Options) (*Report, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	return runPlan(ctx, o, Plan(o.Seed, o.For, o.Entries, o.Servers))
}

// runPlan is Run with the faults of a plan.
func runPlan(ctx context.Context, o Options, plan []Step) (*Report, error) {
	if o.Log == nil {
		quiet := logrus.New()
		quiet.SetOutput(io.Discard)
		o.Log = quiet
	}
	r := &record{}
	f, err := startFleet(ctx, o, r)
	defer f.close()
	if err != nil {
		return nil, err
	}
	began := time.Now()
	callersCtx, stop := context.WithCancel(ctx)
	defer stop()
	callers := startCallers(callersCtx, o, f, r)
	newBreaker(f, o.Log).run(ctx, plan)
	r.settled = f.awaitService(settleLimit)
	stop()
	callers.Wait()
	r.noteEnds(f)
	return newReport(o, r, began), ctx.Err()
}

func startCallers(ctx context.Context, o Options, f *fleet, r *record) *sync.WaitGroup {
	var all sync.WaitGroup
	var count atomic.Int64
	var addresses []string
	for _, e := range f.entries {
		addresses = append(addresses, e.address)
	}
	for i := range o.Callers {
		c := newCaller(i, o.Seed, addresses, &f.traffic, r, &count)
		all.Go(func() { c.run(ctx) })
	}
	return &all
}

// noteEnds notes the processes that ended without being told to.
func (r *record) noteEnds(f *fleet) {
	all := []*process{f.store}
	for _, e := range f.entries {
		all = append(all, e.process)
	}
	for _, s := range f.servers {
		all = append(all, s.process)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range all {
		for range p.unwantedEnds() {
			r.ended = append(r.ended, p.name)
		}
	}
}
