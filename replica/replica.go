package replica

import (
	"encoding/binary"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/briarturn/briarturn/internal/boottime"
	"github.com/briarturn/briarturn/objectapi"
)

// Replica keeps the last state that an entry read of some kinds. It is an objectapi.Sink
// that forwards to the next sink only what is not older than the held state, so that a
// watch of the object API and responses of peers can feed it concurrently. It is safe for
// concurrent use; mu guards all fields and is held while the next sink is called.
type Replica struct {
	next  objectapi.Sink
	clock boottime.Clock

	mu    sync.Mutex
	kinds map[string]*kindState
	era   uint64 // newest one of all kinds: a state of an older one is confirmed by nobody
	eras  EraSource
}

// EraSource shares with peers what is known of the era of the store. objectapi.RecoverySink implements it.
type EraSource interface {
	// MarkRecovered records that a peer knows an era for longer than its recovery takes.
	MarkRecovered(era uint64)
	// EraRecovered reports whether this process knows the era of its state for so long.
	EraRecovered() bool
}

// SetEras sets the source of what the Replica tells peers of the era. Call it before its first use.
func (r *Replica) SetEras(s EraSource) { r.eras = s }

// kindState is the held state of one kind.
type kindState struct {
	revision  uint64
	confirmed boottime.Instant // start of the last call that confirmed the state
	objects   map[string]objectapi.Object
	history   history
}

var _ objectapi.Sink = (*Replica)(nil)

// New returns an empty Replica that forwards to next.
func New(next objectapi.Sink, clock boottime.Clock) *Replica {
	return &Replica{next: next, clock: clock, kinds: map[string]*kindState{}}
}

// Snapshot implements objectapi.Sink. A listing that is older than the held state is
// ignored: a newer state arrived first from another source.
func (r *Replica) Snapshot(kind string, l objectapi.Listing) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.kinds[kind]
	if old != nil && l.Revision < old.revision || r.isOlderLocked(l.Revision) {
		return
	}
	s := &kindState{revision: l.Revision, confirmed: l.CurrentAsOf, objects: make(map[string]objectapi.Object, len(l.Objects))}
	if old != nil {
		s.confirmed = max(s.confirmed, old.confirmed)
	}
	for _, o := range l.Objects {
		s.objects[o.Name] = o
	}
	if old != nil && l.Revision > old.revision {
		s.history = old.history
		s.history.add(batch{from: old.revision, to: l.Revision, netDiff: true, changed: diffStates(old.objects, s.objects)})
	}
	r.kinds[kind] = s
	r.next.Snapshot(kind, l)
}

// Events implements objectapi.Sink. A peer may have delivered a newer state since the watch
// began; a listing up to an older revision is ignored, and one up to the held revision only
// confirms the state. A listing up to a newer revision is applied completely: it results in
// the state of its revision, even if it repeats changes.
func (r *Replica) Events(kind string, l objectapi.Listing) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.kinds[kind]
	if s == nil || l.Revision < s.revision || r.isOlderLocked(l.Revision) {
		return
	}
	if objectapi.EraOf(l.Revision) > objectapi.EraOf(s.revision) {
		r.enterEra(kind, s, l)
		return
	}
	if l.Revision == s.revision {
		l.Objects = nil
	} else {
		s.history.add(batch{from: s.revision, to: l.Revision, changed: l.Objects})
	}
	s.revision = l.Revision
	s.confirmed = max(s.confirmed, l.CurrentAsOf)
	s.apply(l.Objects)
	r.next.Events(kind, l)
}

// isOlderLocked reports whether a revision is of an older era than another kind has reached.
func (r *Replica) isOlderLocked(revision uint64) bool {
	era := objectapi.EraOf(revision)
	r.era = max(r.era, era)
	return era < r.era
}

