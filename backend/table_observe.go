package backend

import "time"

// DigestSample is the reduced load sample of a server in the digest of another
// entry.
type DigestSample struct {
	Key         uint64
	Incarnation uint64
	Running     int32
	Prefill     int64 // left to prefill, as Load.PrefillShort
	PrefillLong int64 // as Load.PrefillLong
	Free        int64 // free KV memory in tokens
	Age         time.Duration
	Draining    bool
}

// Observe records the descriptor and a load sample that a server sent itself.
// It returns false if the descriptor is outdated, if the key belongs to another
// server name, or if the table is full.
func (t *Table) Observe(d Descriptor, incarnation uint64, load Load, now time.Time) bool {
	key := KeyOf(d.Name)
	t.mu.Lock()
	defer t.mu.Unlock()
	rec := t.rows[key]
	if rec == nil {
		return t.addDirect(key, d, incarnation, load, now)
	}
	if rec.row.Name != d.Name || rec.isStaleDescriptor(incarnation, load.Sequence) {
		t.staleSamples.Inc(1)
		return false
	}
	t.setDescriptor(rec, d, incarnation)
	rec.descriptorSequence = load.Sequence
	t.applySample(rec, incarnation, load, now, now)
	rec.row.Direct = true
	return true
}

func (t *Table) addDirect(key uint64, d Descriptor, incarnation uint64, load Load, now time.Time) bool {
	if len(t.rows) >= t.opts.MaxRows {
		t.rowsRejected.Inc(1)
		return false
	}
	rec := &record{row: Row{Descriptor: d, Key: key, DescribedIncarnation: incarnation, Direct: true},
		descriptorSequence: load.Sequence}
	t.insert(rec)
	t.applySample(rec, incarnation, load, now, now)
	return true
}

// isStaleDescriptor reports whether a newer descriptor or incarnation has been
// recorded already.
func (rec *record) isStaleDescriptor(incarnation, sequence uint64) bool {
	if incarnation < rec.row.Incarnation {
		return true
	}
	return incarnation == rec.row.DescribedIncarnation && sequence < rec.descriptorSequence
}

// setDescriptor replaces the descriptor, and moves the record if its pool
// changed.
func (t *Table) setDescriptor(rec *record, d Descriptor, incarnation uint64) {
	moved := rec.row.Pool != d.Pool
	if moved {
		t.removeFromPool(rec)
	}
	rec.row.Descriptor = d
	rec.row.DescribedIncarnation = incarnation
	if moved {
		t.addToPool(rec)
	}
}

// ObserveLoad records the load sample of a periodic report that was taken age
// ago. A sample of an older incarnation or sequence is counted and dropped. It
// returns false if the table lacks the descriptor of this incarnation, which
// the caller should then request from the agent.
func (t *Table) ObserveLoad(key, incarnation uint64, load Load, age time.Duration, now time.Time) (known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	rec := t.rows[key]
	if rec == nil {
		return false
	}
	if t.applySample(rec, incarnation, load, now.Add(-max(0, age)), now) {
		rec.row.Direct = true
	}
	return rec.row.DescribedIncarnation >= incarnation
}

// ObserveResponse records the load sample in a response of a server. Unlike a
// report, it does not make this entry a home of the server.
func (t *Table) ObserveResponse(name string, load Load, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if rec := t.rows[KeyOf(name)]; rec != nil {
		t.applySample(rec, load.Incarnation, load, now, now)
	}
}

// ObserveDigest records a row of the digest of another entry. The sample is
// used only if it is newer than the one in the table. A digest carries no
// sequence number, so that of the row stays. It returns false if the table
// lacks the descriptor of this incarnation.
func (t *Table) ObserveDigest(s DigestSample, now time.Time) (known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	rec := t.rows[s.Key]
	if rec == nil || s.Incarnation > rec.row.DescribedIncarnation {
		return false
	}
	at := now.Add(-max(0, s.Age))
	if s.Incarnation < rec.row.Incarnation || !at.After(rec.row.LoadAt) {
		t.staleSamples.Inc(1)
		return true
	}
	load := s.toLoad(&rec.row)
	rec.setSample(load, at)
	rec.recordSeen(at)
	return true
}

func (s *DigestSample) toLoad(row *Row) Load {
	capacity := row.CapacityTokens()
	return Load{
		Running:      s.Running,
		PrefillShort: s.Prefill,
		PrefillLong:  s.PrefillLong,
		Used:         max(0, capacity-s.Free),
		Capacity:     capacity,
		Draining:     s.Draining,
		Incarnation:  row.Incarnation,
		Sequence:     row.Load.Sequence,
	}.clampNonNegative()
}

// applySample records a full sample unless it is older than that of the row.
func (t *Table) applySample(rec *record, incarnation uint64, load Load, at, now time.Time) bool {
	row := &rec.row
	if incarnation < row.Incarnation {
		t.staleSamples.Inc(1)
		return false
	}
	same := incarnation == row.Incarnation
	if same && load.Sequence <= row.Load.Sequence && !row.LoadAt.IsZero() {
		t.staleSamples.Inc(1)
		return false
	}
	if !same {
		rec.startIncarnation(incarnation)
	}
	before := row.Load.Sequence
	load.Incarnation = incarnation
	rec.setSample(load.clampNonNegative(), at)
	rec.recordSeen(now)
	tableMonotonic.Check(!same || row.LoadAt.IsZero() || row.Load.Sequence >= before,
		"server %s: sequence %d after %d", row.Name, row.Load.Sequence, before)
	return true
}

// startIncarnation clears the state of the former incarnation: its samples, the
// dispatches to it, and the leaving mark. Otherwise the replacement of a server
// under the same name would stay marked as leaving and never receive work.
func (rec *record) startIncarnation(incarnation uint64) {
	tableMonotonic.Check(incarnation > rec.row.Incarnation,
		"server %s: incarnation %d after %d", rec.row.Name, incarnation, rec.row.Incarnation)
	rec.row.Incarnation = incarnation
	rec.row.Load = Load{}
	rec.markedLeaving = false
	rec.dispatches = rec.dispatches[:0]
	rec.sumUnreported()
}

func (rec *record) setSample(load Load, at time.Time) {
	rec.row.Load = load
	rec.row.LoadAt = at
	rec.removeDispatchesBefore(at)
}

// recordSeen updates LastSeen and sets the state accordingly.
func (rec *record) recordSeen(at time.Time) {
	if at.After(rec.row.LastSeen) {
		rec.row.LastSeen = at
	}
	if rec.markedLeaving || rec.row.Load.Draining {
		rec.row.State = StateLeaving
		return
	}
	rec.row.State = StateLive
}

// clampNonNegative returns the sample with negative values set to zero. With
// negative values, a faulty agent would look like the least loaded server of
// all.
func (l Load) clampNonNegative() Load {
	l.Running = max(0, l.Running)
	l.Waiting = max(0, l.Waiting)
	l.PrefillShort = max(0, l.PrefillShort)
	l.PrefillLong = max(0, l.PrefillLong)
	l.Used = max(0, l.Used)
	l.Held = max(0, l.Held)
	l.Capacity = max(0, l.Capacity)
	return l
}
