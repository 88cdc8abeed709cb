// Package gatewaynode assembles an entry that serves routed requests: the watches of the
// store, the gateway and its servers, and startup and shutdown.
package gatewaynode

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/briarturn/briarturn/allowance"
	"github.com/briarturn/briarturn/evacuation"
	"github.com/briarturn/briarturn/gateway"
	"github.com/briarturn/briarturn/internal/boottime"
	"github.com/briarturn/briarturn/internal/graceful"
	"github.com/briarturn/briarturn/internal/sleep"
	"github.com/briarturn/briarturn/lostservers"
	"github.com/briarturn/briarturn/objectapi"
	"github.com/briarturn/briarturn/peering"
	"github.com/briarturn/briarturn/placement"
	"github.com/briarturn/briarturn/quarantine"
	"github.com/briarturn/briarturn/replica"
	"github.com/briarturn/briarturn/reservation"
	"github.com/briarturn/briarturn/retrybudget"
	"github.com/briarturn/briarturn/routetable"
	"github.com/briarturn/briarturn/serverlimit"
	"github.com/briarturn/briarturn/servernotice"
	"github.com/briarturn/briarturn/upstream"
	"github.com/briarturn/briarturn/workspace"
)

const (
	// maxConfigWait is the longest time that a watch of the configuration waits for a change.
	// Each return confirms that the configuration is current, so that this bounds the age
	// of the confirmation.
	maxConfigWait = time.Second
	// maxServersWait is the same for the list of backend servers.
	maxServersWait = 2 * time.Second
	// watchInterval is the minimum time between the starts of two watches of a kind, which
	// matters in a burst of changes. Together with the time that peers take to pull from
	// each other, it lets a change reach every entry in half of the two seconds within
	// which it must be in force. While servers are replaced one after the other, each watch
	// returns immediately, and only this interval bounds the number of calls.
	watchInterval = 250 * time.Millisecond
	// watchBackoffMax is the longest pause between two attempts while the store is
	// unavailable: half a second of the five within which a removed key must be refused.
	watchBackoffMax = 500 * time.Millisecond
	// sweepInterval is the interval at which idle connections, and the state of removed servers,
	// are released.
	sweepInterval = time.Second
)

// IdleReadsPerSecond returns the number of store reads per second by all entries of a fleet
// while nothing changes: each reader of each availability zone repeats each of its watches
// once per wait. The waits are the longest ones; where changes must be in force within less
// than about three seconds they are shorter (configPace, serversPace).
func IdleReadsPerSecond(entries, zones int) float64 {
	readers := min(entries, max(zones*peering.ReadersPerZone, peering.MinReaders))
	perReader := 0.0
	for _, wait := range []time.Duration{maxConfigWait, maxServersWait, peering.PresenceWatchWait} {
		perReader += float64(time.Second) / float64(wait)
	}
	return float64(readers) * perReader
}

// Decoder decodes the platform's objects.
type Decoder struct {
	ConfigKind  string
	ServersKind string
	// EvacuationsKind is the kind with one object for each evacuated availability zone,
	// named after the zone.
	EvacuationsKind string
	Config          func(objectapi.Object) (*routetable.Table, bool, error)
	Server          func(objectapi.Object, time.Time) (upstream.Server, error)
}

// Config configures a Node.
type Config struct {
	Name        string
	Listen      string // address for callers
	Datagram    string // address for datagrams of other entries
	RPC         string // address for other entries' reads of the store; if empty, entries don't read through peers
	AdminListen string // address for metrics, health and readiness
	Zone        string
	Region      string
	// Regions maps zone names to regions. The node's own zone needs no entry.
	Regions map[string]string
	// FirstStart is set if the whole fleet starts and there are no callers yet. Entries then
	// first wait until they have discovered each other, and a few read the store for all.
	FirstStart bool
	// ConfigWithin is the time after its acknowledgement by which a change of the
	// configuration must be in force; 0: any time.
	ConfigWithin time.Duration
	// DrainWithin is the time after a server announced that it leaves by which it must
	// receive no new requests; 0: any time.
	DrainWithin time.Duration
	// EvacuateWithin is the time after an operator evacuates a zone by which no new requests
	// may go there. 0 disables evacuation of zones.
	EvacuateWithin time.Duration
	LinkMbps       int    // of the VM; 0 if unknown
	ReadyListen    string // address for the load balancer's readiness checks
	Grace          time.Duration
	RetryRatio     float64
	RetrySlack     float64
	RetryWindow    time.Duration
	Conns          ConnLimits
	Options        gateway.Options
	Policy         placement.Policy // placement.LeastLoss if empty
	// Engines returns the client that sends orders to engines over the node's connections.
	Engines  func(*upstream.Pool) reservation.EngineClient
	Store    objectapi.Store
	Decoder  Decoder
	Protocol gateway.Protocol
	Log      logrus.FieldLogger
	Sampler  gateway.Sampler // samples the log lines of successful requests
	Metrics  metrics.Registry
}

