package declared

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/briarturn/briarturn/internal/quiet"
	"github.com/briarturn/briarturn/objectapi"
)

// Config configures a Catalog. Zero values select the defaults.
type Config struct {
	// Kinds lists the kinds that this process holds; all if empty. An agent
	// holds fewer.
	Kinds []string
	// MaxConfirmationAge is the maximum age of the store's last response for
	// the state to count as confirmed.
	MaxConfirmationAge time.Duration
	// UnconfirmedPeers and UnconfirmedAfter let a process that starts empty
	// become ready without any confirmation; see Freshness. Disabled if
	// UnconfirmedPeers is 0.
	UnconfirmedPeers int
	UnconfirmedAfter time.Duration
	// MaxTombstones is the number of deletions that are kept for peers that
	// pull changes. A peer that is further behind gets the complete state
	// instead.
	MaxTombstones int
	// Now returns the current time; time.Now if nil.
	Now     func() time.Time
	Metrics metrics.Registry
	Log     logrus.FieldLogger
}

// Catalog holds the declared state that one process has in force. It is an
// objectapi.Sink for the responses of the store and accepts batches of peers.
// All methods are safe for concurrent use; readers of State take no lock.
type Catalog struct {
	config   Config
	state    atomic.Pointer[State]
	counters counters

	mu        sync.Mutex // serializes writers of state and guards freshness
	freshness freshnessTracker
}

var _ objectapi.Sink = (*Catalog)(nil)

// NewCatalog returns an empty catalog that is not ready.
func NewCatalog(c Config) *Catalog {
	if len(c.Kinds) == 0 {
		c.Kinds = Kinds()
	}
	c.MaxConfirmationAge = cmp.Or(max(c.MaxConfirmationAge, 0), DefaultMaxConfirmationAge)
	c.MaxTombstones = cmp.Or(max(c.MaxTombstones, 0), DefaultMaxTombstones)
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	if c.Log == nil {
		c.Log = quiet.Logger()
	}
	catalog := &Catalog{config: c, counters: newCounters(c.Metrics), freshness: newFreshnessTracker(c)}
	catalog.state.Store(&State{
		records:         map[string]map[string]*record{},
		completeThrough: map[string]uint64{},
		poolVersions:    map[string]uint64{},
		kinds:           slices.Clone(c.Kinds),
		maxTombstones:   c.MaxTombstones,
		changed:         make(chan struct{}),
	})
	return catalog
}

// State returns the state that is in force.
func (c *Catalog) State() *State { return c.state.Load() }

// Revision returns State().Revision(), the revision to pull from.
func (c *Catalog) Revision() uint64 { return c.State().Revision() }

// Apply applies one object from the response of a write or from a peer.
func (c *Catalog) Apply(o objectapi.Object) ApplyResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.update(func(e *edit) { e.apply(o) })
}

// Snapshot applies the store's complete list of a kind. While the store is recovering from an older
// copy, the list is used only by a process that holds none, and confirms nothing.
func (c *Catalog) Snapshot(kind string, l objectapi.Listing) {
	if !slices.Contains(c.config.Kinds, kind) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if l.Recovery == objectapi.Recovering {
		if _, listed := c.State().completeThrough[kind]; !listed {
			c.update(func(e *edit) { e.applySnapshot(kind, l.Objects, l.Revision) })
		}
		return
	}
	behind := l.Revision < c.State().completeThrough[kind]
	c.update(func(e *edit) { e.applySnapshot(kind, l.Objects, l.Revision) })
	c.recordStoreResponse(behind, kind)
}

// Events applies the store's changes of a kind. They must continue from what
// the store returned before; an objectapi.Watcher ensures that. While the store is recovering from
// an older copy, they are applied and confirm nothing, because the list before them isn't in force.
func (c *Catalog) Events(kind string, l objectapi.Listing) {
	if !slices.Contains(c.config.Kinds, kind) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	through, listed := c.State().completeThrough[kind]
	if !listed {
		return // the events continue from a list that is not known yet
	}
	behind := l.Revision < through
	recovering := l.Recovery == objectapi.Recovering
	c.update(func(e *edit) {
		for _, o := range l.Objects {
			e.apply(o)
		}
		if !recovering {
			e.advanceThrough(kind, l.Revision)
		}
	})
	if recovering {
		return
	}
	c.recordStoreResponse(behind, kind)
}

// recordStoreResponse records that the store has confirmed these kinds, unless
// it returned a revision from before what it or a peer returned earlier. In
// that case the store lags; the state in force stays, and the response confirms nothing.
func (c *Catalog) recordStoreResponse(behind bool, kinds ...string) {
	if behind {
		c.counters.storeBehind.Inc(1)
		return
	}
	c.freshness.recordStoreResponse(c.config.Now(), kinds...)
}

// ApplyBatch applies a peer's response to a pull.
func (c *Catalog) ApplyBatch(peer string, b Batch) ApplyResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.update(func(e *edit) { e.applyBatch(b) })
	if r.Gap {
		c.counters.gaps.Inc(1)
		return r
	}
	c.freshness.recordPeerBatch(peer, b.StoreConfirmed)
	return r
}

// Since returns what a puller that is complete through a revision lacks, or
// the complete state if some deletions since then are no longer held.
func (c *Catalog) Since(revision uint64, scope Scope) Batch {
	c.mu.Lock()
	state := c.State()
	confirmed := c.freshness.storeConfirmed(c.config.Now())
	c.mu.Unlock()
	b := state.changesSince(revision, scope)
	b.StoreConfirmed = confirmed && state.Complete()
	return b
}

// update builds the next state and publishes it unless nothing changed. The
// caller holds c.mu.
func (c *Catalog) update(build func(*edit)) ApplyResult {
	old := c.State()
	e := newEdit(old)
	build(e)
	next := e.finish()
	c.counters.record(e.result)
	if !e.changed() {
		return e.result
	}
	c.state.Store(next)
	c.counters.revision.Update(int64(next.Revision()))
	close(old.changed)
	for _, r := range e.result.Refused {
		c.config.Log.WithFields(logrus.Fields{
			"kind": r.Kind, "name": r.Name, "version": r.Version, "in_force": r.InForce,
		}).WithError(r.Faults).Warn("declared object refused")
	}
	return e.result
}
