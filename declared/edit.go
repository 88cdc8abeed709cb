package declared

import (
	"cmp"
	"maps"
	"slices"

	"github.com/briarturn/briarturn/config"
	"github.com/briarturn/briarturn/invariant"
	"github.com/briarturn/briarturn/objectapi"
)

// DefaultMaxTombstones covers the deletions of several days at the rate of
// changes that docs/design/0002-declared-state.md assumes.
const DefaultMaxTombstones = 1024

var (
	versionsRise = invariant.New("declared.never_back",
		"the version of an object that is in force, and of a deletion, only increases")
	completeThroughRises = invariant.New("declared.through_rises",
		"the revision up to which a kind is complete only increases")
	noRevival = invariant.New("declared.no_revival",
		"no object at or below the revision up to which a kind was complete changes it again")
)

// ApplyResult reports what a Catalog did with the objects it received.
type ApplyResult struct {
	Applied int       // newer than the known version
	Stale   int       // not newer than the known version
	Refused []Refusal // newer but invalid
	// Gap means that the batch starts after the complete-through revision. Its
	// objects were applied, but the complete-through revision did not change.
	// Pull from Revision().
	Gap bool
}

// edit builds the next state. Its owner holds the mutex of the Catalog.
type edit struct {
	old    *State
	next   *State
	cloned map[string]bool // kinds whose records are no longer shared with old
	result ApplyResult
}

func newEdit(old *State) *edit {
	return &edit{old: old, next: old.clone(), cloned: map[string]bool{}}
}

// apply applies one object unless it is stale.
func (e *edit) apply(o objectapi.Object) {
	if !slices.Contains(e.next.kinds, o.Kind) {
		return
	}
	known := e.next.records[o.Kind][o.Name]
	if e.isStale(known, o) {
		e.result.Stale++
		return
	}
	if known == nil && o.Deleted && e.next.tombstones >= 2*e.next.maxTombstones {
		// The object was never in force here, so dropping its deletion
		// reverts nothing. Without the limit, deletions that a peer sends
		// beyond a gap could exhaust memory.
		e.next.droppedThrough = max(e.next.droppedThrough, o.Version)
		e.result.Stale++
		return
	}
	e.putRecord(o.Kind, e.newRecord(known, o))
	e.result.Applied++
}

// isStale reports whether the object is not newer than what is known.
// Everything that the store had at or below the complete-through revision is
// known, so an object at or below it that is not held has been deleted or
// replaced since. Applying it would restore it from a lagging peer: a
// workspace or a server would be in force again after its deletion. Comparing
// with a tombstone is not enough, because the object may have been recreated
// and deleted again without this process receiving it.
func (e *edit) isStale(known *record, o objectapi.Object) bool {
	if known != nil && o.Version <= known.version {
		return true
	}
	through, complete := e.next.completeThrough[o.Kind]
	return complete && o.Version <= through
}

func (e *edit) newRecord(known *record, o objectapi.Object) *record {
	r := &record{name: o.Name, version: o.Version, deleted: o.Deleted}
	if known != nil {
		r.pool = known.pool
	}
	if o.Deleted {
		return r
	}
	r.data = o.Data
	spec, err := Decode(o.Kind, o.Data)
	if err == nil {
		r.spec, r.inForce, r.pool = spec, o.Version, spec.poolName(o.Name)
		return r
	}
	r.faults = config.FieldErrorsOf(err)
	if r.faults == nil {
		r.faults = config.FieldErrors{{Message: err.Error()}}
	}
	if known != nil {
		r.spec, r.inForce = known.spec, known.inForce
	}
	e.result.Refused = append(e.result.Refused, r.refusal(o.Kind))
	return r
}

// putRecord makes r the record of its object.
func (e *edit) putRecord(kind string, r *record) {
	if !e.cloned[kind] {
		e.cloned[kind] = true
		e.next.records[kind] = maps.Clone(e.next.records[kind])
		if e.next.records[kind] == nil {
			e.next.records[kind] = map[string]*record{}
		}
	}
	known := e.next.records[kind][r.name]
	e.checkRecord(kind, known, r)
	if known != nil && known.deleted {
		e.next.tombstones--
	}
	if r.deleted {
		e.next.tombstones++
	}
	if known != nil {
		e.raisePoolVersion(known.pool, r.version) // a set that moved concerns both pools
	}
	e.raisePoolVersion(r.pool, r.version)
	e.next.records[kind][r.name] = r
}

