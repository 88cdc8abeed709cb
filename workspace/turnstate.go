package workspace

import (
	"slices"
	"time"
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
