package replica

import (
	"context"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/briarturn/briarturn/internal/boottime"
	"github.com/briarturn/briarturn/internal/sleep"
	"github.com/briarturn/briarturn/objectapi"
	"github.com/briarturn/briarturn/wire/wirepb"
)

const (
	// pullInterval is the time between two rounds. A round asks peers for all kinds if the
	// entry leaves the object API to its peers, and for stale kinds otherwise. The interval
	// allows one try in the half second between the age at which a configuration is pulled
	// and the age at which an entry leaves the load balancer. Compared with a watch, it
	// delays a change by a sixth of the two seconds in which it must be in force.
	pullInterval = 300 * time.Millisecond
	// pullTimeout is the timeout of one request. Peers answer from memory within
	// milliseconds, and a dead peer must not use up the time in which another could answer.
	pullTimeout = 250 * time.Millisecond
	// fullPullTimeout is the timeout of a request for objects that the peer left out
	// because of their size. A megabyte takes 0.4 s on a link of 20 Mbit/s, and other
	// entries request it at the same time.
	fullPullTimeout = 2 * time.Second
	// hedgeDelay is the time without a response after which the next peer is asked for the
	// same objects too. A peer that stands still would otherwise use up the time in which a
	// change must be in force.
	hedgeDelay = 500 * time.Millisecond
	// maxPeersPerRound is the maximum number of peers that are asked in one round.
	maxPeersPerRound = 3
)

// Client sends requests to the peer at an address. wire.Dialer implements it.
type Client interface {
	PullStates(ctx context.Context, address string, in *wirepb.StatesRequest) (*wirepb.States, error)
}

// PulledKind is an object kind that a Puller keeps current.
type PulledKind struct {
	Kind string
	// MaxAge is the age of the state from which peers are asked. It must exceed the age
	// that the state reaches under an undisturbed watch, which is twice the watch's wait.
	MaxAge time.Duration
}

// Sources lists the peers that a Puller asks.
type Sources struct {
	// AlwaysPull makes the Puller ask for all kinds, whatever their age. It is set for an
	// entry that leaves the object API to its peers.
	AlwaysPull bool
	// Peers are the addresses of the peers to ask, the preferred ones first.
	Peers []string
	// LargeObjectPeers are the addresses of the peers to ask first for large objects that
	// another peer has left out. They are in the same availability zone, because traffic
	// between availability zones is slow and paid for.
	LargeObjectPeers []string
}

// PullerConfig holds the settings and dependencies of a Puller.
type PullerConfig struct {
	Replica *Replica
	Kinds   []PulledKind
	Client  Client
	Sources func() Sources
	Clock   boottime.Clock
	// OnEra, if set, is called with the era of each state of a peer.
	OnEra func(era uint64)
	// OnApplied, if set, is called after each state of a peer that was applied.
	OnApplied func()
	Metrics   metrics.Registry
}

// Puller keeps a Replica current from peers when the object API doesn't.
type Puller struct {
	cfg            PullerConfig
	pulls          metrics.Counter
	fullPulls      metrics.Counter
	failedPulls    metrics.Counter
	refreshedKinds metrics.Counter
	divergences    metrics.Counter
	// diverged are the kinds whose objects differed from the peer's after changes were
	// applied.
	diverged map[string]bool
}

// NewPuller returns a Puller. Run starts it.
func NewPuller(cfg PullerConfig) *Puller {
	return &Puller{
		cfg:            cfg,
		pulls:          metrics.GetOrRegisterCounter("replica.pulls", cfg.Metrics),
		fullPulls:      metrics.GetOrRegisterCounter("replica.pulls_whole", cfg.Metrics),
		failedPulls:    metrics.GetOrRegisterCounter("replica.pulls_failed", cfg.Metrics),
		refreshedKinds: metrics.GetOrRegisterCounter("replica.renewed", cfg.Metrics),
		divergences:    metrics.GetOrRegisterCounter("replica.strayed", cfg.Metrics),
		diverged:       map[string]bool{},
	}
}

// Run pulls from peers at each pullInterval until ctx ends.
func (p *Puller) Run(ctx context.Context) {
	for sleep.For(ctx, pullInterval) {
		p.pullRound(ctx)
	}
}

// pullRound asks peers for the stale kinds, or for all kinds if AlwaysPull is set, until no
// kind is stale or maxPeersPerRound peers were asked.
func (p *Puller) pullRound(ctx context.Context) {
	sources := p.cfg.Sources()
	wanted := p.staleKinds(p.cfg.Kinds)
	if sources.AlwaysPull {
		wanted = p.cfg.Kinds
	}
	for _, address := range sources.Peers[:min(len(sources.Peers), maxPeersPerRound)] {
		if len(wanted) == 0 {
			return
		}
		p.pullFrom(ctx, address, sources.LargeObjectPeers, wanted)
		still := p.staleKinds(wanted)
		p.refreshedKinds.Inc(int64(len(wanted) - len(still)))
		wanted = still
	}
}

// staleKinds returns the kinds that are unknown or have reached their MaxAge.
func (p *Puller) staleKinds(kinds []PulledKind) []PulledKind {
	var out []PulledKind
	for _, f := range kinds {
		if age, ok := p.cfg.Replica.Age(f.Kind); !ok || age >= f.MaxAge {
			out = append(out, f)
		}
	}
	return out
}

