package declared

import (
	"slices"

	"github.com/briarturn/briarturn/objectapi"
)

// Batch is what one process passes on to another that pulls.
type Batch struct {
	// Since is the revision that the batch follows on; 0 with Complete.
	Since uint64
	// Revision up to which the receiver is complete once it applied the batch.
	Revision uint64
	// Complete: the objects are all there are at Revision, not changes.
	Complete bool
	// StoreConfirmed: the store itself told the giver that it is up to date,
	// within Config.ConfirmWithin.
	StoreConfirmed bool
	Objects        []objectapi.Object
}

// Scope narrows what is pulled. A puller keeps to one scope for good: its
// complete-through revision holds for that scope only.
type Scope struct {
	Kinds []string // empty: all
	Pools []string // empty: all; else only objects that concern one of them
}

func (sc Scope) hasKind(kind string) bool {
	return len(sc.Kinds) == 0 || slices.Contains(sc.Kinds, kind)
}

func (sc Scope) hasPool(pool string) bool {
	return len(sc.Pools) == 0 || slices.Contains(sc.Pools, pool)
}

// since returns what a puller that is complete through a revision lacks.
func (s *State) since(revision uint64, sc Scope) Batch {
	b := Batch{Since: revision, Revision: s.Revision()}
	b.Complete = s.Complete() && (revision == 0 || revision < s.dropped)
	if b.Complete {
		b.Since = 0
	}
	for kind, records := range s.records {
		if !sc.hasKind(kind) {
			continue
		}
		for _, r := range records {
			if o, ok := b.pick(kind, r, sc); ok {
				b.Objects = append(b.Objects, o)
			}
		}
	}
	return b
}

// pick returns what the batch says of one object. An object outside the scope
// goes as a deletion: it may have been inside, and the puller would keep it.
func (b *Batch) pick(kind string, r *record, sc Scope) (objectapi.Object, bool) {
	o := r.object(kind)
	outside := !sc.hasPool(r.pool)
	if outside {
		o.Deleted, o.Data = true, nil
	}
	if b.Complete {
		// Up to Revision the absence of an object says that it is gone.
		return o, !o.Deleted || o.Version > b.Revision
	}
	return o, o.Version > b.Since
}

// take applies a batch to the next state.
func (e *edit) take(b Batch) {
	if b.Complete {
		for _, kind := range e.next.kinds {
			e.replace(kind, ofKind(b.Objects, kind), b.Revision)
		}
		return
	}
	follows := e.old.Complete() && b.Since <= e.old.Revision()
	for _, o := range b.Objects {
		e.apply(o)
	}
	if !follows {
		e.result.Gap = true
		return
	}
	for _, kind := range e.next.kinds {
		e.advance(kind, b.Revision)
	}
}

func ofKind(objects []objectapi.Object, kind string) []objectapi.Object {
	var out []objectapi.Object
	for _, o := range objects {
		if o.Kind == kind {
			out = append(out, o)
		}
	}
	return out
}
