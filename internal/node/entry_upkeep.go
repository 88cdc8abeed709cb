package node

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/declared"
	"github.com/briarturn/briarturn/objectapi"
	"github.com/briarturn/briarturn/request"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// Periods of an entry's own upkeep.
const (
	sweepPeriod    = time.Second
	capacityPeriod = 500 * time.Millisecond
	peersPeriod    = 10 * time.Second
	warmRetry      = time.Second
	warmPeriod     = 10 * time.Second
	seedPeriod     = time.Second
	// drainNotice is how long a draining entry answers at least, so that its
	// balancer and its callers' open connections learn of the drain from
	// refusals instead of from a closed socket.
	drainNotice = 2 * time.Second
	// hearLimit bounds how long readiness waits for backend servers: where none
	// lives, callers are to be told so.
	hearLimit = 5 * time.Second
)

// startUpkeep starts what keeps soft state in step with the rest of the system.
func (n *Entry) startUpkeep() {
	watcher := objectapi.NewWatcher(objectapi.WatcherConfig{
		Store: n.cfg.Store,
		Kinds: watchedKinds(),
		Sink: objectapi.NewRecoverySink(objectapi.RecoverySinkConfig{
			Next: newStoreSink(n), Log: n.tasks.log, Metrics: n.cfg.Metrics, OnEra: n.claimer.StoreRestored,
		}),
		Metrics: n.cfg.Metrics,
		Log:     n.tasks.log,
	})
	n.tasks.run("watch declared state", func(ctx context.Context) error { watcher.Run(ctx); return nil })
	n.tasks.run("apply declared state", n.applyDeclared)
	n.tasks.run("warm claims", n.warmClaims)
	n.tasks.run("announce", n.announce)
	n.tasks.run("ask seeds", n.askSeeds)
	n.tasks.run("roll out", newRollouts(n).run)
	n.tasks.every("count entries", peersPeriod, func(time.Time) { n.countEntries() })
	n.tasks.every("sweep", sweepPeriod, n.sweep)
	n.tasks.every("clean presences", cleanupPeriod, n.cleanPresences)
	n.tasks.every("capacity", capacityPeriod, func(time.Time) { n.setCapacity() })
}

// warmClaims reads what is on record of claims, and keeps up with it where this
// entry may have to take a shard over: a call that had to wait for it would be
// late. Readiness waits for the first try only, since most requests need no
// claim and can be served in an outage.
func (n *Entry) warmClaims(ctx context.Context) error {
	for {
		wait := warmPeriod
		if err := n.claimer.Preload(ctx); err != nil {
			wait = warmRetry
		}
		n.claimsTried.Store(true)
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		}
	}
}

// applyDeclared brings the scheduler and membership to each new declared state.
func (n *Entry) applyDeclared(ctx context.Context) error {
	known := map[string]bool{}
	newest := uint64(0)
	for {
		state := n.catalog.State()
		applyPolicies(state, n.scheduler, known)
		promises := promisesOf(state)
		n.promises.Store(&promises)
		newest = n.tellRevision(state, newest)
		select {
		case <-state.Changed():
		case <-ctx.Done():
			return nil
		}
	}
}

// sweep ages the table and leaves servers that fell silent: a request that may be
// repeated goes on elsewhere instead of waiting for its time limit.
func (n *Entry) sweep(now time.Time) {
	n.table.Sweep(now)
	n.entry.CancelStalledAttempts(now)
}

// askSeeds takes the list of entries and the declared state from the entries
// named in the settings until the declared state is known. While the object API
// is down, nobody else could tell a process that starts empty.
func (n *Entry) askSeeds(ctx context.Context) error {
	ticker := time.NewTicker(seedPeriod)
	defer ticker.Stop()
	for i := 0; len(n.cfg.Seeds) > 0 && !n.catalog.Freshness().Ready; i++ {
		addr := n.cfg.Seeds[i%len(n.cfg.Seeds)]
		if peers, err := n.pullPeers(ctx, addr); err == nil {
			n.mergePeers(peers)
		}
		n.pullConfig(ctx, addr)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
	return nil
}

// setCapacity opens each pool's dispatch windows by what its servers can take.
func (n *Entry) setCapacity() {
	for _, pool := range n.table.Pools() {
		for class, c := range n.capacityOf(pool) {
			n.scheduler.SetCapacity(pool, request.Class(class), c)
		}
	}
}

func (n *Entry) pullConfig(ctx context.Context, addr string) {
	if err := pullConfig(ctx, n.dialer, addr, n.catalog, declared.Scope{}); err != nil {
		n.tasks.log.WithError(err).Debug("declared state not pulled")
	}
}

func (n *Entry) pullPeers(ctx context.Context, addr string) ([]*wirepb.Peer, error) {
	peers, err := n.dialer.ListPeers(ctx, addr)
	if err != nil {
		return nil, errors.Annotatef(err, "step list entries, peer %s", addr)
	}
	return peers.GetEntries(), nil
}

// pullServers fetches a page of the backend servers whose home another entry is.
func (n *Entry) pullServers(ctx context.Context, addr string, after uint64) (*wirepb.Servers, error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	return n.dialer.ListServers(ctx, addr, &wirepb.ServersRequest{After: after})
}
