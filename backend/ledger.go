package backend

import (
	"cmp"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/invariant"
)

// Errors of a Ledger; test for them with errors.Is. A call that returns one of
// them has reserved nothing.
const (
	// ErrNoMemory: the tokens do not fit at present. A retry may succeed; a long
	// request keeps its place in the queue if it retries within WaitTTL.
	ErrNoMemory = errors.ConstError("not enough free KV memory")
	// ErrNeverFits: the number of tokens exceeds what the backend server has or
	// what is left of the hold, or is not positive.
	ErrNeverFits = errors.ConstError("reservation can never fit")
	// ErrHoldUnknown: the hold expired, was released, or was never granted.
	ErrHoldUnknown = errors.ConstError("hold unknown")
	// ErrHoldEnded: a hold with this id has ended already; an id is granted only
	// once.
	ErrHoldEnded = errors.ConstError("hold already ended")
	// ErrNotOwner: the hold or the queued request belongs to another owner, or has
	// another number of tokens.
	ErrNotOwner = errors.ConstError("not the owner")
	// ErrOwnerReplaced: a newer incarnation of the entry is known.
	ErrOwnerReplaced = errors.ConstError("owner replaced by a newer incarnation")
	// ErrRunExists: a run with this id is in progress.
	ErrRunExists = errors.ConstError("run already in progress")
	// ErrTooManyReservations: the bounded table of holds or of waiting requests is
	// full.
	ErrTooManyReservations = errors.ConstError("too many reservations")
)

var (
	ledgerBounds = invariant.New("backend.ledger.bounds",
		"held + used tokens never exceed the capacity, and neither is negative")
	ledgerEarmark = invariant.New("backend.ledger.earmark",
		"free tokens are earmarked only while a long request waits for them")
	ledgerLongShare = invariant.New("backend.ledger.long",
		"long requests and the earmark stay within the long share, except for one oversized request")
)

// Owner identifies the entry, in one incarnation, for which memory is reserved.
type Owner struct {
	Entry       string
	Incarnation uint64
}

// LedgerConfig configures the limits of a Ledger. Zero fields are set to the
// defaults.
type LedgerConfig struct {
	Capacity   int64         // tokens of KV memory
	MaxHolds   int           // maximum number of granted holds; default 64
	MaxWaiting int           // maximum number of queued long requests; default 8
	MaxTTL     time.Duration // maximum lifetime of a hold without an extension; default 30 s
	WaitTTL    time.Duration // a queued request is dropped unless it retries within this time; default 3 s
	// LongSharePercent is the percentage of the capacity that all long requests
	// may take together; default 85. A single larger request is admitted only
	// while no other long request holds memory.
	LongSharePercent int64
	// EarmarkSharePercent is the percentage of freed tokens that is earmarked for
	// the first waiting long request; short requests may take the rest. Default
	// 75.
	EarmarkSharePercent int64
	// MaxEarmarkTime is the longest time that tokens are earmarked for one
	// request; default 20 s. EarmarkCooldown is the time without an earmark after
	// that, and after an oversized hold; default 5 s.
	MaxEarmarkTime  time.Duration
	EarmarkCooldown time.Duration
}

// Defaults of LedgerConfig.
const (
	defaultMaxHolds            = 64
	defaultMaxWaiting          = 8
	defaultMaxTTL              = 30 * time.Second
	defaultWaitTTL             = 3 * time.Second
	defaultLongSharePercent    = 85
	defaultEarmarkSharePercent = 75
	defaultMaxEarmarkTime      = 20 * time.Second
	defaultEarmarkCooldown     = 5 * time.Second
	// maxEndedHolds and maxOwners limit the number of recorded ended hold ids and
	// of recorded owners.
	maxEndedHolds = 4096
	maxOwners     = 4096
)

func (c LedgerConfig) withDefaults() LedgerConfig {
	c.MaxHolds = cmp.Or(c.MaxHolds, defaultMaxHolds)
	c.MaxWaiting = cmp.Or(c.MaxWaiting, defaultMaxWaiting)
	c.MaxTTL = cmp.Or(c.MaxTTL, defaultMaxTTL)
	c.WaitTTL = cmp.Or(c.WaitTTL, defaultWaitTTL)
	c.LongSharePercent = cmp.Or(c.LongSharePercent, defaultLongSharePercent)
	c.EarmarkSharePercent = cmp.Or(c.EarmarkSharePercent, defaultEarmarkSharePercent)
	c.MaxEarmarkTime = cmp.Or(c.MaxEarmarkTime, defaultMaxEarmarkTime)
	c.EarmarkCooldown = cmp.Or(c.EarmarkCooldown, defaultEarmarkCooldown)
	return c
}

