package membership

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/briarturn/briarturn/backend"
	"github.com/briarturn/briarturn/wire"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// tickInterval is the time between calls of Tick. It bounds the delay of a drain
// flag.
const tickInterval = 100 * time.Millisecond

// pullJitter is the upper bound of the random delay of a pull, so that those who
// learn of a change at the same time don't all pull at once. Agents pull
// configuration without this delay, since entries spread their announcements.
const pullJitter = time.Second

// PullFuncs are the drpc calls that membership uses. They run on separate
// goroutines, at most one call of each kind at a time.
type PullFuncs struct {
	// Config fetches newer objects from the entry at a drpc address.
	Config func(ctx context.Context, addr string)
	// Peers fetches the list of entries from the entry at a drpc address.
	Peers func(ctx context.Context, addr string) ([]*wirepb.Peer, error)
	// Servers fetches a page of the backend servers that report to the entry at
	// a drpc address. Only entries use it.
	Servers func(ctx context.Context, addr string, after uint64) (*wirepb.Servers, error)
}

// transport connects a Reporter or Observer to a socket and to the drpc calls.
type transport struct {
	socket *wire.Datagrams
	pulls  PullFuncs
	log    logrus.FieldLogger

	ctx               context.Context // context of Run; its end cancels the pulls
	pullGroup         sync.WaitGroup
	configPullJitter  time.Duration
	configPullTimeout time.Duration // of one pull; 0: no timeout
	configInForce     func() uint64 // version in force here; nil: pull in any case
	pullingConfig     atomic.Bool
	pullingPeers      atomic.Bool
	pullingServers    atomic.Bool
}

// send sends the datagrams of a step. The socket counts errors. The next
// datagram makes up for a lost one.
func (l *transport) send(out Effects) {
	for _, o := range out.Send {
		if err := l.socket.Send(o.To, o.Message); err != nil {
			l.log.WithError(err).Debug("failed to send datagram")
		}
	}
}

// startPulls starts the drpc calls of a step.
func (l *transport) startPulls(out Effects, setPeers func(addr string, peers []*wirepb.Peer)) {
	if l.ctx == nil {
		return
	}
	if out.PullConfigFrom != "" && l.pulls.Config != nil {
		l.startPull(&l.pullingConfig, l.configPullJitter, func() { l.pullConfig(out.PullConfigFrom, out.PullConfigVersion) })
	}
	if out.PullPeersFrom != "" && l.pulls.Peers != nil {
		l.startPull(&l.pullingPeers, pullJitter, func() { l.pullPeers(out.PullPeersFrom, setPeers) })
	}
}

// pullConfig fetches a version, unless it has arrived in the meantime.
func (l *transport) pullConfig(addr string, version uint64) {
	if l.configInForce != nil && l.configInForce() >= version {
		return
	}
	ctx, cancel := l.ctx, context.CancelFunc(func() {})
	if l.configPullTimeout > 0 {
		ctx, cancel = context.WithTimeout(ctx, l.configPullTimeout)
	}
	defer cancel()
	l.pulls.Config(ctx, addr)
}

func (l *transport) pullPeers(addr string, setPeers func(string, []*wirepb.Peer)) {
	peers, err := l.pulls.Peers(l.ctx, addr)
	if err != nil {
		l.log.WithError(err).Debug("failed to pull list of entries")
		return
	}
	setPeers(addr, peers)
}

// startPull runs f after a random delay of up to spread, unless a call of the
// same kind is in progress.
func (l *transport) startPull(busy *atomic.Bool, spread time.Duration, f func()) {
	if !busy.CompareAndSwap(false, true) {
		return
	}
	l.pullGroup.Go(func() {
		defer busy.Store(false)
		select {
		case <-time.After(time.Duration(rand.Float64() * float64(spread))):
			f()
		case <-l.ctx.Done():
		}
	})
}

