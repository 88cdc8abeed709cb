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
	"github.com/briarturn/briarturn/retrybudget"
	"github.com/briarturn/briarturn/serverlimit"
	"github.com/briarturn/briarturn/servernotice"
	"github.com/briarturn/briarturn/wire"
	"github.com/briarturn/briarturn/wire/wirepb"
)

const (
	// heartbeatInterval is how often an entry sends the list of its active attempts.
	heartbeatInterval = 500 * time.Millisecond
	// peerTimeout is the time without a message from a peer after which its attempts
	// are dropped: three heartbeats.
	peerTimeout = 1600 * time.Millisecond
	// idleHeartbeatEvery makes an entry without attempts send only every third heartbeat.
	// In a large fleet nearly all entries are idle, and their heartbeats to each other
	// are most of the traffic.
	idleHeartbeatEvery = 3
	// idlePeerTimeout replaces peerTimeout for a peer whose last heartbeat listed no
	// attempts: three of its heartbeats. An idle peer has no attempts that would have to
	// be dropped earlier.
	idlePeerTimeout = 3*idleHeartbeatEvery*heartbeatInterval + 100*time.Millisecond
	// reorderTolerance is the minimum age of an attempt that a heartbeat may end by not
	// listing it. Datagrams can arrive out of order.
	reorderTolerance = 100 * time.Millisecond
	// PresenceWatchWait is how long one watch of the entries' presence objects waits for a
	// change. They change rarely.
	PresenceWatchWait = 10 * time.Second
)

// Config holds the settings and dependencies of an Exchange.
type Config struct {
	Name          string // name of the VM
	ListenAddress string // bind address for datagrams, IP:PORT
	RPCAddress    string // IP:PORT of this entry's drpc services; empty if it has none
	Incarnation   uint64
	Zone          string
	Region        string
	LinkMbps      int // link capacity of the VM in Mbit/s; 0 if unknown
	Store         objectapi.Store
	Ledger        *placement.Ledger
	Quarantine    *quarantine.Tracker
	Parts         *quarantine.PartTracker
	Limits        *serverlimit.Table
	Notices       *servernotice.Table
	Retries       *retrybudget.Budget // lends to peers and borrows from them; nil: neither
	// OnEntriesChanged is called with the names of all known entries, including this one,
	// and with whether the object API has listed them at least once. Before the first
	// listing the names may be incomplete.
	OnEntriesChanged func(names []string, listed bool)
	// OnPeerAttempt, if set, is called for each attempt of a peer as it becomes known. It must
	// not block.
	OnPeerAttempt func(attempt placement.Attempt, now time.Time)
	// OnContacts, if set, is called at each heartbeat with the names of the peers whose messages arrive.
	OnContacts func(names []string, now time.Time)
	Log        logrus.FieldLogger
	Metrics    metrics.Registry
}

// Exchange sends this entry's attempts to its peers and records the attempts that they
// report. Start creates it.
type Exchange struct {
	cfg          Config
	outbox       *outbox
	presences    *presenceSink
	datagrams    *wire.Datagrams
	received     metrics.Counter
	sendFailures metrics.Counter

	ownPresence   presence // set before the goroutines that use it start
	started       time.Time
	helloReceived chan struct{} // holds one token while a received hello or a returned peer is not yet processed

	mu          sync.Mutex // guards what follows
	listedPeers []Peer     // as listed by the object API
	hellos      map[string]receivedHello
	peers       []Peer               // listedPeers merged with hellos, ordered by compareRank
	lastSeen    map[uint64]time.Time // time of the last message, by incarnation
	idlePeers   map[uint64]bool      // incarnations without attempts at their last heartbeat
	returned    []uint64             // incarnations of peers that were silent until lately

	relayQueue    chan *wirepb.WorkNews // messages to forward within the own zone
	relaysDropped metrics.Counter       // messages dropped because relayQueue was full
}

