package objectapi

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/briarturn/briarturn/internal/boottime"
	"github.com/briarturn/briarturn/internal/quiet"
)

// Recovery is the state of a kind after the store has come back from an older copy.
type Recovery uint8

const (
	// Recovered is the usual state: the store has what its writers wrote.
	Recovered Recovery = iota
	// Recovering means that the writers may not have written again what the store lost. What a listing
	// lacks isn't gone yet, what it has may be older than what was read before, and neither a listing nor
	// the absence of events confirms a state as current. Events are of this era, and so newer.
	Recovering
	// JustRecovered is the first complete listing after that. It stands, also where it is older than what
	// was read before.
	JustRecovered
)

// DefaultRecoveryTime is the time after which the writers have written again what the store lost. The
// platform gives its servers about two seconds for it.
const DefaultRecoveryTime = 2 * time.Second

// firstRestoredEra is the lowest era in which the store may have lost something: it counts from 1.
const firstRestoredEra = 2

// RecoverySinkConfig configures a RecoverySink. Zero values select the defaults.
type RecoverySinkConfig struct {
	Next         Sink
	RecoveryTime time.Duration
	Clock        boottime.Clock
	// OnEra, if set, is called when a listing is of a newer era than those before. It must not block.
	OnEra   func()
	Log     logrus.FieldLogger
	Metrics metrics.Registry
}

// RecoverySink is a Sink that marks what it forwards by the time since the era began, and forwards the
// complete state again once a kind has recovered. The first listing of a process counts as recovering, too,
// if the store was ever restored: it may have come back just before. It is safe for concurrent use.
type RecoverySink struct {
	config  RecoverySinkConfig
	changes metrics.Counter

	mu        sync.Mutex // guards the fields below; held while the next sink is called
	era       uint64     // the newest one
	eraSince  boottime.Instant
	recovered bool // the recovery of the era is over, here or at a peer
	kinds     map[string]*recoveringKind
}

// recoveringKind is the state of a kind.
type recoveringKind struct {
	era        uint64
	recovering bool
	revision   uint64
	heldBefore uint64            // revision in the era before
	objects    map[string]Object // of the era; nil unless recovering
}

var _ Sink = (*RecoverySink)(nil)

// NewRecoverySink returns a RecoverySink.
func NewRecoverySink(c RecoverySinkConfig) *RecoverySink {
	if c.RecoveryTime <= 0 {
		c.RecoveryTime = DefaultRecoveryTime
	}
	if c.Clock == nil {
		c.Clock = boottime.Now
	}
	if c.Log == nil {
		c.Log = quiet.Logger()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	return &RecoverySink{config: c, changes: metrics.GetOrRegisterCounter("platform.recoveries", c.Metrics), kinds: map[string]*recoveringKind{}}
}

// Snapshot implements Sink.
func (s *RecoverySink) Snapshot(kind string, l Listing) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.kindLocked(kind, l.Revision)
	if k.recovering {
		k.objects = make(map[string]Object, len(l.Objects))
	}
	k.take(l)
	s.forwardLocked(kind, k, l, true)
}

// Events implements Sink.
func (s *RecoverySink) Events(kind string, l Listing) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.kindLocked(kind, l.Revision)
	k.take(l)
	s.forwardLocked(kind, k, l, false)
}

// MarkRecovered records that another process knows an era for longer than the recovery takes.
func (s *RecoverySink) MarkRecovered(era uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if era == s.era {
		s.recovered = true
	}
}

// EraRecovered reports whether this process has known the era for as long as its recovery takes: the writers have
// written again what the store lost.
func (s *RecoverySink) EraRecovered() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.recoveredLocked()
}

func (s *RecoverySink) recoveredLocked() bool {
	if !s.recovered && s.config.Clock().Sub(s.eraSince) >= s.config.RecoveryTime {
		s.recovered = true
	}
	return s.recovered
}

// kindLocked returns the state of a kind, as of the era of a revision.
func (s *RecoverySink) kindLocked(kind string, revision uint64) *recoveringKind {
	era := EraOf(revision)
	if era > s.era || len(s.kinds) == 0 {
		s.config.Log.WithFields(logrus.Fields{"era": era, "era_before": s.era, "revision": NumberOf(revision), "kind": kind}).Info("first state of an era")
		s.era, s.eraSince = era, s.config.Clock()
		s.recovered = len(s.kinds) == 0 && era < firstRestoredEra
		if len(s.kinds) > 0 && s.config.OnEra != nil {
			s.config.OnEra()
		}
	}
	k := s.kinds[kind]
	if k == nil {
		k = &recoveringKind{era: era, recovering: !s.recoveredLocked()}
		s.kinds[kind] = k
	}
	if era > k.era {
		s.changes.Inc(1)
		s.config.Log.WithFields(logrus.Fields{
			"kind": kind, "held_revision": FormatRevision(k.revision), "revision": FormatRevision(revision),
		}).Info("store came back from an older copy")
		*k = recoveringKind{era: era, recovering: true, heldBefore: k.revision}
	}
	return k
}

// take applies a listing to the kept objects.
func (k *recoveringKind) take(l Listing) {
	k.revision = l.Revision
	if !k.recovering {
		return
	}
	if k.objects == nil {
		k.objects = map[string]Object{}
	}
	for _, o := range l.Objects {
		if o.Deleted {
			delete(k.objects, o.Name)
			continue
		}
		k.objects[o.Name] = o
	}
}

// forwardLocked forwards a listing, or the complete state if the kind has recovered.
func (s *RecoverySink) forwardLocked(kind string, k *recoveringKind, l Listing, complete bool) {
	switch {
	case !k.recovering:
	case s.recoveredLocked():
		s.config.Log.WithFields(logrus.Fields{"kind": kind, "revision": FormatRevision(l.Revision), "objects": len(k.objects)}).Info("kind recovered")
		l.Objects = slices.Collect(maps.Values(k.objects))
		l.Recovery = JustRecovered
		k.recovering, k.objects = false, nil
		complete = true
	default:
		l.Recovery, l.HeldBefore = Recovering, k.heldBefore
	}
	if complete {
		s.config.Next.Snapshot(kind, l)
		return
	}
	s.config.Next.Events(kind, l)
}
