package agent

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/backend"
	"github.com/briarturn/briarturn/wire"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// Agent guards one backend server. It implements wirepb.DRPCAgentServer.
type Agent struct {
	cfg     Config
	ledger  *backend.Ledger
	reaper  *reaper
	counter counters
	ctx     context.Context // ends with Close
	stop    context.CancelFunc
	workers sync.WaitGroup

	probing sync.Mutex    // one look at the engine at a time; taken before mu
	looks   atomic.Uint64 // looks begun

	ordering chan struct{} // holds a token while an order is carried out; taken before mu

	mu          sync.Mutex // guards everything below
	fence       uint64     // highest admitted, of any lease
	listed      string     // boot under which the engine last listed what it has
	listAgain   bool       // an order may have changed more than it named
	descriptor  backend.Descriptor
	runs        map[string]*run
	longWaiting []*run        // long runs that wait for admission, in order
	loneWaiting []*run        // suspects that wait for the engine to be idle, in order
	changed     chan struct{} // closed and replaced when a run ends
	prefill     prefill
	bodies      uint64 // bytes of bodies promised and not yet sent on
	alone       bool   // a suspect runs; nothing else may
	leaving     bool   // told in the load, not yet refused
	draining    bool
	drained     chan struct{}
	drainedDone bool
	sequence    uint64
	engine      engineState
	broken      []Suspect // runs that ended while the engine was silent, until its boot is known
	lastDeath   Death
	deathHeard  <-chan struct{} // of lastDeath; nil if nobody is told
}

var _ wirepb.DRPCAgentServer = (*Agent)(nil)

// New returns an agent that has looked at its engine once and cancelled what an
// earlier agent left running there. Close ends it.
func New(cfg Config) (*Agent, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, errors.Annotatef(err, "step start agent")
	}
	a := &Agent{
		cfg:        cfg,
		ledger:     backend.NewLedger(cfg.Ledger),
		ordering:   make(chan struct{}, 1),
		counter:    newCounters(cfg.Metrics),
		descriptor: cfg.Descriptor,
		runs:       map[string]*run{},
		changed:    make(chan struct{}),
		prefill:    prefill{limit: cfg.Limits.LongPrefillTokens},
		drained:    make(chan struct{}),
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	a.ctx, a.stop = ctx, func() { cancel(errClosing) }
	a.reaper = newReaper(cfg.Engine, cfg.Limits.ProbeTimeout)
	a.exportGauges(cfg.Metrics)
	a.look(a.ctx)
	a.workers.Go(a.watch)
	a.workers.Go(func() { a.reaper.work(a.ctx) })
	return a, nil
}

// Close cancels all that runs and waits for the agent's own workers. Drain
// first, and wait for Drained, to cut nothing off.
func (a *Agent) Close() {
	a.stop()
	a.workers.Wait()
}

// Load returns a sample of the present load. Its sequence rises with each call.
func (a *Agent) Load() backend.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.load()
}

// load is Load with mu held.
func (a *Agent) load() backend.Load {
	state := a.ledger.State()
	a.sequence++
	return backend.Load{
		Running:      int32(len(a.runs)),
		Waiting:      int32(len(a.longWaiting) + len(a.loneWaiting) + state.Waiting),
		PrefillShort: a.prefill.short,
		PrefillLong:  a.prefill.long,
		Used:         state.Used + min(state.Excess, state.Capacity-state.Held-state.Used),
		Held:         state.Held,
		Capacity:     state.Capacity,
		Draining:     a.leaving || a.draining,
		Incarnation:  a.cfg.Incarnation,
		Sequence:     a.sequence,
	}
}

func (a *Agent) wireLoad() *wirepb.Load { return wire.LoadMessage(a.Load()) }

// Descriptor returns what the agent says of its backend server at present.
func (a *Agent) Descriptor() backend.Descriptor {
	a.mu.Lock()
	defer a.mu.Unlock()
	d := a.descriptor
	d.Models = append([]string(nil), d.Models...)
	d.Adapters = append([]string(nil), d.Adapters...)
	d.Weights = append([]backend.Weights(nil), d.Weights...)
	return d
}

// ReleaseEntry frees all that an entry's incarnation had here. Membership calls it
// when the entry is known to be dead; a broken stream needs no such call.
func (a *Agent) ReleaseEntry(entry string, incarnation uint64) {
	owner := backend.Owner{Entry: entry, Incarnation: incarnation}
	a.apply(a.ledger.ReleaseOwner(a.cfg.Now(), owner), errOwnerGone)
}

// apply stops at the engine what the ledger freed.
func (a *Agent) apply(freed backend.Cleanup, cause error) {
	for _, handle := range freed.Handles {
		a.reaper.freeSegment(handle)
	}
	for _, id := range freed.Runs {
		a.mu.Lock()
		r := a.runs[id]
		a.mu.Unlock()
		if r != nil {
			r.cancel(cause)
		}
	}
	a.mu.Lock()
	a.noteDrained()
	a.mu.Unlock()
}

// watch looks after the engine and the holds until Close.
func (a *Agent) watch() {
	tick := time.NewTicker(a.cfg.Limits.HealthInterval)
	defer tick.Stop()
	for {
		select {
		case <-a.ctx.Done():
			return
		case <-tick.C:
			a.apply(a.ledger.Sweep(a.cfg.Now()), errHoldLapsed)
			a.look(a.ctx)
			a.reaper.retry()
		}
	}
}
