package node

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/briarturn/briarturn/agent"
	"github.com/briarturn/briarturn/backend"
	"github.com/briarturn/briarturn/declared"
	"github.com/briarturn/briarturn/engine"
	"github.com/briarturn/briarturn/internal/admin"
	"github.com/briarturn/briarturn/invariant"
	"github.com/briarturn/briarturn/lease"
	"github.com/briarturn/briarturn/membership"
	"github.com/briarturn/briarturn/objectapi"
	"github.com/briarturn/briarturn/quarantine"
	"github.com/briarturn/briarturn/wire"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// longPrefillTokens is what a declared long_prefill_share of 1 stands for: the
// default of 0.5 is the default of agent.Limits.LongPrefillTokens.
const longPrefillTokens = 800_000

// drainTellLimit bounds how long a drain waits for the entries to know of it;
// it is well under the 3 s after which no new work may arrive.
const (
	drainTellLimit = 1500 * time.Millisecond
	drainTellPoll  = 20 * time.Millisecond
)

// AgentConfig is what an agent node needs. Addresses are ip:port; port 0 takes a
// free one. Descriptor.RPCAddress and DatagramAddress are filled in.
type AgentConfig struct {
	Descriptor     backend.Descriptor
	BackendAddress string // HTTP address of the engine or service
	ChecksFencing  bool   // the engine refuses stale orders itself; see agent.Config
	RPCListen      string
	DatagramListen string
	AdminListen    string   // empty: no admin interface
	Seeds          []string // drpc addresses of entries
	Store          objectapi.Store
	Limits         agent.Limits
	Log            logrus.FieldLogger
	Metrics        metrics.Registry
	DatagramFault  wire.DatagramFault // for tests
}

// Agent is a running agent node.
type Agent struct {
	cfg         AgentConfig
	incarnation uint64
	tasks       *tasks
	agent       *agent.Agent
	client      *engine.Client
	dialer      *wire.Dialer
	listener    net.Listener // of the drpc server, until that serves it
	runner      *membership.AgentRunner
	catalog     *declared.Catalog
	book        *quarantine.Tracker
	admin       string
	changed     chan struct{} // holds a token while the descriptor has news
}

// StartAgent starts an agent node. Close ends it.
func StartAgent(cfg AgentConfig) (*Agent, error) {
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	log := cfg.Log.WithField("agent", cfg.Descriptor.Name)
	n := &Agent{
		cfg:         cfg,
		incarnation: uint64(time.Now().UnixMilli()),
		tasks:       newTasks(log),
		dialer:      wire.NewDialer(wire.Options{Log: log, Metrics: cfg.Metrics}),
		catalog:     declared.NewCatalog(declared.Config{}),
		book:        quarantine.NewTracker(quarantine.DefaultOptions),
		changed:     make(chan struct{}, 1),
	}
	invariant.RegisterMetrics(cfg.Metrics)
	exportProcess(cfg.Metrics)
	for _, step := range []func() error{n.listen, n.bindReports, n.startAgent, n.serveAdmin, n.serveEntries} {
		if err := step(); err != nil {
			n.Close()
			return nil, errors.Annotatef(err, "step start agent, name %s", cfg.Descriptor.Name)
		}
	}
	return n, nil
}

// listen binds the address for entries.
func (n *Agent) listen() error {
	var err error
	n.listener, err = net.Listen("tcp", n.cfg.RPCListen)
	if err != nil {
		return errors.Trace(err)
	}
	n.cfg.Descriptor.RPCAddress = n.listener.Addr().String()
	return nil
}

// startAgent starts the agent and its reports.
func (n *Agent) startAgent() error {
	var err error
	n.client = engine.New(engine.Config{Address: n.cfg.BackendAddress, Metrics: n.cfg.Metrics})
	n.agent, err = agent.New(agent.Config{
		Descriptor:            n.cfg.Descriptor,
		Incarnation:           n.incarnation,
		Engine:                agent.NewHTTPEngine(n.client, n.cfg.Descriptor.Service),
		Limits:                n.cfg.Limits,
		Logger:                n.tasks.log,
		Metrics:               n.cfg.Metrics,
		Quarantined:           n.quarantined,
		OnEngineDeath:         n.engineDied,
		OnChange:              n.noteChange,
		Fences:                lease.NewFenceChecker(n.cfg.Store),
		AwaitDrainPropagation: n.tellDrain,
		ChecksFencing:         n.checksFencing,
		ConfigVersion:         n.configVersion,
		Homes:                 n.homes,
	})
	if err != nil {
		n.closeReports()
		return errors.Trace(err)
	}
	n.tellDescriptor()
	n.tasks.run("report", n.runner.Run)
	n.tasks.run("find entries", n.findEntries)
	n.tasks.run("follow descriptor", n.followDescriptor)
	return nil
}

