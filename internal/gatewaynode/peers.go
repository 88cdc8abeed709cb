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
	"github.com/briarturn/briarturn/objectapi"
	"github.com/briarturn/briarturn/peering"
	"github.com/briarturn/briarturn/replica"
	"github.com/briarturn/briarturn/wire"
)

const (
	// The greatest ages above which a kind counts as outdated and peers are asked. The slack
	// covers the pull, and a reader that has to list again because the store has dropped its
	// history; without the slack every entry would list.
	maxConfigPullAge  = 2*maxConfigWait + pullAgeSlack
	maxServersPullAge = maxServersWait + pullAgeSlack
	presencePullAge   = 3 * peering.PresenceWatchWait // nothing depends on current presence data
	pullAgeSlack      = 900 * time.Millisecond
	// maxRetryPause is the longest pause after a failed call before an entry that isn't a
	// reader calls the object API again; the pause is random, at least half of this. In an
	// outage the state from the readers becomes outdated at every entry, and all would call,
	// for each kind. The readers continue to retry at their own pace, and the others get
	// the new state from them with their next pull after the outage.
	maxRetryPause = 3 * time.Second
	// At the first start of a whole fleet each entry would read the whole state from the
	// store, though a few could pass it to the others. After announceTime all entries have
	// announced themselves, so that one list of the entries contains them all. After
	// discoveryTime they have received each other's heartbeats and can determine the
	// readers. maxFirstReadWait is the longest time for which an entry that isn't a reader
	// leaves the first read to the readers.
	announceTime     = 1200 * time.Millisecond
	discoveryTime    = 2500 * time.Millisecond
	maxFirstReadWait = 6 * time.Second
)

// follower decides when an entry skips reading the store and relies on the readers of its
// region. It is safe for concurrent use.
type follower struct {
	replica   *replica.Replica
	kinds     []replica.PulledKind
	readers   func() peering.Readers
	clock     boottime.Clock
	pullCount atomic.Uint64 // counts calls of sources, to alternate the first peer
	// firstStart is set if the whole fleet starts for the first time.
	firstStart bool
	startedAt  boottime.Instant

	mu          sync.Mutex // guards the fields below; no other lock is taken while it is held
	pausedUntil map[string]boottime.Instant
}

// follower returns the follower of the node. It can ask peers once the exchange runs.
func (n *Node) follower() *follower {
	kinds := []replica.PulledKind{
		{Kind: n.cfg.Decoder.ConfigKind, MaxAge: configPace(n.cfg.ConfigWithin).maxAge},
		{Kind: n.cfg.Decoder.ServersKind, MaxAge: serversPace(n.cfg.DrainWithin).maxAge},
		{Kind: peering.KindGateway, MaxAge: presencePullAge},
	}
	if n.evacuationEnabled() {
		kinds = append(kinds, replica.PulledKind{Kind: n.cfg.Decoder.EvacuationsKind, MaxAge: evacuationsPace(n.cfg.EvacuateWithin).maxAge})
	}
	f := newFollower(n.replica, kinds, n.exchange.Readers, boottime.Now)
	f.firstStart = n.cfg.FirstStart
	return f
}

func newFollower(r *replica.Replica, kinds []replica.PulledKind, readers func() peering.Readers, clock boottime.Clock) *follower {
	return &follower{
		replica: r, kinds: kinds, readers: readers, clock: clock, startedAt: clock(), pausedUntil: map[string]boottime.Instant{},
	}
}

