package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/lease"
	"github.com/briarturn/briarturn/membership"
	"github.com/briarturn/briarturn/rollout"
)

// Timing of rollouts at an entry.
const (
	// rolloutCandidates is how many entries contend for a pool's lease. Were it
	// all of them, the reads of those that wait would grow with the entries.
	rolloutCandidates = 3
	rolloutPeriod     = 2 * time.Second
	rolloutPause      = time.Second
	releaseTimeout    = time.Second
)

// rollouts runs the reconcilers of those pools that this entry is a candidate
// for. One goroutine uses it.
type rollouts struct {
	node    *Entry
	leases  *lease.Manager
	started time.Time
	running map[string]context.CancelFunc // by pool
	workers sync.WaitGroup
}

func newRollouts(n *Entry) *rollouts {
	return &rollouts{
		node: n,
		leases: lease.NewManager(lease.Config{
			Store:   n.cfg.Store,
			Holder:  n.cfg.Name,
			Logger:  n.tasks.log,
			Metrics: n.cfg.Metrics,
		}),
		started: time.Now(),
		running: map[string]context.CancelFunc{},
	}
}

// run keeps to the wanted pools until ctx ends or the entry drains.
func (r *rollouts) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer r.workers.Wait()
	defer cancel()
	tick := time.NewTicker(rolloutPeriod)
	defer tick.Stop()
	for {
		state := r.node.catalog.State()
		r.adjust(ctx)
		select {
		case <-state.Changed():
		case <-tick.C:
		case <-r.node.draining:
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}

// adjust starts and ends work on pools.
func (r *rollouts) adjust(ctx context.Context) {
	wanted := r.wanted()
	for pool, stop := range r.running {
		if !wanted[pool] {
			stop()
			delete(r.running, pool)
		}
	}
	for pool := range wanted {
		if r.running[pool] != nil {
			continue
		}
		ctx, stop := context.WithCancel(ctx)
		r.running[pool] = stop
		r.workers.Go(func() { r.work(ctx, pool) })
	}
}

// wanted returns the pools for which this entry is a candidate: those that are
// declared, or named by a set of engines.
func (r *rollouts) wanted() map[string]bool {
	out := map[string]bool{}
	if !r.node.catalog.Freshness().Ready {
		return out
	}
	state := r.node.catalog.State()
	for pool := range state.ModelPools() {
		out[pool] = true
	}
	for _, set := range state.BackendServerSets() {
		if !set.PlainService {
			out[set.Pool] = true
		}
	}
	entries := r.node.entryNames()
	for pool := range out {
		if !slices.Contains(membership.Rank(pool, entries, rolloutCandidates), r.node.cfg.Name) {
			delete(out, pool)
		}
	}
	return out
}

// entryNames returns the entries that are alive and don't drain, with this one.
func (n *Entry) entryNames() []string {
	names := []string{n.cfg.Name}
	n.runner.With(func(o *membership.Observer) {
		for _, p := range o.Peers() {
			if p.GetName() != n.cfg.Name && !p.GetDraining() {
				names = append(names, p.GetName())
			}
		}
	})
	return names
}

// work contends for a pool's lease and reconciles while it holds it.
func (r *rollouts) work(ctx context.Context, pool string) {
	log := r.node.tasks.log.WithField("pool", pool)
	for ctx.Err() == nil {
		held, err := r.leases.Acquire(ctx, rollout.LeaseName(pool))
		if err != nil {
			return
		}
		log.WithField("fence", held.Fence()).Info("reconciling")
		if err := r.reconcile(ctx, pool, held); err != nil && !errors.Is(err, lease.ErrNotHeld) {
			log.WithError(err).Warn("reconciler ended")
		}
		r.release(held)
		log.Info("no longer reconciling")
		select {
		case <-time.After(rolloutPause):
		case <-ctx.Done():
		}
	}
}

func (r *rollouts) reconcile(ctx context.Context, pool string, held *lease.Lease) error {
	servers := newPoolServers(r.node, pool, r.started)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var asking sync.WaitGroup
	defer asking.Wait()
	defer cancel()
	asking.Go(func() { servers.ask(ctx) })
	return rollout.NewReconciler(rollout.Config{
		Pool:        pool,
		Lease:       held,
		State:       r.node.catalog.State,
		Replicas:    servers.replicas,
		OrderClient: r.node.dialer,
		Store:       r.node.cfg.Store,
		Options:     rollout.Options{MaxReportLag: settleTime(len(r.node.entryNames()))},
		Log:         r.node.tasks.log.WithField("pool", pool),
		Metrics:     r.node.cfg.Metrics,
	}).Run(ctx)
}

// release gives the lease up, so that another candidate need not wait a term.
func (r *rollouts) release(held *lease.Lease) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := held.Release(ctx); err != nil {
		r.node.tasks.log.WithError(err).Debug("lease not released")
	}
}
