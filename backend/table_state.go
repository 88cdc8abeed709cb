package backend

import "time"

// MarkLeaving notes that a server leaves, from the VM list or a refusal. The
// mark holds until the server's next incarnation: samples don't lift it.
func (t *Table) MarkLeaving(name string) {
	t.mark(name, func(rec *record) {
		rec.marked = true
		rec.row.State = StateLeaving
	})
}

// MarkSuspect notes that a live server did not answer. The next sample that is
// newer than the row's lifts it.
func (t *Table) MarkSuspect(name string) {
	t.mark(name, func(rec *record) {
		if rec.row.State == StateLive {
			rec.row.State = StateSuspect
		}
	})
}

// MarkDead notes that a server is dead. The next sample that is newer than the
// row's lifts it.
func (t *Table) MarkDead(name string) {
	t.mark(name, func(rec *record) { rec.row.State = StateDead })
}

func (t *Table) mark(name string, change func(*record)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if rec := t.rows[KeyOf(name)]; rec != nil {
		change(rec)
	}
}

// Sweep turns silent servers suspect and drops those that are silent for
// longer. It returns how many it dropped. Call it about once a second.
func (t *Table) Sweep(now time.Time) (dropped int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, rec := range t.rows {
		silence := now.Sub(rec.row.LastSeen)
		if silence > t.keep(rec) {
			t.remove(rec)
			dropped++
			continue
		}
		suspect := rec.row.Direct && silence > t.opts.SuspectAfter
		if suspect && rec.row.State == StateLive {
			rec.row.State = StateSuspect
		}
	}
	return dropped
}

func (t *Table) keep(rec *record) time.Duration {
	if rec.row.Direct {
		return t.opts.DirectTTL
	}
	return t.opts.IndirectTTL
}
