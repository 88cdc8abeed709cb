package workspace

import (
	"cmp"
	"container/heap"
	"time"

	"github.com/briarturn/briarturn/request"
)

// Item describes a request to be dispatched.
type Item struct {
	Workspace        string
	Pool             string
	Class            request.Class
	Cost             int64         // prompt and expected output tokens
	PrefillTokens    int64         // prompt tokens; part of Cost
	ExpectedDuration time.Duration // estimated time from dispatch to the end
	Deadline         time.Time     // zero: none
	// Priority orders the waiting requests of a workspace; lower values start
	// first. A request whose value is lower by one may arrive up to priorityStep
	// later and still start first.
	Priority int32
	// OnTimeUntil is the latest start with which the request can be on time. After it the
	// request ranks behind those that can still be on time; zero: it has no objective.
	OnTimeUntil time.Time
	// Subject identifies what the request is about, for example the last shared part of its
	// prompt. Subjects of a workspace share its room equally; 0: none.
	Subject uint64
	// ArrivedAt is when the request arrived at this entry, if it is queued later, for example after
	// an attempt that failed; zero: now. It takes the position that it would have had.
	ArrivedAt time.Time
}

// agingFactor limits how long after its arrival other requests may still overtake a
// request, as a multiple of its expected duration: a request of one second waits
// behind arrivals of at most the four seconds after it.
const agingFactor = 4

// priorityStep is the delay in the queue order that one step of priority adds. It is
// finite, so that a steady stream of requests with a higher priority can't starve
// others.
const priorityStep = 100 * time.Millisecond

// state is the state of a waiter.
type state uint8

const (
	waiting state = iota
	granted
	refused
)

// tier ranks the waiters of a queue before all else.
type tier uint8

const (
	onTime tier = iota // can still be on time, or has no objective
	late
	tierCount
)

// waiter is an Item in a queue. Scheduler.mu guards all fields. done is closed when state
// changes from waiting.
type waiter struct {
	Item
	queuedAt    time.Time
	orderTime   time.Time // position in the subject; earlier times start first
	arrival     uint64    // sequence number; breaks ties of orderTime
	expectedEnd time.Time // set when dispatched
	tier        tier      // late only once this was noticed; see isLate
	index       int       // in the heap of its subject and tier
	state       state
	failure     *request.Failure
	done        chan struct{}
	flow        *flow
	subject     *subject
}

func newWaiter(it Item, arrival uint64, now time.Time) *waiter {
	w := &waiter{Item: it, queuedAt: now, arrival: arrival, done: make(chan struct{})}
	arrived := now
	if !it.ArrivedAt.IsZero() && it.ArrivedAt.Before(now) {
		arrived = it.ArrivedAt
	}
	w.orderTime = arrived.Add(agingFactor*it.ExpectedDuration + time.Duration(it.Priority)*priorityStep)
	for _, limit := range []time.Time{w.latestStart(), it.OnTimeUntil} {
		if !limit.IsZero() && limit.Before(w.orderTime) {
			w.orderTime = limit
		}
	}
	return w
}

// isLate reports whether the request can't be on time any more.
func (w *waiter) isLate(now time.Time) bool {
	return !w.OnTimeUntil.IsZero() && now.After(w.OnTimeUntil)
}

// latestStart returns the latest dispatch time at which the item is expected to meet
// its deadline; zero if it has no deadline.
func (w *waiter) latestStart() time.Time {
	if w.Deadline.IsZero() {
		return time.Time{}
	}
	return w.Deadline.Add(-w.ExpectedDuration)
}

// expired reports whether the item can't meet its deadline any more.
func (w *waiter) expired(now time.Time) bool {
	start := w.latestStart()
	return !start.IsZero() && now.After(start)
}

// startsBefore reports whether w starts before v if both wait in the same tier of a subject.
func (w *waiter) startsBefore(v *waiter) bool { return w.compare(v) < 0 }

// compare returns a negative number if w starts before v.
func (w *waiter) compare(v *waiter) int {
	return cmp.Or(w.orderTime.Compare(v.orderTime), cmp.Compare(w.arrival, v.arrival))
}

// resolve sets the final state and wakes the goroutine that waits for it.
func (w *waiter) resolve(s state, f *request.Failure) {
	w.state = s
	w.failure = f
	close(w.done)
}

// waiters is a heap ordered by startsBefore.
type waiters []*waiter

func (h waiters) Len() int           { return len(h) }
func (h waiters) Less(i, j int) bool { return h[i].startsBefore(h[j]) }
func (h waiters) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *waiters) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *waiters) Pop() any {
	old := *h
	last := len(old) - 1
	w := old[last]
	old[last] = nil
	*h = old[:last]
	return w
}

var _ heap.Interface = (*waiters)(nil)