// Node is one running entry.
type Node struct {
	cfg           Config
	routes        *routetable.Holder
	directory     *upstream.Directory
	zones         *evacuation.Zones
	coldSends     *allowance.Limiter
	limits        *serverlimit.Table
	limitedSends  *allowance.Limiter
	notices       *servernotice.Table
	lost          *lostservers.Table
	parts         *quarantine.PartTracker
	suspectLog    suspectLog
	lostLog       lostLog
	pool          *upstream.Pool
	gateway       *gateway.Gateway
	callers       *graceful.Server
	ready         *http.Server
	admin         *http.Server
	stop          context.CancelFunc
	serversListed listedFlag
	incarnation   uint64
	configVersion uint64 // object version of the configuration in force; only sink uses it
	inForce       *inForce
	ledger        *placement.Ledger
	exchange      *peering.Exchange
	replica       *replica.Replica
	engines       serviceIndex
	room          *gateway.RoomQueue                  // nil if no request waits for room
	turns         atomic.Pointer[workspace.Scheduler] // of room; nil before the first request that may wait
	entries       atomic.Int64

	address, readyAddress string // as bound
}

// Start binds the addresses and starts to serve. The node responds with status 503 until
// it has read the configuration.
func Start(cfg Config) (*Node, error) {
	n := &Node{
		cfg:          cfg,
		routes:       routetable.NewHolder(boottime.Now),
		directory:    upstream.NewDirectory(upstream.DefaultAbsentGrace),
		zones:        evacuation.NewZones(boottime.Now),
		coldSends:    allowance.NewLimiter(cfg.Name, time.Now()),
		limits:       serverlimit.NewTable(),
		limitedSends: allowance.NewLimiter(cfg.Name, time.Now()),
		notices:      servernotice.NewTable(),
		pool:         upstream.NewPool(cfg.Metrics),
	}
	if !n.evacuationEnabled() {
		n.zones.Replace(nil, boottime.Now())
	}
	n.room = n.newRoomQueue()
	n.ledger = placement.NewLedger(n.engineProfile)
	n.ledger.OnEnded(n.attemptEnded)
	eras := objectapi.NewRecoverySink(objectapi.RecoverySinkConfig{Next: (*sink)(n), Log: cfg.Log, Metrics: cfg.Metrics})
	n.replica = replica.New(eras, boottime.Now)
	n.inForce = newInForce((*inForceSink)(n), boottime.Now)
	n.replica.SetEras(eras)
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	rpc, err := n.servePeers(ctx)
	if err != nil {
		stop()
		return nil, err
	}
	n.incarnation = rand.Uint64()
	n.lost = lostservers.NewTable(n.incarnation)
	suspects := quarantine.NewTracker(gateway.QuarantineOptions())
	partOptions := quarantine.DefaultPartOptions
	partOptions.TrialDelay = rand.Float64()
	n.parts = quarantine.NewPartTracker(partOptions)
	budget := retrybudget.New(retrybudget.Options{
		Ratio: cfg.RetryRatio, Slack: cfg.RetrySlack, Window: cfg.RetryWindow, ArrivalDelay: upstream.DefaultDialTimeout,
	}, boottime.Now())
	exchange, err := peering.Start(ctx, peering.Config{
		Name:          cfg.Name,
		ListenAddress: cfg.Datagram,
		RPCAddress:    rpc,
		Incarnation:   n.incarnation,
		Zone:          cfg.Zone,
		Region:        cfg.Region,
		LinkMbps:      cfg.LinkMbps,
		Store:         cfg.Store,
		Ledger:        n.ledger,
		Quarantine:    suspects,
		Parts:         n.parts,
		Limits:        n.limits,
		Notices:       n.notices,
		Lost:          n.lost,
		Retries:       budget,
		OnEntriesChanged: func(names []string, listed bool) {
			if listed {
				budget.SetEntries(len(names), boottime.Now())
				n.coldSends.SetEntries(names, time.Now())
				n.limitedSends.SetEntries(names, time.Now())
				n.setEntries(len(names))
			}
		},
		OnPeerAttempt: n.recordPeerAttempt,
		OnContacts: func(names []string, now time.Time) {
			n.coldSends.SetContacts(names, now)
			n.limitedSends.SetContacts(names, now)
		},
		Log:     cfg.Log,
		Metrics: cfg.Metrics,
	})
	if err != nil {
		stop()
		return nil, err
	}
	n.exchange = exchange
	budget.SetAsker(exchange.RetryAsker())
	n.gateway = gateway.New(gateway.Config{
		Protocol:      cfg.Protocol,
		Routes:        n.routes,
		Directory:     n.directory,
		Zones:         n.zones,
		ColdSends:     n.coldSends,
		Limits:        n.limits,
		LimitedSends:  n.limitedSends,
		LimitReporter: exchange.LimitReporter(),
		Notices:       n.notices,
		DrainReporter: exchange.DrainReporter(),
		Lost:          n.lost,
		LossReporter:  exchange.LossReporter(),
		Pool:          n.pool,
		Placer:        placement.NewPlanner(n.ledger, n.incarnation, time.Now, exchange.AttemptPublisher()).SetPolicy(cmp.Or(cfg.Policy, placement.LeastLoss)),
		Budget:        budget,
		Quarantine:    suspects,
		Parts:         n.parts,
		DeathReporter: exchange.DeathReporter(),
		Reserver:      reservation.New(cfg.Engines(n.pool), n.incarnation, cfg.Log, cfg.Metrics),
		Options:       cfg.Options,
		Log:           cfg.Log,
		Sampler:       cfg.Sampler,
		Room:          n.room,
		Metrics:       cfg.Metrics,
	})
	if err := n.serve(); err != nil {
		stop()
		_ = exchange.Close() // nothing was exchanged yet, so an error has no effect
		return nil, err
	}
	follow := n.follower()
	n.watch(ctx, cfg.Decoder.ConfigKind, configPace(cfg.ConfigWithin), follow)
	n.watch(ctx, cfg.Decoder.ServersKind, serversPace(cfg.DrainWithin), follow)
	n.watch(ctx, peering.KindGateway, pace{wait: peering.PresenceWatchWait}, follow)
	if n.evacuationEnabled() {
		n.watch(ctx, cfg.Decoder.EvacuationsKind, evacuationsPace(cfg.EvacuateWithin), follow)
	}
	n.startPuller(ctx, follow)
	go n.sweepPeriodically(ctx)
	go n.checkPossibleDeathsPeriodically(ctx)
	return n, nil
}

