package backend

import "time"

// HoldSpec describes a requested hold. The ID makes the request idempotent: a
// repeated request neither reserves twice nor revives an ended hold.
type HoldSpec struct {
	ID     string
	Owner  Owner
	Tokens int64
	TTL    time.Duration // limited to MaxTTL
}

// Cleanup lists what the agent must stop or free at the engine because its
// reservation ended. The tokens of the runs stay reserved until Finish.
type Cleanup struct {
	Runs    []string // ids of engine requests to cancel
	Handles []string // handles of exported segments to free
}

func (f *Cleanup) add(other Cleanup) {
	f.Runs = append(f.Runs, other.Runs...)
	f.Handles = append(f.Handles, other.Handles...)
}

// Hold grants a hold and returns its expiry time, or queues the request and
// returns ErrNoMemory; the caller then retries with the same id.
func (l *Ledger) Hold(now time.Time, spec HoldSpec) (time.Time, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.checkInvariants()
	if err := l.validateHold(spec); err != nil {
		return time.Time{}, err
	}
	if h, ok := l.holds[spec.ID]; ok {
		return l.renewHold(now, h, spec)
	}
	if len(l.holds) >= l.cfg.MaxHolds {
		return time.Time{}, ErrTooManyReservations
	}
	if err := l.admitLong(now, spec.ID, spec.Owner, spec.Tokens); err != nil {
		return time.Time{}, err
	}
	h := &hold{id: spec.ID, owner: spec.Owner, tokens: spec.Tokens, segments: map[string]int64{}}
	h.expiry = l.expiryAfter(now, spec.TTL)
	l.holds[h.id] = h
	l.reservedTokens += h.tokens
	l.addLongTokens(h.tokens)
	return h.expiry, nil
}

func (l *Ledger) validateHold(spec HoldSpec) error {
	if spec.Tokens <= 0 || spec.Tokens > l.cfg.Capacity {
		return ErrNeverFits
	}
	if spec.Owner.Incarnation < l.ownerIncarnations[spec.Owner.Entry] {
		return ErrOwnerReplaced
	}
	// A Hold that arrives after the Release of the same id must not reserve
	// memory, because nothing would release it.
	if _, ok := l.endedHolds[spec.ID]; ok {
		return ErrHoldEnded
	}
	return nil
}

func (l *Ledger) renewHold(now time.Time, h *hold, spec HoldSpec) (time.Time, error) {
	if h.owner != spec.Owner || h.tokens != spec.Tokens {
		return time.Time{}, ErrNotOwner
	}
	if now.After(h.expiry) && h.activeRuns == 0 {
		return time.Time{}, ErrHoldUnknown
	}
	h.expiry = l.expiryAfter(now, spec.TTL)
	return h.expiry, nil
}

func (l *Ledger) expiryAfter(now time.Time, ttl time.Duration) time.Time {
	return now.Add(min(max(ttl, 0), l.cfg.MaxTTL))
}

// Extend sets the expiry of a hold to ttl from now. The ttl is limited to
// MaxTTL.
func (l *Ledger) Extend(now time.Time, id string, owner Owner, ttl time.Duration) (time.Time, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h, ok := l.holds[id]
	if !ok || (now.After(h.expiry) && h.activeRuns == 0) {
		return time.Time{}, ErrHoldUnknown
	}
	if h.owner != owner {
		return time.Time{}, ErrNotOwner
	}
	h.expiry = l.expiryAfter(now, ttl)
	return h.expiry, nil
}

// Release ends a hold and cancels the runs on it. The id is never granted
// afterwards, even if it was unknown, because its Hold may still be in flight.
func (l *Ledger) Release(now time.Time, id string, owner Owner) (Cleanup, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.checkInvariants()
	h, ok := l.holds[id]
	if ok && h.owner != owner {
		return Cleanup{}, ErrNotOwner
	}
	if !ok {
		l.dequeue(id)
		l.recordEndedHold(now, id)
		return Cleanup{}, ErrHoldUnknown
	}
	return l.endHold(now, h), nil
}

// endHold ends a hold and frees its tokens, except those of its runs, which
// stay reserved until the runs finish. The caller must hold mu.
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
	for handle, tokens := range h.segments {
		l.usedTokens -= tokens
		out.Handles = append(out.Handles, handle)
	}
	delete(l.holds, h.id)
	l.recordEndedHold(now, h.id)
	l.reservedTokens -= h.tokens - keep
	l.subLongTokens(now, h.tokens-keep)
	l.recordFreed(h.tokens - keep)
	return out
}

// recordEndedHold records that a hold id has ended. The table is bounded: when
// it is full, an arbitrary half of it is removed.
func (l *Ledger) recordEndedHold(now time.Time, id string) {
	if len(l.endedHolds) >= maxEndedHolds {
		for old := range l.endedHolds {
			delete(l.endedHolds, old)
			if len(l.endedHolds) <= maxEndedHolds/2 {
				break
			}
		}
	}
	l.endedHolds[id] = now.Add(2 * l.cfg.MaxTTL)
}
