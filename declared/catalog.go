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

// Config sets up a Catalog. Zero values take the defaults.
type Config struct {
	// Kinds that this process holds; all by default. An agent's scope is less.
	Kinds []string
	// MaxConfirmationAge is how old the store's last word may be for the state to
	// count as confirmed.
	MaxConfirmationAge time.Duration
	// UnconfirmedPeers and UnconfirmedAfter let an empty process become ready
	// without any confirmation; see Freshness. Off while UnconfirmedPeers is 0.
	UnconfirmedPeers int
	UnconfirmedAfter time.Duration
	// MaxTombstones is how many deletions are kept for peers that pull changes;
	// a peer that is further behind gets the complete state instead.
	MaxTombstones int
	// Now is the clock; time.Now by default.
	Now     func() time.Time
	Metrics metrics.Registry
	Log     logrus.FieldLogger
}

// Catalog is the declared state that one process has in force. It is a
// objectapi.Sink for the store's words and takes batches of peers. All methods
// are safe for concurrent use; readers of State take no lock.
type Catalog struct {
	config Config
	state  atomic.Pointer[State]
	tally  tally

	mu        sync.Mutex // guards writers of state, and freshness
	freshness freshness
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
	catalog := &Catalog{config: c, tally: newTally(c.Metrics), freshness: newFreshness(c)}
	catalog.state.Store(&State{
		records:       map[string]map[string]*record{},
		through:       map[string]uint64{},
		pools:         map[string]uint64{},
		kinds:         slices.Clone(c.Kinds),
		maxTombstones: c.MaxTombstones,
		changed:       make(chan struct{}),
	})
	return catalog
}

// State returns what is in force now.
func (c *Catalog) State() *State { return c.state.Load() }

// Revision is State().Revision(): what to pull from.
func (c *Catalog) Revision() uint64 { return c.State().Revision() }

// Apply takes one object, as a write's answer or a peer gives it.
func (c *Catalog) Apply(o objectapi.Object) ApplyResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.change(func(e *edit) { e.apply(o) })
}

// Snapshot takes the store's complete list of a kind.
func (c *Catalog) Snapshot(kind string, l objectapi.Listing) {
	if !slices.Contains(c.config.Kinds, kind) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	behind := l.Revision < c.State().through[kind]
	c.change(func(e *edit) { e.replace(kind, l.Objects, l.Revision) })
	c.storeSaid(behind, kind)
}

// Events takes the store's changes of a kind that follow on what it said before;
// a objectapi.Watcher sees to that.
func (c *Catalog) Events(kind string, l objectapi.Listing) {
	if !slices.Contains(c.config.Kinds, kind) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	through, listed := c.State().through[kind]
	if !listed {
		return // no list yet that the events could follow on
	}
	behind := l.Revision < through
	c.change(func(e *edit) {
		for _, o := range l.Objects {
			e.apply(o)
		}
		e.advance(kind, l.Revision)
	})
	c.storeSaid(behind, kind)
}

// storeSaid notes the store's word, unless the store answers from before what
// it or a peer said earlier: it lags, or was restored from an old copy. Then
// what is in force stays, and the answer confirms nothing.
func (c *Catalog) storeSaid(behind bool, kinds ...string) {
	if behind {
		c.tally.storeBehind.Inc(1)
		return
	}
	c.freshness.storeSaid(c.config.Now(), kinds...)
}

// ApplyBatch takes what a peer answered to a pull.
func (c *Catalog) ApplyBatch(peer string, b Batch) ApplyResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.change(func(e *edit) { e.take(b) })
	if r.Gap {
		c.tally.gaps.Inc(1)
		return r
	}
	c.freshness.peerSaid(peer, b.StoreConfirmed)
	return r
}

// Since returns what a puller that is complete through a revision lacks, or
// the complete state where the deletions since then are no longer all held.
func (c *Catalog) Since(revision uint64, scope Scope) Batch {
	c.mu.Lock()
	state := c.State()
	confirmed := c.freshness.storeConfirmed(c.config.Now())
	c.mu.Unlock()
	b := state.since(revision, scope)
	b.StoreConfirmed = confirmed && state.Complete()
	return b
}

// change builds the next state, and publishes it unless nothing came of it.
// The caller holds c.mu.
func (c *Catalog) change(build func(*edit)) ApplyResult {
	old := c.State()
	e := newEdit(old)
	build(e)
	next := e.finish()
	c.tally.count(e.result)
	if !e.changed() {
		return e.result
	}
	c.state.Store(next)
	c.tally.revision.Update(int64(next.Revision()))
	close(old.changed)
	for _, r := range e.result.Refused {
		c.config.Log.WithFields(logrus.Fields{
			"kind": r.Kind, "name": r.Name, "version": r.Version, "in_force": r.InForce,
		}).WithError(r.Faults).Warn("declared object refused")
	}
	return e.result
}