// enterEra applies the difference between the held state and one of a newer era, and forwards the
// whole state: what it lacks may only be lost.
func (r *Replica) enterEra(kind string, s *kindState, l objectapi.Listing) {
	s.history.add(batch{from: s.revision, to: l.Revision, netDiff: true, changed: l.Objects})
	s.revision = l.Revision
	s.confirmed = max(s.confirmed, l.CurrentAsOf)
	s.apply(l.Objects)
	l.Objects = slices.Collect(maps.Values(s.objects))
	r.next.Snapshot(kind, l)
}

// apply applies changes to the held objects.
func (s *kindState) apply(changed []objectapi.Object) {
	for _, o := range changed {
		if o.Deleted {
			delete(s.objects, o.Name)
			continue
		}
		s.objects[o.Name] = o
	}
}

// Confirm records that a state with the given digest was confirmed as current by a call that
// began at confirmed. It returns false and changes nothing if the held objects have another
// digest.
func (r *Replica) Confirm(kind string, digest uint64, confirmed boottime.Instant) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.kinds[kind]
	if s == nil || s.digest() != digest || r.isOlderLocked(s.revision) {
		return false
	}
	s.confirmed = max(s.confirmed, confirmed)
	r.next.Events(kind, objectapi.Listing{Revision: s.revision, CurrentAsOf: confirmed})
	return true
}

// Age returns the time since the state of a kind was last confirmed as current; ok is false
// before its first listing.
func (r *Replica) Age(kind string) (age time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.kinds[kind]
	if s == nil {
		return 0, false
	}
	return r.clock().Sub(s.confirmed), true
}

// Revision returns the revision of the object API of the held state of a kind, or 0 before
// its first listing.
func (r *Replica) Revision(kind string) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.kinds[kind]; s != nil {
		return s.revision
	}
	return 0
}

// Digest returns a digest of the held objects of a kind, or 0 before its first listing.
func (r *Replica) Digest(kind string) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.kinds[kind]; s != nil {
		return s.digest()
	}
	return 0
}

// stateCopy is the copy of a kindState, or of its changes, that a peer receives.
type stateCopy struct {
	listing     objectapi.Listing // without objects if the peer has the same state
	incremental bool              // the objects are the changes, with deletions as tombstones
	digest      uint64
	confirmed   ConfirmedOffset
	recovered   bool // the recovery of the era of the state is over
}

// copyState returns what a peer that has the given digest and revision of a kind lacks. The
// peer's request arrived at arrived.
func (r *Replica) copyState(kind string, digest, revision uint64, arrived boottime.Instant) (stateCopy, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.kinds[kind]
	if s == nil {
		return stateCopy{}, false
	}
	c := stateCopy{listing: objectapi.Listing{Revision: s.revision}, digest: s.digest(), confirmed: newConfirmedOffset(s.confirmed, arrived)}
	c.recovered = r.eras != nil && r.eras.EraRecovered()
	if c.digest == digest {
		return c, true
	}
	c.listing.Objects, c.incremental = s.history.changesSince(revision)
	if !c.incremental {
		c.listing.Objects = slices.Collect(maps.Values(s.objects))
	}
	return c, true
}

// digest returns the same value for the same objects in the same versions of the same era. The
// revision of the object API can't replace it: the watch of one entry may have returned a newer
// revision than that of another although no object changed. The era is part of it, because a peer
// of an older era must not confirm a state without objects.
func (s *kindState) digest() uint64 {
	sum := uint64(len(s.objects)) + 1 // 0 is reserved for no state
	if era := objectapi.EraOf(s.revision); era > 0 {
		sum += xxhash.Sum64(binary.LittleEndian.AppendUint64(nil, era))
	}
	for name, o := range s.objects {
		sum += xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(name), o.Version))
	}
	return sum
}

// markRecovered records that the recovery of an era is over at a peer.
func (r *Replica) markRecovered(era uint64) {
	if r.eras != nil {
		r.eras.MarkRecovered(era)
	}
}
