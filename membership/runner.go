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

// tickInterval is how often a runner calls Tick. It bounds how late a drain
// flag goes out.
const tickInterval = 100 * time.Millisecond

// pullSpread delays a pull at random, so that those who learn of something new
// at the same time don't all ask at once. An agent pulls configuration without
// it: entries spread their announcements.
const pullSpread = time.Second

// PullFuncs are the drpc calls that membership asks for. They run on a goroutine of
// their own, one of each at a time.
type PullFuncs struct {
	// Config fetches newer objects from the entry at a drpc address.
	Config func(ctx context.Context, addr string)
	// Peers fetches the list of entries from the entry at a drpc address.
	Peers func(ctx context.Context, addr string) ([]*wirepb.Peer, error)
	// Servers fetches a page of the backend servers whose home the entry at a
	// drpc address is. Only entries ask for it.
	Servers func(ctx context.Context, addr string, after uint64) (*wirepb.Servers, error)
}

// link joins a pure part to a socket.
type link struct {
	socket *wire.Datagrams
	pulls  PullFuncs
	log    logrus.FieldLogger

	ctx          context.Context // of Run; ends the pulls
	pullsRunning sync.WaitGroup
	configSpread time.Duration
	configLimit  time.Duration // of one pull; 0: the caller's own
	configKnown  func() uint64 // version in force here; nil: not asked
	configBusy   atomic.Bool
	peersBusy    atomic.Bool
	serversBusy  atomic.Bool
}

// send sends what a step asks for. Errors are counted by the socket; a lost
// datagram is made up for by the next one.
func (l *link) send(out Effects) {
	for _, o := range out.Send {
		if err := l.socket.Send(o.To, o.Message); err != nil {
			l.log.WithError(err).Debug("datagram not sent")
		}
	}
}

// pull starts the calls that a step asks for.
func (l *link) pull(out Effects, setPeers func(addr string, peers []*wirepb.Peer)) {
	if l.ctx == nil {
		return
	}
	if out.PullConfigFrom != "" && l.pulls.Config != nil {
		l.once(&l.configBusy, l.configSpread, func() { l.pullConfig(out.PullConfigFrom, out.PullConfigVersion) })
	}
	if out.PullPeersFrom != "" && l.pulls.Peers != nil {
		l.once(&l.peersBusy, pullSpread, func() { l.pullPeers(out.PullPeersFrom, setPeers) })
	}
}

// pullConfig fetches a version, unless it arrived by other ways meanwhile.
func (l *link) pullConfig(addr string, version uint64) {
	if l.configKnown != nil && l.configKnown() >= version {
		return
	}
	ctx, cancel := l.ctx, context.CancelFunc(func() {})
	if l.configLimit > 0 {
		ctx, cancel = context.WithTimeout(ctx, l.configLimit)
	}
	defer cancel()
	l.pulls.Config(ctx, addr)
}

func (l *link) pullPeers(addr string, setPeers func(string, []*wirepb.Peer)) {
	peers, err := l.pulls.Peers(l.ctx, addr)
	if err != nil {
		l.log.WithError(err).Debug("list of entries not pulled")
		return
	}
	setPeers(addr, peers)
}

// once runs f after a random delay of up to spread, unless the same kind of call
// is under way.
func (l *link) once(busy *atomic.Bool, spread time.Duration, f func()) {
	if !busy.CompareAndSwap(false, true) {
		return
	}
	l.pullsRunning.Go(func() {
		defer busy.Store(false)
		select {
		case <-time.After(time.Duration(rand.Float64() * float64(spread))):
			f()
		case <-l.ctx.Done():
		}
	})
}

// run calls tick until ctx ends, then closes the socket.
func (l *link) run(ctx context.Context, tick func(now time.Time)) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			tick(now)
		case <-ctx.Done():
			err := l.socket.Close() // no handler starts a pull behind this
			l.pullsRunning.Wait()
			return errors.Trace(err)
		}
	}
}

// AgentConfig configures an AgentRunner.
type AgentConfig struct {
	ReporterConfig
	// Listen is the ip:port of the datagram socket. The address that was bound
	// is announced unless the descriptor names one.
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
	link
	load func() backend.Load

	mu       sync.Mutex // guards reporter
	reporter *Reporter
}

