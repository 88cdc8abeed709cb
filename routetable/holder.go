package routetable

import (
	"sync"
	"time"

	"github.com/briarturn/briarturn/internal/boottime"
)

// Holder holds the newest Table of a process and the instant as of which it was last
// confirmed current. It is safe for concurrent use; mu guards the fields below it and
// is a leaf lock.
type Holder struct {
	now boottime.Clock

	mu             sync.Mutex
	table          *Table
	currentAsOf    boottime.Instant
	currentAsOfSet bool
}

// NewHolder returns an empty Holder.
func NewHolder(now boottime.Clock) *Holder { return &Holder{now: now} }

// Offer stores a table that was read from the store by a call that started at asked,
// and reports whether it is newer than the current one. An older table is ignored and
// an equal one only confirms the current one: otherwise a lagging replica or reordered
// answers would restore a removed route or key, and a caller would be alternately
// accepted and rejected.
func (h *Holder) Offer(t *Table, asked boottime.Instant) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.table != nil && t.Revision() < h.table.Revision() {
		return false
	}
	newer := h.table == nil || t.Revision() > h.table.Revision()
	if newer {
		h.table = t
	}
	h.markCurrentLocked(asked)
	return newer
}

// MarkCurrent records that a call that started at asked confirmed the current table.
// It does nothing before the first table.
func (h *Holder) MarkCurrent(asked boottime.Instant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.table != nil {
		h.markCurrentLocked(asked)
	}
}

func (h *Holder) markCurrentLocked(asked boottime.Instant) {
	if !h.currentAsOfSet || asked > h.currentAsOf {
		h.currentAsOf = asked
		h.currentAsOfSet = true
	}
}

// Table returns the newest table and its age: the time since it was last confirmed
// current. ok is false before the first table.
func (h *Holder) Table() (t *Table, age time.Duration, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.table == nil {
		return nil, 0, false
	}
	return h.table, h.now().Sub(h.currentAsOf), true
}
