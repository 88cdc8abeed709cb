package backend

import (
	"slices"
	"time"
)

// DispatchLoad is what one dispatch brings to a server, in tokens.
type DispatchLoad struct {
	Prefill int64 // to prefill, less what is expected in the cache
	Tokens  int64 // KV memory: prompt and output
	Long    bool  // a long prompt
}

// Dispatch names one Begin, for its Done. The zero value names none.
type Dispatch struct {
	key         uint64
	incarnation uint64
	id          uint64
}

// ownDispatch is a dispatch that the row's sample can't contain yet.
type ownDispatch struct {
	id   uint64
	at   time.Time
	work DispatchLoad
}

// Begin counts a dispatch to a server until Done, or until a sample taken after
// it arrives. Without it every request between two reports would go to the
// server that looked best in the last one.
func (t *Table) BeginDispatch(name string, w DispatchLoad, now time.Time) Dispatch {
	t.mu.Lock()
	defer t.mu.Unlock()
	rec := t.rows[KeyOf(name)]
	if rec == nil {
		return Dispatch{}
	}
	t.lastID++
	rec.own = append(rec.own, ownDispatch{t.lastID, now, w})
	rec.sumOwn()
	return Dispatch{rec.row.Key, rec.row.Incarnation, t.lastID}
}

// Done ends the counting of a dispatch: at a refusal, at an Admit or End whose
// load was taken in, or when the attempt failed. Later calls do nothing.
func (t *Table) EndDispatch(d Dispatch) {
	t.mu.Lock()
	defer t.mu.Unlock()
	rec := t.rows[d.key]
	if rec == nil || d.id == 0 || rec.row.Incarnation != d.incarnation {
		return
	}
	rec.own = slices.DeleteFunc(rec.own, func(o ownDispatch) bool { return o.id == d.id })
	rec.sumOwn()
}

// forgetBefore drops the dispatches that a sample taken at the given time
// contains.
func (rec *record) forgetBefore(at time.Time) {
	rec.own = slices.DeleteFunc(rec.own, func(o ownDispatch) bool { return o.at.Before(at) })
	rec.sumOwn()
}

func (rec *record) sumOwn() {
	row := &rec.row
	row.UnreportedRequests = int32(len(rec.own))
	row.UnreportedPrefill, row.UnreportedTokens, row.UnreportedLongPrefill = 0, 0, 0
	for _, o := range rec.own {
		row.UnreportedPrefill += o.work.Prefill
		row.UnreportedTokens += o.work.Tokens
		if o.work.Long {
			row.UnreportedLongPrefill += o.work.Prefill
		}
	}
}
