package backend

import (
	"slices"
	"time"
)

// ObserveOwner notes that an owner is alive. A newer incarnation of an entry means that
// the earlier one is dead: all that it had is freed.
func (l *Ledger) ObserveOwner(now time.Time, owner Owner) (Cleanup, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.check()
	known := l.owners[owner.Entry]
	if owner.Incarnation < known {
		return Cleanup{}, ErrOwnerReplaced
	}
	if owner.Incarnation == known {
		return Cleanup{}, nil
	}
	if len(l.owners) >= maxOwners {
		l.forgetIdleOwners()
	}
	l.owners[owner.Entry] = owner.Incarnation
	return l.freeOwners(now, func(o Owner) bool {
		return o.Entry == owner.Entry && o.Incarnation < owner.Incarnation
	}), nil
}

func (l *Ledger) forgetIdleOwners() {
	active := map[string]bool{}
	for _, h := range l.holds {
		active[h.owner.Entry] = true
	}
	for _, r := range l.runs {
		active[r.owner.Entry] = true
	}
	for entry := range l.owners {
		if !active[entry] {
			delete(l.owners, entry)
		}
	}
}

// ReleaseOwner frees all holds of an owner and cancels its runs.
func (l *Ledger) ReleaseOwner(now time.Time, owner Owner) Cleanup {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.check()
	return l.freeOwners(now, func(o Owner) bool { return o == owner })
}

func (l *Ledger) freeOwners(now time.Time, dead func(Owner) bool) Cleanup {
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

// Sweep ends holds past their expiry and drops lapsed waiters. A hold on which
// something runs is kept: its owner's stream is alive.
func (l *Ledger) Sweep(now time.Time) Cleanup {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.check()
	var out Cleanup
	for _, h := range l.holds {
		if now.After(h.expiry) && h.running == 0 {
			out.add(l.endHold(now, h))
		}
	}
	for id, until := range l.ended {
		if now.After(until) {
			delete(l.ended, id)
		}
	}
	l.tidyQueue(now)
	return out
}

// EngineReset notes that the engine restarted: what it had in memory is gone.
// The kept segments are dropped; holds and runs end by their own ways.
func (l *Ledger) EngineReset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.check()
	l.excess = 0
	for _, h := range l.holds {
		for handle, tokens := range h.kept {
			h.drawn -= tokens
			l.used -= tokens
			delete(h.kept, handle)
		}
	}
}

// EngineRequest is one request in an engine's report: a run, or an exported
// segment if it has a handle.
type EngineRequest struct {
	ID     string
	Handle string
}

// Reconcile compares the ledger with what the engine reports: its used tokens
// and its requests. It returns those that the ledger doesn't know, which the
// agent frees: left alone they would take memory for ever. Use that no
// reservation explains is kept from new admissions until the next report.
func (l *Ledger) Reconcile(engineUsed int64, requests []EngineRequest) (orphans []EngineRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.check()
	explained := int64(0)
	kept := map[string]bool{}
	for _, r := range l.runs {
		explained += r.tokens
	}
	for _, h := range l.holds {
		for handle, tokens := range h.kept {
			explained += tokens
			kept[handle] = true
		}
	}
	before := l.excess
	l.excess = max(0, engineUsed-explained)
	if l.excess < before {
		l.notify()
	}
	for _, r := range requests {
		if _, running := l.runs[r.ID]; !running && !kept[r.Handle] {
			orphans = append(orphans, r)
		}
	}
	return orphans
}
