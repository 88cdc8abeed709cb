package workspace

import (
	"container/heap"
	"time"

	"github.com/briarturn/briarturn/request"
)

// Item is a request that asks to be dispatched.
type Item struct {
	Workspace        string
	Pool             string
	Class            request.Class
	Cost             int64         // tokens, prompt and expected output
	PrefillTokens    int64         // the prompt's part of Cost
	ExpectedDuration time.Duration // from dispatch to the end, as estimated
	Deadline         time.Time     // zero: none
	// Priority orders a workspace's requests that wait: each step lets those go
	// first that come up to priorityStep later. Lower is sooner.
	Priority int32
}

// agingFactor is how many times its expected duration a request may be
// overtaken by later ones: one of a second waits behind at most four seconds of
// later arrivals.
const agingFactor = 4

// priorityStep is what one step of priority is worth. It is finite, so that no
// request waits for ever behind those of a sooner class.
const priorityStep = 100 * time.Millisecond

// state of a waiting item.
type state uint8

const (
	waiting state = iota
	granted
	refused
)

// waiter is an Item in a queue. Scheduler.mu guards it, but for done, which is
// closed when state leaves waiting.
type waiter struct {
	Item
	order   time.Time // sooner goes first
	number  uint64    // of arrival, among those of equal order
	ends    time.Time // when it is expected to end, once granted
	index   int       // in its flow's heap
	state   state
	failure *request.Failure
	done    chan struct{}
	flow    *flow
}

func newWaiter(it Item, number uint64, now time.Time) *waiter {
	w := &waiter{Item: it, number: number, done: make(chan struct{})}
	w.order = now.Add(agingFactor*it.ExpectedDuration + time.Duration(it.Priority)*priorityStep)
	if start := w.latestStart(); !start.IsZero() && start.Before(w.order) {
		w.order = start
	}
	return w
}

// latestStart is when the item must be dispatched to end in time; zero if it
// has no deadline.
func (w *waiter) latestStart() time.Time {
	if w.Deadline.IsZero() {
		return time.Time{}
	}
	return w.Deadline.Add(-w.ExpectedDuration)
}

// before says whether w starts before v if both wait in one flow.
func (w *waiter) before(v *waiter) bool {
	if !w.order.Equal(v.order) {
		return w.order.Before(v.order)
	}
	return w.number < v.number
}

// settle ends the waiting.
func (w *waiter) settle(s state, f *request.Failure) {
	w.state = s
	w.failure = f
	close(w.done)
}

// waiters is a heap by order.
type waiters []*waiter

func (h waiters) Len() int           { return len(h) }
func (h waiters) Less(i, j int) bool { return h[i].before(h[j]) }
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