func (e *edit) checkRecord(kind string, known, r *record) {
	if known != nil {
		versionsRise.Check(r.version > known.version && (r.inForce >= known.inForce || r.deleted),
			"%s/%s from version %d to %d", kind, r.name, known.version, r.version)
	}
	through, complete := e.old.completeThrough[kind]
	noRevival.Check(!complete || r.version > through,
		"%s/%s version %d, complete through %d", kind, r.name, r.version, through)
}

func (e *edit) raisePoolVersion(pool string, version uint64) {
	if pool != "" {
		e.next.poolVersions[pool] = max(e.next.poolVersions[pool], version)
	}
}

// applySnapshot applies the complete list of a kind at a revision. Objects
// that are not listed and not newer were deleted; the revision is used as the
// unknown version of that deletion. A list that is not newer than the
// complete-through revision gives no information about deletions.
func (e *edit) applySnapshot(kind string, objects []objectapi.Object, revision uint64) {
	listed := map[string]bool{}
	for _, o := range objects {
		listed[o.Name] = true
		e.apply(o)
	}
	if through, ok := e.next.completeThrough[kind]; ok && revision <= through {
		return
	}
	for name, r := range e.next.records[kind] {
		if !listed[name] && !r.deleted && r.version < revision {
			e.putRecord(kind, e.newRecord(r, objectapi.Object{Kind: kind, Name: name, Version: revision, Deleted: true}))
			e.result.Applied++
		}
	}
	e.advanceThrough(kind, revision)
	// Objects that were created and deleted before the list without this
	// process receiving them left no tombstone here. A peer with a lower
	// complete-through revision therefore needs the complete state: with
	// changes only, it would keep a deleted object indefinitely.
	e.next.droppedThrough = max(e.next.droppedThrough, revision)
}

// advanceThrough raises the complete-through revision of a kind.
func (e *edit) advanceThrough(kind string, revision uint64) {
	through, ok := e.next.completeThrough[kind]
	if ok && revision <= through {
		return
	}
	e.next.completeThrough[kind] = revision
}

// finish drops tombstones if there are more than Config.MaxTombstones, checks
// the new state and returns it.
func (e *edit) finish() *State {
	if e.next.tombstones > e.next.maxTombstones {
		e.dropTombstones()
	}
	for kind, through := range e.old.completeThrough {
		completeThroughRises.Check(e.next.completeThrough[kind] >= through,
			"%s from %d to %d", kind, through, e.next.completeThrough[kind])
	}
	return e.next
}

type tombstone struct {
	objectKey
	version uint64
	pool    string
}

// dropTombstones drops the oldest tombstones until half of
// Config.MaxTombstones remain. Only tombstones at or below the
// complete-through revision can be dropped, because there the revision itself
// prevents that the object is restored.
func (e *edit) dropTombstones() {
	old := e.droppableTombstones()
	slices.SortFunc(old, func(a, b tombstone) int { return cmp.Compare(a.version, b.version) })
	excess := min(len(old), e.next.tombstones-e.next.maxTombstones/2)
	for _, t := range old[:excess] {
		if !e.cloned[t.kind] {
			e.cloned[t.kind] = true
			e.next.records[t.kind] = maps.Clone(e.next.records[t.kind])
		}
		delete(e.next.records[t.kind], t.name)
		e.next.tombstones--
		e.next.droppedThrough = max(e.next.droppedThrough, t.version)
		if e.next.poolVersions[t.pool] == t.version {
			delete(e.next.poolVersions, t.pool) // no newer version concerns the pool
		}
	}
}

// droppableTombstones returns the tombstones at or below the complete-through
// revision of their kind.
func (e *edit) droppableTombstones() []tombstone {
	var out []tombstone
	for kind, records := range e.next.records {
		through, complete := e.next.completeThrough[kind]
		for name, r := range records {
			if complete && r.deleted && r.version <= through {
				out = append(out, tombstone{objectKey{kind, name}, r.version, r.pool})
			}
		}
	}
	return out
}

func (e *edit) changed() bool {
	return e.result.Applied > 0 || e.next.droppedThrough != e.old.droppedThrough || !maps.Equal(e.next.completeThrough, e.old.completeThrough)
}
