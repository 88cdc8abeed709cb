package backend

import "time"

// ObserveListed takes in a server's description with a sample of its load as
// another entry passed both on. The row counts as known through digests: this
// entry isn't a home of the server. It returns false if the description is of an
// older incarnation, or if the table is full.
func (t *Table) ObserveListed(d Descriptor, s DigestSample, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	rec := t.rows[s.Key]
	if rec == nil {
		if len(t.rows) >= t.opts.MaxRows {
			t.full.Inc(1)
			return false
		}
		rec = &record{row: Row{Descriptor: d, Key: s.Key}}
		t.insert(rec)
	}
	if rec.row.Name != d.Name || s.Incarnation < rec.row.Incarnation {
		t.stale.Inc(1)
		return false
	}
	if s.Incarnation > rec.row.DescribedIncarnation {
		t.describe(rec, d, s.Incarnation)
		rec.describedSeq = 0
	}
	at := now.Add(-max(0, s.Age))
	if s.Incarnation > rec.row.Incarnation {
		rec.restart(s.Incarnation)
	} else if !at.After(rec.row.LoadAt) {
		return true
	}
	rec.setSample(s.load(&rec.row), at)
	rec.heard(at)
	return true
}
