package node

import (
	"time"

	"github.com/briarturn/briarturn/backend"
)

// ObservedTable lets membership drive a backend.Table by key. It implements
// membership.Table.
type ObservedTable struct{ *backend.Table }

// Observe implements membership.Table.
func (t ObservedTable) Observe(d backend.Descriptor, incarnation uint64, load backend.Load, now time.Time) {
	t.Table.Observe(d, incarnation, load, now)
}

// ObserveLoad implements membership.Table. A sample without a sequence came
// through another entry's digest.
func (t ObservedTable) ObserveLoad(key, incarnation uint64, load backend.Load, age time.Duration, now time.Time) bool {
	if load.Sequence > 0 {
		return t.Table.ObserveLoad(key, incarnation, load, age, now)
	}
	return t.ObserveDigest(digestSample(key, incarnation, load, age), now)
}

// ObserveListed implements membership.Table.
func (t ObservedTable) ObserveListed(d backend.Descriptor, incarnation uint64, load backend.Load, age time.Duration, now time.Time) {
	t.Table.ObserveListed(d, digestSample(backend.KeyOf(d.Name), incarnation, load, age), now)
}

func digestSample(key, incarnation uint64, load backend.Load, age time.Duration) backend.DigestSample {
	return backend.DigestSample{
		Key:         key,
		Incarnation: incarnation,
		Running:     load.Running,
		Prefill:     load.PrefillShort,
		PrefillLong: load.PrefillLong,
		Free:        load.Capacity - load.Used - load.Held,
		Age:         age,
		Draining:    load.Draining,
	}
}

// MarkSuspect implements membership.Table.
func (t ObservedTable) MarkSuspect(key uint64) { t.mark(key, t.Table.MarkSuspect) }

// MarkLeaving implements membership.Table.
func (t ObservedTable) MarkLeaving(key uint64) { t.mark(key, t.Table.MarkLeaving) }

// MarkDead implements membership.Table.
func (t ObservedTable) MarkDead(key uint64) { t.mark(key, t.Table.MarkDead) }

func (t ObservedTable) mark(key uint64, mark func(name string)) {
	if row, ok := t.LookupKey(key); ok {
		mark(row.Name)
	}
}
