package backend

import "time"

// MarkLeaving marks a server as leaving, after the VM list or a refusal said
// so. The mark stays until the next incarnation of the server: samples do not
// clear it.
func (t *Table) MarkLeaving(name string) {
	t.updateRecord(name, func(rec *record) {
		rec.markedLeaving = true
		rec.row.State = StateLeaving
	})
}

// MarkSuspect marks a live server that did not respond as suspect. The next
// sample that is newer than that of the row clears the mark.
func (t *Table) MarkSuspect(name string) {
	t.updateRecord(name, func(rec *record) {
		if rec.row.State == StateLive {
			rec.row.State = StateSuspect
		}
	})
}

// MarkDead marks a server as dead. The next sample that is newer than that of
// the row clears the mark.
func (t *Table) MarkDead(name string) {
	t.updateRecord(name, func(rec *record) { rec.row.State = StateDead })
}

func (t *Table) updateRecord(name string, change func(*record)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if rec := t.rows[KeyOf(name)]; rec != nil {
		change(rec)
	}
}

// Sweep marks servers without recent samples as suspect and removes those
// without samples for longer. It returns the number of removed rows. It should
// be called about once a second.
func (t *Table) Sweep(now time.Time) (dropped int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, rec := range t.rows {
		silence := now.Sub(rec.row.LastSeen)
		if silence > t.rowTTL(rec) {
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

func (t *Table) rowTTL(rec *record) time.Duration {
	if rec.row.Direct {
		return t.opts.DirectTTL
	}
	return t.opts.IndirectTTL
}