// Start binds the datagram address and starts the exchange, which runs until ctx ends.
func Start(ctx context.Context, cfg Config) (*Exchange, error) {
	x := &Exchange{
		cfg:           cfg,
		outbox:        newOutbox(cfg.Incarnation),
		received:      metrics.GetOrRegisterCounter("peering.news.heard", cfg.Metrics),
		sendFailures:  metrics.GetOrRegisterCounter("peering.news.send_failed", cfg.Metrics),
		lastSeen:      map[uint64]time.Time{},
		idlePeers:     map[uint64]bool{},
		relayQueue:    make(chan *wirepb.WorkNews, relayQueueSize),
		relaysDropped: metrics.GetOrRegisterCounter("peering.news.pass_dropped", cfg.Metrics),
		hellos:        map[string]receivedHello{},
		helloReceived: make(chan struct{}, 1),
		started:       time.Now(),
	}
	x.presences = newPresenceSink(cfg.Name, cfg.Log, x.setPeers)
	datagrams, err := wire.ListenDatagrams(wire.DatagramConfig{
		Address: cfg.ListenAddress, Handler: x.handleDatagram, Log: cfg.Log, Metrics: cfg.Metrics,
	})
	if err != nil {
		return nil, errors.Annotate(err, "step start exchange with peers")
	}
	x.datagrams = datagrams
	x.ownPresence = presence{
		DatagramAddress: datagrams.Addr().String(), RPCAddress: cfg.RPCAddress, Incarnation: cfg.Incarnation, Zone: cfg.Zone, Region: cfg.Region,
		LinkMbps: cfg.LinkMbps, Relays: true,
	}
	go x.relayLoop(ctx)
	go announce(ctx, cfg.Store, cfg.Name, x.ownPresence, x.presences, cfg.Log)
	go x.publishLoop(ctx)
	go x.heartbeatLoop(ctx)
	go x.helloLoop(ctx)
	return x, nil
}

// AttemptPublisher returns the publisher to which the entry's planner reports attempts.
func (x *Exchange) AttemptPublisher() placement.AttemptPublisher { return x.outbox }

// DeathReporter returns the reporter to which the entry's gateway reports server deaths.
func (x *Exchange) DeathReporter() gateway.DeathReporter { return x.outbox }

// LimitReporter returns the reporter to which the entry's gateway reports the rates that
// servers name.
func (x *Exchange) LimitReporter() gateway.LimitReporter { return x.outbox }

// DrainReporter returns the reporter to which the entry's gateway reports servers that announced
// that they drain.
func (x *Exchange) DrainReporter() gateway.DrainReporter { return x.outbox }

// Close closes the datagram socket.
func (x *Exchange) Close() error { return errors.Trace(x.datagrams.Close()) }

// PresenceSink returns the sink for objects of KindGateway.
func (x *Exchange) PresenceSink() objectapi.Sink { return x.presences }

// setPeers stores the entries that the object API lists and updates the peers.
func (x *Exchange) setPeers(listed []Peer) {
	x.mu.Lock()
	x.listedPeers = listed
	x.mu.Unlock()
	x.updatePeers(time.Now())
}

// updatePeers merges the listed entries with the received hellos and sends the active
// attempts to new peers.
func (x *Exchange) updatePeers(now time.Time) {
	x.mu.Lock()
	known := map[uint64]bool{}
	for _, p := range x.peers {
		known[p.Incarnation] = true
	}
	peers := mergeHellos(x.listedPeers, x.hellos, now)
	slices.SortFunc(peers, compareRank)
	x.peers = peers
	x.mu.Unlock()
	x.cfg.OnEntriesChanged(x.entryNames(peers), x.presences.hasListed())
	x.syncNewPeers(slices.DeleteFunc(slices.Clone(peers), func(p Peer) bool { return known[p.Incarnation] }), now)
}

// entryNames returns the names of this entry and of peers.
func (x *Exchange) entryNames(peers []Peer) []string {
	out := []string{x.cfg.Name}
	for _, p := range peers {
		out = append(out, p.Name)
	}
	return out
}

// publishLoop broadcasts the contents of the outbox until ctx ends. Attempt starts, server
// deaths, limits and drains of servers go out at once; other updates wait for batchDelay.
func (x *Exchange) publishLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-x.outbox.wake:
		}
		if !x.outbox.urgent() && !sleep.For(ctx, batchDelay) {
			return
		}
		for _, m := range x.outbox.drain(time.Now()) {
			x.broadcast(m)
		}
		x.sendRetries(time.Now())
	}
}

// heartbeatLoop sends the list of active attempts at each heartbeatInterval and drops the
// attempts of peers that timed out, until ctx ends.
func (x *Exchange) heartbeatLoop(ctx context.Context) {
	var throttle idleThrottle
	for sleep.For(ctx, heartbeatInterval) {
		x.expirePeers(time.Now())
		x.reportContacts(time.Now())
		x.repeatDeaths(time.Now())
		x.repeatParts(time.Now())
		x.repeatLimits(time.Now())
		x.repeatDrains(time.Now())
		// UpTo is read before the list: an attempt that starts in between may or may not
		// be listed.
		m := &wirepb.WorkNews{Owner: x.cfg.Incarnation, Beat: true, UpTo: x.outbox.lastSeq()}
		for _, w := range x.cfg.Ledger.AttemptsOf(x.cfg.Incarnation) {
			m.Active = append(m.Active, w.ID.Seq)
		}
		// A list that doesn't fit a datagram is left out. With Beat unset, receivers don't
		// end attempts that aren't listed.
		if len(m.Active) > maxHeartbeatSeqs {
			m.Active, m.Beat = nil, false
		}
		m.Hello = x.hello(time.Now())
		if throttle.skip(m.Beat && len(m.Active) == 0 && m.Hello == nil) {
			continue
		}
		x.broadcast(m)
	}
}

