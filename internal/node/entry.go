package node

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/briarturn/briarturn/backend"
	"github.com/briarturn/briarturn/claim"
	"github.com/briarturn/briarturn/declared"
	"github.com/briarturn/briarturn/entry"
	"github.com/briarturn/briarturn/internal/graceful"
	"github.com/briarturn/briarturn/invariant"
	"github.com/briarturn/briarturn/membership"
	"github.com/briarturn/briarturn/objectapi"
	"github.com/briarturn/briarturn/quarantine"
	"github.com/briarturn/briarturn/routing"
	"github.com/briarturn/briarturn/slo"
	"github.com/briarturn/briarturn/wire"
	"github.com/briarturn/briarturn/wire/wirepb"
	"github.com/briarturn/briarturn/workspace"
)

// EntryConfig is what an entry node needs. Addresses are ip:port; port 0 takes a
// free one.
type EntryConfig struct {
	Name           string
	Zone           string
	Region         string
	HTTPListen     string
	RPCListen      string
	DatagramListen string
	AdminListen    string   // empty: no admin interface
	Policy         string   // of package routing; empty: the default
	Seeds          []string // drpc addresses of other entries, for a start while the object API is down
	// UnconfirmedPeers and UnconfirmedAfter: see declared.Config.
	UnconfirmedPeers int
	UnconfirmedAfter time.Duration
	// RetryRatio holds for workspaces without a policy: retries per request;
	// see workspace.Policy.
	RetryRatio    float64
	Store         objectapi.Store
	Limits        entry.Limits
	Log           logrus.FieldLogger
	Metrics       metrics.Registry
	DatagramFault wire.DatagramFault // for tests
}

// Entry is a running entry node.
type Entry struct {
	cfg         EntryConfig
	self        *wirepb.Peer
	tasks       *tasks
	entry       *entry.Entry
	table       *backend.Table
	scheduler   *workspace.Scheduler
	dialer      *wire.Dialer
	listener    net.Listener // of the drpc server, until that serves it
	runner      *membership.EntryRunner
	catalog     *declared.Catalog
	claimer     *claim.Claimer
	book        *quarantine.Tracker
	parts       *quarantine.PartTracker
	slo         *slo.Tracker
	floor       listedFloor
	promises    atomic.Pointer[[]slo.LatencyTarget]
	http        *graceful.Server // callers'
	address     string
	admin       string
	entries     atomic.Int64 // known to be alive, this one included
	presence    sync.Mutex   // held for each write of the presence
	announced   atomic.Bool  // the presence has been written, or is being
	claimsTried atomic.Bool  // a read of what is on record of claims has ended
	started     time.Time
	draining    chan struct{} // closed when the drain begins
	drainOnce   sync.Once
}

// StartEntry starts an entry node. It is ready once it has the declared state.
// Close ends it.
func StartEntry(cfg EntryConfig) (*Entry, error) {
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	log := cfg.Log.WithField("entry", cfg.Name)
	n := &Entry{
		cfg:   cfg,
		tasks: newTasks(log),
		table: backend.NewTable(backend.TableOptions{Metrics: cfg.Metrics}),
		scheduler: workspace.NewScheduler(workspace.Options{
			Metrics: cfg.Metrics,
			Policy:  workspace.Policy{RetryRatio: cfg.RetryRatio},
		}),
		dialer: wire.NewDialer(wire.Options{Log: log, Metrics: cfg.Metrics}),
		catalog: declared.NewCatalog(declared.Config{
			UnconfirmedPeers: cfg.UnconfirmedPeers,
			UnconfirmedAfter: cfg.UnconfirmedAfter,
			Metrics:          cfg.Metrics,
			Log:              log,
		}),
		started:  time.Now(),
		book:     quarantine.NewTracker(quarantine.DefaultOptions),
		parts:    quarantine.NewPartTracker(quarantine.DefaultPartOptions),
		slo:      slo.NewTracker(slo.Config{}),
		draining: make(chan struct{}),
		self: &wirepb.Peer{
			Name:        cfg.Name,
			Zone:        cfg.Zone,
			Region:      cfg.Region,
			Incarnation: uint64(time.Now().UnixMilli()),
		},
	}
	invariant.RegisterMetrics(cfg.Metrics)
	exportProcess(cfg.Metrics)
	steps := []func() error{n.listen, n.startMembership, n.startClaims, n.serveCallers, n.serveAdmin, n.servePeers}
	for _, step := range steps {
		if err := step(); err != nil {
			n.Close()
			return nil, errors.Annotatef(err, "step start entry, name %s", cfg.Name)
		}
	}
	n.startUpkeep()
	return n, nil
}

