package replica

import (
	"context"
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
	// pullPeers bounds the peers that are asked at a time.
	pullPeers = 3
)

// Asker asks the peer at an address; package wire's Dialer is one.
type Asker interface {
	PullConfig(ctx context.Context, address string, in *wirepb.PullRequest) (*wirepb.PullResponse, error)
}

// Followed is a kind that a Puller keeps current.
type Followed struct {
	Kind string
	// Age is from when on peers are asked: more than an undisturbed watch lets the
	// proof of the kind grow, which is two of its waits.
	Age time.Duration
}

// PullerConfig sets up a Puller.
type PullerConfig struct {
	Replica *Replica
	Kinds   []Followed
	Asker   Asker
	// Peers returns the addresses of the peers that answer, the best first, and whether
	// to ask them however new a kind is: for an entry that leaves the object API to them.
	Peers   func() (always bool, addresses []string)
	Clock   boottime.Clock
	Metrics metrics.Registry
}

// Puller keeps a Replica current from peers where the object API doesn't.
type Puller struct {
	cfg     PullerConfig
	pulls   metrics.Counter
	failed  metrics.Counter
	renewed metrics.Counter
}

// NewPuller returns a Puller; Run makes it work.
func NewPuller(cfg PullerConfig) *Puller {
	return &Puller{
		cfg:     cfg,
		pulls:   metrics.GetOrRegisterCounter("replica.pulls", cfg.Metrics),
		failed:  metrics.GetOrRegisterCounter("replica.pulls_failed", cfg.Metrics),
		renewed: metrics.GetOrRegisterCounter("replica.renewed", cfg.Metrics),
	}
}

// Run works until ctx ends.
func (p *Puller) Run(ctx context.Context) {
	for sleep.For(ctx, pullEvery) {
		for _, f := range p.cfg.Kinds {
			p.renew(ctx, f)
		}
	}
}

// renew asks peers for a kind that is old, or unknown, until one knows better.
func (p *Puller) renew(ctx context.Context, f Followed) {
	always, peers := p.cfg.Peers()
	if !always && p.fresh(f) {
		return
	}
	for _, address := range peers[:min(len(peers), pullPeers)] {
		p.pull(ctx, address, f.Kind)
		if p.fresh(f) {
			p.renewed.Inc(1)
			return
		}
	}
}

// fresh reports whether a kind needs no word of peers.
func (p *Puller) fresh(f Followed) bool {
	age, ok := p.cfg.Replica.Age(f.Kind)
	return ok && age < f.Age
}

// pull asks one peer and takes its answer.
func (p *Puller) pull(ctx context.Context, address, kind string) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	p.pulls.Inc(1)
	question := &wirepb.PullRequest{Digest: p.cfg.Replica.Digest(kind), Kinds: []string{kind}}
	asked := p.cfg.Clock()
	out, err := p.cfg.Asker.PullConfig(ctx, address, question)
	if err != nil {
		// Its reason is the peer's or the network's; the counter tells how often, a line
		// for each would flood the log of an entry that is cut off.
		p.failed.Inc(1)
		return
	}
	proof := Proof(time.Duration(out.GetProvedUs()) * time.Microsecond)
	p.take(kind, out, proof.instant(asked, p.cfg.Clock()))
}

// take passes an answer on: the word that nothing changed, or the whole state, of
// which the replica leaves an older one out.
func (p *Puller) take(kind string, out *wirepb.PullResponse, confirmed boottime.Instant) {
	if p.cfg.Replica.Confirm(kind, out.GetDigest(), confirmed) {
		return
	}
	l := objectapi.Listing{Revision: out.GetRevision(), Asked: confirmed}
	for _, o := range out.GetObjects() {
		l.Objects = append(l.Objects, objectapi.Object{Kind: kind, Name: o.GetName(), Version: o.GetVersion(), Data: o.GetData()})
	}
	p.cfg.Replica.Snapshot(kind, l)
}
