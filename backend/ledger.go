package backend

import (
	"cmp"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/invariant"
)

// Errors of a Ledger. Test with errors.Is. After any of them nothing was
// reserved by the call.
const (
	// ErrNoMemory: the tokens don't fit now. Asking again may succeed; a long
	// request keeps its place in the queue if it asks within WaitTTL.
	ErrNoMemory = errors.ConstError("not enough free KV memory")
	// ErrNeverFits: more tokens than the backend server has, or none at all.
	ErrNeverFits = errors.ConstError("reservation can never fit")
	// ErrHoldUnknown: the hold lapsed, was released, or was never granted.
	ErrHoldUnknown = errors.ConstError("hold unknown")
	// ErrHoldEnded: a hold of this id ended before; an id is granted once.
	ErrHoldEnded = errors.ConstError("hold already ended")
	// ErrNotOwner: the hold or run id belongs to another owner.
	ErrNotOwner = errors.ConstError("not the owner")
	// ErrOwnerReplaced: a newer incarnation of the entry has been heard.
	ErrOwnerReplaced = errors.ConstError("owner replaced by a newer incarnation")
	// ErrRunExists: a run of this id is in progress.
	ErrRunExists = errors.ConstError("run already in progress")
	// ErrTooManyReservations: the bounded table of holds or waiting requests is full.
	ErrTooManyReservations = errors.ConstError("too many reservations")
)

var (
	ledgerBounds = invariant.New("backend.ledger.bounds",
		"held + used never exceed the capacity, and neither is negative")
	ledgerEarmark = invariant.New("backend.ledger.earmark",
		"free tokens are kept only for a long request that waits for them")
	ledgerLong = invariant.New("backend.ledger.long",
		"long work and what is kept for it leave short work its share, but for one oversized hold")
)

// Owner is the entry on whose behalf memory is reserved.
type Owner struct {
	Entry       string
	Incarnation uint64
}

// LedgerConfig bounds a Ledger. Zero fields take the defaults.
type LedgerConfig struct {
	Capacity   int64         // tokens of KV memory
	MaxHolds   int           // granted holds at a time; default 64
	MaxWaiting int           // queued long requests; default 8
	MaxTTL     time.Duration // longest life of a hold without extension; default 30 s
	WaitTTL    time.Duration // a queued request must ask again within it; default 3 s
	// LongSharePercent is the part of the capacity, in percent, that long work may
	// take together; default 85. A larger single request may go in alone.
	LongSharePercent int64
	// EarmarkSharePercent is the part of each freed token, in percent, that the first
	// waiting long request keeps; short work may take the rest. Default 75.
	EarmarkSharePercent int64
	// MaxEarmarkTime is how long one request may keep tokens while it waits;
	// default 20 s. Rest is the pause after that, and after an oversized hold,
	// before tokens are kept again; default 5 s.
	MaxEarmarkTime  time.Duration
	EarmarkCooldown time.Duration
}

// Defaults of LedgerConfig.
const (
	defaultMaxHolds     = 64
	defaultMaxWaiting   = 8
	defaultMaxTTL       = 30 * time.Second
	defaultWaitTTL      = 3 * time.Second
	defaultLongShare    = 85
	defaultEarmarkShare = 75
	defaultMaxEarmark   = 20 * time.Second
	defaultRest         = 5 * time.Second
	// maxEnded bounds the memory of ended hold ids and of owners.
	maxEnded  = 4096
	maxOwners = 4096
)

func (c LedgerConfig) withDefaults() LedgerConfig {
	c.MaxHolds = cmp.Or(c.MaxHolds, defaultMaxHolds)
	c.MaxWaiting = cmp.Or(c.MaxWaiting, defaultMaxWaiting)
	c.MaxTTL = cmp.Or(c.MaxTTL, defaultMaxTTL)
	c.WaitTTL = cmp.Or(c.WaitTTL, defaultWaitTTL)
	c.LongSharePercent = cmp.Or(c.LongSharePercent, defaultLongShare)
	c.EarmarkSharePercent = cmp.Or(c.EarmarkSharePercent, defaultEarmarkShare)
	c.MaxEarmarkTime = cmp.Or(c.MaxEarmarkTime, defaultMaxEarmark)
	c.EarmarkCooldown = cmp.Or(c.EarmarkCooldown, defaultRest)
	return c
}

