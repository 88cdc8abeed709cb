package gatewaynode

import (
	"sync/atomic"

	"github.com/rcrowley/go-metrics"

	"github.com/briarturn/briarturn/internal/boottime"
	"github.com/briarturn/briarturn/objectapi"
	"github.com/briarturn/briarturn/replica"
)

const (
	// inForceKind is the kind under which entries exchange the configuration that each has in
	// force. It isn't a kind of the store.
	inForceKind = "configuration in force"
	// maxPeerWait is how long a new entry waits for the configuration of a peer after the store
	// came back. Without it an entry without peers would never serve.
	maxPeerWait = 2 * objectapi.DefaultRecoveryTime
)

// inForce exchanges the configuration in force with peers. A store that came back from an older
// copy lacks what was acknowledged since, and an entry that starts then knows nothing else: it would
// accept keys that its peers refuse, until the operators have written again. Its methods but waits and
// endWait are called by one goroutine at a time.
type inForce struct {
	replica   *replica.Replica // of inForceKind; its revisions are those of the configurations
	clock     boottime.Clock
	waitUntil atomic.Int64       // end of the wait for a peer; 0: none
	pending   *objectapi.Listing // for peers, once the wait is over; nil: none
}

func newInForce(next objectapi.Sink, clock boottime.Clock) *inForce {
	return &inForce{replica: replica.New(next, clock), clock: clock}
}

// publish records the configuration in force, for peers. An entry that waits for a peer has nothing
// to tell: it may be as old as what the peer has.
func (f *inForce) publish(o objectapi.Object, revision uint64) {
	o.Version = revision // peers may know it under another version
	f.pending = &objectapi.Listing{Revision: revision, CurrentAsOf: f.clock(), Objects: []objectapi.Object{o}}
	f.publishPending()
}

func (f *inForce) publishPending() {
	if f.pending == nil || f.waits() {
		return
	}
	f.replica.Snapshot(inForceKind, *f.pending)
	f.pending = nil
}

// awaitPeer begins the wait for the configuration of a peer.
func (f *inForce) awaitPeer() { f.waitUntil.Store(int64(f.clock().Add(maxPeerWait))) }

// endWait ends the wait: a peer has told its configuration.
func (f *inForce) endWait() { f.waitUntil.Store(0) }

// waits reports whether the entry may know less than its peers.
func (f *inForce) waits() bool { return int64(f.clock()) < f.waitUntil.Load() }

// confirmable returns as of when a state of the store confirms the configuration: never while the
// entry may know less than its peers.
func (f *inForce) confirmable(asOf boottime.Instant) boottime.Instant {
	if f.waits() {
		return unconfirmed
	}
	f.publishPending()
	return asOf
}

// puller returns a Puller that asks the follower's peers during the wait.
func (f *inForce) puller(follow *follower, client replica.Client, r metrics.Registry) *replica.Puller {
	return replica.NewPuller(replica.PullerConfig{
		Replica: f.replica,
		Kinds:   []replica.PulledKind{{Kind: inForceKind, MaxAge: maxConfigPullAge}},
		Client:  client,
		Sources: func() replica.Sources {
			if !f.waits() {
				return replica.Sources{}
			}
			sources := follow.sources()
			sources.AlwaysPull = true
			return sources
		},
		Clock:     f.clock,
		OnApplied: f.endWait,
		Metrics:   r,
	})
}

// inForceSink takes the configurations that peers have in force.
type inForceSink Node

var _ objectapi.Sink = (*inForceSink)(nil)

// Snapshot implements objectapi.Sink. It takes a configuration that is newer than the node's own,
// and confirms nothing: the peer may be behind, too.
func (s *inForceSink) Snapshot(_ string, l objectapi.Listing) {
	if held, _, ok := s.routes.Table(); ok && held.Revision() >= l.Revision {
		return
	}
	for _, o := range l.Objects {
		table, ok, err := s.cfg.Decoder.Config(o)
		if err != nil || !ok {
			s.cfg.Log.WithError(err).Warn("configuration of a peer can't be decoded")
			continue
		}
		if s.routes.Offer(table, unconfirmed) {
			s.cfg.Log.WithField("revision", table.Revision()).Info("configuration of a peer in force")
		}
	}
}

// Events implements objectapi.Sink.
func (s *inForceSink) Events(kind string, l objectapi.Listing) { s.Snapshot(kind, l) }
