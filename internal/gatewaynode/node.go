// Package gatewaynode joins the parts of an entry that serves routed requests: the
// watches of the store, the gateway, its servers, and its start and end.
package gatewaynode

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/briarturn/briarturn/evacuation"
	"github.com/briarturn/briarturn/gateway"
	"github.com/briarturn/briarturn/internal/boottime"
	"github.com/briarturn/briarturn/internal/graceful"
	"github.com/briarturn/briarturn/internal/sleep"
	"github.com/briarturn/briarturn/objectapi"
	"github.com/briarturn/briarturn/peering"
	"github.com/briarturn/briarturn/placement"
	"github.com/briarturn/briarturn/quarantine"
	"github.com/briarturn/briarturn/replica"
	"github.com/briarturn/briarturn/reservation"
	"github.com/briarturn/briarturn/routetable"
	"github.com/briarturn/briarturn/upstream"
	"github.com/briarturn/briarturn/warmup"
)

const (
	// configWait is how long a watch of the configuration waits. Each return proves
	// the configuration current, so that it bounds the age of the proof.
	configWait = time.Second
	// serversWait is the same for the list of backend servers, where a quiet watch proves
	// how things were at its end: undisturbed the word is a wait old at most, and entries
	// that read it through others trust it for not much more. Within three seconds of its
	// word a server that leaves has to be left alone.
	serversWait = 2 * time.Second
	// watchInterval paces the watches in a burst of changes: with what peers take to ask
	// each other, a change is known everywhere in half of the two seconds in which it
	// has to be in force. While servers are replaced one after the other each watch
	// returns at once, so that this is what bounds the calls.
	watchInterval = 250 * time.Millisecond
	// watchBackoffMax bounds the pause between two tries while the store is away:
	// half a second of the five in which a removed key has to be refused.
	watchBackoffMax = 500 * time.Millisecond
	// assumedEntries is how many entries share the retry budget until more are
	// known: a new process must not take the whole of it.
	assumedEntries = 6
	// sweepEvery is how often idle connections are looked over.
	sweepEvery = time.Second
)

// IdleReadsPerSecond returns how often the entries of a fleet ask the store together
// while nothing changes: the readers of each availability zone, each watch once in its
// wait.
func IdleReadsPerSecond(entries, zones int) float64 {
	readers := min(entries, max(zones*peering.ReadersPerZone, peering.MinReaders))
	perReader := 0.0
	for _, wait := range []time.Duration{configWait, serversWait, peering.PresenceWatchWait} {
		perReader += float64(time.Second) / float64(wait)
	}
	return float64(readers) * perReader
}

// Decoder translates the platform's objects.
type Decoder struct {
	ConfigKind  string
	ServersKind string
	// EvacuationsKind holds an object for each availability zone that is evacuated, by its
	// name.
	EvacuationsKind string
	Config          func(objectapi.Object) (*routetable.Table, bool, error)
	Server          func(objectapi.Object, time.Time) (upstream.Server, error)
}

// Config sets up a Node.
type Config struct {
	Name        string
	Listen      string // callers
	Datagram    string // other entries
	RPC         string // other entries' reads of the store; empty: none through each other
	AdminListen string // metrics, health and readiness
	Zone        string
	Region      string
	// Regions are those of the zones, by name; the own zone needs no entry.
	Regions map[string]string
	// FirstStart says that the whole fleet starts, and nobody calls yet: entries take their
	// time to find each other, and a few read the store for all.
	FirstStart bool
	// EvacuateWithin is how long after an operator has evacuated a zone nothing new may go
	// there any more; 0: operators evacuate no zones here.
	EvacuateWithin time.Duration
	LinkMbps       int    // of the VM; 0: not known
	ReadyListen    string // the balancer's question
	Grace          time.Duration
	RetryRatio     float64
	RetrySlack     float64
	RetryWindow    time.Duration
	Conns          ConnLimits
	Options        gateway.Options
	Policy         placement.Policy // empty: placement.LeastLoss
	// Engines gives orders over the node's connections.
	Engines  func(*upstream.Pool) reservation.EngineClient
	Store    objectapi.Store
	Decoder  Decoder
	Protocol gateway.Protocol
	Log      logrus.FieldLogger
	Sampler  gateway.Sampler // of the lines of requests that went well
	Metrics  metrics.Registry
}

// Node is one running entry.
type Node struct {
	cfg       Config
	routes    *routetable.Holder
	directory *upstream.Directory
	zones     *evacuation.Zones
	warmup    *warmup.Limiter
	pool      *upstream.Pool
	gateway   *gateway.Gateway
	callers   *graceful.Server
	ready     *http.Server
	admin     *http.Server
	stop      context.CancelFunc
	listed    listedFlag
	ledger    *placement.Ledger
	exchange  *peering.Exchange
	replica   *replica.Replica
	engines   engineIndex

	address, readyAddress string // as bound
}

