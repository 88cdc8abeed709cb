package workspace

import (
	"context"
	"slices"
	"time"

	"github.com/briarturn/briarturn/request"
)

// maxLooks is the number of turns without room after which a queue gives no further one until
// room is freed. With two, a request whose allowed servers are all full or gone doesn't block
// those for which there is room.
const maxLooks = 2

var (
	_ Turns = (*Scheduler)(nil)
	_ Turn  = (*turn)(nil)
)

// turnState is what a queue by turns needs beside the flows.
type turnState struct {
	holder    *waiter   // has the turn, or nil
	roomFreed bool      // during the turn of the holder
	aside     []*waiter // found no room since it was last freed; maxLooks at most
	given     uint64    // turns so far
	flows     map[uint32]*flow
	debts     debts
	fadedAt   time.Time
	entries   int // live ones
	rate      startRate
	returns   returns
}

func newTurnState(entries int, now time.Time) *turnState {
	return &turnState{entries: entries, flows: map[uint32]*flow{}, debts: debts{}, fadedAt: now, rate: startRate{updated: now}}
}

// free reports whether a request may have the turn.
func (t *turnState) free() bool { return t.holder == nil && len(t.aside) < maxLooks }

// forget removes a waiter that has the turn or is put aside. It reports whether there was one.
func (t *turnState) forget(w *waiter) bool {
	if t.holder == w {
		t.holder = nil
		return true
	}
	i := slices.Index(t.aside, w)
	if i < 0 {
		return false
	}
	t.aside = slices.Delete(t.aside, i, i+1)
	return true
}

// giveTurn gives the turn to the flow's next request.
func (f *flow) giveTurn() *waiter {
	t := f.queue.turns
	w := f.first()
	w.inOrder = len(t.aside) == 0 && !(w.tier == late && f.queue.lateDue())
	f.take(w)
	t.holder, t.roomFreed = w, false
	t.given++
	f.lastTurn = t.given
	return w
}

// open lets requests look for room again that found none.
func (q *queue) open() {
	t := q.turns
	t.roomFreed = true
	for _, w := range t.aside {
		w.flow.insert(w)
	}
	t.aside = nil
}

// tick updates what depends on time and on whether requests wait. It is called before either
// changes.
func (q *queue) tick(now time.Time) {
	if q.turns == nil {
		return
	}
	q.turns.rate.advance(now, q.waiting > 0)
	q.fade(now)
}

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
	q.turns.rate.record(ownStart)
	f.remove(w)
	if w.inOrder {
		q.virtualTime = max(q.virtualTime, f.startTag)
	}
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
