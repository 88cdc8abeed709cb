package backend

import (
	"cmp"
	"time"
)

// RunSpec asks to admit a run.
type RunSpec struct {
	ID     string // the engine's name for it
	Owner  Owner
	HoldID string // hold that pays; empty if the run pays for itself
	Tokens int64  // prompt and longest output
	Long   bool   // waits in the queue of long requests if it doesn't fit
	// QueueID names its place in that queue, so that a later attempt of the
	// same request keeps it. Empty means ID.
	QueueID string
}

// Admit reserves a run's tokens, or draws them from its hold.
func (l *Ledger) Admit(now time.Time, spec RunSpec) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.check()
	if _, ok := l.runs[spec.ID]; ok {
		return ErrRunExists
	}
	if spec.Owner.Incarnation < l.owners[spec.Owner.Entry] {
		return ErrOwnerReplaced
	}
	r := &ledgerRun{id: spec.ID, owner: spec.Owner, tokens: spec.Tokens, long: spec.Long}
	if spec.HoldID != "" {
		return l.drawRun(now, r, spec.HoldID)
	}
	return l.payRun(now, r, cmp.Or(spec.QueueID, spec.ID))
}

func (l *Ledger) drawRun(now time.Time, r *ledgerRun, holdID string) error {
	h, ok := l.holds[holdID]
	if !ok || (now.After(h.expiry) && h.running == 0) {
		return ErrHoldUnknown
	}
	if h.owner != r.owner {
		return ErrNotOwner
	}
	if r.tokens <= 0 || r.tokens > h.tokens-h.drawn {
		return ErrNeverFits
	}
	h.drawn += r.tokens
	h.running++
	r.hold = h
	l.runs[r.id] = r
	return nil
}

func (l *Ledger) payRun(now time.Time, r *ledgerRun, queueID string) error {
	if r.tokens <= 0 || r.tokens > l.cfg.Capacity {
		return ErrNeverFits
	}
	if r.long {
		if err := l.admitLong(now, queueID, r.owner, r.tokens); err != nil {
			return err
		}
		l.takeLong(r.tokens)
	} else {
		l.tidyQueue(now)
		if r.tokens > l.free()-l.queue.earmark {
			return ErrNoMemory
		}
	}
	l.reserved += r.tokens
	l.runs[r.id] = r
	return nil
}

// CancelWait drops a long request that gave up waiting to be admitted.
func (l *Ledger) CancelWait(queueID string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.check()
	l.unqueue(queueID)
}

// UpdateUsage notes that the engine uses so many tokens for a run. A use beyond the
// reservation takes free tokens; if there are none it returns ErrNoMemory, and
// the surplus appears as Excess with the next Reconcile.
func (l *Ledger) UpdateUsage(id string, used int64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.runs[id]
	if !ok || used <= r.used {
		return nil
	}
	defer l.check()
	var err error
	if used > r.tokens {
		err = l.enlarge(r, used-r.tokens)
		used = min(used, r.tokens)
	}
	l.used += used - r.used
	r.used = used
	return err
}

func (l *Ledger) enlarge(r *ledgerRun, more int64) error {
	if h := r.hold; h != nil {
		more = min(more, h.tokens-h.drawn)
		h.drawn += more
		r.tokens += more
		return nil
	}
	if more > l.free()-l.queue.earmark {
		return ErrNoMemory
	}
	if r.long {
		if l.long+l.queue.earmark+more > l.longLimit() && !l.queue.oversized {
			return ErrNoMemory
		}
		l.takeLong(more)
	}
	l.reserved += more
	r.tokens += more
	return nil
}

// Finish frees a run's tokens. It reports false if there is no such run, which
// makes a second call harmless.
func (l *Ledger) Finish(now time.Time, id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.check()
	r, ok := l.runs[id]
	if !ok {
		return false
	}
	l.finish(now, r)
	return true
}

func (l *Ledger) finish(now time.Time, r *ledgerRun) {
	delete(l.runs, r.id)
	l.used -= r.used
	if r.hold != nil {
		r.hold.drawn -= r.tokens
		r.hold.running--
		return
	}
	l.reserved -= r.tokens
	if r.long {
		l.giveLong(now, r.tokens)
	}
	l.freed(r.tokens)
}

// RetainSegment finishes a run whose KV the engine keeps under a handle: the tokens stay
// charged to the hold until it ends. It returns ErrHoldUnknown if the hold ended
// meanwhile; the caller must then free the segment.
func (l *Ledger) RetainSegment(now time.Time, id, handle string, tokens int64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.check()
	r, ok := l.runs[id]
	if !ok || r.hold == nil {
		return ErrHoldUnknown
	}
	h := r.hold
	tokens = min(tokens, h.tokens-h.drawn+r.tokens)
	l.finish(now, r)
	h.kept[handle] += tokens
	h.drawn += tokens
	l.used += tokens
	return nil
}
