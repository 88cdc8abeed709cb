package backend

import "time"

// DigestSample is the sparse load of a server as another entry passed it on.
type DigestSample struct {
	Key         uint64
	Incarnation uint64
	Running     int32
	Prefill     int64 // tokens still to prefill, as Load.PrefillShort
	PrefillLong int64 // as Load.PrefillLong
	Free        int64 // tokens of KV memory
	Age         time.Duration
	Draining    bool
}

// Observe takes in a server's own description with a load sample. It returns
// false if the description is of an older incarnation, or if the table is full.
func (t *Table) Observe(d Descriptor, incarnation uint64, load Load, now time.Time) bool {
	key := KeyOf(d.Name)
	t.mu.Lock()
	defer t.mu.Unlock()
	rec := t.rows[key]
	if rec == nil {
		return t.add(key, d, incarnation, load, now)
	}
	if rec.row.Name != d.Name || rec.olderDescription(incarnation, load.Sequence) {
		t.stale.Inc(1)
		return false
	}
	t.describe(rec, d, incarnation)
	rec.describedSeq = load.Sequence
	t.apply(rec, incarnation, load, now, now)
	rec.row.Direct = true
	return true
}

func (t *Table) add(key uint64, d Descriptor, incarnation uint64, load Load, now time.Time) bool {
	if len(t.rows) >= t.opts.MaxRows {
		t.full.Inc(1)
		return false
	}
	rec := &record{row: Row{Descriptor: d, Key: key, DescribedIncarnation: incarnation, Direct: true},
		describedSeq: load.Sequence}
	t.insert(rec)
	t.apply(rec, incarnation, load, now, now)
	return true
}

// olderDescription says whether a description was overtaken by another.
func (rec *record) olderDescription(incarnation, sequence uint64) bool {
	if incarnation < rec.row.Incarnation {
		return true
	}
	return incarnation == rec.row.DescribedIncarnation && sequence < rec.describedSeq
}

// describe replaces the description, and moves the record if its pool changed.
func (t *Table) describe(rec *record, d Descriptor, incarnation uint64) {
	moved := rec.row.Pool != d.Pool
	if moved {
		t.leavePool(rec)
	}
	rec.row.Descriptor = d
	rec.row.DescribedIncarnation = incarnation
	if moved {
		t.joinPool(rec)
	}
}

// ObserveLoad takes in a periodic report that was taken age ago. A sample of an
// older incarnation or sequence is counted and dropped. known is false if the
// table lacks the description of this incarnation: ask the agent for it.
func (t *Table) ObserveLoad(key, incarnation uint64, load Load, age time.Duration, now time.Time) (known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	rec := t.rows[key]
	if rec == nil {
		return false
	}
	if t.apply(rec, incarnation, load, now.Add(-max(0, age)), now) {
		rec.row.Direct = true
	}
	return rec.row.DescribedIncarnation >= incarnation
}

// ObserveResponse takes in the load that came with an answer of a server. Unlike
// a report it doesn't make this entry a home of the server.
func (t *Table) ObserveResponse(name string, load Load, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if rec := t.rows[KeyOf(name)]; rec != nil {
		t.apply(rec, load.Incarnation, load, now, now)
	}
}

// ObserveDigest takes in a row of another entry's digest. It is used only if
// its sample is newer than what is known. A digest carries no sequence, so the
// row's stays. known is false if the table lacks the server's description.
func (t *Table) ObserveDigest(s DigestSample, now time.Time) (known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	rec := t.rows[s.Key]
	if rec == nil || s.Incarnation > rec.row.DescribedIncarnation {
		return false
	}
	at := now.Add(-max(0, s.Age))
	if s.Incarnation < rec.row.Incarnation || !at.After(rec.row.LoadAt) {
		t.stale.Inc(1)
		return true
	}
	load := s.load(&rec.row)
	rec.setSample(load, at)
	rec.heard(at)
	return true
}

func (s *DigestSample) load(row *Row) Load {
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
	}.bounded()
}

// apply takes in a full sample unless it is older than the row's.
func (t *Table) apply(rec *record, incarnation uint64, load Load, at, now time.Time) bool {
	row := &rec.row
	if incarnation < row.Incarnation {
		t.stale.Inc(1)
		return false
	}
	same := incarnation == row.Incarnation
	if same && load.Sequence <= row.Load.Sequence && !row.LoadAt.IsZero() {
		t.stale.Inc(1)
		return false
	}
	if !same {
		rec.restart(incarnation)
	}
	before := row.Load.Sequence
	load.Incarnation = incarnation
	rec.setSample(load.bounded(), at)
	rec.heard(now)
	tableForward.Check(!same || row.LoadAt.IsZero() || row.Load.Sequence >= before,
		"server %s: sequence %d after %d", row.Name, row.Load.Sequence, before)
	return true
}

// restart forgets what belonged to the former incarnation: its samples, what
// was sent to it, and that the VM list called it leaving. Without this the
// replacement of a server under its old name would never get work.
func (rec *record) restart(incarnation uint64) {
	tableForward.Check(incarnation > rec.row.Incarnation,
		"server %s: incarnation %d after %d", rec.row.Name, incarnation, rec.row.Incarnation)
	rec.row.Incarnation = incarnation
	rec.row.Load = Load{}
	rec.marked = false
	rec.own = rec.own[:0]
	rec.sumOwn()
}

func (rec *record) setSample(load Load, at time.Time) {
	rec.row.Load = load
	rec.row.LoadAt = at
	rec.forgetBefore(at)
}

// heard notes a sign of life and sets the state from it.
func (rec *record) heard(at time.Time) {
	if at.After(rec.row.LastSeen) {
		rec.row.LastSeen = at
	}
	if rec.marked || rec.row.Load.Draining {
		rec.row.State = StateLeaving
		return
	}
	rec.row.State = StateLive
}

// bounded returns the sample without negative values, which a faulty agent
// could use to look like the emptiest server of all.
func (l Load) bounded() Load {
	l.Running = max(0, l.Running)
	l.Waiting = max(0, l.Waiting)
	l.PrefillShort = max(0, l.PrefillShort)
	l.PrefillLong = max(0, l.PrefillLong)
	l.Used = max(0, l.Used)
	l.Held = max(0, l.Held)
	l.Capacity = max(0, l.Capacity)
	return l
}
