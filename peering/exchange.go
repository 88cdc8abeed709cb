package peering

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/briarturn/briarturn/gateway"
	"github.com/briarturn/briarturn/internal/sleep"
	"github.com/briarturn/briarturn/objectapi"
	"github.com/briarturn/briarturn/placement"
	"github.com/briarturn/briarturn/quarantine"
	"github.com/briarturn/briarturn/wire"
	"github.com/briarturn/briarturn/wire/wirepb"
)

const (
	// beatEvery is how often an entry lists its attempts that go on.
	beatEvery = 500 * time.Millisecond
	// silentAfter is how long an entry must be silent for its attempts to be
	// forgotten: three beats.
	silentAfter = 1600 * time.Millisecond
	// idleBeats is how many beats an entry without attempts lets pass between two that it
	// sends: where entries are many nearly all of them are idle, and their beats to each
	// other are most of what they send.
	idleBeats = 3
	// idleSilentAfter is silentAfter for one that has said that it is idle: three of
	// its beats. It has no attempts that would have to be forgotten sooner.
	idleSilentAfter = 3*idleBeats*beatEvery + 100*time.Millisecond
	// settleTime is how old an attempt must be for a beat that does not list it to
	// end it: datagrams may overtake each other.
	settleTime = 100 * time.Millisecond
	// PresenceWatchWait is how long a watch of the other entries waits: they change rarely.
	PresenceWatchWait = 10 * time.Second
)

// Config sets up an Exchange.
type Config struct {
	Name          string // the VM's
	ListenAddress string // datagrams, IP:PORT
	RPCAddress    string // where peers find this entry's drpc services; empty: it has none
	Incarnation   uint64
	Zone          string
	Region        string
	LinkMbps      int // of the VM; 0: not known
	Store         objectapi.Store
	Ledger        *placement.Ledger
	Quarantine    *quarantine.Tracker
	// OnEntriesChanged is told the names of all entries, this one included, and whether the object
	// API has listed them once: before that only some are known.
	OnEntriesChanged func(names []string, listed bool)
	Log              logrus.FieldLogger
	Metrics          metrics.Registry
}

// Exchange is one entry's end of the exchange. Make it with Start.
type Exchange struct {
	cfg       Config
	outbox    *outbox
	roster    *roster
	datagrams *wire.Datagrams
	heard     metrics.Counter
	failed    metrics.Counter

	own     presence // set before the goroutines begin that use it
	started time.Time
	greeted chan struct{} // holds one token while a peer's own word isn't taken yet

	mu     sync.Mutex // guards what follows
	listed []Peer     // by the object API
	hellos map[string]introduced
	peers  []Peer               // of both, in order of rank
	last   map[uint64]time.Time // by incarnation, when an entry was last heard
	idle   map[uint64]bool      // those that had no attempts then

	passing chan *wirepb.WorkNews // to be passed on to the own zone
	dropped metrics.Counter       // of those that came faster than they were passed on
}

// Start binds the datagram address and begins to exchange until ctx ends.
func Start(ctx context.Context, cfg Config) (*Exchange, error) {
	x := &Exchange{
		cfg:     cfg,
		outbox:  newOutbox(cfg.Incarnation),
		heard:   metrics.GetOrRegisterCounter("peering.news.heard", cfg.Metrics),
		failed:  metrics.GetOrRegisterCounter("peering.news.send_failed", cfg.Metrics),
		last:    map[uint64]time.Time{},
		idle:    map[uint64]bool{},
		passing: make(chan *wirepb.WorkNews, passingMost),
		dropped: metrics.GetOrRegisterCounter("peering.news.pass_dropped", cfg.Metrics),
		hellos:  map[string]introduced{},
		greeted: make(chan struct{}, 1),
		started: time.Now(),
	}
	x.roster = newRoster(cfg.Name, cfg.Log, x.setPeers)
	datagrams, err := wire.ListenDatagrams(wire.DatagramConfig{
		Address: cfg.ListenAddress, Handler: x.hear, Log: cfg.Log, Metrics: cfg.Metrics,
	})
	if err != nil {
		return nil, errors.Annotate(err, "step start exchange with peers")
	}
	x.datagrams = datagrams
	x.own = presence{
		DatagramAddress: datagrams.Addr().String(), RPCAddress: cfg.RPCAddress, Incarnation: cfg.Incarnation, Zone: cfg.Zone, Region: cfg.Region,
		LinkMbps: cfg.LinkMbps, Relays: true,
	}
	go x.passOn(ctx)
	go announce(ctx, cfg.Store, cfg.Name, x.own, x.roster, cfg.Log)
	go x.send(ctx)
	go x.beat(ctx)
	go x.welcome(ctx)
	return x, nil
}

// AttemptPublisher returns what the entry's planner tells of its attempts.
func (x *Exchange) AttemptPublisher() placement.AttemptPublisher { return x.outbox }

// DeathReporter returns what the entry's gateway tells of servers that died.
func (x *Exchange) DeathReporter() gateway.DeathReporter { return x.outbox }

// Close ends the datagrams.
func (x *Exchange) Close() error { return errors.Trace(x.datagrams.Close()) }

// PresenceSink returns the sink that is to be told of the objects of KindGateway.
func (x *Exchange) PresenceSink() objectapi.Sink { return x.roster }

// setPeers takes the entries that the object API lists.
func (x *Exchange) setPeers(listed []Peer) {
	x.mu.Lock()
	x.listed = listed
	x.mu.Unlock()
	x.update(time.Now())
}

