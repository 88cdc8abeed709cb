package backend

import "time"

// ObserveListed records the descriptor and a load sample of a server as another
// entry passed them on. The row is not marked direct: this entry is not a home
// of the server. It returns false if the sample is of an older incarnation, if
// the key belongs to another server name, or if the table is full.
func (t *Table) ObserveListed(d Descriptor, s DigestSample, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	rec := t.rows[s.Key]
	if rec == nil {
		if len(t.rows) >= t.opts.MaxRows {
			t.rowsRejected.Inc(1)
			return false
		}
		rec = &record{row: Row{Descriptor: d, Key: s.Key}}
		t.insert(rec)
	}
	if rec.row.Name != d.Name || s.Incarnation < rec.row.Incarnation {
		t.staleSamples.Inc(1)
		return false
	}
	if s.Incarnation > rec.row.DescribedIncarnation {
		t.setDescriptor(rec, d, s.Incarnation)
		rec.descriptorSequence = 0
	}
	at := now.Add(-max(0, s.Age))
	if s.Incarnation > rec.row.Incarnation {
		rec.startIncarnation(s.Incarnation)
	} else if !at.After(rec.row.LoadAt) {
		return true
	}
	rec.setSample(s.toLoad(&rec.row), at)
	rec.recordSeen(at)
	return true
}
