package declared

import "time"

// DefaultMaxConfirmationAge covers one watch of the store that waits in full
// (objectapi.DefaultWatchWait), the time limit of its call and the pause before
// it, 5.5 s together.
const DefaultMaxConfirmationAge = 8 * time.Second

// maxPeersCounted bounds the peers remembered until the process is ready.
const maxPeersCounted = 64

// Freshness says how far the state in force can be relied on.
//
// A process that starts empty while the store is down and hears only a peer
// that lags can't tell that the peer lags. What holds:
//
//   - Within one process nothing goes back: what came into force is replaced by
//     newer versions only, whatever peers send.
//   - Ready is false until every kind is known in full from the store itself,
//     or from a peer that the store had confirmed within ConfirmWithin of its
//     answer. At that moment the state is no older than ConfirmWithin and the
//     time that the pull took. So a replaced VM takes no requests under a
//     configuration older than that.
//   - A confirmation isn't passed on: a peer that has it from another peer
//     answers StoreConfirmed false. Else two peers could confirm each other
//     for ever.
//   - Ready doesn't lapse. A ready process goes on through an outage with what
//     it has; Confirmed tells that it no longer hears the store.
//
// What is given up is readiness: in an outage that has lasted ConfirmWithin, a
// process that starts empty stays unready until the store is back. Operators
// who would rather have the VM than the freshness set UnconfirmedPeers: the
// process is then ready once UnconfirmedAfter has passed since its start and
// that many different peers have each given their complete state, of which the
// newest is in force. It may then run under an older configuration than other
// processes do, if the store accepted changes that none of these peers heard
// of, until it hears of them itself.
type Freshness struct {
	Ready     bool
	ReadyBy   ReadySource
	Confirmed bool // the store's last word is within ConfirmWithin
	Revision  uint64
}

// ReadySource says what made a process ready.
type ReadySource string

// Ways to become ready.
const (
	ReadyByStore            ReadySource = "store"
	ReadyByPeer             ReadySource = "confirmed_peer"
	ReadyByUnconfirmedPeers ReadySource = "unconfirmed_peers"
)

type freshness struct {
	config  Config
	started time.Time
	by      ReadySource          // empty until ready
	said    map[string]time.Time // by kind, when the store last spoke of it
	peers   map[string]struct{}  // that gave their complete state
}

func newFreshness(c Config) freshness {
	return freshness{
		config:  c,
		started: c.Now(),
		said:    map[string]time.Time{},
		peers:   map[string]struct{}{},
	}
}

func (f *freshness) storeSaid(now time.Time, kinds ...string) {
	for _, kind := range kinds {
		f.said[kind] = now
	}
	if f.by == "" && f.storeConfirmed(now) {
		f.by = ReadyByStore
	}
}

func (f *freshness) peerSaid(peer string, confirmed bool) {
	if f.by != "" {
		return
	}
	if confirmed {
		f.by = ReadyByPeer
		return
	}
	if len(f.peers) < maxPeersCounted {
		f.peers[peer] = struct{}{}
	}
}

// storeConfirmed reports whether the store spoke of every kind lately.
func (f *freshness) storeConfirmed(now time.Time) bool {
	for _, kind := range f.config.Kinds {
		at, ok := f.said[kind]
		if !ok || now.Sub(at) > f.config.MaxConfirmationAge {
			return false
		}
	}
	return true
}

// weigh makes the process ready by unconfirmed peers if that is allowed.
func (f *freshness) weigh(now time.Time) {
	allowed := f.config.UnconfirmedPeers > 0 && now.Sub(f.started) >= f.config.UnconfirmedAfter
	if f.by == "" && allowed && len(f.peers) >= f.config.UnconfirmedPeers {
		f.by = ReadyByUnconfirmedPeers
	}
}

// Freshness returns how far the state in force can be relied on now.
func (c *Catalog) Freshness() Freshness {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.config.Now()
	c.freshness.weigh(now)
	return Freshness{
		Ready:     c.freshness.by != "",
		ReadyBy:   c.freshness.by,
		Confirmed: c.freshness.storeConfirmed(now),
		Revision:  c.State().Revision(),
	}
}