// run calls tick until ctx ends, then closes the socket.
func (l *transport) run(ctx context.Context, tick func(now time.Time)) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			tick(now)
		case <-ctx.Done():
			err := l.socket.Close() // no handler starts a pull after this
			l.pullGroup.Wait()
			return errors.Trace(err)
		}
	}
}

// AgentConfig configures an AgentRunner.
type AgentConfig struct {
	ReporterConfig
	// Listen is the ip:port of the datagram socket. The bound address is
	// announced unless the descriptor contains one.
	Listen string
	// Load returns the present load. It must not block.
	Load  func() backend.Load
	Pulls PullFuncs
	Log   logrus.FieldLogger
	// DatagramFault is for tests; see wire.DatagramConfig.
	DatagramFault wire.DatagramFault
}

// AgentRunner runs a Reporter on a socket.
type AgentRunner struct {
	transport
	load func() backend.Load

	mu       sync.Mutex // guards reporter
	reporter *Reporter
}

// NewAgentRunner binds the socket.
func NewAgentRunner(cfg AgentConfig) (*AgentRunner, error) {
	a := &AgentRunner{load: cfg.Load, transport: transport{pulls: cfg.Pulls, log: cfg.Log, configPullTimeout: pullTimeout}}
	a.mu.Lock() // no datagram is handled before the reporter exists
	defer a.mu.Unlock()
	var err error
	a.socket, err = wire.ListenDatagrams(wire.DatagramConfig{
		Address: cfg.Listen, Handler: a.handle, Log: cfg.Log, Metrics: cfg.Metrics,
		Fault: cfg.DatagramFault,
	})
	if err != nil {
		return nil, errors.Annotate(err, "step start reporter")
	}
	if cfg.Descriptor.DatagramAddress == "" {
		cfg.Descriptor.DatagramAddress = a.socket.Addr().String()
	}
	a.reporter = NewReporter(cfg.ReporterConfig)
	return a, nil
}

// Addr returns the bound address.
func (a *AgentRunner) Addr() netip.AddrPort { return a.socket.Addr() }

// Run sends reports until ctx ends.
func (a *AgentRunner) Run(ctx context.Context) error {
	a.mu.Lock()
	a.ctx = ctx
	a.mu.Unlock()
	return a.run(ctx, func(now time.Time) {
		load := a.load()
		a.runStep(func() Effects { return a.reporter.Tick(now, load) })
	})
}

func (a *AgentRunner) handle(from netip.AddrPort, m *wirepb.Datagram) {
	a.runStep(func() Effects { return a.reporter.Handle(time.Now(), from, m) })
}

func (a *AgentRunner) runStep(f func() Effects) {
	a.mu.Lock()
	out := f()
	a.startPulls(out, a.setPeers)
	a.mu.Unlock()
	a.send(out)
}

