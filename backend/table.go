package backend

import (
	"cmp"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"

	"github.com/briarturn/briarturn/invariant"
)

// Defaults of TableOptions. A home receives a report at least every four
// seconds, so ten seconds allow for two lost reports and some delay.
const (
	DefaultSuspectAfter = 10 * time.Second
	DefaultDirectTTL    = 45 * time.Second
	DefaultIndirectTTL  = 60 * time.Second
	DefaultMaxRows      = 16_384
)

var tableMonotonic = invariant.New("backend.table.forward",
	"the incarnation and the sequence of a row never go back")

// TableOptions configures a Table. Zero fields are set to the defaults.
type TableOptions struct {
	// SuspectAfter is the time without a sample after which a server with a direct
	// row becomes suspect, DirectTTL the time after which its row is removed.
	SuspectAfter time.Duration
	DirectTTL    time.Duration
	// IndirectTTL is the time without a sample after which a row that is updated
	// only through digests is removed. Such a row never becomes suspect by a lack
	// of samples.
	IndirectTTL time.Duration
	MaxRows     int
	Metrics     metrics.Registry // nil: a private registry
}

func (o TableOptions) withDefaults() TableOptions {
	o.SuspectAfter = cmp.Or(max(o.SuspectAfter, 0), DefaultSuspectAfter)
	o.DirectTTL = cmp.Or(max(o.DirectTTL, 0), DefaultDirectTTL)
	o.IndirectTTL = cmp.Or(max(o.IndirectTTL, 0), DefaultIndirectTTL)
	o.MaxRows = cmp.Or(max(o.MaxRows, 0), DefaultMaxRows)
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	return o
}

// Table is the view that one entry has of the backend servers. It is soft
// state, rebuilt from reports after a restart. All methods are safe for
// concurrent use.
//
// Table.mu guards rows, pools and every record. No method calls out of the
// package while it holds mu, so mu comes last in any lock order.
type Table struct {
	opts         TableOptions
	staleSamples metrics.Counter
	rowsRejected metrics.Counter

	mu    sync.RWMutex
	rows  map[uint64]*record
	pools map[string][]*record // sorted by key
	// lastDispatchID numbers dispatches over the whole table, so that a late
	// EndDispatch never matches a dispatch to a row that was removed and added
	// again.
	lastDispatchID uint64
}

// record is a row with state that readers do not need.
type record struct {
	row           Row
	markedLeaving bool // the VM list or a refusal says that it leaves; applies to this incarnation
	dispatches    []unreportedDispatch
	// descriptorSequence is the sequence number that came with the descriptor.
	descriptorSequence uint64
}

// NewTable returns an empty table.
func NewTable(opts TableOptions) *Table {
	opts = opts.withDefaults()
	return &Table{
		opts:         opts,
		staleSamples: metrics.GetOrRegisterCounter("backend.table.stale", opts.Metrics),
		rowsRejected: metrics.GetOrRegisterCounter("backend.table.full", opts.Metrics),
		rows:         map[uint64]*record{},
		pools:        map[string][]*record{},
	}
}

// KeyOf returns the row key for the name of a backend server.
func KeyOf(name string) uint64 { return xxhash.Sum64String(name) }

// Lookup returns a copy of the row of the named server.
func (t *Table) Lookup(name string) (Row, bool) { return t.LookupKey(KeyOf(name)) }

// LookupKey returns a copy of the row with the given key.
func (t *Table) LookupKey(key uint64) (Row, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	rec := t.rows[key]
	if rec == nil {
		return Row{}, false
	}
	return rec.row, true
}

// Len returns the number of rows.
func (t *Table) Len() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return len(t.rows)
}

// insert adds a record to the maps. The caller must hold mu.
func (t *Table) insert(rec *record) {
	t.rows[rec.row.Key] = rec
	t.addToPool(rec)
}

// remove removes a record from the maps. The caller must hold mu.
func (t *Table) remove(rec *record) {
	t.removeFromPool(rec)
	delete(t.rows, rec.row.Key)
}
