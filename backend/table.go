package backend

import (
	"cmp"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"

	"github.com/briarturn/briarturn/invariant"
)

// Defaults of TableOptions. A home hears a report at least every four seconds,
// so that ten seconds are two lost reports and some delay.
const (
	DefaultSuspectAfter = 10 * time.Second
	DefaultDirectTTL    = 45 * time.Second
	DefaultIndirectTTL  = 60 * time.Second
	DefaultMaxRows      = 16_384
)

var tableForward = invariant.New("backend.table.forward",
	"a row's incarnation and sequence never go back")

// TableOptions configures a Table. Zero fields take the defaults.
type TableOptions struct {
	// SuspectAfter is the silence after which a directly heard server is
	// suspect, DirectTTL that after which its row is dropped.
	SuspectAfter time.Duration
	DirectTTL    time.Duration
	// IndirectTTL is the silence after which a row that is known only through
	// digests is dropped. Such a row never becomes suspect by silence.
	IndirectTTL time.Duration
	MaxRows     int
	Metrics     metrics.Registry // nil: counted nowhere
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

// Table is what one entry knows of backend servers. All of it is soft state: it
// is rebuilt from reports after a restart. All methods are safe for concurrent
// use.
//
// Table.mu guards rows, pools and every record. No method calls out of the
// package while it holds mu, so mu comes last in any lock order.
type Table struct {
	opts  TableOptions
	stale metrics.Counter
	full  metrics.Counter

	mu    sync.RWMutex
	rows  map[uint64]*record
	pools map[string][]*record // in the order of their keys
	// lastID numbers dispatches over the whole table, so that a late Done
	// never meets a dispatch to a row that was dropped and came back.
	lastID uint64
}

// record is one row with what readers don't need.
type record struct {
	row    Row
	marked bool // the VM list said that it leaves; holds for this incarnation
	own    []ownDispatch
	// describedSeq is the sequence that came with the description.
	describedSeq uint64
}

// NewTable returns an empty table.
func NewTable(opts TableOptions) *Table {
	opts = opts.withDefaults()
	return &Table{
		opts:  opts,
		stale: metrics.GetOrRegisterCounter("backend.table.stale", opts.Metrics),
		full:  metrics.GetOrRegisterCounter("backend.table.full", opts.Metrics),
		rows:  map[uint64]*record{},
		pools: map[string][]*record{},
	}
}

// KeyOf returns the key of a backend server's name.
func KeyOf(name string) uint64 { return xxhash.Sum64String(name) }

// Lookup returns a copy of the row of a name.
func (t *Table) Lookup(name string) (Row, bool) { return t.LookupKey(KeyOf(name)) }

// LookupKey returns a copy of the row of a key.
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

// insert adds a record to the maps. The caller holds mu.
func (t *Table) insert(rec *record) {
	t.rows[rec.row.Key] = rec
	t.joinPool(rec)
}

// remove drops a record. The caller holds mu.
func (t *Table) remove(rec *record) {
	t.leavePool(rec)
	delete(t.rows, rec.row.Key)
}
