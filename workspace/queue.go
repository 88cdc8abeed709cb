package workspace

import (
	"cmp"
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
	turns         *turnState // nil: requests start while the window has room
	running       int
	tokens        int64
	prefillTokens int64 // of running requests without a first output token
	waiting       int
	queued        [tierCount]int // in all flows
	virtualTime   float64        // start tag of the last dispatch, in tokens divided by weight
	maxStartTag   float64        // maximum over all flows
	flows         map[string]*flow
	onTimeStarts  int // since the last start of a late request
	// expectedEnds is the sum of the durations from epoch to the expected end of each
	// running request. It gives the mean remaining time of the running requests.
	epoch        time.Time
	expectedEnds time.Duration
}

// lateStartInterval is the number of starts of which one is given to a late request while some
// wait. An eighth of the room keeps late requests moving, and costs those that can still be on
// time no more than that however many are late.
const lateStartInterval = 8

// flow holds the requests of one workspace in a queue.
type flow struct {
	ws          *workspace
	queue       *queue
	waiting     int                 // queued, or with the turn or put aside in a queue by turns
	queued      [tierCount]int      // in the heaps of the subjects
	subjects    map[uint64]*subject // by Item.Subject
	subjectTime float64             // virtual time of the subjects: start tag of the last one that started
	startTag    float64             // start tag of the next dispatch; in a queue by turns the usage
	lastTurn    uint64              // number of its last turn in a queue by turns
	lastLate    uint64              // number of the last one of a late request that started
}

func newQueue(c Capacity, now time.Time) *queue {
	return &queue{capacity: c, flows: map[string]*flow{}, epoch: now}
}

// hasRoom reports whether another request may be granted.
func (q *queue) hasRoom() bool {
	if q.turns != nil {
		return q.isFree()
	}
	return q.running < q.capacity.Slots && underLimit(q.tokens, q.capacity.Tokens) && underLimit(q.prefillTokens, q.capacity.PrefillTokens)
}

// underLimit reports whether used is below limit; a limit of 0 means no limit.
func underLimit(used, limit int64) bool { return limit <= 0 || used < limit }

// flow returns the flow of a workspace. A new flow starts at the current virtual
// time, so that an idle workspace accumulates no credit.
func (q *queue) flow(ws *workspace) *flow {
	f := q.flows[ws.name]
	if f == nil {
		f = &flow{ws: ws, queue: q, startTag: q.virtualTime, subjects: map[uint64]*subject{}}
		q.flows[ws.name] = f
		if q.turns != nil {
			f.startTag = q.turns.usages.take(ws.key)
			q.turns.flows[ws.key] = f
		}
	}
	return f
}

// drop deletes a flow.
func (f *flow) drop() {
	delete(f.queue.flows, f.ws.name)
	if f.queue.turns != nil {
		delete(f.queue.turns.flows, f.ws.key)
	}
}

// push adds a waiter to the queue.
func (f *flow) push(w *waiter) {
	if f.waiting == 0 {
		f.startTag = max(f.startTag, f.queue.virtualTime)
	}
	w.flow = f
	f.insert(w)
	f.waiting++
	f.ws.waiting++
	f.queue.waiting++
}

// insert adds a waiter to the heap of its subject and tier.
func (f *flow) insert(w *waiter) {
	w.subject = f.subject(w.Subject)
	w.subject.activate(f.subjectTime)
	heap.Push(&w.subject.queued[w.tier], w)
	f.queued[w.tier]++
	f.queue.queued[w.tier]++
}

// take removes a waiter from the heap of its subject and tier.
func (f *flow) take(w *waiter) {
	heap.Remove(&w.subject.queued[w.tier], w.index)
	f.queued[w.tier]--
	f.queue.queued[w.tier]--
}

// remove removes a waiter from the queue.
func (f *flow) remove(w *waiter) {
	if f.queue.turns == nil || !f.queue.turns.forget(w) {
		f.take(w)
	}
	f.waiting--
	f.ws.waiting--
	f.queue.waiting--
	f.dropIdleSubjects()
}

// nextFlow returns the flow that starts a request next, or nil. It drops idle flows whose
// start tag the virtual time has reached.
func (q *queue) nextFlow() *flow {
	var best *flow
	for _, f := range q.flows {
		if f.waiting == 0 {
			f.dropIfIdle()
			continue
		}
		if f.queued[onTime]+f.queued[late] == 0 || f.ws.running >= f.ws.concurrency {
			continue
		}
		if best == nil || f.startsBefore(best) {
			best = f
		}
	}
	return best
}

// demote moves a request that has become late to the late ones. It reports whether it did.
func (f *flow) demote(w *waiter, now time.Time) bool {
	if f.queue.turns == nil || w.tier == late || !w.isLate(now) {
		return false
	}
	f.take(w)
	w.tier = late
	f.insert(w)
	f.queue.turns.noteLate(now)
	return true
}