// closeReports closes the datagram socket of a reporter that never ran.
func (n *Agent) closeReports() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = n.runner.Run(ctx)
}

// serveEntries starts the drpc server for entries. It comes last, when all that
// a call needs is there.
func (n *Agent) serveEntries() error {
	lis := n.listener
	n.listener = nil // the server closes it
	return n.tasks.serveRPC(lis, wire.Services{Agent: n.agent}, n.cfg.Metrics)
}

// bindReports binds the datagram socket, by which startAgent tells entries of
// this backend server. It comes before the agent, whose look at a dead engine
// asks for its homes.
func (n *Agent) bindReports() error {
	runner, err := membership.NewAgentRunner(membership.AgentConfig{
		ReporterConfig: membership.ReporterConfig{
			Descriptor:  n.cfg.Descriptor,
			Incarnation: n.incarnation,
			Seeds:       n.cfg.Seeds,
			Rand:        newRand(),
			Metrics:     n.cfg.Metrics,
		},
		Listen: n.cfg.DatagramListen,
		Load:   func() backend.Load { return n.agent.Load() }, // called once it is started
		Pulls:  membership.PullFuncs{Config: n.pullConfig, Peers: n.pullPeers},
		Log:    n.tasks.log,

		DatagramFault: n.cfg.DatagramFault,
	})
	if err != nil {
		return errors.Trace(err)
	}
	n.runner = runner
	return nil
}

// noteChange wakes followDescriptor. It must not block.
func (n *Agent) noteChange() {
	select {
	case n.changed <- struct{}{}:
	default:
	}
}

// followDescriptor has entries told of each change of what is served here.
func (n *Agent) followDescriptor(ctx context.Context) error {
	for {
		select {
		case <-n.changed:
		case <-ctx.Done():
			return nil
		}
		n.tellDescriptor()
	}
}

func (n *Agent) tellDescriptor() {
	d := n.agent.Descriptor()
	if d.DatagramAddress == "" {
		d.DatagramAddress = n.runner.Addr().String()
	}
	n.runner.With(func(r *membership.Reporter) { r.SetDescriptor(d) })
}

func (n *Agent) serveAdmin() (err error) {
	n.admin, err = n.tasks.serveAdmin(n.cfg.AdminListen, admin.Config{
		Status:  n,
		Ready:   n,
		Drain:   n,
		Metrics: n.cfg.Metrics,
	})
	return err
}

// Descriptor returns what the agent says of its backend server.
func (n *Agent) Descriptor() backend.Descriptor { return n.agent.Descriptor() }

// Homes returns the drpc addresses of the entries that the agent reports to.
func (n *Agent) Homes() []string { return n.homeAddresses() }

// DatagramAddress returns the ip:port of the datagram socket.
func (n *Agent) DatagramAddress() string { return n.runner.Addr().String() }

// AdminAddress returns the bound ip:port of the admin interface.
func (n *Agent) AdminAddress() string { return n.admin }

// ConfigRevision returns the revision of the declared state in force here.
func (n *Agent) ConfigRevision() uint64 { return n.catalog.Revision() }

// DrainAndWait tells the entries, then refuses new work, and waits until all that
// runs has ended or ctx ends; it returns ctx's error in the latter case.
func (n *Agent) DrainAndWait(ctx context.Context) error {
	n.agent.DrainGracefully(ctx, "shutdown")
	select {
	case <-n.agent.Drained():
		return nil
	case <-ctx.Done():
		return errors.Annotatef(ctx.Err(), "step drain, agent %s", n.cfg.Descriptor.Name)
	}
}

