package workspace

import (
	"context"
	"slices"
	"time"

	"github.com/briarturn/briarturn/request"
)

var (
	_ Turns = (*Scheduler)(nil)
	_ Turn  = (*turn)(nil)
)

// AwaitTurn implements Turns.
func (s *Scheduler) AwaitTurn(ctx context.Context, it Item) (Turn, *request.Failure) {
	w, f := s.enqueueIn(queueKey{pool: it.Pool, class: it.Class, byTurns: true}, it)
	if f != nil {
		return nil, s.countRefusal(f)
	}
	s.await(ctx, w, nil)
	if w.failure != nil {
		return nil, s.countRefusal(w.failure)
	}
	return &turn{scheduler: s, waiter: w}, nil
}

// RoomFreed implements Turns.
func (s *Scheduler) RoomFreed(pool string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for class := range request.ClassCount {
		if q := s.queues[queueKey{pool: pool, class: class, byTurns: true}]; q != nil {
			q.open()
			s.dispatch(q)
		}
	}
}

// yieldsRoom reports whether the next request of a queue leaves room to other entries at first,
// where requests may wait that go before it. After yieldTime one such request looks for the room
// that is left.
func (s *Scheduler) yieldsRoom(q *queue, next *waiter) bool {
	t := q.turns
	if s.entries == 1 || t.yielded || !q.yields(next, s.now()) {
		return false
	}
	if !t.yielding {
		t.yielding = true
		s.afterFunc(yieldTime(s.entries), func() { s.endYield(q) })
	}
	return true
}

// endYield lets the next request of a queue look though it yields room.
func (s *Scheduler) endYield(q *queue) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q.turns.yielding, q.turns.yielded = false, true
	q.open()
	s.dispatch(q)
}

// lookAgain lets an item that found no room look again.
func (s *Scheduler) lookAgain(w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := w.flow.queue
	if slices.Contains(q.turns.aside, w) {
		q.open()
		s.dispatch(q)
	}
}

// turn implements Turn.
type turn struct {
	scheduler *Scheduler
	waiter    *waiter
	ended     bool // guarded by scheduler.mu
}

// Started implements Turn.
func (t *turn) Started() Ticket {
	s, w := t.scheduler, t.waiter
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.ended {
		return Ticket{}
	}
	t.ended = true
	now := s.now()
	f, q := w.flow, w.flow.queue
	q.tick(now)
	if w.tier == late {
		q.turns.rate.record(ownLate)
	} else {
		q.turns.rate.record(ownOnTime)
	}
	f.remove(w)
	f.begin(w, now)
	s.dispatch(q)
	return Ticket{&grant{scheduler: s, waiter: w}}
}

// Wait implements Turn.
func (t *turn) Wait(ctx context.Context, atMost time.Duration) *request.Failure {
	if !t.putAside() {
		return newRefusal(request.StatusServiceUnavailable, ReasonClosed, 0)
	}
	timer := time.NewTimer(atMost)
	defer timer.Stop()
	t.scheduler.await(ctx, t.waiter, timer.C)
	if t.waiter.failure == nil {
		return nil
	}
	t.scheduler.mu.Lock()
	t.ended = true
	t.scheduler.mu.Unlock()
	return t.scheduler.countRefusal(t.waiter.failure)
}

// putAside ends the turn without room. It returns false if there is no turn.
func (t *turn) putAside() bool {
	s, w := t.scheduler, t.waiter
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.ended {
		return false
	}
	if s.closed {
		t.leave()
		return false
	}
	q := w.flow.queue
	w.state = waiting
	w.done = make(chan struct{})
	q.turns.holder = nil
	q.turns.fullAt = s.now()
	q.turns.aside = append(q.turns.aside, w)
	if q.turns.roomFreed {
		q.open()
	}
	s.dispatch(q)
	return true
}

// Leave implements Turn.
func (t *turn) Leave() {
	t.scheduler.mu.Lock()
	defer t.scheduler.mu.Unlock()
	if !t.ended {
		t.leave()
	}
}

// leave ends the turn and removes the item. The caller holds mu.
func (t *turn) leave() {
	s, f := t.scheduler, t.waiter.flow
	t.ended = true
	f.queue.tick(s.now())
	f.remove(t.waiter)
	f.dropIfIdle()
	s.dispatch(f.queue)
}
