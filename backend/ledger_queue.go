package backend

import "time"

// longQueue orders the long requests that don't fit yet, first come first
// served. Without it a steady stream of short runs takes each freed token and a
// long request, which needs many at once, waits for ever; one sees long prompts
// that only ever end in refusals while the server is busy with short ones. The
// first in the queue therefore keeps a share of what is freed, for a bounded
// time. Guarded by the ledger's mu.
type longQueue struct {
	waiting   []*waiter
	earmark   int64     // free tokens kept for waiting[0]
	since     time.Time // when waiting[0] began to keep tokens; zero if it doesn't
	restUntil time.Time // nobody keeps tokens, and no oversized hold goes in, before
	oversized bool      // a single request above the long share is in, or collects
}

type waiter struct {
	id     string
	owner  Owner
	tokens int64
	asked  time.Time // when it last asked
}

// admitLong decides whether a long request of tokens may go in now and queues
// it if not. Call with mu held.
func (l *Ledger) admitLong(now time.Time, id string, owner Owner, tokens int64) error {
	l.tidyQueue(now)
	if l.longFits(now, id, tokens) {
		l.unqueue(id)
		if tokens > l.longLimit() {
			l.queue.oversized = true
		}
		return nil
	}
	return l.enqueue(now, id, owner, tokens)
}

// longFits reports whether a long request may take its tokens now.
func (l *Ledger) longFits(now time.Time, id string, tokens int64) bool {
	earmark, ahead := l.queue.ahead(id)
	if tokens > l.free()-earmark {
		return false
	}
	if tokens > l.longLimit() {
		return l.long+ahead == 0 && !now.Before(l.queue.restUntil)
	}
	return l.long+ahead+tokens <= l.longLimit()
}

// ahead returns what a long request must leave to the first in the queue: the
// free tokens it keeps, and the part of the long share it will need. Without
// the second, smaller long requests would overtake a larger one for ever.
func (q *longQueue) ahead(id string) (earmark, want int64) {
	if q.since.IsZero() || q.waiting[0].id == id {
		return 0, 0
	}
	return q.earmark, q.waiting[0].tokens
}

func (l *Ledger) enqueue(now time.Time, id string, owner Owner, tokens int64) error {
	for _, w := range l.queue.waiting {
		if w.id != id {
			continue
		}
		if w.owner != owner || w.tokens != tokens {
			return ErrNotOwner
		}
		w.asked = now
		l.collect(now)
		return ErrNoMemory
	}
	if len(l.queue.waiting) >= l.cfg.MaxWaiting {
		return ErrTooManyReservations
	}
	l.queue.waiting = append(l.queue.waiting, &waiter{id: id, owner: owner, tokens: tokens, asked: now})
	l.collect(now)
	return ErrNoMemory
}

// collect lets the first in the queue begin to keep tokens, with its share of
// what is free at the moment.
func (l *Ledger) collect(now time.Time) {
	q := &l.queue
	if len(q.waiting) == 0 || !q.since.IsZero() || now.Before(q.restUntil) {
		return
	}
	q.since = now
	l.accumulate(l.free())
}

// accumulate adds a share of tokens just freed to what the first in the queue
// keeps. Short work is left the rest, so it slows down but never stops.
func (l *Ledger) accumulate(tokens int64) {
	q := &l.queue
	if len(q.waiting) == 0 || q.since.IsZero() {
		return
	}
	want := q.waiting[0].tokens
	bound := min(want, max(0, l.longLimit()-l.long))
	if want > l.longLimit() && l.long == 0 {
		bound = want
		q.oversized = true
	}
	share := (tokens*l.cfg.EarmarkSharePercent + 99) / 100
	grown := max(q.earmark, min(q.earmark+share, bound))
	q.earmark = min(grown, l.free())
}

// tidyQueue drops requests whose owner stopped asking, and ends an overlong
// collection.
func (l *Ledger) tidyQueue(now time.Time) {
	q := &l.queue
	for i := 0; i < len(q.waiting); {
		if now.Sub(q.waiting[i].asked) > l.cfg.WaitTTL {
			l.removeWaiter(i)
			continue
		}
		i++
	}
	if !q.since.IsZero() && now.Sub(q.since) > l.cfg.MaxEarmarkTime {
		// The request had its time. It goes to the end, so that one that can't
		// fit here doesn't keep memory idle for ever.
		first := q.waiting[0]
		l.removeWaiter(0)
		q.waiting = append(q.waiting, first)
		q.restUntil = now.Add(l.cfg.EarmarkCooldown)
	}
	l.collect(now)
}

func (l *Ledger) unqueue(id string) {
	for i, w := range l.queue.waiting {
		if w.id == id {
			l.removeWaiter(i)
			return
		}
	}
}

// removeWaiter drops one waiter; the tokens that the first kept are given back.
func (l *Ledger) removeWaiter(i int) {
	q := &l.queue
	q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
	if i > 0 || q.since.IsZero() {
		return
	}
	q.earmark = 0
	q.since = time.Time{}
	l.notify()
	if l.long <= l.longLimit() {
		q.oversized = false
	}
}

// takeLong and giveLong count the tokens of long work.
func (l *Ledger) takeLong(tokens int64) { l.long += tokens }

func (l *Ledger) giveLong(now time.Time, tokens int64) {
	l.long -= tokens
	collecting := l.queue.earmark+l.long > l.longLimit()
	if l.queue.oversized && !collecting {
		// Short work waited for the oversized request; it goes first now.
		l.queue.oversized = false
		l.queue.restUntil = now.Add(l.cfg.EarmarkCooldown)
	}
}
