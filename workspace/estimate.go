package workspace

import (
	"time"
)

const (
	// DefaultMaxWaiting is the number of requests that may wait in a queue by turns.
	DefaultMaxWaiting = 4_096

	// minReturnDelay is the least delay after which a refused caller may return: sooner, the same
	// servers are still full.
	minReturnDelay = 200 * time.Millisecond
	// maxReturnDelay is the longest such delay. Shortages of room that last longer are looked at
	// anew, and callers give up after about as long.
	maxReturnDelay = 10 * time.Second
	// unknownReturnDelay applies while the rate of starts isn't known.
	unknownReturnDelay = 500 * time.Millisecond
	// returnSpread is the part of a delay by which it may be longer or shorter, so that callers
	// that were refused together don't return together.
	returnSpread = 0.25
)

// exceedsDepth reports whether the queue is too long for another request of the flow. The second
// half of the queue is kept for workspaces that have less than their equal part of it, so that a
// single one can't fill it.
func (f *flow) exceedsDepth() bool {
	q := f.queue
	if q.waiting >= DefaultMaxWaiting {
		return true
	}
	return q.waiting >= DefaultMaxWaiting/2 && f.waiting*len(q.flows) >= DefaultMaxWaiting/2
}

// estimatedTurn estimates how long a new item would wait for its turn: for one start more than
// those before it, at the observed rate; 0 if nothing waits or the rate isn't known.
func (q *queue) estimatedTurn(f *flow, w *waiter, now time.Time) time.Duration {
	perSecond := q.turns.rate.perSecond(q.turns.entries)
	if q.waiting == 0 || perSecond == 0 {
		return 0
	}
	return seconds(float64(q.startsBefore(f, w, now)+1) / perSecond)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// startsBefore estimates how many of the waiting requests start before w, a request of flow f
// that may be queued or new.
func (q *queue) startsBefore(f *flow, w *waiter, now time.Time) int {
	t := onTime
	if w.isLate(now) {
		t = late
	}
	own := f.startsBeforeInFlow(w, t)
	ahead, onTimeAhead := own, 0
	for _, g := range q.flows {
		onTimeAhead += g.queued[onTime]
		if g != f {
			ahead += min(g.queued[t], int(float64(own+1)*g.ws.policy.Weight/f.ws.policy.Weight))
		}
	}
	if t == late {
		ahead = min(ahead+onTimeAhead, (ahead+1)*lateStartInterval)
	}
	return ahead + len(q.turns.aside)
}

// startsBeforeInFlow is the same for the requests of the flow and a tier.
func (f *flow) startsBeforeInFlow(w *waiter, t tier) int {
	own := 0
	if s := f.subjects[w.Subject]; s != nil {
		for _, other := range s.queued[t] {
			if other.startsBefore(w) {
				own++
			}
		}
	}
	ahead := own
	for id, s := range f.subjects {
		if id != w.Subject {
			ahead += min(len(s.queued[t]), own+1)
		}
	}
	return ahead
}

// EstimatedWait implements Turns.
func (s *Scheduler) EstimatedWait(it Item) time.Duration {
	return s.estimate(it, func(q *queue, f *flow, w *waiter, now time.Time) time.Duration {
		return q.estimatedWait(f, w, now)
	})
}

// RetryAfter implements Turns.
func (s *Scheduler) RetryAfter(it Item) time.Duration {
	return s.estimate(it, s.returnDelay)
}

// estimate calls an estimator for an item that isn't queued.
func (s *Scheduler) estimate(it Item, estimator func(*queue, *flow, *waiter, time.Time) time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	q := s.queue(queueKey{pool: it.Pool, class: it.Class, byTurns: true})
	q.tick(now)
	f := q.flow(s.workspace(it.Workspace))
	defer f.dropIfIdle()
	return estimator(q, f, newWaiter(it, s.arrivals+1, now), now)
}

// returns gives refused callers times to return, one after the other at the rate at which the
// queue starts requests.
type returns struct {
	next time.Time // for the next caller
}

// delay returns the delay for a caller that would wait for the given time now. random is from 0
// to 1.
func (r *returns) delay(wait time.Duration, perSecond float64, now time.Time, random float64) time.Duration {
	delay := unknownReturnDelay
	if perSecond > 0 {
		at := now.Add(wait)
		if r.next.After(at) {
			at = r.next
		}
		if latest := now.Add(maxReturnDelay); at.After(latest) {
			at = latest
		}
		r.next = at.Add(seconds(1 / perSecond))
		delay = max(minReturnDelay, at.Sub(now))
	}
	return time.Duration(float64(delay) * (1 + returnSpread*(2*random-1)))
}