// NewAgentRunner binds the socket.
func NewAgentRunner(cfg AgentConfig) (*AgentRunner, error) {
	a := &AgentRunner{load: cfg.Load, link: link{pulls: cfg.Pulls, log: cfg.Log, configLimit: pullLimit}}
	a.mu.Lock() // no datagram is handled before the reporter stands
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

// Run reports until ctx ends.
func (a *AgentRunner) Run(ctx context.Context) error {
	a.mu.Lock()
	a.ctx = ctx
	a.mu.Unlock()
	return a.run(ctx, func(now time.Time) {
		load := a.load()
		a.step(func() Effects { return a.reporter.Tick(now, load) })
	})
}

func (a *AgentRunner) handle(from netip.AddrPort, m *wirepb.Datagram) {
	a.step(func() Effects { return a.reporter.Handle(time.Now(), from, m) })
}

func (a *AgentRunner) step(f func() Effects) {
	a.mu.Lock()
	out := f()
	a.pull(out, a.setPeers)
	a.mu.Unlock()
	a.send(out)
}

// setPeers credits a list to the entry that gave it, known by its address.
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
	// Listen is the ip:port of the datagram socket. The address that was bound
	// is announced unless Self names one.
	Listen string
	// OnEvidence is told of crash evidence that is new here. It must not block.
	OnEvidence func([]*wirepb.Evidence)
	Pulls      PullFuncs
	Log        logrus.FieldLogger
	// DatagramFault is for tests; see wire.DatagramConfig.
	DatagramFault wire.DatagramFault
}

// EntryRunner runs an Observer on a socket. The Table's methods are called
// under its lock, which is taken before any lock of the table.
type EntryRunner struct {
	link
	evidence func([]*wirepb.Evidence)

	mu       sync.Mutex // guards observer
	observer *Observer
}

// NewEntryRunner binds the socket.
func NewEntryRunner(cfg EntryConfig) (*EntryRunner, error) {
	e := &EntryRunner{evidence: cfg.OnEvidence, link: link{pulls: cfg.Pulls, log: cfg.Log, configSpread: pullSpread}}
	e.configKnown = e.configRevision
	e.mu.Lock() // no datagram is handled before the observer stands
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

// Run listens and passes on until ctx ends.
func (e *EntryRunner) Run(ctx context.Context) error {
	e.mu.Lock()
	e.ctx = ctx
	e.mu.Unlock()
	return e.run(ctx, func(now time.Time) {
		e.step(func() Effects { return e.observer.Tick(now) })
	})
}

func (e *EntryRunner) handle(from netip.AddrPort, m *wirepb.Datagram) {
	e.step(func() Effects { return e.observer.Handle(time.Now(), from, m) })
}

func (e *EntryRunner) step(f func() Effects) {
	e.mu.Lock()
	out := f()
	e.pull(out, e.mergePeers)
	e.pullServers(out)
	e.mu.Unlock()
	e.send(out)
	if len(out.NewEvidence) > 0 && e.evidence != nil {
		e.evidence(out.NewEvidence)
	}
}

// pagePause is between two pages of a list of servers, so that the entry that
// gives it goes on serving requests.
const pagePause = 50 * time.Millisecond

// pullServers starts to ask an entry for its servers.
func (e *EntryRunner) pullServers(out Effects) {
	if e.ctx == nil || out.PullServersFrom == "" || e.pulls.Servers == nil {
		return
	}
	e.once(&e.serversBusy, 0, func() {
		err := e.takeServers(out.PullServersFrom)
		e.With(func(o *Observer) { o.ServersPulled(err == nil) })
		if err != nil {
			e.log.WithError(err).Debug("list of servers not pulled")
		}
	})
}

// takeServers takes page after page.
func (e *EntryRunner) takeServers(addr string) error {
	for after := uint64(0); ; {
		page, err := e.pulls.Servers(e.ctx, addr, after)
		if err != nil {
			return err
		}
		e.With(func(o *Observer) { o.MergeServers(time.Now(), page.GetServers()) })
		if page.GetNext() <= after { // 0, or a giver that goes in circles
			return nil
		}
		after = page.GetNext()
		select {
		case <-time.After(pagePause):
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

// AddEvidence spreads evidence that arose here.
func (e *EntryRunner) AddEvidence(list []*wirepb.Evidence) {
	e.step(func() Effects { return e.observer.AddEvidence(time.Now(), list) })
}

// With calls f with the Observer under the runner's lock. f must not block.
func (e *EntryRunner) With(f func(*Observer)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f(e.observer)
}