// startsBefore reports whether f is served before g. The name breaks ties, so that the order is
// deterministic.
func (f *flow) startsBefore(g *flow) bool {
	return cmp.Or(f.compareTurns(g), cmp.Compare(f.startTag, g.startTag), cmp.Compare(f.ws.name, g.ws.name)) < 0
}

// compareTurns compares what comes before the start tags in a queue by turns: a late request that
// is due, then the tier. After a request has found no room, the workspace looks that has not done
// so for longest.
func (f *flow) compareTurns(g *flow) int {
	t := f.queue.turns
	if t == nil {
		return 0
	}
	if len(t.aside) > 0 {
		return cmp.Or(cmp.Compare(f.nextTier(), g.nextTier()), compareBool(f.overShare(), g.overShare()), cmp.Compare(f.lastTurn, g.lastTurn))
	}
	if f.lateDue() && g.lateDue() {
		return cmp.Compare(f.lastLate, g.lastLate)
	}
	return cmp.Or(compareBool(g.lateDue(), f.lateDue()), cmp.Compare(f.nextTier(), g.nextTier()))
}

// compareBool returns a negative number if only b is true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// lateDue reports whether the next start of the queue is due to a late request and the flow may
// have it: a workspace gets no more than its share for being late. If one has just found no room,
// it is the turn of those on time.
func (f *flow) lateDue() bool {
	return f.queued[late] > 0 && f.queue.onTimeStarts >= lateStartInterval-1 && !f.overShare() && len(f.queue.turns.aside) == 0
}

// nextTier returns the tier of the flow's next request.
func (f *flow) nextTier() tier {
	if f.queued[onTime] == 0 || f.lateDue() {
		return late
	}
	return onTime
}

// first returns the flow's next request: the first one of the subject with the lowest start tag.
func (f *flow) first() *waiter {
	t := f.nextTier()
	var best *subject
	for _, s := range f.subjects {
		if len(s.queued[t]) > 0 && (best == nil || s.startsBefore(best)) {
			best = s
		}
	}
	return best.queued[t][0]
}

// start dispatches the first waiter of the flow.
func (f *flow) start(now time.Time) *waiter {
	w := f.first()
	f.remove(w)
	f.queue.virtualTime = max(f.queue.virtualTime, f.startTag)
	f.begin(w, now)
	return w
}

// begin counts a request that has left the queue as running.
func (f *flow) begin(w *waiter, now time.Time) {
	q := f.queue
	f.countTier(w.tier)
	f.charge(w.Cost)
	f.subjectTime = max(f.subjectTime, w.subject.startTag)
	w.subject.startTag += float64(w.Cost)
	q.running++
	q.tokens += w.Cost
	q.prefillTokens += w.PrefillTokens
	w.expectedEnd = now.Add(w.ExpectedDuration)
	q.expectedEnds += w.expectedEnd.Sub(q.epoch)
	f.ws.running++
}

// countTier counts a start of the tier towards the next start of a late request.
func (f *flow) countTier(t tier) {
	q := f.queue
	if t == late {
		q.onTimeStarts = 0
		f.lastLate = q.turns.given
		return
	}
	q.onTimeStarts = min(q.onTimeStarts+1, lateStartInterval)
}

// charge advances the flow's start tag by the tokens used. A negative value refunds
// tokens that were charged and not used.
func (f *flow) charge(tokens int64) {
	q, usage := f.queue, float64(tokens)/f.ws.policy.Weight
	if q.turns != nil {
		usage = max(usage, -f.startTag) // what is refunded has faded
		q.turns.usageSum += usage
	}
	f.startTag += usage
	q.maxStartTag = max(q.maxStartTag, f.startTag)
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
	w.subject.startTag += float64(used - w.Cost)
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
	if q.turns == nil && q.running == 0 && q.waiting == 0 {
		q.virtualTime = q.maxStartTag
		clear(q.flows)
	}
}

// dropIfIdle deletes an idle flow whose start tag the virtual time has reached, so
// that the number of flows is bounded by the number of active workspaces. A queue by turns
// keeps the usage of the workspace.
func (f *flow) dropIfIdle() {
	switch {
	case f.waiting > 0 || f.ws.running > 0:
	case f.queue.turns != nil:
		f.queue.turns.usages.put(f.ws.key, f.startTag)
		f.drop()
	case f.startTag <= f.queue.virtualTime:
		f.drop()
	}
}

// estimatedWait estimates how long a new item would wait: until one running request
// ends, and then for the items before it in its own workspace, all divided by the
// workspace's share of the slots.
func (q *queue) estimatedWait(f *flow, w *waiter, now time.Time) time.Duration {
	if q.turns != nil {
		return q.estimatedTurn(f, w, now)
	}
	if q.hasRoom() && f.waiting == 0 {
		return 0
	}
	ahead := q.meanRemaining(now)
	for _, s := range f.subjects {
		for _, other := range s.queued[onTime] {
			if other.startsBefore(w) {
				ahead += other.ExpectedDuration
			}
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
		if other != f && other.waiting > 0 {
			sum += other.ws.policy.Weight
		}
	}
	return f.ws.policy.Weight / sum
}