// Ledger is the authority over the KV memory of one backend server: who holds
// how many tokens, and until when. It does no I/O and takes the time as an
// argument. Safe for concurrent use; mu is a leaf in the lock order.
type Ledger struct {
	mu       sync.Mutex // guards everything below
	cfg      LedgerConfig
	holds    map[string]*hold
	runs     map[string]*ledgerRun
	ended    map[string]time.Time // ended hold id -> when it may be forgotten
	owners   map[string]uint64    // entry -> newest incarnation heard
	reserved int64                // tokens of holds, and of runs without a hold
	used     int64                // part of reserved that engines use
	long     int64                // part of reserved that long work took
	excess   int64                // engine's use that no reservation explains
	queue    longQueue
	changed  chan struct{} // closed when tokens are freed; nil if nobody waits
}

// hold is a granted reservation. Runs and kept segments draw on its tokens.
type hold struct {
	id      string
	owner   Owner
	tokens  int64
	expiry  time.Time
	drawn   int64            // tokens of its runs and kept segments
	running int              // runs in progress on it
	kept    map[string]int64 // handle of an exported segment -> tokens
}

// ledgerRun is a run in progress. It pays with its own tokens, or with those of
// a hold.
type ledgerRun struct {
	id        string
	owner     Owner
	hold      *hold
	tokens    int64
	used      int64
	long      bool
	cancelled bool
}

// NewLedger returns an empty ledger.
func NewLedger(cfg LedgerConfig) *Ledger {
	return &Ledger{
		cfg:    cfg.withDefaults(),
		holds:  map[string]*hold{},
		runs:   map[string]*ledgerRun{},
		ended:  map[string]time.Time{},
		owners: map[string]uint64{},
	}
}

// LedgerState is a copy of a ledger's totals, in tokens, and its counts.
type LedgerState struct {
	Capacity  int64
	Held      int64 // reserved and not yet used
	Used      int64
	Excess    int64 // the engine's use beyond every reservation
	Earmarked int64 // free tokens kept for the first waiting long request
	Long      int64 // part of Held + Used that long work took
	Holds     int
	Runs      int
	Waiting   int
}

// State returns the present totals.
func (l *Ledger) State() LedgerState {
	l.mu.Lock()
	defer l.mu.Unlock()
	return LedgerState{
		Capacity:  l.cfg.Capacity,
		Held:      l.reserved - l.used,
		Used:      l.used,
		Excess:    l.excess,
		Earmarked: l.queue.earmark,
		Long:      l.long,
		Holds:     len(l.holds),
		Runs:      len(l.runs),
		Waiting:   len(l.queue.waiting),
	}
}

// FreedNotify returns a channel that is closed when tokens are next freed.
func (l *Ledger) FreedNotify() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.changed == nil {
		l.changed = make(chan struct{})
	}
	return l.changed
}

// free returns the tokens that no reservation and no unexplained use of the
// engine takes. Call with mu held.
func (l *Ledger) free() int64 {
	return max(0, l.cfg.Capacity-l.reserved-l.excess)
}

func (l *Ledger) longLimit() int64 {
	return l.cfg.Capacity * l.cfg.LongSharePercent / 100
}

// freed notes that reserved fell by tokens: part of them is kept for the first
// waiting long request. Call with mu held.
func (l *Ledger) freed(tokens int64) {
	if tokens <= 0 {
		return
	}
	l.accumulate(tokens)
	l.notify()
}

// notify wakes whoever waits for free tokens. Call with mu held.
func (l *Ledger) notify() {
	if l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
}

// check asserts the ledger's rules after a change. Call with mu held.
func (l *Ledger) check() {
	ok := l.used >= 0 && l.used <= l.reserved && l.reserved <= l.cfg.Capacity
	ledgerBounds.Check(ok, "used %d, reserved %d, capacity %d", l.used, l.reserved, l.cfg.Capacity)
	l.queue.earmark = min(l.queue.earmark, l.free())
	collecting := len(l.queue.waiting) > 0 && !l.queue.since.IsZero()
	ledgerEarmark.Check(l.queue.earmark == 0 || collecting && l.queue.earmark > 0,
		"earmark %d, collecting %v", l.queue.earmark, collecting)
	within := l.long+l.queue.earmark <= l.longLimit()
	ledgerLong.Check(within || l.queue.oversized, "long %d, earmark %d, limit %d",
		l.long, l.queue.earmark, l.longLimit())
}
