package gatewaynode

import (
	"context"
	"net"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/briarturn/briarturn/internal/boottime"
	"github.com/briarturn/briarturn/replica"
	"github.com/briarturn/briarturn/wire"
)

const (
	// configPullAge and serversPullAge are the ages from which peers are asked. A proof
	// counts from before its watch began to wait, and the next one comes a wait later:
	// undisturbed, it grows to two waits and what two calls take.
	configPullAge  = 2*configWait + 500*time.Millisecond
	serversPullAge = 2*serversWait + 500*time.Millisecond
)

// follower decides when an entry leaves the store to the readers of its zone.
type follower struct {
	replica *replica.Replica
	kinds   []replica.Followed
	// readers tells whether this entry reads the store itself, and which peers answer.
	readers func() (own bool, addresses []string)
	clock   boottime.Clock
}

// follower returns the node's own. Its peers can be asked once the exchange runs.
func (n *Node) follower() *follower {
	return &follower{
		replica: n.replica,
		kinds: []replica.Followed{
			{Kind: n.cfg.Decoder.ConfigKind, Age: configPullAge},
			{Kind: n.cfg.Decoder.ServersKind, Age: serversPullAge},
		},
		readers: n.exchange.Readers,
		clock:   boottime.Now,
	}
}

// leavesStore reports whether the entry leaves a kind to its peers now: others of its
// zone read the store, and what they tell is new enough. As soon as it isn't, the entry
// asks the store itself, whoever was to do so.
func (f *follower) leavesStore(kind string) bool {
	if own, _ := f.readers(); own {
		return false
	}
	age, ok := f.replica.Age(kind)
	return ok && age < f.limit(kind)
}

// limit is the age up to which a kind is left to peers.
func (f *follower) limit(kind string) time.Duration {
	for _, k := range f.kinds {
		if k.Kind == kind {
			return k.Age
		}
	}
	return 0
}

// peers returns whom to ask, and whether to leave the store to them.
func (f *follower) peers() (always bool, addresses []string) {
	own, addresses := f.readers()
	return !own, addresses
}

// puller returns the Puller that keeps the follower's kinds current.
func (f *follower) puller(asker replica.Asker, r metrics.Registry) *replica.Puller {
	return replica.NewPuller(replica.PullerConfig{
		Replica: f.replica,
		Kinds:   f.kinds,
		Asker:   asker,
		Peers:   f.peers,
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
