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
	// pullEvery is how often peers are asked where they stand in for the object API, and
	// how often the ages are looked at elsewhere: one try in the half second between the
	// age from which a configuration is asked for and that at which an entry leaves the
	// balancer, and a change is known a sixth of the two seconds in which it has to be in
	// force later than by a watch.
	pullEvery = 300 * time.Millisecond
	// pullTimeout bounds one question. Peers answer in milliseconds out of memory;
	// one that is gone must not cost the time in which another could answer.
	pullTimeout = 250 * time.Millisecond
	// pullWholeTimeout bounds a question for objects that the peer left out as large:
	// a megabyte takes 0.4 s on a link of 20 Mbit/s, and others ask at the same moment.
	pullWholeTimeout = 2 * time.Second
	// pullPeers bounds the peers that are asked at a time.
	pullPeers = 3
)

// Client asks the peer at an address; package wire's Dialer is one.
type Client interface {
	PullStates(ctx context.Context, address string, in *wirepb.StatesRequest) (*wirepb.States, error)
}

// PulledKind is a kind that a Puller keeps current.
type PulledKind struct {
	Kind string
	// MaxAge is from when on peers are asked: more than an undisturbed watch lets the
	// proof of the kind grow, which is two of its waits.
	MaxAge time.Duration
}

// Sources says whom a Puller asks.
type Sources struct {
	// AlwaysPull has it ask however new a kind is: for an entry that leaves the object API to
	// its peers.
	AlwaysPull bool
	// Peers are the addresses of those that answer, the best first.
	Peers []string
	// LargeObjectPeers are those to ask first for large objects that another knows of: near ones,
	// since bytes between availability zones are paid for and slow.
	LargeObjectPeers []string
}

// PullerConfig sets up a Puller.
type PullerConfig struct {
	Replica *Replica
	Kinds   []PulledKind
	Client  Client
	Sources func() Sources
	Clock   boottime.Clock
	Metrics metrics.Registry
}

// Puller keeps a Replica current from peers where the object API doesn't.
type Puller struct {
	cfg     PullerConfig
	pulls   metrics.Counter
	wholes  metrics.Counter
	failed  metrics.Counter
	renewed metrics.Counter
	strayed metrics.Counter
	// stray are kinds whose changes led to other objects than the peer has.
	stray map[string]bool
}

// NewPuller returns a Puller; Run makes it work.
func NewPuller(cfg PullerConfig) *Puller {
	return &Puller{
		cfg:     cfg,
		pulls:   metrics.GetOrRegisterCounter("replica.pulls", cfg.Metrics),
		wholes:  metrics.GetOrRegisterCounter("replica.pulls_whole", cfg.Metrics),
		failed:  metrics.GetOrRegisterCounter("replica.pulls_failed", cfg.Metrics),
		renewed: metrics.GetOrRegisterCounter("replica.renewed", cfg.Metrics),
		strayed: metrics.GetOrRegisterCounter("replica.strayed", cfg.Metrics),
		stray:   map[string]bool{},
	}
}

// Run works until ctx ends.
func (p *Puller) Run(ctx context.Context) {
	for sleep.For(ctx, pullEvery) {
		p.renew(ctx)
	}
}

// renew asks peers for the kinds that are old or unknown, or for all, until one knows
// each well enough.
func (p *Puller) renew(ctx context.Context) {
	sources := p.cfg.Sources()
	wanted := p.old(p.cfg.Kinds)
	if sources.AlwaysPull {
		wanted = p.cfg.Kinds
	}
	for _, address := range sources.Peers[:min(len(sources.Peers), pullPeers)] {
		if len(wanted) == 0 {
			return
		}
		p.pull(ctx, address, sources.LargeObjectPeers, wanted)
		still := p.old(wanted)
		p.renewed.Inc(int64(len(wanted) - len(still)))
		wanted = still
	}
}

// old returns the kinds that need the word of peers.
func (p *Puller) old(kinds []PulledKind) []PulledKind {
	var out []PulledKind
	for _, f := range kinds {
		if age, ok := p.cfg.Replica.Age(f.Kind); !ok || age >= f.MaxAge {
			out = append(out, f)
		}
	}
	return out
}

