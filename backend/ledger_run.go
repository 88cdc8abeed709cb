package backend

import (
	"cmp"
	"time"
)

// RunSpec describes a run to admit.
type RunSpec struct {
	ID     string // id of the request at the engine
	Owner  Owner
	HoldID string // hold whose tokens the run takes; empty if the run reserves its own
	Tokens int64  // prompt and maximum output
	Long   bool   // waits in the queue of long requests if it does not fit
	// QueueID identifies its place in that queue, so that a later attempt of the
	// same request keeps the place. Empty means ID.
	QueueID string
}

// Admit reserves the tokens of a run, or takes them from its hold.
func (l *Ledger) Admit(now time.Time, spec RunSpec) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.checkInvariants()
	if _, ok := l.runs[spec.ID]; ok {
		return ErrRunExists
	}
	if spec.Owner.Incarnation < l.ownerIncarnations[spec.Owner.Entry] {
		return ErrOwnerReplaced
	}
	r := &ledgerRun{id: spec.ID, owner: spec.Owner, tokens: spec.Tokens, long: spec.Long}
	if spec.HoldID != "" {
		return l.admitOnHold(now, r, spec.HoldID)
	}
	return l.admitStandalone(now, r, cmp.Or(spec.QueueID, spec.ID))
}

func (l *Ledger) admitOnHold(now time.Time, r *ledgerRun, holdID string) error {
	h, ok := l.holds[holdID]
	if !ok || (now.After(h.expiry) && h.activeRuns == 0) {
		return ErrHoldUnknown
	}
	if h.owner != r.owner {
		return ErrNotOwner
	}
	if r.tokens <= 0 || r.tokens > h.tokens-h.allocated {
		return ErrNeverFits
	}
	h.allocated += r.tokens
	h.activeRuns++
	r.hold = h
	l.runs[r.id] = r
	return nil
}

func (l *Ledger) admitStandalone(now time.Time, r *ledgerRun, queueID string) error {
	if r.tokens <= 0 || r.tokens > l.cfg.Capacity {
		return ErrNeverFits
	}
	if r.long {
		if err := l.admitLong(now, queueID, r.owner, r.tokens); err != nil {
			return err
		}
		l.addLongTokens(r.tokens)
	} else {
		l.pruneQueue(now)
		if r.tokens > l.freeTokens()-l.queue.earmark {
			return ErrNoMemory
		}
	}
	l.reservedTokens += r.tokens
	l.runs[r.id] = r
	return nil
}

// CancelWait removes a long request that no longer waits for admission.
func (l *Ledger) CancelWait(queueID string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.checkInvariants()
	l.dequeue(queueID)
}

// UpdateUsage records how many tokens the engine uses for a run. Usage beyond
// the reservation takes free tokens of the ledger, or of the hold of the run.
// If the ledger has too few free tokens, it returns ErrNoMemory; the surplus
// appears as Excess after the next Reconcile.
func (l *Ledger) UpdateUsage(id string, used int64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.runs[id]
	if !ok || used <= r.used {
		return nil
	}
	defer l.checkInvariants()
	var err error
	if used > r.tokens {
		err = l.growReservation(r, used-r.tokens)
		used = min(used, r.tokens)
	}
	l.usedTokens += used - r.used
	r.used = used
	return err
}

func (l *Ledger) growReservation(r *ledgerRun, more int64) error {
	if h := r.hold; h != nil {
		more = min(more, h.tokens-h.allocated)
		h.allocated += more
		r.tokens += more
		return nil
	}
	if more > l.freeTokens()-l.queue.earmark {
		return ErrNoMemory
	}
	if r.long {
		if l.longTokens+l.queue.earmark+more > l.longLimit() && !l.queue.oversized {
			return ErrNoMemory
		}
		l.addLongTokens(more)
	}
	l.reservedTokens += more
	r.tokens += more
	return nil
}

// Finish frees the tokens of a run. It returns false if there is no such run,
// so a second call is harmless.
func (l *Ledger) Finish(now time.Time, id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.checkInvariants()
	r, ok := l.runs[id]
	if !ok {
		return false
	}
	l.finishRun(now, r)
	return true
}

func (l *Ledger) finishRun(now time.Time, r *ledgerRun) {
	delete(l.runs, r.id)
	l.usedTokens -= r.used
	if r.hold != nil {
		r.hold.allocated -= r.tokens
		r.hold.activeRuns--
		return
	}
	l.reservedTokens -= r.tokens
	if r.long {
		l.subLongTokens(now, r.tokens)
	}
	l.recordFreed(r.tokens)
}

// RetainSegment finishes a run whose KV the engine retains as an exported
// segment under a handle: the tokens stay charged to the hold until it ends. It
// returns ErrHoldUnknown if the hold has ended; the caller must then free the
// segment.
func (l *Ledger) RetainSegment(now time.Time, id, handle string, tokens int64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.checkInvariants()
	r, ok := l.runs[id]
	if !ok || r.hold == nil {
		return ErrHoldUnknown
	}
	h := r.hold
	tokens = min(tokens, h.tokens-h.allocated+r.tokens)
	l.finishRun(now, r)
	h.segments[handle] += tokens
	h.allocated += tokens
	l.usedTokens += tokens
	return nil
}
