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

const (
	// yieldPerEntry gives the time for which requests leave freed room to other entries, by the
	// number of entries: of all entries' requests that do so, one looks in the time that news of a
	// start takes to reach the others.
	yieldPerEntry = 5 * time.Millisecond
	// minYield and maxYield bound this time: several times what news take, and short against the
	// seconds that late requests wait.
	minYield = 20 * time.Millisecond
	maxYield = 100 * time.Millisecond
	// shortageTime is how long after a turn without room a queue counts as short of room.
	shortageTime = 200 * time.Millisecond
)

var (
	_ Turns = (*Scheduler)(nil)
	_ Turn  = (*turn)(nil)
)

// turnState is what a queue by turns needs beside the flows.
type turnState struct {
	holder    *waiter   // has the turn, or nil
	roomFreed bool      // during the turn of the holder
	aside     []*waiter // found no room since it was last freed; maxLooks + 1 at most
	given     uint64    // turns so far
	yielding  bool      // the next request yields room to other entries
	yielded   bool      // it has yielded
	fullAt    time.Time // last turn without room
	lateSince time.Time // late requests have waited since then without a break; zero: none wait
	lastLate  time.Time // when the last of them became late
	flows     map[uint32]*flow
	usages    usages
	usageSum  float64 // of all workspaces
	known     int     // workspaces that it is the sum of
	fadedAt   time.Time
	checkedAt time.Time // whether late requests can still be served
	entries   int       // live ones
	rate      startRate
	returns   returns
}

func newTurnState(entries int, now time.Time) *turnState {
	return &turnState{entries: entries, flows: map[uint32]*flow{}, usages: usages{}, fadedAt: now, rate: startRate{updated: now}}
}

// isFree reports whether a request may have the turn. One that can still be on time looks also
// after late ones have found no room: there may be some for which they are too late.
func (q *queue) isFree() bool {
	t := q.turns
	if t.holder != nil {
		return false
	}
	return len(t.aside) < maxLooks || q.queued[onTime] > 0 && !t.hasAside(onTime)
}

// hasAside reports whether a request of a tier is put aside.
func (t *turnState) hasAside(tier tier) bool {
	return slices.ContainsFunc(t.aside, func(w *waiter) bool { return w.tier == tier })
}

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

// noteLate records that a request has become late.
func (t *turnState) noteLate(now time.Time) {
	if t.lateSince.IsZero() {
		t.lateSince = now
	}
	t.lastLate = now
}

// expectedShortage returns for how long requests are expected to become late yet: for as long as
// they have so far, less the time since the last one did.
func (t *turnState) expectedShortage(now time.Time) time.Duration {
	return max(0, t.lastLate.Sub(t.lateSince)-now.Sub(t.lastLate))
}

// giveTurn gives the turn to the flow's next request.
func (f *flow) giveTurn() *waiter {
	t := f.queue.turns
	w := f.first()
	f.take(w)
	t.holder, t.roomFreed = w, false
	t.yielded = false
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
	if q.queued[late] == 0 {
		q.turns.lateSince = time.Time{}
	}
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

// yieldsRoom reports whether the next request of a queue leaves room to other entries at first,
// where requests may wait that go before it. After yieldTime such requests look for the room that
// is left, until there is none.
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

// yieldTime returns for how long requests leave freed room to other entries.
func yieldTime(entries int) time.Duration {
	return min(max(minYield, time.Duration(entries)*yieldPerEntry), maxYield)
}

// yields reports whether requests that go before the next one may wait at other entries: it is
// late and not due, or room is short and its workspace is over its share.
func (q *queue) yields(next *waiter, now time.Time) bool {
	if next.tier == late {
		return !next.flow.lateDue()
	}
	return now.Sub(q.turns.fullAt) < shortageTime && next.flow.overShare()
}

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
