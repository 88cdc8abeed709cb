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

// Agent controls all access to one backend server. It implements
// wirepb.DRPCAgentServer.
type Agent struct {
	cfg      Config
	ledger   *backend.Ledger
	reaper   *reaper
	counters counters
	ctx      context.Context // cancelled by Close
	stop     context.CancelFunc
	workers  sync.WaitGroup

	probeMu       sync.Mutex // held during a probe of the engine; taken before mu
	probesStarted atomic.Uint64

	orderSlot chan struct{} // semaphore of size one, held while an order is executed; taken before mu

	mu                sync.Mutex // guards all fields below
	highestFence      uint64     // highest admitted fence of any lease
	inventoryBootID   string     // boot ID of the engine at its last inventory
	inventoryStale    bool       // an order may have changed more than it named
	descriptor        backend.Descriptor
	runs              map[string]*run
	longQueue         []*run        // long runs that wait for admission, in order
	runAloneQueue     []*run        // suspects that wait for the engine to be idle, in order
	stateChanged      chan struct{} // closed and replaced when a run ends or capacity is freed
	prefill           prefillLoad
	bufferedBodyBytes uint64 // declared bytes of bodies not yet sent to the engine
	runningAlone      bool   // a suspect is running; all other runs are refused
	drainAnnounced    bool   // the load reports the drain, but new runs are not yet refused
	draining          bool
	drained           chan struct{}
	drainedClosed     bool
	loadSequence      uint64
	engine            engineState
	pendingSuspects   []Suspect // runs that ended while the engine did not respond, kept until its boot ID is known
	lastDeath         Death
	deathAnnounced    <-chan struct{} // closed when lastDeath has reached the home entries; nil if it is not sent to them
}

var _ wirepb.DRPCAgentServer = (*Agent)(nil)

// New returns an agent after a first probe of its engine. Runs and segments
// that an earlier agent left at the engine are freed in the background. Close
// stops the agent.
func New(cfg Config) (*Agent, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, errors.Annotatef(err, "step start agent")
	}
	a := &Agent{
		cfg:          cfg,
		ledger:       backend.NewLedger(cfg.Ledger),
		orderSlot:    make(chan struct{}, 1),
		counters:     newCounters(cfg.Metrics),
		descriptor:   cfg.Descriptor,
		runs:         map[string]*run{},
		stateChanged: make(chan struct{}),
		prefill:      prefillLoad{longLimit: cfg.Limits.LongPrefillTokens},
		drained:      make(chan struct{}),
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	a.ctx, a.stop = ctx, func() { cancel(errClosing) }
	a.reaper = newReaper(cfg.Engine, cfg.Limits.ProbeTimeout)
	a.exportGauges(cfg.Metrics)
	a.probe(a.ctx)
	a.workers.Go(a.maintain)
	a.workers.Go(func() { a.reaper.run(a.ctx) })
	return a, nil
}

// Close cancels all runs and waits for the agent's goroutines. To cut nothing
// off, drain first and wait for Drained.
func (a *Agent) Close() {
	a.stop()
	a.workers.Wait()
}

// Load returns a sample of the current load. Its sequence number increases with
// each call.
func (a *Agent) Load() backend.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.loadLocked()
}

// loadLocked is Load for callers that hold mu.
func (a *Agent) loadLocked() backend.Load {
	state := a.ledger.State()
	a.loadSequence++
	return backend.Load{
		Running:      int32(len(a.runs)),
		Waiting:      int32(len(a.longQueue) + len(a.runAloneQueue) + state.Waiting),
		PrefillShort: a.prefill.short,
		PrefillLong:  a.prefill.long,
		Used:         state.Used + min(state.Excess, state.Capacity-state.Held-state.Used),
		Held:         state.Held,
		Capacity:     state.Capacity,
		Draining:     a.drainAnnounced || a.draining,
		Incarnation:  a.cfg.Incarnation,
		Sequence:     a.loadSequence,
	}
}

func (a *Agent) loadMessage() *wirepb.Load { return wire.LoadToProto(a.Load()) }

// Descriptor returns a copy of the current descriptor of the backend server.
func (a *Agent) Descriptor() backend.Descriptor {
	a.mu.Lock()
	defer a.mu.Unlock()
	d := a.descriptor
	d.Models = append([]string(nil), d.Models...)
	d.Adapters = append([]string(nil), d.Adapters...)
	d.Weights = append([]backend.Weights(nil), d.Weights...)
	return d
}

// ReleaseEntry frees everything that one incarnation of an entry holds. It is
// for an entry that is known to be dead; a broken stream needs no such call.
func (a *Agent) ReleaseEntry(entry string, incarnation uint64) {
	owner := backend.Owner{Entry: entry, Incarnation: incarnation}
	a.applyFreed(a.ledger.ReleaseOwner(a.cfg.Now(), owner), errOwnerGone)
}

// applyFreed frees the segments and cancels the runs that the ledger freed.
func (a *Agent) applyFreed(freed backend.Cleanup, cause error) {
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
	a.checkDrainedLocked()
	a.mu.Unlock()
}

// maintain expires holds, probes the engine and retries pending cancels at each
// HealthInterval until Close.
func (a *Agent) maintain() {
	tick := time.NewTicker(a.cfg.Limits.HealthInterval)
	defer tick.Stop()
	for {
		select {
		case <-a.ctx.Done():
			return
		case <-tick.C:
			a.applyFreed(a.ledger.Sweep(a.cfg.Now()), errHoldLapsed)
			a.probe(a.ctx)
			a.reaper.trigger()
		}
	}
}
