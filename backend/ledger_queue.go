package backend

import "time"

// longQueue is a FIFO queue of the long requests that do not fit yet. Without
// it, a steady stream of short runs would take every freed token, and a long
// request, which needs many tokens at once, would wait forever: long prompts
// would only ever be refused while the server is busy with short ones. A share
// of the freed tokens is therefore earmarked for the first request in the
// queue, for a bounded time. Guarded by the mu of the ledger.
type longQueue struct {
	waiting       []*waiter
	earmark       int64     // free tokens set aside for waiting[0]
	earmarkStart  time.Time // when the earmark for waiting[0] began; zero if there is none
	cooldownUntil time.Time // until then nothing is earmarked and no oversized request is admitted
	oversized     bool      // a single request above the long share is admitted or has an earmark
}

type waiter struct {
	id          string
	owner       Owner
	tokens      int64
	lastRequest time.Time // time of its last attempt
}

// admitLong admits a long request if its tokens fit now and queues it
// otherwise. The caller must hold mu.
func (l *Ledger) admitLong(now time.Time, id string, owner Owner, tokens int64) error {
	l.pruneQueue(now)
	if l.fitsLong(now, id, tokens) {
		l.dequeue(id)
		if tokens > l.longLimit() {
			l.queue.oversized = true
		}
		return nil
	}
	return l.enqueue(now, id, owner, tokens)
}

// fitsLong reports whether a long request may take its tokens now.
func (l *Ledger) fitsLong(now time.Time, id string, tokens int64) bool {
	earmark, ahead := l.queue.reservedAhead(id)
	if tokens > l.freeTokens()-earmark {
		return false
	}
	if tokens > l.longLimit() {
		return l.longTokens+ahead == 0 && !now.Before(l.queue.cooldownUntil)
	}
	return l.longTokens+ahead+tokens <= l.longLimit()
}

// reservedAhead returns what a long request must leave to the first one in the
// queue: its earmarked tokens, and the part of the long share that it will
// need. Without the second value, smaller long requests would overtake a larger
// one forever.
func (q *longQueue) reservedAhead(id string) (earmark, want int64) {
	if q.earmarkStart.IsZero() || q.waiting[0].id == id {
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
		w.lastRequest = now
		l.startEarmark(now)
		return ErrNoMemory
	}
	if len(l.queue.waiting) >= l.cfg.MaxWaiting {
		return ErrTooManyReservations
	}
	l.queue.waiting = append(l.queue.waiting, &waiter{id: id, owner: owner, tokens: tokens, lastRequest: now})
	l.startEarmark(now)
	return ErrNoMemory
}

// startEarmark starts the earmark for the first request in the queue, with its
// share of the tokens that are free now.
func (l *Ledger) startEarmark(now time.Time) {
	q := &l.queue
	if len(q.waiting) == 0 || !q.earmarkStart.IsZero() || now.Before(q.cooldownUntil) {
		return
	}
	q.earmarkStart = now
	l.growEarmark(l.freeTokens())
}

// growEarmark adds a share of the tokens just freed to the earmark of the first
// request in the queue. The rest is left to short requests, which slow down but
// never stop.
func (l *Ledger) growEarmark(tokens int64) {
	q := &l.queue
	if len(q.waiting) == 0 || q.earmarkStart.IsZero() {
		return
	}
	want := q.waiting[0].tokens
	bound := min(want, max(0, l.longLimit()-l.longTokens))
	if want > l.longLimit() && l.longTokens == 0 {
		bound = want
		q.oversized = true
	}
	share := (tokens*l.cfg.EarmarkSharePercent + 99) / 100
	grown := max(q.earmark, min(q.earmark+share, bound))
	q.earmark = min(grown, l.freeTokens())
}

// pruneQueue drops requests that have stopped retrying, and ends an earmark
// that has lasted too long.
func (l *Ledger) pruneQueue(now time.Time) {
	q := &l.queue
	for i := 0; i < len(q.waiting); {
		if now.Sub(q.waiting[i].lastRequest) > l.cfg.WaitTTL {
			l.removeWaiter(i)
			continue
		}
		i++
	}
	if !q.earmarkStart.IsZero() && now.Sub(q.earmarkStart) > l.cfg.MaxEarmarkTime {
		// The request moves to the end of the queue, so that a request that
		// cannot fit here does not keep memory idle forever.
		first := q.waiting[0]
		l.removeWaiter(0)
		q.waiting = append(q.waiting, first)
		q.cooldownUntil = now.Add(l.cfg.EarmarkCooldown)
	}
	l.startEarmark(now)
}

func (l *Ledger) dequeue(id string) {
	for i, w := range l.queue.waiting {
		if w.id == id {
			l.removeWaiter(i)
			return
		}
	}
}

// removeWaiter removes one waiter. If it is the first one, its earmark is given
// up.
func (l *Ledger) removeWaiter(i int) {
	q := &l.queue
	q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
	if i > 0 || q.earmarkStart.IsZero() {
		return
	}
	q.earmark = 0
	q.earmarkStart = time.Time{}
	l.notifyFreed()
	if l.longTokens <= l.longLimit() {
		q.oversized = false
	}
}

// addLongTokens and subLongTokens maintain the token count of long requests.
func (l *Ledger) addLongTokens(tokens int64) { l.longTokens += tokens }

func (l *Ledger) subLongTokens(now time.Time, tokens int64) {
	l.longTokens -= tokens
	collecting := l.queue.earmark+l.longTokens > l.longLimit()
	if l.queue.oversized && !collecting {
		// Short requests waited for the oversized request; they go first now.
		l.queue.oversized = false
		l.queue.cooldownUntil = now.Add(l.cfg.EarmarkCooldown)
	}
}
