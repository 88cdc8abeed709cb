package gatewaynode

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/briarturn/briarturn/internal/boottime"
	"github.com/briarturn/briarturn/peering"
	"github.com/briarturn/briarturn/replica"
	"github.com/briarturn/briarturn/wire"
)

const (
	// The ages from which peers are asked. A proof of the configuration counts from before
	// its watch began to wait, and the next one comes a wait later: undisturbed, it grows to
	// two waits and what two calls take; that of the servers to one wait. The slack is for
	// the pull, and for a reader that has to list again since the store forgot its history:
	// without it every entry would do so.
	configPullAge   = 2*configWait + pullAgeSlack
	serversPullAge  = serversWait + pullAgeSlack
	presencePullAge = 3 * peering.PresenceWatchWait // nothing depends on its being new
	pullAgeSlack    = 900 * time.Millisecond
	// takeUpPause bounds the pause, from half of it on, after which an entry that isn't a
	// reader asks the object API again that didn't answer it. In an outage every entry
	// finds its readers' word old, and all would ask, for each kind. The readers go on
	// trying at their own pace and the others hear of the end by their next question.
	takeUpPause = 3 * time.Second
	// At the first start of a whole fleet each entry would read all that it has to know
	// from the store, though a few could hand it to the others. All have announced
	// themselves after announceTime, so that one list of the entries shows them; after
	// gatherTime they have heard each other's beats and know who the readers are; gatherLimit
	// is how long one that is no reader leaves the first read to the readers.
	announceTime = 1200 * time.Millisecond
	gatherTime   = 2500 * time.Millisecond
	gatherLimit  = 6 * time.Second
)

// follower decides when an entry leaves the store to the readers of its region. It is
// safe for concurrent use.
type follower struct {
	replica *replica.Replica
	kinds   []replica.PulledKind
	readers func() peering.Readers
	clock   boottime.Clock
	turn    atomic.Uint64 // counts the questions to readers
	// gathers is set at the first start of the whole fleet.
	gathers bool
	begun   boottime.Instant

	mu     sync.Mutex // guards what follows; a leaf lock
	pauses map[string]boottime.Instant
}

// follower returns the node's own. Its peers can be asked once the exchange runs.
func (n *Node) follower() *follower {
	kinds := []replica.PulledKind{
		{Kind: n.cfg.Decoder.ConfigKind, MaxAge: configPullAge},
		{Kind: n.cfg.Decoder.ServersKind, MaxAge: serversPullAge},
		{Kind: peering.KindGateway, MaxAge: presencePullAge},
	}
	if n.evacuates() {
		kinds = append(kinds, replica.PulledKind{Kind: n.cfg.Decoder.EvacuationsKind, MaxAge: n.evacuationsWait() + pullAgeSlack})
	}
	f := newFollower(n.replica, kinds, n.exchange.Readers, boottime.Now)
	f.gathers = n.cfg.FirstStart
	return f
}

func newFollower(r *replica.Replica, kinds []replica.PulledKind, readers func() peering.Readers, clock boottime.Clock) *follower {
	return &follower{
		replica: r, kinds: kinds, readers: readers, clock: clock, begun: clock(), pauses: map[string]boottime.Instant{},
	}
}

// leavesStore reports whether the entry leaves a kind to its peers now: others read the
// store, and what they tell is new enough. As soon as it isn't, the entry asks the store
// itself, and if that fails, again after a pause.
func (f *follower) leavesStore(kind string) bool {
	own := f.readers().Self
	age, ok := f.replica.Age(kind)
	if !ok && f.leavesFirstRead(kind, own) {
		return true
	}
	if own {
		return false
	}
	if ok && age < f.limit(kind) {
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.clock() < f.pauses[kind]
}

// leavesFirstRead reports whether an entry leaves the first read of a kind to others, at
// the first start of the whole fleet.
func (f *follower) leavesFirstRead(kind string, own bool) bool {
	if !f.gathers {
		return false
	}
	passed := f.clock().Sub(f.begun)
	if kind == peering.KindGateway {
		return passed < announceTime
	}
	return passed < gatherTime || !own && passed < gatherLimit
}

// failed notes that the store didn't answer the entry for a kind.
func (f *follower) failed(kind string) {
	pause := takeUpPause/2 + rand.N(takeUpPause/2)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pauses[kind] = f.clock().Add(pause)
}

// limit is the age up to which a kind is left to peers.
func (f *follower) limit(kind string) time.Duration {
	for _, k := range f.kinds {
		if k.Kind == kind {
			return k.MaxAge
		}
	}
	return 0
}

// sources returns whom to ask, and whether to leave the store to them. A reader of the own
// zone and one of another take turns to be first: the store may have turned away the one
// and serve the others, and what the first says counts as new for seconds. After them
// comes an entry that is no reader: the store may have turned away all that are.
func (f *follower) sources() replica.Sources {
	r := f.readers()
	out := replica.Sources{AlwaysPull: !r.Self, LargeObjectPeers: r.SameZone}
	first, second := r.SameZone, r.OtherZones
	if f.turn.Add(1)%2 == 0 {
		first, second = second, first
	}
	for _, group := range [][]string{first, second, r.Others} {
		out.Peers = append(out.Peers, group[:min(1, len(group))]...)
	}
	for _, group := range [][]string{first, second, r.Others} {
		out.Peers = append(out.Peers, group[min(1, len(group)):]...)
	}
	return out
}

// puller returns the Puller that keeps the follower's kinds current.
func (f *follower) puller(asker replica.Client, r metrics.Registry) *replica.Puller {
	return replica.NewPuller(replica.PullerConfig{
		Replica: f.replica,
		Kinds:   f.kinds,
		Client:  asker,
		Sources: f.sources,
		Clock:   f.clock,
		Metrics: r,
	})
}

// servePeers answers other entries' reads until ctx ends, and returns the address
// that was bound; it is empty where none is set.
func (n *Node) servePeers(ctx context.Context) (string, error) {
	if n.cfg.RPC == "" {
		return "", nil
	}
	lis, err := net.Listen("tcp", n.cfg.RPC)
	if err != nil {
		return "", errors.Annotatef(err, "step listen for peers, address %s", n.cfg.RPC)
	}
	services := wire.Services{Entry: replica.NewService(n.replica, boottime.Now)}
	go func() {
		err := wire.Serve(ctx, lis, services, wire.Options{Log: n.cfg.Log, Metrics: n.cfg.Metrics})
		if err != nil {
			// Peers read the store directly, or through others; only they lose by it.
			n.cfg.Log.WithError(err).Error("peers are not answered any more")
		}
	}()
	return lis.Addr().String(), nil
}

// readThroughPeers begins to keep what the store says current from peers, while the
// store turns this VM away, until ctx ends.
func (n *Node) readThroughPeers(ctx context.Context, follow *follower) {
	if n.cfg.RPC == "" {
		return
	}
	dialer := wire.NewDialer(wire.Options{Log: n.cfg.Log, Metrics: n.cfg.Metrics})
	puller := follow.puller(dialer, n.cfg.Metrics)
	go func() {
		puller.Run(ctx)
		if err := dialer.Close(); err != nil {
			n.cfg.Log.WithError(err).Info("connections to peers did not end well")
		}
	}()
}