// Start binds the addresses and begins to serve. The node answers 503 until it has
// read the configuration.
func Start(cfg Config) (*Node, error) {
	n := &Node{
		cfg:       cfg,
		routes:    routetable.NewHolder(boottime.Now),
		directory: upstream.NewDirectory(upstream.DefaultAbsentGrace),
		zones:     evacuation.NewZones(boottime.Now),
		warmup:    warmup.NewLimiter(cfg.Name, time.Now()),
		pool:      upstream.NewPool(cfg.Metrics),
	}
	if !n.evacuates() {
		n.zones.Replace(nil, boottime.Now())
	}
	n.ledger = placement.NewLedger(n.engineOf)
	n.replica = replica.New((*sink)(n), boottime.Now)
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	rpc, err := n.servePeers(ctx)
	if err != nil {
		stop()
		return nil, err
	}
	incarnation := rand.Uint64()
	suspects := quarantine.NewTracker(gateway.QuarantineOptions())
	budget := gateway.NewRetryBudget(cfg.RetryRatio, cfg.RetrySlack, cfg.RetryWindow, assumedEntries)
	exchange, err := peering.Start(ctx, peering.Config{
		Name:          cfg.Name,
		ListenAddress: cfg.Datagram,
		RPCAddress:    rpc,
		Incarnation:   incarnation,
		Zone:          cfg.Zone,
		Region:        cfg.Region,
		LinkMbps:      cfg.LinkMbps,
		Store:         cfg.Store,
		Ledger:        n.ledger,
		Quarantine:    suspects,
		OnEntriesChanged: func(names []string, listed bool) {
			budget.SetEntries(len(names))
			if listed {
				n.warmup.SetEntries(names, time.Now())
			}
		},
		Log:     cfg.Log,
		Metrics: cfg.Metrics,
	})
	if err != nil {
		stop()
		return nil, err
	}
	n.exchange = exchange
	n.gateway = gateway.New(gateway.Config{
		Protocol:      cfg.Protocol,
		Routes:        n.routes,
		Directory:     n.directory,
		Zones:         n.zones,
		Warmup:        n.warmup,
		Pool:          n.pool,
		Placer:        placement.NewPlanner(n.ledger, incarnation, time.Now, exchange.AttemptPublisher()).SetPolicy(cmp.Or(cfg.Policy, placement.LeastLoss)),
		Budget:        budget,
		Quarantine:    suspects,
		DeathReporter: exchange.DeathReporter(),
		Reserver:      reservation.New(cfg.Engines(n.pool), incarnation, cfg.Log, cfg.Metrics),
		Options:       cfg.Options,
		Log:           cfg.Log,
		Sampler:       cfg.Sampler,
		Metrics:       cfg.Metrics,
	})
	if err := n.serve(); err != nil {
		stop()
		_ = exchange.Close() // nothing was exchanged yet
		return nil, err
	}
	follow := n.follower()
	n.watch(ctx, cfg.Decoder.ConfigKind, configWait, follow)
	n.watch(ctx, cfg.Decoder.ServersKind, serversWait, follow)
	n.watch(ctx, peering.KindGateway, peering.PresenceWatchWait, follow)
	if n.evacuates() {
		n.watch(ctx, cfg.Decoder.EvacuationsKind, n.evacuationsWait(), follow)
	}
	n.readThroughPeers(ctx, follow)
	go n.sweep(ctx)
	return n, nil
}

func (n *Node) watch(ctx context.Context, kind string, wait time.Duration, follow *follower) {
	config := watcherConfig(kind, wait)
	config.EmptyWaitIsCurrent = kind != n.cfg.Decoder.ConfigKind // a removed key has to be refused whatever the store does
	config.Store = n.cfg.Store
	config.Sink = n.replica
	config.OnUnavailable = n.lost
	config.Suspended = follow.leavesStore
	config.CurrentRevision = n.replica.Revision
	config.OnCallFailed = follow.failed
	config.Metrics = n.cfg.Metrics
	config.Log = n.cfg.Log
	go objectapi.NewWatcher(config).Run(ctx)
}

// watcherConfig paces the watch of a kind.
func watcherConfig(kind string, wait time.Duration) objectapi.WatcherConfig {
	return objectapi.WatcherConfig{Kinds: []string{kind}, Wait: wait, Interval: watchInterval, BackoffMax: watchBackoffMax}
}

func (n *Node) lost(kind string) {
	if kind == n.cfg.Decoder.ServersKind {
		n.directory.MarkStoreUnavailable()
	}
}

func (n *Node) sweep(ctx context.Context) {
	for sleep.For(ctx, sweepEvery) {
		known, instances := map[string]bool{}, map[string]bool{}
		for _, s := range n.directory.All() {
			known[s.Address], instances[s.Instance] = true, true
		}
		n.pool.Sweep(func(address string) bool { return known[address] })
		n.warmup.Retain(func(instance string) bool { return instances[instance] })
		n.ledger.PruneServers(func(server uint64) bool { return n.engines.knows(n.directory, server) })
	}
}
