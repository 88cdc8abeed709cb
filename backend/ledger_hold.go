package backend

import "time"

// HoldSpec asks for a hold. Equal ids are the same hold: asking again neither
// doubles nor revives it.
type HoldSpec struct {
	ID     string
	Owner  Owner
	Tokens int64
	TTL    time.Duration // bounded by MaxTTL
}

// Cleanup lists what the agent must stop at the engine because its reservation
// ended. The tokens of the runs stay charged until Finish.
type Cleanup struct {
	Runs    []string // engine request ids to cancel
	Handles []string // exported segments to free
}

func (f *Cleanup) add(other Cleanup) {
	f.Runs = append(f.Runs, other.Runs...)
	f.Handles = append(f.Handles, other.Handles...)
}

// Hold grants a hold and returns when it expires, or queues the request and
// returns ErrNoMemory; the caller asks again with the same id.
func (l *Ledger) Hold(now time.Time, spec HoldSpec) (time.Time, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.check()
	if err := l.mayHold(spec); err != nil {
		return time.Time{}, err
	}
	if h, ok := l.holds[spec.ID]; ok {
		return l.sameHold(now, h, spec)
	}
	if len(l.holds) >= l.cfg.MaxHolds {
		return time.Time{}, ErrTooManyReservations
	}
	if err := l.admitLong(now, spec.ID, spec.Owner, spec.Tokens); err != nil {
		return time.Time{}, err
	}
	h := &hold{id: spec.ID, owner: spec.Owner, tokens: spec.Tokens, kept: map[string]int64{}}
	h.expiry = l.expiry(now, spec.TTL)
	l.holds[h.id] = h
	l.reserved += h.tokens
	l.takeLong(h.tokens)
	return h.expiry, nil
}

func (l *Ledger) mayHold(spec HoldSpec) error {
	if spec.Tokens <= 0 || spec.Tokens > l.cfg.Capacity {
		return ErrNeverFits
	}
	if spec.Owner.Incarnation < l.owners[spec.Owner.Entry] {
		return ErrOwnerReplaced
	}
	// A Hold delayed on its way past the Release of the same id must not
	// reserve memory that nobody will give back.
	if _, ok := l.ended[spec.ID]; ok {
		return ErrHoldEnded
	}
	return nil
}

func (l *Ledger) sameHold(now time.Time, h *hold, spec HoldSpec) (time.Time, error) {
	if h.owner != spec.Owner || h.tokens != spec.Tokens {
		return time.Time{}, ErrNotOwner
	}
	if now.After(h.expiry) && h.running == 0 {
		return time.Time{}, ErrHoldUnknown
	}
	h.expiry = l.expiry(now, spec.TTL)
	return h.expiry, nil
}

func (l *Ledger) expiry(now time.Time, ttl time.Duration) time.Time {
	return now.Add(min(max(ttl, 0), l.cfg.MaxTTL))
}

// Extend moves a hold's expiry to ttl from now.
func (l *Ledger) Extend(now time.Time, id string, owner Owner, ttl time.Duration) (time.Time, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h, ok := l.holds[id]
	if !ok || (now.After(h.expiry) && h.running == 0) {
		return time.Time{}, ErrHoldUnknown
	}
	if h.owner != owner {
		return time.Time{}, ErrNotOwner
	}
	h.expiry = l.expiry(now, ttl)
	return h.expiry, nil
}

// Release ends a hold, and cancels what runs on it. The id can't be granted
// afterwards, also if it was not known: its Hold may still be on the way.
func (l *Ledger) Release(now time.Time, id string, owner Owner) (Cleanup, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.check()
	h, ok := l.holds[id]
	if ok && h.owner != owner {
		return Cleanup{}, ErrNotOwner
	}
	if !ok {
		l.unqueue(id)
		l.remember(now, id)
		return Cleanup{}, ErrHoldUnknown
	}
	return l.endHold(now, h), nil
}

// endHold frees a hold. Its runs pay for themselves until they are finished.
// Call with mu held.
func (l *Ledger) endHold(now time.Time, h *hold) Cleanup {
	var out Cleanup
	keep := int64(0)
	for _, r := range l.runs {
		if r.hold != h {
			continue
		}
		r.hold = nil
		r.long = true
		r.cancelled = true
		keep += r.tokens
		out.Runs = append(out.Runs, r.id)
	}
	for handle, tokens := range h.kept {
		l.used -= tokens
		out.Handles = append(out.Handles, handle)
	}
	delete(l.holds, h.id)
	l.remember(now, h.id)
	l.reserved -= h.tokens - keep
	l.giveLong(now, h.tokens-keep)
	l.freed(h.tokens - keep)
	return out
}

// remember notes that a hold id ended. The table is bounded: when it is full,
// an arbitrary half is forgotten.
func (l *Ledger) remember(now time.Time, id string) {
	if len(l.ended) >= maxEnded {
		for old := range l.ended {
			delete(l.ended, old)
			if len(l.ended) <= maxEnded/2 {
				break
			}
		}
	}
	l.ended[id] = now.Add(2 * l.cfg.MaxTTL)
}