// update puts together who the peers are, and greets those that are new.
func (x *Exchange) update(now time.Time) {
	x.mu.Lock()
	known := map[uint64]bool{}
	for _, p := range x.peers {
		known[p.Incarnation] = true
	}
	peers := withHellos(x.listed, x.hellos, now)
	slices.SortFunc(peers, compareRank)
	x.peers = peers
	x.mu.Unlock()
	x.cfg.OnEntriesChanged(x.names(peers), x.roster.hasListed())
	x.greet(slices.DeleteFunc(slices.Clone(peers), func(p Peer) bool { return known[p.Incarnation] }), now)
}

// names returns the names of peers and the own.
func (x *Exchange) names(peers []Peer) []string {
	out := []string{x.cfg.Name}
	for _, p := range peers {
		out = append(out, p.Name)
	}
	return out
}

// send passes news on as it comes.
func (x *Exchange) send(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-x.outbox.wake:
		}
		if !x.outbox.urgent() && !sleep.For(ctx, batchTime) {
			return
		}
		for _, m := range x.outbox.take(time.Now()) {
			x.tell(m)
		}
	}
}

func (x *Exchange) beat(ctx context.Context) {
	var rest idleRest
	for sleep.For(ctx, beatEvery) {
		x.forgetSilent(time.Now())
		// Before the list is taken: what begins meanwhile may or may not be in it.
		m := &wirepb.WorkNews{Owner: x.cfg.Incarnation, Beat: true, UpTo: x.outbox.newest()}
		for _, w := range x.cfg.Ledger.AttemptsOf(x.cfg.Incarnation) {
			m.Active = append(m.Active, w.ID.Seq)
		}
		// More than fit are not listed; without the mark of a whole list nobody
		// ends what is missing.
		if len(m.Active) > maxBeat {
			m.Active, m.Beat = nil, false
		}
		m.Hello = x.hello(time.Now())
		if rest.skips(m.Beat && len(m.Active) == 0 && m.Hello == nil) {
			continue
		}
		x.tell(m)
	}
}

// idleRest counts the beats in a row of an entry without attempts.
type idleRest struct{ beats int }

// skips reports whether a beat may be left out. The first idle one is sent: it tells of
// ends whose news were lost.
func (r *idleRest) skips(idle bool) bool {
	if !idle {
		r.beats = 0
		return false
	}
	r.beats++
	return (r.beats-1)%idleBeats != 0
}

// silentLocked reports whether an entry hasn't been heard for too long.
func (x *Exchange) silentLocked(owner uint64, now time.Time) bool {
	at, heard := x.last[owner]
	limit := silentAfter
	if x.idle[owner] {
		limit = idleSilentAfter
	}
	return !heard || now.Sub(at) > limit
}

// forgetSilent drops the attempts of entries that are gone: their servers would
// look busy for ever.
func (x *Exchange) forgetSilent(now time.Time) {
	var silent []uint64
	x.mu.Lock()
	for owner := range x.last {
		if x.silentLocked(owner, now) {
			silent = append(silent, owner)
			delete(x.last, owner)
			delete(x.idle, owner)
		}
	}
	x.mu.Unlock()
	for _, owner := range silent {
		x.cfg.Ledger.EndOwner(owner)
		x.cfg.Log.WithField("incarnation", owner).Info("peer silent, its work forgotten")
	}
}

func (x *Exchange) sendAll(m *wirepb.WorkNews) {
	x.mu.Lock()
	peers := x.peers
	x.mu.Unlock()
	for _, p := range peers {
		x.sendTo(p.DatagramAddress, m)
	}
}

func (x *Exchange) sendTo(to netip.AddrPort, m *wirepb.WorkNews) {
	err := x.datagrams.Send(to, &wirepb.Datagram{Body: &wirepb.Datagram_Work{Work: m}})
	if err != nil {
		// The next beat makes up for it; a line for each would flood the log of an
		// entry that is cut off.
		x.failed.Inc(1)
	}
}

// hear takes a datagram of a peer.
func (x *Exchange) hear(_ netip.AddrPort, d *wirepb.Datagram) {
	m := d.GetWork()
	if m == nil || m.GetOwner() == x.cfg.Incarnation {
		return
	}
	x.heard.Inc(1)
	now := time.Now()
	owner := m.GetOwner()
	x.mu.Lock()
	x.last[owner] = now
	switch {
	case len(m.GetBegan()) > 0 || len(m.GetActive()) > 0:
		delete(x.idle, owner)
	case m.GetBeat():
		x.idle[owner] = true
	}
	x.mu.Unlock()
	if m.GetPassOn() {
		x.toPassOn(m)
	}
	if h := m.GetHello(); h != nil {
		x.hearHello(h, now)
	}
	for _, b := range m.GetBegan() {
		x.cfg.Ledger.Begin(decode(owner, b, now), now)
	}
	for _, seq := range m.GetFirstToken() {
		x.cfg.Ledger.FirstToken(placement.AttemptID{Owner: owner, Seq: seq}, now)
	}
	for _, seq := range m.GetEnded() {
		x.cfg.Ledger.End(placement.AttemptID{Owner: owner, Seq: seq})
	}
	wire.LearnEvidence(x.cfg.Quarantine, m.GetEvidence(), now)
	if m.GetBeat() {
		x.cfg.Ledger.Reconcile(owner, m.GetActive(), m.GetUpTo(), now.Add(-settleTime))
	}
}
