package declared

import "time"

// DefaultMaxConfirmationAge covers one watch of the store that waits in full
// (objectapi.DefaultWatchWait), the time limit of its call and the pause
// before it, 5.5 s in total.
const DefaultMaxConfirmationAge = 8 * time.Second

// maxTrackedPeers is the maximum number of peers that are remembered until the
// process is ready.
const maxTrackedPeers = 64

// Freshness reports how current the state in force is known to be.
//
// A process that starts empty while the store is down and reaches only a
// lagging peer cannot detect that the peer lags. The guarantees are:
//
//   - Within one process the state never reverts: an object in force is
//     replaced by newer versions only, whatever peers send.
//   - Ready is false until every kind is completely known from the store
//     itself, or from a peer whose state the store had confirmed within
//     MaxConfirmationAge of the peer's response. At that moment the state is
//     not older than MaxConfirmationAge plus the duration of the pull. A
//     replaced VM therefore accepts no requests with an older configuration.
//   - A confirmation is not relayed: a peer that has it from another peer
//     responds with StoreConfirmed false. Otherwise two peers could confirm
//     each other indefinitely.
//   - Ready never becomes false again. A ready process continues through an
//     outage with the state it has; Confirmed reports whether it still
//     receives responses of the store.
//
// The limitation is readiness: in an outage that has lasted
// MaxConfirmationAge, a process that starts empty stays unready until the
// store is available again. Operators who prefer an available VM to a fresh
// configuration set UnconfirmedPeers: the process is then ready once
// UnconfirmedAfter has passed since its start and that many different peers
// have each sent their complete state. The newest of these states is in force.
// The process may then run with an older configuration than other processes,
// if the store accepted changes that none of these peers received, until it
// receives them itself.
type Freshness struct {
	Ready     bool
	ReadyBy   ReadySource
	Confirmed bool // the store's last response is within MaxConfirmationAge
	Revision  uint64
}

// ReadySource is the source that made a process ready.
type ReadySource string

// Ways to become ready.
const (
	ReadyByStore            ReadySource = "store"
	ReadyByPeer             ReadySource = "confirmed_peer"
	ReadyByUnconfirmedPeers ReadySource = "unconfirmed_peers"
)

type freshnessTracker struct {
	config           Config
	started          time.Time
	readyBy          ReadySource          // empty until ready
	confirmedAt      map[string]time.Time // by kind, time of the store's last response
	unconfirmedPeers map[string]struct{}  // peers that sent their complete state
}

func newFreshnessTracker(c Config) freshnessTracker {
	return freshnessTracker{
		config:           c,
		started:          c.Now(),
		confirmedAt:      map[string]time.Time{},
		unconfirmedPeers: map[string]struct{}{},
	}
}

func (f *freshnessTracker) recordStoreResponse(now time.Time, kinds ...string) {
	for _, kind := range kinds {
		f.confirmedAt[kind] = now
	}
	if f.readyBy == "" && f.storeConfirmed(now) {
		f.readyBy = ReadyByStore
	}
}

func (f *freshnessTracker) recordPeerBatch(peer string, confirmed bool) {
	if f.readyBy != "" {
		return
	}
	if confirmed {
		f.readyBy = ReadyByPeer
		return
	}
	if len(f.unconfirmedPeers) < maxTrackedPeers {
		f.unconfirmedPeers[peer] = struct{}{}
	}
}

// storeConfirmed reports whether the store responded for every kind within
// MaxConfirmationAge.
func (f *freshnessTracker) storeConfirmed(now time.Time) bool {
	for _, kind := range f.config.Kinds {
		at, ok := f.confirmedAt[kind]
		if !ok || now.Sub(at) > f.config.MaxConfirmationAge {
			return false
		}
	}
	return true
}

// checkUnconfirmedPeers makes the process ready by unconfirmed peers if the
// configuration allows it.
func (f *freshnessTracker) checkUnconfirmedPeers(now time.Time) {
	allowed := f.config.UnconfirmedPeers > 0 && now.Sub(f.started) >= f.config.UnconfirmedAfter
	if f.readyBy == "" && allowed && len(f.unconfirmedPeers) >= f.config.UnconfirmedPeers {
		f.readyBy = ReadyByUnconfirmedPeers
	}
}

// Freshness reports how current the state in force is known to be now.
func (c *Catalog) Freshness() Freshness {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.config.Now()
	c.freshness.checkUnconfirmedPeers(now)
	return Freshness{
		Ready:     c.freshness.readyBy != "",
		ReadyBy:   c.freshness.readyBy,
		Confirmed: c.freshness.storeConfirmed(now),
		Revision:  c.State().Revision(),
	}
}