// leftOut is a state whose objects a peer left out as large.
type leftOut struct {
	kind     string
	revision uint64
}

// pull asks one peer for some kinds and takes what it knows. Large objects are asked for
// by themselves, the near peers first.
func (p *Puller) pull(ctx context.Context, address string, near []string, kinds []PulledKind) {
	question := &wirepb.StatesRequest{}
	for _, f := range kinds {
		question.Held = append(question.Held, p.held(f.Kind))
	}
	p.pulls.Inc(1)
	for _, l := range p.ask(ctx, address, question, pullTimeout) {
		for _, from := range append(slices.Clone(near), address) {
			if p.cfg.Replica.Revision(l.kind) >= l.revision {
				break
			}
			p.pullWhole(ctx, from, l.kind)
		}
	}
}

// pullWhole asks one peer for a kind whose objects may be large.
func (p *Puller) pullWhole(ctx context.Context, address, kind string) {
	held := p.held(kind)
	held.Whole = true
	p.wholes.Inc(1)
	p.ask(ctx, address, &wirepb.StatesRequest{Held: []*wirepb.StateHeld{held}}, pullWholeTimeout)
}

// held tells a peer what is known of a kind here.
func (p *Puller) held(kind string) *wirepb.StateHeld {
	out := &wirepb.StateHeld{Kind: kind, Digest: p.cfg.Replica.Digest(kind)}
	if !p.stray[kind] {
		out.Revision = p.cfg.Replica.Revision(kind)
	}
	return out
}

// ask sends one question and takes the answer. It returns what the peer left out, if
// that is newer than what is known here.
func (p *Puller) ask(ctx context.Context, address string, question *wirepb.StatesRequest, limit time.Duration) []leftOut {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	asked := p.cfg.Clock()
	out, err := p.cfg.Client.PullStates(ctx, address, question)
	if err != nil {
		// Its reason is the peer's or the network's; the counter tells how often, a line
		// for each would flood the log of an entry that is cut off.
		p.failed.Inc(1)
		return nil
	}
	var left []leftOut
	for _, s := range out.GetStates() {
		switch {
		case !s.GetLeftOut():
			proof := ConfirmedOffset(time.Duration(s.GetProvedUs()) * time.Microsecond)
			p.take(s, proof.instant(asked, p.cfg.Clock()))
		case s.GetRevision() > p.cfg.Replica.Revision(s.GetKind()): // else the peer lags
			left = append(left, leftOut{kind: s.GetKind(), revision: s.GetRevision()})
		}
	}
	return left
}

// take passes an answer on: the word that nothing changed, what changed, or the whole
// state. The replica leaves out what is older than what it holds.
func (p *Puller) take(s *wirepb.State, confirmed boottime.Instant) {
	kind := s.GetKind()
	if p.cfg.Replica.Confirm(kind, s.GetDigest(), confirmed) {
		return
	}
	l := objectapi.Listing{Revision: s.GetRevision(), Asked: confirmed}
	for _, o := range s.GetObjects() {
		l.Objects = append(l.Objects, objectapi.Object{Kind: kind, Name: o.GetName(), Version: o.GetVersion(), Data: o.GetData(), Deleted: o.GetDeleted()})
	}
	if !s.GetChanges() {
		p.stray[kind] = false
		p.cfg.Replica.Snapshot(kind, l)
		return
	}
	p.cfg.Replica.Events(kind, l)
	p.check(s)
}

// check compares what changes led to with what the peer has. Both are the state of one
// revision of the object API and have to be the same; if a fault made them differ, an
// entry would go on with objects that are gone until each changes once more. The counter
// shows it, and the next answer brings the whole.
func (p *Puller) check(s *wirepb.State) {
	kind := s.GetKind()
	if p.cfg.Replica.Revision(kind) != s.GetRevision() || p.cfg.Replica.Digest(kind) == s.GetDigest() {
		return
	}
	p.strayed.Inc(1)
	p.stray[kind] = true
}