// tellDrain waits once the drain flag is shown, for a bounded time, until the
// entries that this agent reports to know of it.
//
// Without it an idle agent would be gone before its first report with the flag:
// entries would go on choosing it, and each such request would cost a failed
// dial and a retry until the silence was noticed.
func (n *Agent) tellDrain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, drainTellLimit)
	defer cancel()
	tick := time.NewTicker(drainTellPoll)
	defer tick.Stop()
	for told := false; !told; {
		n.runner.With(func(r *membership.Reporter) { told = r.DrainReported() })
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// Close ends the node and waits for its goroutines. What still runs is cut off:
// drain first.
func (n *Agent) Close() {
	n.tasks.stop()
	if n.listener != nil {
		_ = n.listener.Close()
	}
	if n.agent != nil {
		n.agent.Close()
	}
	_ = n.dialer.Close()
}

// Status implements admin.StatusProvider.
func (n *Agent) Status() admin.Status {
	load := n.agent.Load()
	d := n.agent.Descriptor()
	row := backend.Row{Descriptor: d, Load: load}
	return admin.Status{
		Name:           d.Name,
		Role:           "agent",
		Zone:           d.Zone,
		Ready:          n.Ready() == nil,
		Draining:       load.Draining,
		ConfigRevision: n.catalog.Revision(),
		Running:        int64(load.Running),
		Servers:        []admin.ServerStatus{ownStatus(&row, n.catalog.Revision())},
	}
}

// Ready implements admin.ReadyProvider.
func (n *Agent) Ready() error {
	if n.agent.Load().Draining {
		return errors.New("draining")
	}
	return nil
}

// Drain implements admin.Drainer.
func (n *Agent) Drain(ctx context.Context, name string) (admin.DrainState, error) {
	if name != "" && name != n.cfg.Descriptor.Name {
		return admin.DrainState{}, errors.Annotatef(admin.ErrUnknownName, "agent %s, asked for %s", n.cfg.Descriptor.Name, name)
	}
	n.agent.DrainGracefully(ctx, "operator")
	load := n.agent.Load()
	return admin.DrainState{Name: n.cfg.Descriptor.Name, Draining: true, Running: int64(load.Running)}, nil
}

// checksFencing tells whether the engine refuses stale orders itself, as the
// settings or the declared set of this backend server say.
func (n *Agent) checksFencing() bool {
	return n.cfg.ChecksFencing || declaredFencing(n.catalog.State(), n.cfg.Descriptor.Name)
}

func declaredFencing(state *declared.State, server string) bool {
	named := func(m declared.BackendServer) bool { return m.Name == server }
	for _, set := range state.BackendServerSets() {
		if set.ChecksFencing && slices.ContainsFunc(set.Members(), named) {
			return true
		}
	}
	return false
}

func (n *Agent) configVersion() uint64 { return n.catalog.Revision() }

func (n *Agent) homes() []string {
	var names []string
	n.runner.With(func(r *membership.Reporter) { names = r.Homes() })
	return names
}

func (n *Agent) pullPeers(ctx context.Context, addr string) ([]*wirepb.Peer, error) {
	peers, err := n.dialer.ListPeers(ctx, addr)
	if err != nil {
		return nil, errors.Annotatef(err, "step list entries, peer %s", addr)
	}
	return peers.GetEntries(), nil
}

// pullConfig fetches what concerns this backend server's pool.
func (n *Agent) pullConfig(ctx context.Context, addr string) {
	scope := declared.Scope{Pools: []string{n.cfg.Descriptor.Pool}}
	if err := pullConfig(ctx, n.dialer, addr, n.catalog, scope); err != nil {
		n.tasks.log.WithError(err).Debug("declared state not pulled")
		return
	}
	n.limitLongPrefill()
	revision := n.catalog.Revision()
	n.runner.With(func(r *membership.Reporter) { r.SetConfigVersion(revision) })
}

// limitLongPrefill brings the agent's bound on long prompts to the pool's
// declared share, unless the node was given a bound of its own.
func (n *Agent) limitLongPrefill() {
	pool, _ := n.catalog.State().ModelPool(n.cfg.Descriptor.Pool)
	if pool == nil || n.cfg.Limits.LongPrefillTokens != 0 {
		return
	}
	n.agent.SetLongPrefillTokens(int64(pool.LongPrefillShare * longPrefillTokens))
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
