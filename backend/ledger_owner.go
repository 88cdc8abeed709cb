package backend

import (
	"slices"
	"time"
)

// ObserveOwner records that an owner is alive. A newer incarnation of an entry
// means that the earlier one is dead, so everything reserved for the earlier
// one is released.
func (l *Ledger) ObserveOwner(now time.Time, owner Owner) (Cleanup, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.checkInvariants()
	known := l.ownerIncarnations[owner.Entry]
	if owner.Incarnation < known {
		return Cleanup{}, ErrOwnerReplaced
	}
	if owner.Incarnation == known {
		return Cleanup{}, nil
	}
	if len(l.ownerIncarnations) >= maxOwners {
		l.removeIdleOwners()
	}
	l.ownerIncarnations[owner.Entry] = owner.Incarnation
	return l.releaseOwners(now, func(o Owner) bool {
		return o.Entry == owner.Entry && o.Incarnation < owner.Incarnation
	}), nil
}

func (l *Ledger) removeIdleOwners() {
	active := map[string]bool{}
	for _, h := range l.holds {
		active[h.owner.Entry] = true
	}
	for _, r := range l.runs {
		active[r.owner.Entry] = true
	}
	for entry := range l.ownerIncarnations {
		if !active[entry] {
			delete(l.ownerIncarnations, entry)
		}
	}
}

// ReleaseOwner releases all holds of an owner and cancels its runs.
func (l *Ledger) ReleaseOwner(now time.Time, owner Owner) Cleanup {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.checkInvariants()
	return l.releaseOwners(now, func(o Owner) bool { return o == owner })
}

func (l *Ledger) releaseOwners(now time.Time, dead func(Owner) bool) Cleanup {
	var out Cleanup
	for i := len(l.queue.waiting) - 1; i >= 0; i-- {
		if dead(l.queue.waiting[i].owner) {
			l.removeWaiter(i)
		}
	}
	for _, h := range l.holds {
		if dead(h.owner) {
			out.add(l.endHold(now, h))
		}
	}
	for _, r := range l.runs {
		if dead(r.owner) && !r.cancelled {
			r.cancelled = true
			out.Runs = append(out.Runs, r.id)
		}
	}
	slices.Sort(out.Runs)
	return out
}

// Sweep ends expired holds and drops expired waiters. A hold with active runs
// is kept, because the stream of its owner is alive.
func (l *Ledger) Sweep(now time.Time) Cleanup {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.checkInvariants()
	var out Cleanup
	for _, h := range l.holds {
		if now.After(h.expiry) && h.activeRuns == 0 {
			out.add(l.endHold(now, h))
		}
	}
	for id, until := range l.endedHolds {
		if now.After(until) {
			delete(l.endedHolds, id)
		}
	}
	l.pruneQueue(now)
	return out
}

// EngineReset records that the engine restarted and lost its memory. It drops
// the exported segments; holds and runs are ended separately.
func (l *Ledger) EngineReset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.checkInvariants()
	l.excessTokens = 0
	for _, h := range l.holds {
		for handle, tokens := range h.segments {
			h.allocated -= tokens
			l.usedTokens -= tokens
			delete(h.segments, handle)
		}
	}
}

// EngineRequest is one request in the load report of an engine: an exported
// segment if it has a handle, otherwise a run.
type EngineRequest struct {
	ID     string
	Handle string
}

// Reconcile compares the ledger with the used tokens and the requests that the
// engine reports. It returns the requests that the ledger does not contain,
// which the agent must free: otherwise they would occupy memory forever. Usage
// not covered by any reservation is withheld from new admissions until the next
// report.
func (l *Ledger) Reconcile(engineUsed int64, requests []EngineRequest) (orphans []EngineRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.checkInvariants()
	explained := int64(0)
	kept := map[string]bool{}
	for _, r := range l.runs {
		explained += r.tokens
	}
	for _, h := range l.holds {
		for handle, tokens := range h.segments {
			explained += tokens
			kept[handle] = true
		}
	}
	before := l.excessTokens
	l.excessTokens = max(0, engineUsed-explained)
	if l.excessTokens < before {
		l.notifyFreed()
	}
	for _, r := range requests {
		if _, running := l.runs[r.ID]; !running && !kept[r.Handle] {
			orphans = append(orphans, r)
		}
	}
	return orphans
}