// Ledger is the authoritative account of the KV memory of one backend server:
// which owner holds how many tokens, and until when. It does no I/O and takes
// the time as an argument. It is safe for concurrent use; mu is a leaf in the
// lock order.
type Ledger struct {
	mu                sync.Mutex // guards everything below
	cfg               LedgerConfig
	holds             map[string]*hold
	runs              map[string]*ledgerRun
	endedHolds        map[string]time.Time // ended hold id -> when the record may be removed
	ownerIncarnations map[string]uint64    // entry -> newest known incarnation
	reservedTokens    int64                // tokens of holds, and of runs without a hold
	usedTokens        int64                // part of reservedTokens that the engine uses
	longTokens        int64                // part of reservedTokens taken by long requests
	excessTokens      int64                // engine usage not covered by any reservation
	queue             longQueue
	freedCh           chan struct{} // closed when tokens are freed; nil if there is no waiter
}

// hold is a granted reservation. Runs and exported segments take their tokens
// from it.
type hold struct {
	id         string
	owner      Owner
	tokens     int64
	expiry     time.Time
	allocated  int64            // tokens taken by its runs and exported segments
	activeRuns int              // runs in progress on this hold
	segments   map[string]int64 // handle of an exported segment -> tokens
}

// ledgerRun is a run in progress. Its tokens are reserved for the run itself,
// or are taken from a hold.
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
		cfg:               cfg.withDefaults(),
		holds:             map[string]*hold{},
		runs:              map[string]*ledgerRun{},
		endedHolds:        map[string]time.Time{},
		ownerIncarnations: map[string]uint64{},
	}
}

// LedgerState is a snapshot of the totals of a ledger, in tokens, and of its
// counts.
type LedgerState struct {
	Capacity  int64
	Held      int64 // reserved but not yet used
	Used      int64
	Excess    int64 // engine usage not covered by any reservation
	Earmarked int64 // free tokens set aside for the first waiting long request
	Long      int64 // part of Held + Used taken by long requests
	Holds     int
	Runs      int
	Waiting   int
}

// State returns the current totals.
func (l *Ledger) State() LedgerState {
	l.mu.Lock()
	defer l.mu.Unlock()
	return LedgerState{
		Capacity:  l.cfg.Capacity,
		Held:      l.reservedTokens - l.usedTokens,
		Used:      l.usedTokens,
		Excess:    l.excessTokens,
		Earmarked: l.queue.earmark,
		Long:      l.longTokens,
		Holds:     len(l.holds),
		Runs:      len(l.runs),
		Waiting:   len(l.queue.waiting),
	}
}

// FreedNotify returns a channel that is closed the next time tokens are freed.
func (l *Ledger) FreedNotify() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.freedCh == nil {
		l.freedCh = make(chan struct{})
	}
	return l.freedCh
}

// freeTokens returns the tokens that are neither reserved nor in excess use by
// the engine. The caller must hold mu.
func (l *Ledger) freeTokens() int64 {
	return max(0, l.cfg.Capacity-l.reservedTokens-l.excessTokens)
}

func (l *Ledger) longLimit() int64 {
	return l.cfg.Capacity * l.cfg.LongSharePercent / 100
}

// recordFreed is called after reservedTokens fell by tokens: it earmarks part
// of them for the first waiting long request and wakes waiters. The caller must
// hold mu.
func (l *Ledger) recordFreed(tokens int64) {
	if tokens <= 0 {
		return
	}
	l.growEarmark(tokens)
	l.notifyFreed()
}

// notifyFreed closes the channel that FreedNotify returned. The caller must
// hold mu.
func (l *Ledger) notifyFreed() {
	if l.freedCh != nil {
		close(l.freedCh)
		l.freedCh = nil
	}
}

// checkInvariants limits the earmark to the free tokens and asserts the
// invariants of the ledger after a change. The caller must hold mu.
func (l *Ledger) checkInvariants() {
	ok := l.usedTokens >= 0 && l.usedTokens <= l.reservedTokens && l.reservedTokens <= l.cfg.Capacity
	ledgerBounds.Check(ok, "used %d, reserved %d, capacity %d", l.usedTokens, l.reservedTokens, l.cfg.Capacity)
	l.queue.earmark = min(l.queue.earmark, l.freeTokens())
	collecting := len(l.queue.waiting) > 0 && !l.queue.earmarkStart.IsZero()
	ledgerEarmark.Check(l.queue.earmark == 0 || collecting && l.queue.earmark > 0,
		"earmark %d, collecting %v", l.queue.earmark, collecting)
	within := l.longTokens+l.queue.earmark <= l.longLimit()
	ledgerLongShare.Check(within || l.queue.oversized, "long %d, earmark %d, limit %d",
		l.longTokens, l.queue.earmark, l.longLimit())
}
