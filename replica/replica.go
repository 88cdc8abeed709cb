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

// Replica keeps what an entry last read of some kinds. It is an objectapi.Sink that
// passes on to the next one what is no older than what it holds, so that a watch of
// the object API and answers of peers can feed it side by side. It is safe for
// concurrent use; mu guards all fields and is held while the next sink is called.
type Replica struct {
	next  objectapi.Sink
	clock boottime.Clock

	mu    sync.Mutex
	kinds map[string]*state
}

// state is what is known of one kind.
type state struct {
	revision  uint64
	confirmed boottime.Instant // when a call began that proved it current
	objects   map[string]objectapi.Object
	history   history
}

var _ objectapi.Sink = (*Replica)(nil)

// New returns an empty Replica before the next sink.
func New(next objectapi.Sink, clock boottime.Clock) *Replica {
	return &Replica{next: next, clock: clock, kinds: map[string]*state{}}
}

// Snapshot implements objectapi.Sink. A listing that is older than what is held
// changes nothing: it overtook a newer one on another way.
func (r *Replica) Snapshot(kind string, l objectapi.Listing) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.kinds[kind]
	if old != nil && l.Revision < old.revision {
		return
	}
	s := &state{revision: l.Revision, confirmed: l.Asked, objects: make(map[string]objectapi.Object, len(l.Objects))}
	if old != nil {
		s.confirmed = max(s.confirmed, old.confirmed)
	}
	for _, o := range l.Objects {
		s.objects[o.Name] = o
	}
	if old != nil && l.Revision > old.revision {
		s.history = old.history
		s.history.add(batch{from: old.revision, to: l.Revision, net: true, changed: difference(old.objects, s.objects)})
	}
	r.kinds[kind] = s
	r.next.Snapshot(kind, l)
}

// Events implements objectapi.Sink. A peer may have brought a newer state since the
// watch was begun; its events up to there are left out. A listing that goes further
// is taken whole: it ends in the state of its revision, whatever it repeats.
func (r *Replica) Events(kind string, l objectapi.Listing) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.kinds[kind]
	if s == nil || l.Revision < s.revision {
		return
	}
	if l.Revision == s.revision {
		l.Objects = nil
	} else {
		s.history.add(batch{from: s.revision, to: l.Revision, changed: l.Objects})
	}
	s.revision = l.Revision
	s.confirmed = max(s.confirmed, l.Asked)
	for _, o := range l.Objects {
		if o.Deleted {
			delete(s.objects, o.Name)
			continue
		}
		s.objects[o.Name] = o
	}
	r.next.Events(kind, l)
}

// Confirm notes that a state with the same objects as the one held was proved current
// by a call begun at confirmed, and reports whether they are the same.
func (r *Replica) Confirm(kind string, digest uint64, confirmed boottime.Instant) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.kinds[kind]
	if s == nil || s.digest() != digest {
		return false
	}
	s.confirmed = max(s.confirmed, confirmed)
	r.next.Events(kind, objectapi.Listing{Revision: s.revision, Asked: confirmed})
	return true
}

// Age returns how long ago a kind was last proved current; ok is false before its
// first listing.
func (r *Replica) Age(kind string) (age time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.kinds[kind]
	if s == nil {
		return 0, false
	}
	return r.clock().Sub(s.confirmed), true
}

// Revision returns the revision of the object API that what is held of a kind is of; 0
// before its first listing.
func (r *Replica) Revision(kind string) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.kinds[kind]; s != nil {
		return s.revision
	}
	return 0
}

// Digest tells the objects that are held of a kind from others; 0 before its first
// listing.
func (r *Replica) Digest(kind string) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.kinds[kind]; s != nil {
		return s.digest()
	}
	return 0
}

// copied is what is given to a peer.
type copied struct {
	listing objectapi.Listing // without objects where the peer has them
	changes bool              // the objects are what changed, deletions as tombstones
	digest  uint64
	proof   ConfirmedOffset
}

// read returns what is held of a kind for a peer with objects of that digest and
// revision, whose question arrived at a time.
func (r *Replica) read(kind string, digest, revision uint64, arrived boottime.Instant) (copied, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.kinds[kind]
	if s == nil {
		return copied{}, false
	}
	c := copied{listing: objectapi.Listing{Revision: s.revision}, digest: s.digest(), proof: proofAt(s.confirmed, arrived)}
	if c.digest == digest {
		return c, true
	}
	c.listing.Objects, c.changes = s.history.since(revision)
	if !c.changes {
		c.listing.Objects = slices.Collect(maps.Values(s.objects))
	}
	return c, true
}

// digest is the same for the same objects in the same versions. Revisions of the
// whole don't serve: one entry's watch may have returned since and another's not,
// with nothing changed.
func (s *state) digest() uint64 {
	sum := uint64(len(s.objects)) + 1 // 0 stands for no state
	for name, o := range s.objects {
		sum += xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(name), o.Version))
	}
	return sum
}
