package workspace

import (
	"container/heap"
	"time"
)

// Capacity is the dispatch window of one length class of a pool at this entry.
type Capacity struct {
	Slots int // maximum requests in progress
	// Tokens limits the tokens in progress. A request starts while fewer are in use,
	// even if it exceeds the limit: the window limits what is sent, the agent decides
	// what fits, and a request of any size can start.
	Tokens int64
	// PrefillTokens limits, by the same rule, the prompt tokens of dispatched requests
	// that have no first output token yet; zero means no limit. It keeps requests in
	// this queue, which applies order and fairness, and out of the engines' queues.
	PrefillTokens int64
}

// queue holds the waiting and running requests of one length class of one pool.
type queue struct {
	capacity      Capacity
	running       int
	tokens        int64
	prefillTokens int64 // of running requests without a first output token
	waiting       int
	virtualTime   float64 // start tag of the last dispatch, in tokens divided by weight
	maxStartTag   float64 // maximum over all flows
	flows         map[string]*flow
	// expectedEnds is the sum of the durations from epoch to the expected end of each
	// running request. It gives the mean remaining time of the running requests.
	epoch        time.Time
	expectedEnds time.Duration
}

// flow holds the requests of one workspace in a queue.
type flow struct {
	ws       *workspace
	queue    *queue
	waiting  waiters
	startTag float64 // start tag of the next dispatch
}

func newQueue(c Capacity, now time.Time) *queue {
	return &queue{capacity: c, flows: map[string]*flow{}, epoch: now}
}

// hasRoom reports whether another request may start.
func (q *queue) hasRoom() bool {
	return q.running < q.capacity.Slots && underLimit(q.tokens, q.capacity.Tokens) && underLimit(q.prefillTokens, q.capacity.PrefillTokens)
}

// underLimit reports whether used is below limit; a limit of 0 means no limit.
func underLimit(used, limit int64) bool { return limit <= 0 || used < limit }

// flow returns the flow of a workspace. A new flow starts at the current virtual
// time, so that an idle workspace accumulates no credit.
func (q *queue) flow(ws *workspace) *flow {
	f := q.flows[ws.name]
	if f == nil {
		f = &flow{ws: ws, queue: q, startTag: q.virtualTime}
		q.flows[ws.name] = f
	}
	return f
}

// push adds a waiter to the queue.
func (f *flow) push(w *waiter) {
	if len(f.waiting) == 0 {
		f.startTag = max(f.startTag, f.queue.virtualTime)
	}
	w.flow = f
	heap.Push(&f.waiting, w)
	f.ws.waiting++
	f.queue.waiting++
}

// remove removes a waiter from the queue.
func (f *flow) remove(w *waiter) {
	heap.Remove(&f.waiting, w.index)
	f.ws.waiting--
	f.queue.waiting--
}

// nextFlow returns the flow with the lowest start tag among those that may start a
// request, or nil. Ties are broken by name, so that the order is deterministic. It
// drops idle flows whose start tag the virtual time has reached.
func (q *queue) nextFlow() *flow {
	var best *flow
	for _, f := range q.flows {
		if len(f.waiting) == 0 {
			f.dropIfIdle()
			continue
		}
		if f.ws.running >= f.ws.concurrency {
			continue
		}
		if best == nil || f.startsBefore(best) {
			best = f
		}
	}
	return best
}

// startsBefore reports whether f is served before g.
func (f *flow) startsBefore(g *flow) bool {
	if f.startTag != g.startTag {
		return f.startTag < g.startTag
	}
	return f.ws.name < g.ws.name
}

// start dispatches the first waiter of the flow.
func (f *flow) start(now time.Time) *waiter {
	w := f.waiting[0]
	f.remove(w)
	q := f.queue
	q.virtualTime = max(q.virtualTime, f.startTag)
	f.charge(w.Cost)
	q.running++
	q.tokens += w.Cost
	q.prefillTokens += w.PrefillTokens
	w.expectedEnd = now.Add(w.ExpectedDuration)
	q.expectedEnds += w.expectedEnd.Sub(q.epoch)
	f.ws.running++
	return w
}

// charge advances the flow's start tag by the tokens used. A negative value refunds
// tokens that were charged and not used.
func (f *flow) charge(tokens int64) {
	f.startTag += float64(tokens) / f.ws.policy.Weight
	f.queue.maxStartTag = max(f.queue.maxStartTag, f.startTag)
}

// finish releases the capacity of a dispatched request and corrects its charge to the
// tokens used.
func (f *flow) finish(w *waiter, used int64) {
	q := f.queue
	q.running--
	q.tokens -= w.Cost
	q.prefillDone(w)
	q.expectedEnds -= w.expectedEnd.Sub(q.epoch)
	f.ws.running--
	f.charge(used - w.Cost)
	q.resetIfIdle()
	f.dropIfIdle()
}

// prefillDone releases the prefill window of a request that has its first output
// token or has ended.
func (q *queue) prefillDone(w *waiter) {
	q.prefillTokens -= w.PrefillTokens
	w.PrefillTokens = 0
}

// resetIfIdle ends a busy period when nothing runs or waits: it advances the virtual
// time to the highest start tag and drops all flows, so that no flow carries its
// charges into the next busy period.
func (q *queue) resetIfIdle() {
	if q.running == 0 && q.waiting == 0 {
		q.virtualTime = q.maxStartTag
		clear(q.flows)
	}
}

// dropIfIdle deletes an idle flow whose start tag the virtual time has reached, so
// that the number of flows is bounded by the number of active workspaces.
func (f *flow) dropIfIdle() {
	if len(f.waiting) == 0 && f.ws.running == 0 && f.startTag <= f.queue.virtualTime {
		delete(f.queue.flows, f.ws.name)
	}
}

// estimatedWait estimates how long a new item would wait: until one running request
// ends, and then for the items before it in its own workspace, all divided by the
// workspace's share of the slots.
func (q *queue) estimatedWait(f *flow, w *waiter, now time.Time) time.Duration {
	if q.hasRoom() && len(f.waiting) == 0 {
		return 0
	}
	ahead := q.meanRemaining(now)
	for _, other := range f.waiting {
		if other.startsBefore(w) {
			ahead += other.ExpectedDuration
		}
	}
	slots := float64(max(1, q.effectiveSlots())) * q.weightShare(f)
	return time.Duration(float64(ahead) / slots)
}

// effectiveSlots returns how many requests run concurrently: the number running now
// if the window is full before all slots are used, otherwise the number of slots.
func (q *queue) effectiveSlots() int {
	if q.hasRoom() {
		return q.capacity.Slots
	}
	return min(q.running, q.capacity.Slots)
}

// meanRemaining returns the mean expected remaining time of the running requests.
func (q *queue) meanRemaining(now time.Time) time.Duration {
	if q.running == 0 {
		return 0
	}
	mean := q.expectedEnds / time.Duration(q.running)
	return max(0, mean-now.Sub(q.epoch))
}

// weightShare returns the fraction of the pool that a flow gets by its weight among
// the waiting flows.
func (q *queue) weightShare(f *flow) float64 {
	sum := f.ws.policy.Weight
	for _, other := range q.flows {
		if other != f && len(other.waiting) > 0 {
			sum += other.ws.policy.Weight
		}
	}
	return f.ws.policy.Weight / sum
}