// setPeers stores a list under the name of the entry that sent it. The entry is
// identified by its drpc address.
func (a *AgentRunner) setPeers(addr string, peers []*wirepb.Peer) {
	source := ""
	for _, p := range peers {
		if p.GetRpcAddress() == addr {
			source = p.GetName()
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reporter.SetPeers(source, peers)
}

// With calls f with the Reporter under the runner's lock. f must not block.
func (a *AgentRunner) With(f func(*Reporter)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	f(a.reporter)
}

// EntryConfig configures an EntryRunner.
type EntryConfig struct {
	ObserverConfig
	// Listen is the ip:port of the datagram socket. The bound address is
	// announced unless Self contains one.
	Listen string
	// OnEvidence is called with crash evidence that is new to this entry. It
	// must not block.
	OnEvidence func([]*wirepb.Evidence)
	Pulls      PullFuncs
	Log        logrus.FieldLogger
	// DatagramFault is for tests; see wire.DatagramConfig.
	DatagramFault wire.DatagramFault
}

// EntryRunner runs an Observer on a socket. It calls the Table's methods under
// its lock, so its lock is taken before any lock of the table.
type EntryRunner struct {
	transport
	onEvidence func([]*wirepb.Evidence)

	mu       sync.Mutex // guards observer
	observer *Observer
}

// NewEntryRunner binds the socket.
func NewEntryRunner(cfg EntryConfig) (*EntryRunner, error) {
	e := &EntryRunner{onEvidence: cfg.OnEvidence, transport: transport{pulls: cfg.Pulls, log: cfg.Log, configPullJitter: pullJitter}}
	e.configInForce = e.configRevision
	e.mu.Lock() // no datagram is handled before the observer exists
	defer e.mu.Unlock()
	var err error
	e.socket, err = wire.ListenDatagrams(wire.DatagramConfig{
		Address: cfg.Listen, Handler: e.handle, Log: cfg.Log, Metrics: cfg.Metrics,
		Fault: cfg.DatagramFault,
	})
	if err != nil {
		return nil, errors.Annotate(err, "step start observer")
	}
	e.observer = NewObserver(cfg.ObserverConfig)
	if e.observer.self.GetDatagramAddress() == "" {
		e.observer.self.DatagramAddress = e.socket.Addr().String()
	}
	return e, nil
}

// Addr returns the bound address.
func (e *EntryRunner) Addr() netip.AddrPort { return e.socket.Addr() }

// Run receives and relays until ctx ends.
func (e *EntryRunner) Run(ctx context.Context) error {
	e.mu.Lock()
	e.ctx = ctx
	e.mu.Unlock()
	return e.run(ctx, func(now time.Time) {
		e.runStep(func() Effects { return e.observer.Tick(now) })
	})
}

func (e *EntryRunner) handle(from netip.AddrPort, m *wirepb.Datagram) {
	e.runStep(func() Effects { return e.observer.Handle(time.Now(), from, m) })
}

func (e *EntryRunner) runStep(f func() Effects) {
	e.mu.Lock()
	out := f()
	e.startPulls(out, e.mergePeers)
	e.startServersPull(out)
	e.mu.Unlock()
	e.send(out)
	if len(out.NewEvidence) > 0 && e.onEvidence != nil {
		e.onEvidence(out.NewEvidence)
	}
}

// pageInterval is the pause between two pages of a list of servers, so that the
// entry that sends them continues to serve requests.
const pageInterval = 50 * time.Millisecond

// startServersPull starts to pull the servers of an entry.
func (e *EntryRunner) startServersPull(out Effects) {
	if e.ctx == nil || out.PullServersFrom == "" || e.pulls.Servers == nil {
		return
	}
	e.startPull(&e.pullingServers, 0, func() {
		err := e.pullServerPages(out.PullServersFrom)
		e.With(func(o *Observer) { o.ServersPulled(err == nil) })
		if err != nil {
			e.log.WithError(err).Debug("failed to pull list of servers")
		}
	})
}

// pullServerPages pulls all pages of an entry's servers.
func (e *EntryRunner) pullServerPages(addr string) error {
	for after := uint64(0); ; {
		page, err := e.pulls.Servers(e.ctx, addr, after)
		if err != nil {
			return err
		}
		e.With(func(o *Observer) { o.MergeServers(time.Now(), page.GetServers()) })
		if page.GetNext() <= after { // 0, or a faulty sender that repeats pages
			return nil
		}
		after = page.GetNext()
		select {
		case <-time.After(pageInterval):
		case <-e.ctx.Done():
			return errors.Trace(e.ctx.Err())
		}
	}
}

func (e *EntryRunner) mergePeers(_ string, peers []*wirepb.Peer) {
	e.With(func(o *Observer) { o.MergePeers(time.Now(), peers) })
}

func (e *EntryRunner) configRevision() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.observer.config.revision
}

// AddEvidence propagates evidence that originated at this entry.
func (e *EntryRunner) AddEvidence(list []*wirepb.Evidence) {
	e.runStep(func() Effects { return e.observer.AddEvidence(time.Now(), list) })
}

// With calls f with the Observer under the runner's lock. f must not block.
func (e *EntryRunner) With(f func(*Observer)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f(e.observer)
}
