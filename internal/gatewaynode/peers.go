package gatewaynode

import (
	"context"
	"net"
	"time"

	"github.com/juju/errors"

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

// leavesStore reports whether this entry leaves a kind to its peers now: others of its
// zone read the store, and what they tell is new enough. As soon as it isn't, the entry
// asks the store itself, whoever was to do so.
func (n *Node) leavesStore(kind string) bool {
	if own, _ := n.exchange.Readers(); own {
		return false
	}
	limit := configPullAge
	if kind == n.cfg.Decoder.ServersKind {
		limit = serversPullAge
	}
	age, ok := n.replica.Age(kind)
	return ok && age < limit
}

// readers returns the peers to ask, and whether to leave the store to them.
func (n *Node) readers() (always bool, addresses []string) {
	own, addresses := n.exchange.Readers()
	return !own, addresses
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
func (n *Node) readThroughPeers(ctx context.Context) {
	if n.cfg.RPC == "" {
		return
	}
	dialer := wire.NewDialer(wire.Options{Log: n.cfg.Log, Metrics: n.cfg.Metrics})
	puller := replica.NewPuller(replica.PullerConfig{
		Replica: n.replica,
		Kinds: []replica.Followed{
			{Kind: n.cfg.Decoder.ConfigKind, Age: configPullAge},
			{Kind: n.cfg.Decoder.ServersKind, Age: serversPullAge},
		},
		Asker:   dialer,
		Peers:   n.readers,
		Clock:   boottime.Now,
		Metrics: n.cfg.Metrics,
	})
	go func() {
		puller.Run(ctx)
		if err := dialer.Close(); err != nil {
			n.cfg.Log.WithError(err).Info("connections to peers did not end well")
		}
	}()
}