// omittedState is a state whose objects a peer left out because of their size.
type omittedState struct {
	kind     string
	revision uint64
}

// pullFrom asks one peer for some kinds and applies its response. Large objects are requested
// separately, from largeObjectPeers first.
func (p *Puller) pullFrom(ctx context.Context, address string, largeObjectPeers []string, kinds []PulledKind) {
	in := &wirepb.StatesRequest{}
	for _, f := range kinds {
		in.Held = append(in.Held, p.heldState(f.Kind))
	}
	p.pulls.Inc(1)
	for _, l := range p.handle(p.call(ctx, address, in, pullTimeout)) {
		p.pullFull(ctx, append(slices.Clone(largeObjectPeers), address), l)
	}
}

// pullFull asks peers for a state whose objects may be large, until the replica holds it. The
// next peer is asked when one has responded without it, or hasn't responded for hedgeDelay.
func (p *Puller) pullFull(ctx context.Context, peers []string, wanted omittedState) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	held := p.heldState(wanted.kind)
	held.Whole = true
	in := &wirepb.StatesRequest{Held: []*wirepb.StateHeld{held}}
	responses := make(chan response, len(peers))
	for next, waiting := 0, 0; p.cfg.Replica.Revision(wanted.kind) < wanted.revision; {
		if next < len(peers) {
			p.fullPulls.Inc(1)
			go func(address string) { responses <- p.call(ctx, address, in, fullPullTimeout) }(peers[next])
			next++
			waiting++
		}
		if waiting == 0 {
			return
		}
		var hedge <-chan time.Time
		if next < len(peers) {
			hedge = time.After(hedgeDelay)
		}
		select {
		case r := <-responses:
			waiting--
			p.handle(r)
		case <-hedge:
		}
	}
}

// heldState describes the held state of a kind in a request. For a diverged kind it omits
// the revision, so that the peer sends the full state.
func (p *Puller) heldState(kind string) *wirepb.StateHeld {
	out := &wirepb.StateHeld{Kind: kind, Digest: p.cfg.Replica.Digest(kind)}
	if !p.diverged[kind] {
		out.Revision = p.cfg.Replica.Revision(kind)
	}
	return out
}

// response is a peer's response to one request.
type response struct {
	states         *wirepb.States // nil if the request failed
	sent, received boottime.Instant
}

// call sends one request. It is safe for concurrent use.
func (p *Puller) call(ctx context.Context, address string, in *wirepb.StatesRequest, timeout time.Duration) response {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sent := p.cfg.Clock()
	out, err := p.cfg.Client.PullStates(ctx, address, in)
	if err != nil {
		// The cause is the peer or the network. A log line for each failure would flood
		// the log of an entry that is cut off, so failures are only counted.
		p.failedPulls.Inc(1)
		return response{}
	}
	return response{states: out, sent: sent, received: p.cfg.Clock()}
}

// handle applies a response. It returns the states that the peer left out and that are newer
// than the held ones.
func (p *Puller) handle(r response) []omittedState {
	var omitted []omittedState
	for _, s := range r.states.GetStates() {
		switch {
		case !s.GetLeftOut():
			offset := ConfirmedOffset(time.Duration(s.GetProvedUs()) * time.Microsecond)
			p.apply(s, offset.localInstant(r.sent, r.received))
			if p.cfg.OnApplied != nil {
				p.cfg.OnApplied()
			}
		case s.GetRevision() > p.cfg.Replica.Revision(s.GetKind()): // otherwise the peer lags behind
			omitted = append(omitted, omittedState{kind: s.GetKind(), revision: s.GetRevision()})
		}
	}
	return omitted
}

// apply applies a state from a response to the replica: a confirmation that nothing changed,
// the changes, or the full state. The replica ignores states older than the held one.
func (p *Puller) apply(s *wirepb.State, confirmed boottime.Instant) {
	kind := s.GetKind()
	era := objectapi.EraOf(s.GetRevision())
	if p.cfg.OnEra != nil {
		p.cfg.OnEra(era)
	}
	if s.GetRecovered() {
		p.cfg.Replica.markRecovered(era)
	}
	if p.cfg.Replica.Confirm(kind, s.GetDigest(), confirmed) {
		return
	}
	l := objectapi.Listing{Revision: s.GetRevision(), CurrentAsOf: confirmed}
	for _, o := range s.GetObjects() {
		l.Objects = append(l.Objects, objectapi.Object{Kind: kind, Name: o.GetName(), Version: o.GetVersion(), Data: o.GetData(), Deleted: o.GetDeleted()})
	}
	if !s.GetChanges() {
		p.diverged[kind] = false
		p.cfg.Replica.Snapshot(kind, l)
		return
	}
	p.cfg.Replica.Events(kind, l)
	p.checkDigest(s)
}

// checkDigest compares the state after incremental changes with the state of the peer. Both
// are of the same revision of the object API and must be equal. If a fault makes them
// differ, the entry would keep deleted objects until each of them changes again. Such a
// divergence is counted, and the next request asks for the full state.
func (p *Puller) checkDigest(s *wirepb.State) {
	kind := s.GetKind()
	if p.cfg.Replica.Revision(kind) != s.GetRevision() || p.cfg.Replica.Digest(kind) == s.GetDigest() {
		return
	}
	p.divergences.Inc(1)
	p.diverged[kind] = true
}
