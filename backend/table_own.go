package backend

import (
	"slices"
	"time"
)

// DispatchLoad is the load that one dispatch adds to a server, in tokens.
type DispatchLoad struct {
	Prefill int64 // to prefill, less the expected cache hit
	Tokens  int64 // KV memory for prompt and output
	Long    bool  // the prompt is long
}

// Dispatch identifies one BeginDispatch for the matching EndDispatch. The zero
// value identifies none.
type Dispatch struct {
	key         uint64
	incarnation uint64
	id          uint64
}

// unreportedDispatch is a dispatch that the sample of the row cannot include
// yet.
type unreportedDispatch struct {
	id   uint64
	at   time.Time
	work DispatchLoad
}

// BeginDispatch counts a dispatch to a server until EndDispatch, or until a
// sample arrives that was taken after it. Without it, every request between two
// reports would go to the server that looked best in the last one.
func (t *Table) BeginDispatch(name string, w DispatchLoad, now time.Time) Dispatch {
	t.mu.Lock()
	defer t.mu.Unlock()
	rec := t.rows[KeyOf(name)]
	if rec == nil {
		return Dispatch{}
	}
	t.lastDispatchID++
	rec.dispatches = append(rec.dispatches, unreportedDispatch{t.lastDispatchID, now, w})
	rec.sumUnreported()
	return Dispatch{rec.row.Key, rec.row.Incarnation, t.lastDispatchID}
}

// EndDispatch stops counting a dispatch: after a refusal, after an Admit or End
// message whose load was recorded, or when the attempt failed. Further calls do
// nothing.
func (t *Table) EndDispatch(d Dispatch) {
	t.mu.Lock()
	defer t.mu.Unlock()
	rec := t.rows[d.key]
	if rec == nil || d.id == 0 || rec.row.Incarnation != d.incarnation {
		return
	}
	rec.dispatches = slices.DeleteFunc(rec.dispatches, func(o unreportedDispatch) bool { return o.id == d.id })
	rec.sumUnreported()
}

// removeDispatchesBefore removes the dispatches that a sample taken at the
// given time includes.
func (rec *record) removeDispatchesBefore(at time.Time) {
	rec.dispatches = slices.DeleteFunc(rec.dispatches, func(o unreportedDispatch) bool { return o.at.Before(at) })
	rec.sumUnreported()
}

func (rec *record) sumUnreported() {
	row := &rec.row
	row.UnreportedRequests = int32(len(rec.dispatches))
	row.UnreportedPrefill, row.UnreportedTokens, row.UnreportedLongPrefill = 0, 0, 0
	for _, o := range rec.dispatches {
		row.UnreportedPrefill += o.work.Prefill
		row.UnreportedTokens += o.work.Tokens
		if o.work.Long {
			row.UnreportedLongPrefill += o.work.Prefill
		}
	}
}
