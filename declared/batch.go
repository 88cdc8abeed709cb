package declared

import (
	"slices"

	"github.com/briarturn/briarturn/objectapi"
)

// Batch is the set of objects that one process sends to another that pulls.
type Batch struct {
	// Since is the revision that the batch continues from; 0 if Complete.
	Since uint64
	// Revision is the revision through which the receiver is complete after it
	// has applied the batch.
	Revision uint64
	// Complete means that Objects holds every object that exists at Revision,
	// instead of changes.
	Complete bool
	// StoreConfirmed means that the store itself confirmed the sender's state
	// within the sender's Config.MaxConfirmationAge.
	StoreConfirmed bool
	Objects        []objectapi.Object
}

// Scope limits what is pulled. A puller must always use the same scope,
// because its complete-through revision is valid for that scope only.
type Scope struct {
	Kinds []string // all if empty
	Pools []string // if not empty, only objects that concern one of these pools
}

func (sc Scope) hasKind(kind string) bool {
	return len(sc.Kinds) == 0 || slices.Contains(sc.Kinds, kind)
}

func (sc Scope) hasPool(pool string) bool {
	return len(sc.Pools) == 0 || slices.Contains(sc.Pools, pool)
}

// changesSince returns what a puller that is complete through a revision
// lacks.
func (s *State) changesSince(revision uint64, sc Scope) Batch {
	b := Batch{Since: revision, Revision: s.Revision()}
	b.Complete = s.Complete() && (revision == 0 || revision < s.droppedThrough)
	if b.Complete {
		b.Since = 0
	}
	for kind, records := range s.records {
		if !sc.hasKind(kind) {
			continue
		}
		for _, r := range records {
			if o, ok := b.objectFor(kind, r, sc); ok {
				b.Objects = append(b.Objects, o)
			}
		}
	}
	return b
}

// objectFor returns the form of an object in the batch, and whether the batch
// contains it. An object outside the scope is sent as a deletion: it may have
// been inside the scope before, and the puller would keep it otherwise.
func (b *Batch) objectFor(kind string, r *record, sc Scope) (objectapi.Object, bool) {
	o := r.object(kind)
	outside := !sc.hasPool(r.pool)
	if outside {
		o.Deleted, o.Data = true, nil
	}
	if b.Complete {
		// Up to Revision, an object that is absent from the batch is deleted.
		return o, !o.Deleted || o.Version > b.Revision
	}
	return o, o.Version > b.Since
}

// applyBatch applies a batch to the next state.
func (e *edit) applyBatch(b Batch) {
	if b.Complete {
		for _, kind := range e.next.kinds {
			e.applySnapshot(kind, filterByKind(b.Objects, kind), b.Revision)
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
		e.advanceThrough(kind, b.Revision)
	}
}

func filterByKind(objects []objectapi.Object, kind string) []objectapi.Object {
	var out []objectapi.Object
	for _, o := range objects {
		if o.Kind == kind {
			out = append(out, o)
		}
	}
	return out
}