// skipsStore reports whether the entry skips reading a kind from the store now, because
// other entries read it and the state from them is recent enough. Otherwise the entry
// reads the store itself, and if that fails, retries after a pause.
func (f *follower) skipsStore(kind string) bool {
	own := f.readers().Self
	age, ok := f.replica.Age(kind)
	if !ok && f.skipsFirstRead(kind, own) {
		return true
	}
	if own {
		return false
	}
	if ok && age < f.maxAge(kind) {
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.clock() < f.pausedUntil[kind]
}

// skipsFirstRead reports whether an entry leaves the first read of a kind to other entries,
// which it does only at the first start of the whole fleet.
func (f *follower) skipsFirstRead(kind string, own bool) bool {
	if !f.firstStart {
		return false
	}
	passed := f.clock().Sub(f.startedAt)
	if kind == peering.KindGateway {
		return passed < announceTime
	}
	return passed < discoveryTime || !own && passed < maxFirstReadWait
}

// callFailed records that a call to the store for a kind failed, and starts the pause.
func (f *follower) callFailed(kind string) {
	pause := maxRetryPause/2 + rand.N(maxRetryPause/2)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pausedUntil[kind] = f.clock().Add(pause)
}

// maxAge returns the age below which state from peers is accepted for a kind.
func (f *follower) maxAge(kind string) time.Duration {
	for _, k := range f.kinds {
		if k.Kind == kind {
			return k.MaxAge
		}
	}
	return 0
}

// sources returns the peers to pull from, and whether to pull always. A reader of the
// node's own zone and one of another zone alternate as the first peer: the store may
// reject calls of one and serve the other, and the state from the first counts as recent
// for seconds. An entry that isn't a reader follows them, because the store may reject
// the calls of all readers.
func (f *follower) sources() replica.Sources {
	r := f.readers()
	out := replica.Sources{AlwaysPull: !r.Self, LargeObjectPeers: r.SameZone}
	first, second := r.SameZone, r.OtherZones
	if f.pullCount.Add(1)%2 == 0 {
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

// puller returns the Puller that keeps the follower's kinds current from peers.
func (f *follower) puller(asker replica.Client, onEra func(uint64), r metrics.Registry) *replica.Puller {
	return replica.NewPuller(replica.PullerConfig{
		Replica: f.replica,
		Kinds:   f.kinds,
		Client:  asker,
		Sources: f.sources,
		Clock:   f.clock,
		OnEra:   onEra,
		Metrics: r,
	})
}

// observeEra tells the store's client of an era that a peer knows, so that its watches of older ones end.
func (n *Node) observeEra(era uint64) {
	if store, ok := n.cfg.Store.(objectapi.EraObserver); ok {
		store.ObserveEra(era)
	}
}

// servePeers serves other entries' reads until ctx ends, and returns the bound address,
// or an empty string if no address is configured.
func (n *Node) servePeers(ctx context.Context) (string, error) {
	if n.cfg.RPC == "" {
		return "", nil
	}
	lis, err := net.Listen("tcp", n.cfg.RPC)
	if err != nil {
		return "", errors.Annotatef(err, "step listen for peers, address %s", n.cfg.RPC)
	}
	services := wire.Services{Entry: replica.NewService(boottime.Now, n.replica, n.inForce.replica)}
	go func() {
		err := wire.Serve(ctx, lis, services, wire.Options{Log: n.cfg.Log, Metrics: n.cfg.Metrics})
		if err != nil {
			// Peers can still read the store directly or through other entries, so that
			// this entry continues to serve callers.
			n.cfg.Log.WithError(err).Error("stopped serving peers")
		}
	}()
	return lis.Addr().String(), nil
}

// startPuller starts pulling the store's state from peers, until ctx ends. This keeps the
// state current also while the store rejects this VM's calls.
func (n *Node) startPuller(ctx context.Context, follow *follower) {
	if n.cfg.RPC == "" {
		return
	}
	dialer := wire.NewDialer(wire.Options{Log: n.cfg.Log, Metrics: n.cfg.Metrics})
	puller := follow.puller(dialer, n.observeEra, n.cfg.Metrics)
	go n.inForce.puller(follow, dialer, n.cfg.Metrics).Run(ctx)
	go func() {
		puller.Run(ctx)
		if err := dialer.Close(); err != nil {
			n.cfg.Log.WithError(err).Info("failed to close connections to peers")
		}
	}()
}