// listen binds the address for agents and other entries.
func (n *Entry) listen() error {
	var err error
	n.listener, err = net.Listen("tcp", n.cfg.RPCListen)
	if err != nil {
		return errors.Trace(err)
	}
	n.self.RpcAddress = n.listener.Addr().String()
	return nil
}

// servePeers starts the drpc server for agents and other entries.
//
// It comes last: agents and entries that know the address from their settings
// or from a former life call within milliseconds of its being bound, and a call
// that reached a node without membership or claims ended the process by a nil
// dereference. Until then their connections wait in the listener's queue.
func (n *Entry) servePeers() error {
	lis := n.listener
	n.listener = nil // the server closes it
	return n.tasks.serveRPC(lis, wire.Services{Entry: &entryService{node: n}}, n.cfg.Metrics)
}

func (n *Entry) startMembership() error {
	runner, err := membership.NewEntryRunner(membership.EntryConfig{
		ObserverConfig: membership.ObserverConfig{
			Self:    n.self,
			Table:   ObservedTable{Table: n.table},
			Rand:    newRand(),
			Metrics: n.cfg.Metrics,
		},
		Listen:     n.cfg.DatagramListen,
		OnEvidence: func(list []*wirepb.Evidence) { wire.MergeEvidence(n.book, list, time.Now()) },
		Pulls:      membership.PullFuncs{Config: n.pullConfig, Peers: n.pullPeers, Servers: n.pullServers},
		Log:        n.tasks.log,

		DatagramFault: n.cfg.DatagramFault,
	})
	if err != nil {
		return errors.Trace(err)
	}
	n.runner = runner
	n.self.DatagramAddress = runner.Addr().String()
	n.tasks.run("membership", runner.Run)
	return nil
}

func (n *Entry) startClaims() error {
	var err error
	n.claimer, err = claim.New(claim.Config{
		Store:   n.cfg.Store,
		Peers:   claimPeers{n},
		Entry:   n.cfg.Name,
		Metrics: n.cfg.Metrics,
	})
	return errors.Trace(err)
}

func (n *Entry) serveCallers() error {
	costs := routing.NewCostModel(n.cfg.Metrics)
	prefixes := routing.NewPrefixIndex(routing.PrefixLimits{})
	options := routing.Options{Costs: costs, Prefixes: prefixes}
	policy, err := routing.New(n.cfg.Policy, options)
	if err != nil {
		return errors.Trace(err)
	}
	policies, err := namedPolicies(options)
	if err != nil {
		return errors.Trace(err)
	}
	n.entry, err = entry.New(entry.Config{
		Name:          n.cfg.Name,
		Zone:          n.cfg.Zone,
		Region:        n.cfg.Region,
		Incarnation:   n.self.GetIncarnation(),
		Servers:       n.table,
		Policy:        policy,
		Scheduler:     n.scheduler,
		AgentClient:   n.dialer,
		Claimer:       n.claimer,
		Catalog:       catalogView{n.catalog, n.table, policies},
		Quarantine:    sharedBook{n.book, n.runner},
		Parts:         n.parts,
		OnPartDeath:   n.sharePartDeath,
		Costs:         costs,
		Prefixes:      prefixes,
		OnObservation: n.observe,
		Metrics:       n.cfg.Metrics,
		Log:           n.tasks.log,
		Limits:        n.cfg.Limits,
	})
	if err != nil {
		return errors.Trace(err)
	}
	n.http = graceful.New(graceful.Config{HTTP: n.entry.Server(), Refuse: n.entry.RefuseDraining, Log: n.tasks.log})
	n.address, err = n.tasks.serveCallers("serve callers", n.cfg.HTTPListen, n.http)
	return err
}

// Address returns the ip:port for callers.
func (n *Entry) Address() string { return n.address }

// RPCAddress returns the ip:port for agents and other entries.
func (n *Entry) RPCAddress() string { return n.self.GetRpcAddress() }

// DatagramAddress returns the ip:port of the membership's socket.
func (n *Entry) DatagramAddress() string { return n.self.GetDatagramAddress() }

// ConfigRevision returns the revision of the declared state in force here.
func (n *Entry) ConfigRevision() uint64 { return n.catalog.Revision() }

// AdminAddress returns the bound ip:port of the admin interface.
func (n *Entry) AdminAddress() string { return n.admin }
