package declared

import (
	"cmp"
	"maps"
	"slices"

	"github.com/briarturn/briarturn/config"
	"github.com/briarturn/briarturn/invariant"
	"github.com/briarturn/briarturn/objectapi"
)

// DefaultMaxTombstones holds the deletions of days at the rate of changes that
// docs/design/0002-declared-state.md reckons with.
const DefaultMaxTombstones = 1024

var (
	neverBack = invariant.New("declared.never_back",
		"the version of an object that is in force, and of a deletion, only rises")
	throughRises = invariant.New("declared.through_rises",
		"the revision up to which a kind is complete only rises")
	noRevival = invariant.New("declared.no_revival",
		"nothing that is at or under the revision up to which a kind was complete changes it any more")
)

// ApplyResult says what became of objects that a Catalog was given.
type ApplyResult struct {
	Applied int       // newer than what was known
	Stale   int       // no newer than what was known
	Refused []Refusal // newer, and bad
	// Gap: the batch did not follow on what is complete here. Its objects were
	// taken, the complete-through revision stayed. Pull from Revision().
	Gap bool
}

// edit builds the next state. Its owner holds the Catalog's mutex.
type edit struct {
	old    *State
	next   *State
	own    map[string]bool // kinds whose records are no longer shared with old
	result ApplyResult
}

func newEdit(old *State) *edit {
	return &edit{old: old, next: old.clone(), own: map[string]bool{}}
}

// apply takes one object if it is news.
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
		// Nothing of the object was ever in force here, so forgetting its
		// deletion takes nothing back. Without the bound, a peer's facts
		// beyond a gap could fill the memory.
		e.next.dropped = max(e.next.dropped, o.Version)
		e.result.Stale++
		return
	}
	e.put(o.Kind, e.newRecord(known, o))
	e.result.Applied++
}

// isStale: what the store had at or under the complete-through revision is
// known, so what is not known of it has been deleted or replaced since. To take
// it would revive it from a peer that lags, as one notices by a workspace or a
// server that comes back after its deletion. A tombstone that is held isn't
// enough: the object may have come and gone again unheard.
func (e *edit) isStale(known *record, o objectapi.Object) bool {
	if known != nil && o.Version <= known.seen {
		return true
	}
	through, complete := e.next.through[o.Kind]
	return complete && o.Version <= through
}

func (e *edit) newRecord(known *record, o objectapi.Object) *record {
	r := &record{name: o.Name, seen: o.Version, deleted: o.Deleted}
	if known != nil {
		r.pool = known.pool
	}
	if o.Deleted {
		return r
	}
	r.data = o.Data
	spec, err := Decode(o.Kind, o.Data)
	if err == nil {
		r.spec, r.inForce, r.pool = spec, o.Version, spec.pool(o.Name)
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

// put makes r the record of its object.
func (e *edit) put(kind string, r *record) {
	if !e.own[kind] {
		e.own[kind] = true
		e.next.records[kind] = maps.Clone(e.next.records[kind])
		if e.next.records[kind] == nil {
			e.next.records[kind] = map[string]*record{}
		}
	}
	known := e.next.records[kind][r.name]
	e.check(kind, known, r)
	if known != nil && known.deleted {
		e.next.tombstones--
	}
	if r.deleted {
		e.next.tombstones++
	}
	if known != nil {
		e.touchPool(known.pool, r.seen) // a set that moved concerns both pools
	}
	e.touchPool(r.pool, r.seen)
	e.next.records[kind][r.name] = r
}

func (e *edit) check(kind string, known, r *record) {
	if known != nil {
		neverBack.Check(r.seen > known.seen && (r.inForce >= known.inForce || r.deleted),
			"%s/%s from version %d to %d", kind, r.name, known.seen, r.seen)
	}
	through, complete := e.old.through[kind]
	noRevival.Check(!complete || r.seen > through,
		"%s/%s version %d, complete through %d", kind, r.name, r.seen, through)
}

func (e *edit) touchPool(pool string, version uint64) {
	if pool != "" {
		e.next.pools[pool] = max(e.next.pools[pool], version)
	}
}

// replace takes the complete list of a kind at a revision. What it lacks and
// what isn't newer was deleted; the revision stands for the unknown version of
// that deletion. A list no newer than what is complete here says nothing
// of deletions.
func (e *edit) replace(kind string, objects []objectapi.Object, revision uint64) {
	listed := map[string]bool{}
	for _, o := range objects {
		listed[o.Name] = true
		e.apply(o)
	}
	if through, ok := e.next.through[kind]; ok && revision <= through {
		return
	}
	for name, r := range e.next.records[kind] {
		if !listed[name] && !r.deleted && r.seen < revision {
			e.put(kind, e.newRecord(r, objectapi.Object{Kind: kind, Name: name, Version: revision, Deleted: true}))
			e.result.Applied++
		}
	}
	e.advance(kind, revision)
	// What came and went unheard before the list left no tombstone here, so a
	// peer that is complete through less can't be given changes only: it would
	// keep a deleted object for good.
	e.next.dropped = max(e.next.dropped, revision)
}

// advance raises the complete-through revision of a kind.
func (e *edit) advance(kind string, revision uint64) {
	through, ok := e.next.through[kind]
	if ok && revision <= through {
		return
	}
	e.next.through[kind] = revision
}

// finish drops tombstones beyond Config.MaxTombstones and checks the new state.
func (e *edit) finish() *State {
	if e.next.tombstones > e.next.maxTombstones {
		e.dropTombstones()
	}
	for kind, through := range e.old.through {
		throughRises.Check(e.next.through[kind] >= through,
			"%s from %d to %d", kind, through, e.next.through[kind])
	}
	return e.next
}

type tombstone struct {
	objectKey
	version uint64
	pool    string
}

// dropTombstones drops the oldest half. Only tombstones at or under the
// complete-through revision may go: there the revision itself keeps the object
// from coming back.
func (e *edit) dropTombstones() {
	old := e.droppable()
	slices.SortFunc(old, func(a, b tombstone) int { return cmp.Compare(a.version, b.version) })
	excess := min(len(old), e.next.tombstones-e.next.maxTombstones/2)
	for _, t := range old[:excess] {
		if !e.own[t.kind] {
			e.own[t.kind] = true
			e.next.records[t.kind] = maps.Clone(e.next.records[t.kind])
		}
		delete(e.next.records[t.kind], t.name)
		e.next.tombstones--
		e.next.dropped = max(e.next.dropped, t.version)
		if e.next.pools[t.pool] == t.version {
			delete(e.next.pools, t.pool) // nothing newer concerns the pool
		}
	}
}

func (e *edit) droppable() []tombstone {
	var out []tombstone
	for kind, records := range e.next.records {
		through, complete := e.next.through[kind]
		for name, r := range records {
			if complete && r.deleted && r.seen <= through {
				out = append(out, tombstone{objectKey{kind, name}, r.seen, r.pool})
			}
		}
	}
	return out
}

func (e *edit) changed() bool {
	return e.result.Applied > 0 || e.next.dropped != e.old.dropped || !maps.Equal(e.next.through, e.old.through)
}
