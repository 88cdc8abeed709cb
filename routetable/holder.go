package routetable

import (
	"sync"
	"time"

	"github.com/briarturn/briarturn/internal/boottime"
)

// Holder keeps the newest Table of a process and until when it was proved current.
// It is safe for concurrent use; mu guards all fields and is a leaf lock.
type Holder struct {
	now boottime.Clock

	mu     sync.Mutex
	table  *Table
	proved boottime.Instant
	known  bool
}

// NewHolder returns an empty Holder.
func NewHolder(now boottime.Clock) *Holder { return &Holder{now: now} }

// Offer takes a table that was read from the store by a call begun at asked, and
// reports whether it is newer than the one held. An older or equal one changes
// nothing: a lagging replica or an answer that overtakes another would else bring
// back a removed route or key, seen as a caller that is served by turns.
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
	h.proveLocked(asked)
	return newer
}

// MarkCurrent notes that a call begun at asked showed the held table to be current.
func (h *Holder) MarkCurrent(asked boottime.Instant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.table != nil {
		h.proveLocked(asked)
	}
}

func (h *Holder) proveLocked(asked boottime.Instant) {
	if !h.known || asked > h.proved {
		h.proved = asked
		h.known = true
	}
}

// Table returns the newest table and its age: how long ago it was last proved
// current. ok is false before the first one.
func (h *Holder) Table() (t *Table, age time.Duration, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.table == nil {
		return nil, 0, false
	}
	return h.table, h.now().Sub(h.proved), true
}
