package workspace

import (
	"container/heap"
	"time"
)

// Capacity is the dispatch window of a length class of a pool at this entry.
type Capacity struct {
	Slots int // requests in progress
	// Tokens in progress. A request starts while less than this is in use, even
	// if it takes more than the rest: the window bounds what is sent, the agent
	// decides what fits, and no request is too large ever to start.
	Tokens int64
	// PrefillTokens is the prompt tokens that may wait for their first output token
	// at a time, by the same rule; zero means no bound. It keeps the queue here,
	// where order and fairness are decided, and not at the engines.
	PrefillTokens int64
}

// queue is what waits for and runs on one pool, of one length class.
type queue struct {
	capacity Capacity
	running  int
	tokens   int64
	prefill  int64 // prompt tokens without a first output token
	waiting  int
	virtual  float64 // start tag of the last dispatch, tokens per weight
	latest   float64 // greatest start tag of all flows
	flows    map[string]*flow
	// began and ends give the mean remaining time of what runs: ends is the sum,
	// over it, of the time from began to its expected end.
	began time.Time
	ends  time.Duration
}

// flow is one workspace's part of a queue.
type flow struct {
	ws      *workspace
	queue   *queue
	waiting waiters
	next    float64 // start tag of the next dispatch
}

func newQueue(c Capacity, now time.Time) *queue {
	return &queue{capacity: c, flows: map[string]*flow{}, began: now}
}

// hasRoom says whether another request may start.
func (q *queue) hasRoom() bool {
	return q.running < q.capacity.Slots && below(q.tokens, q.capacity.Tokens) && below(q.prefill, q.capacity.PrefillTokens)
}

// below reports whether less than a limit is in use; 0 is no limit.
func below(used, limit int64) bool { return limit <= 0 || used < limit }

// flow returns the flow of a workspace, which begins at the present virtual
// time: time in which it asked for nothing earns no credit.
func (q *queue) flow(ws *workspace) *flow {
	f := q.flows[ws.name]
	if f == nil {
		f = &flow{ws: ws, queue: q, next: q.virtual}
		q.flows[ws.name] = f
	}
	return f
}

// push queues a waiter.
func (f *flow) push(w *waiter) {
	if len(f.waiting) == 0 {
		f.next = max(f.next, f.queue.virtual)
	}
	w.flow = f
	heap.Push(&f.waiting, w)
	f.ws.waiting++
	f.queue.waiting++
}

// remove takes a waiter out of the queue.
func (f *flow) remove(w *waiter) {
	heap.Remove(&f.waiting, w.index)
	f.ws.waiting--
	f.queue.waiting--
}

// least returns the flow with the least start tag among those that may start a
// request, or nil. Ties go to the name, so that runs repeat. It drops the idle
// flows whose debt has been paid by the passing of virtual time.
func (q *queue) least() *flow {
	var best *flow
	for _, f := range q.flows {
		if len(f.waiting) == 0 {
			f.dropIfIdle()
			continue
		}
		if f.ws.running >= f.ws.concurrency {
			continue
		}
		if best == nil || f.before(best) {
			best = f
		}
	}
	return best
}

func (f *flow) before(g *flow) bool {
	if f.next != g.next {
		return f.next < g.next
	}
	return f.ws.name < g.ws.name
}

// start dispatches the flow's first waiter.
func (f *flow) start(now time.Time) *waiter {
	w := f.waiting[0]
	f.remove(w)
	q := f.queue
	q.virtual = max(q.virtual, f.next)
	f.charge(w.Cost)
	q.running++
	q.tokens += w.Cost
	q.prefill += w.PrefillTokens
	w.ends = now.Add(w.ExpectedDuration)
	q.ends += w.ends.Sub(q.began)
	f.ws.running++
	return w
}

// charge moves the flow's next start tag by tokens used, or back by tokens that
// were charged and not used.
func (f *flow) charge(tokens int64) {
	f.next += float64(tokens) / f.ws.policy.Weight
	f.queue.latest = max(f.queue.latest, f.next)
}

// end frees what a dispatched request took and corrects its charge.
func (f *flow) end(w *waiter, used int64) {
	q := f.queue
	q.running--
	q.tokens -= w.Cost
	q.prefilled(w)
	q.ends -= w.ends.Sub(q.began)
	f.ws.running--
	f.charge(used - w.Cost)
	q.settleIfIdle()
	f.dropIfIdle()
}

// prefilled notes that a request has its first output token, or ended.
func (q *queue) prefilled(w *waiter) {
	q.prefill -= w.PrefillTokens
	w.PrefillTokens = 0
}

// settleIfIdle ends a busy period: nobody waits for what others used in it, so
// that no flow keeps a debt.
func (q *queue) settleIfIdle() {
	if q.running == 0 && q.waiting == 0 {
		q.virtual = q.latest
		clear(q.flows)
	}
}

// dropIfIdle forgets a flow that holds no debt, so that the number of flows is
// bounded by the workspaces that are active.
func (f *flow) dropIfIdle() {
	if len(f.waiting) == 0 && f.ws.running == 0 && f.next <= f.queue.virtual {
		delete(f.queue.flows, f.ws.name)
	}
}

// wait estimates how long a new item would wait: until one running request
// ends, then for what stands before it in its own workspace, all served by the
// workspace's share of the slots.
func (q *queue) wait(f *flow, w *waiter, now time.Time) time.Duration {
	if q.hasRoom() && len(f.waiting) == 0 {
		return 0
	}
	ahead := q.remaining(now)
	for _, other := range f.waiting {
		if other.before(w) {
			ahead += other.ExpectedDuration
		}
	}
	slots := float64(max(1, q.parallel())) * q.shareOf(f)
	return time.Duration(float64(ahead) / slots)
}

// parallel returns how many requests run at a time: as many as now where the
// window is full before its slots are.
func (q *queue) parallel() int {
	if q.hasRoom() {
		return q.capacity.Slots
	}
	return min(q.running, q.capacity.Slots)
}

// remaining returns the mean remaining time of what runs.
func (q *queue) remaining(now time.Time) time.Duration {
	if q.running == 0 {
		return 0
	}
	mean := q.ends / time.Duration(q.running)
	return max(0, mean-now.Sub(q.began))
}

// shareOf returns the part of the pool that a flow has by its weight against
// the flows that wait.
func (q *queue) shareOf(f *flow) float64 {
	sum := f.ws.policy.Weight
	for _, other := range q.flows {
		if other != f && len(other.waiting) > 0 {
			sum += other.ws.policy.Weight
		}
	}
	return f.ws.policy.Weight / sum
}