// recordPeerAttempt counts an attempt of another entry against what all may send to its servers.
func (n *Node) recordPeerAttempt(attempt placement.Attempt, now time.Time) {
	for _, server := range append([]uint64{attempt.Server}, attempt.Helpers...) {
		n.coldSends.RecordSend(server, now)
		n.limitedSends.RecordSend(server, now)
	}
	n.chargePeerAttempt(attempt)
}

func (n *Node) watch(ctx context.Context, kind string, pace pace, follow *follower) {
	config := watcherConfig(kind, pace)
	config.EmptyWaitIsCurrent = kind != n.cfg.Decoder.ConfigKind // a removed key must be refused even while the store fails
	config.Store = n.cfg.Store
	config.Sink = n.replica
	config.OnUnavailable = n.storeUnavailable
	config.Suspended = follow.skipsStore
	config.CurrentRevision = n.replica.Revision
	config.OnCallFailed = follow.callFailed
	config.Metrics = n.cfg.Metrics
	config.Log = n.cfg.Log
	go objectapi.NewWatcher(config).Run(ctx)
}

// watcherConfig returns the settings for the pace of a watch of one kind.
func watcherConfig(kind string, pace pace) objectapi.WatcherConfig {
	return objectapi.WatcherConfig{
		Kinds: []string{kind}, Wait: pace.wait, ResponseTimeout: pace.responseTimeout, Interval: watchInterval, BackoffMax: watchBackoffMax,
	}
}

func (n *Node) storeUnavailable(kind string) {
	if kind == n.cfg.Decoder.ServersKind {
		n.directory.MarkStoreUnavailable()
	}
}

func (n *Node) sweepPeriodically(ctx context.Context) {
	for sleep.For(ctx, sweepInterval) {
		known, instances := map[string]bool{}, map[string]bool{}
		for _, s := range n.directory.All() {
			known[s.Address], instances[s.Instance] = true, true
		}
		n.pool.Sweep(func(address string) bool { return known[address] })
		n.coldSends.Retain(func(instance string) bool { return instances[instance] })
		n.limitedSends.Retain(func(instance string) bool { return instances[instance] })
		registered := func(server uint64) bool { return n.engines.contains(n.directory, server) }
		n.limits.Sweep(registered, time.Now())
		n.notices.Sweep(registered, time.Now())
		n.lost.Sweep(boottime.Now())
		n.lostLog.write(n.cfg.Log, n.lostServers(boottime.Now()))
		n.ledger.PruneServers(registered)
		n.suspectLog.write(n.cfg.Log, n.parts.Suspicions())
	}
}

// checkPossibleDeathsPeriodically checks what became of the servers of broken attempts. It has a
// goroutine of its own, because it waits for servers that don't reply.
func (n *Node) checkPossibleDeathsPeriodically(ctx context.Context) {
	for sleep.For(ctx, sweepInterval) {
		n.gateway.CheckPossibleDeaths(ctx)
	}
}