// idleThrottle counts consecutive heartbeats of an entry without attempts.
type idleThrottle struct{ consecutive int }

// skip reports whether a heartbeat can be skipped. The first idle heartbeat is always
// sent, because it ends attempts at peers that missed the messages about their ends.
func (t *idleThrottle) skip(idle bool) bool {
	if !idle {
		t.consecutive = 0
		return false
	}
	t.consecutive++
	return (t.consecutive-1)%idleHeartbeatEvery != 0
}

// timedOutLocked reports whether the last message of an entry is older than its timeout.
func (x *Exchange) timedOutLocked(owner uint64, now time.Time) bool {
	at, seen := x.lastSeen[owner]
	limit := peerTimeout
	if x.idlePeers[owner] {
		limit = idlePeerTimeout
	}
	return !seen || now.Sub(at) > limit
}

// expirePeers drops the attempts of peers that timed out. Otherwise their servers would
// look busy forever.
func (x *Exchange) expirePeers(now time.Time) {
	var silent []uint64
	x.mu.Lock()
	for owner := range x.lastSeen {
		if x.timedOutLocked(owner, now) {
			silent = append(silent, owner)
			delete(x.lastSeen, owner)
			delete(x.idlePeers, owner)
		}
	}
	x.mu.Unlock()
	for _, owner := range silent {
		x.cfg.Ledger.EndOwner(owner)
		x.cfg.Log.WithField("incarnation", owner).Info("peer silent, its work forgotten")
	}
}

func (x *Exchange) reportPeerAttempt(attempt placement.Attempt, now time.Time) {
	if x.cfg.OnPeerAttempt != nil {
		x.cfg.OnPeerAttempt(attempt, now)
	}
}

func (x *Exchange) reportContacts(now time.Time) {
	if x.cfg.OnContacts != nil {
		x.cfg.OnContacts(x.contacts(now), now)
	}
}

// contacts returns the names of the peers that haven't timed out.
func (x *Exchange) contacts(now time.Time) []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	var out []string
	for _, p := range x.peers {
		if !x.timedOutLocked(p.Incarnation, now) {
			out = append(out, p.Name)
		}
	}
	return out
}

func (x *Exchange) sendToAll(m *wirepb.WorkNews) {
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
		// The next heartbeat repairs the loss. A log line for each failure would flood the
		// log of an entry that is cut off from its peers.
		x.sendFailures.Inc(1)
	}
}

// handleDatagram applies a datagram from a peer to the ledger and the quarantine tracker.
// It runs on the event loop of the datagram socket.
func (x *Exchange) handleDatagram(_ netip.AddrPort, d *wirepb.Datagram) {
	m := d.GetWork()
	if m == nil || m.GetOwner() == x.cfg.Incarnation {
		return
	}
	x.received.Inc(1)
	now := time.Now()
	owner := m.GetOwner()
	x.mu.Lock()
	x.noteContactLocked(owner, now)
	switch {
	case len(m.GetBegan()) > 0 || len(m.GetActive()) > 0:
		delete(x.idlePeers, owner)
	case m.GetBeat():
		x.idlePeers[owner] = true
	}
	x.mu.Unlock()
	if m.GetPassOn() {
		x.enqueueRelay(m)
	}
	if h := m.GetHello(); h != nil {
		x.handleHello(h, now)
	}
	for _, b := range m.GetBegan() {
		if attempt := decodeAttempt(owner, b, now); x.cfg.Ledger.Begin(attempt, now) {
			x.reportPeerAttempt(attempt, now)
		}
	}
	for _, seq := range m.GetFirstToken() {
		x.cfg.Ledger.FirstToken(placement.AttemptID{Owner: owner, Seq: seq}, now)
	}
	for _, seq := range m.GetEnded() {
		x.cfg.Ledger.End(placement.AttemptID{Owner: owner, Seq: seq})
	}
	wire.MergeEvidence(x.cfg.Quarantine, m.GetEvidence(), now)
	x.handleCompletions(m.GetCompleted(), now)
	x.handleParts(m, now)
	x.handleRates(m.GetRates(), now)
	x.handleDrains(m.GetDrains(), now)
	x.handleRetries(m)
	if m.GetBeat() {
		x.cfg.Ledger.Reconcile(owner, m.GetActive(), m.GetUpTo(), now.Add(-reorderTolerance))
	}
}
