package placement

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// A simulation of a whole fleet in virtual time: entries that learn of each other's
// attempts with a delay, engines that prefill and decode in passes on a model of their own,
// and callers. It checks what callers get from the decisions of this package alone, without
// a network. Memory, failures and callers that retry are not simulated.

// simEvent is a scheduled action.
type simEvent struct {
	at  time.Time
	seq int // orders events with the same time
	do  func()
}

// simEvents is a heap of events ordered by time.
type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simFleet is a simulated fleet.
type simFleet struct {
	engine  *EngineProfile
	now     time.Time
	seq     int
	events  simEvents
	random  *rand.Rand
	entries []*simEntry
	servers map[string]*simServer
	options []Candidate
	callers []*simCaller
	// dispatchDelay is the time from a placement to the arrival of its parts, and
	// announceDelay the time from an entry to the others.
	dispatchDelay, announceDelay time.Duration
	// hideDeadline hides the callers' deadlines from the entries.
	hideDeadline bool
	// queued makes requests without room wait in the queue of their entry.
	queued bool
}

// simEntry is a simulated entry. It implements AttemptPublisher and announces attempts to
// the other entries with a delay.
type simEntry struct {
	fleet   *simFleet
	ledger  *Ledger
	planner *Planner
	queues  [2]simQueue // of short streams and of longer ones
	polling bool        // pollLater has scheduled turns
	turnDue bool        // roomFreedSoon has scheduled a turn
}

// simCaller is a simulated request.
type simCaller struct {
	query        Query
	arrivedAt    time.Time
	events       int // number of events in its stream
	placed       Placement
	pendingParts int // parts that aren't prefilled
	firstTokenAt time.Time
	lastEventAt  time.Time
	longestPause time.Duration // longest pause so far
	eventsLeft   int           // events to be decoded
	done         bool
	abandoned    bool
	// admitted means that it occupies one of its server's slots.
	admitted bool
}

// simPart is a part on a simulated server.
type simPart struct {
	caller *simCaller
	left   time.Duration
	tokens int
	helper bool
}

// simServer is a simulated engine.
type simServer struct {
	fleet    *simFleet
	parts    []*simPart   // helper parts first, the newest in front
	queued   []*simCaller // waiting for a slot
	slots    int          // occupied
	decoding []*simCaller
	running  bool // a pass is in progress
}

func newSimFleet(e *EngineProfile, seed uint64, entries, servers int) *simFleet {
	f := &simFleet{
		engine: e, now: start, random: rand.New(rand.NewPCG(seed, 11)), servers: map[string]*simServer{},
		dispatchDelay: 8 * time.Millisecond, announceDelay: 3 * time.Millisecond,
	}
	for i := range servers {
		c := Candidate{Instance: fmt.Sprintf("engine-%03d", i), Capacity: e.Capacity}
		f.options = append(f.options, c)
		f.servers[c.Instance] = &simServer{fleet: f}
	}
	for i := range entries {
		entry := &simEntry{fleet: f, ledger: NewLedger(func(uint64) *EngineProfile { return e })}
		entry.planner = NewPlanner(entry.ledger, uint64(i)+1, func() time.Time { return f.now }, entry)
		entry.planner.shuffle = f.random.Shuffle
		f.entries = append(f.entries, entry)
	}
	return f
}

// schedule runs an action after a delay.
func (f *simFleet) schedule(d time.Duration, do func()) {
	f.seq++
	heap.Push(&f.events, simEvent{at: f.now.Add(d), seq: f.seq, do: do})
}

// run processes the events up to a time since the start.
func (f *simFleet) run(until time.Duration) {
	for len(f.events) > 0 && f.events[0].at.Sub(start) < until {
		e := heap.Pop(&f.events).(simEvent)
		f.now = e.at
		e.do()
	}
}

func (e *simEntry) announce(do func(l *Ledger, now time.Time)) {
	f := e.fleet
	f.schedule(f.announceDelay, func() {
		for _, other := range f.entries {
			if other != e {
				do(other.ledger, f.now)
			}
		}
	})
}

// Began implements AttemptPublisher.
func (e *simEntry) Began(w Attempt) {
	e.announce(func(l *Ledger, now time.Time) { l.Begin(w, now) })
}

// FirstToken implements AttemptPublisher.
func (e *simEntry) FirstToken(id AttemptID) {
	e.announce(func(l *Ledger, now time.Time) { l.FirstToken(id, now) })
}

// Ended implements AttemptPublisher.
func (e *simEntry) Ended(id AttemptID) {
	e.announce(func(l *Ledger, _ time.Time) { l.End(id) })
	e.roomFreed()
	e.fleet.schedule(e.fleet.announceDelay, func() {
		for _, other := range e.fleet.entries {
			if other != e {
				other.roomFreedSoon()
			}
		}
	})
}

// arrive adds a caller at a random entry.
func (f *simFleet) arrive(q Query, events int) {
	c := &simCaller{query: q, arrivedAt: f.now, events: events, eventsLeft: events}
	f.callers = append(f.callers, c)
	e := f.entries[f.random.IntN(len(f.entries))]
	if f.queued {
		e.await(c)
		return
	}
	f.place(e, c)
}

// placeRetryInterval is the interval at which a waiting prompt is retried, as in the
// gateway.
const placeRetryInterval = 60 * time.Millisecond

func (f *simFleet) place(e *simEntry, c *simCaller) {
	if !f.tryPlace(e, c) {
		f.schedule(placeRetryInterval, func() { f.place(e, c) })
	}
}

// tryPlace places a caller's prompt, or reports that it waits. A prompt that can't be served
// before its deadline is abandoned.
func (f *simFleet) tryPlace(e *simEntry, c *simCaller) bool {
	q := c.query
	q.Engine = f.engine
	q.MayWait = f.queued
	q.Waited = f.now.Sub(c.arrivedAt)
	q.FirstTokenObjective -= q.Waited
	if q.FirstTokenLimit > 0 {
		q.FirstTokenLimit -= q.Waited
	}
	left := q.TimeLeft - q.Waited
	if left <= 0 {
		c.abandoned = true
		return true
	}
	q.TimeLeft = left
	if f.hideDeadline {
		q.TimeLeft = 0
	}
	placed, answer := e.planner.Place(q, slices.Clone(f.options))
	if answer == DeadlineUnmeetable {
		c.abandoned = true
		return true
	}
	if answer != Placed {
		return false
	}
	f.dispatch(c, placed, left)
	return true
}

// dispatch sends a placed prompt to its servers.
func (f *simFleet) dispatch(c *simCaller, placed Placement, left time.Duration) {
	c.placed = placed
	f.schedule(left, func() { f.abandon(c) })
	if limit := c.query.FirstTokenLimit; limit > 0 {
		f.schedule(limit-f.now.Sub(c.arrivedAt), func() { f.abandonWithoutFirstToken(c) })
	}
	n := 1 + len(placed.Helpers)
	c.pendingParts = n
	part := func(helper bool) *simPart {
		return &simPart{caller: c, left: placed.PartTime, tokens: c.query.InputTokens / n, helper: helper}
	}
	f.schedule(f.dispatchDelay, func() {
		f.servers[placed.Server.Instance].admit(c, part(false))
		for _, h := range placed.Helpers {
			f.servers[h.Instance].enqueue(part(true))
		}
	})
}

// abandon removes a caller at its deadline if its answer isn't complete. Its parts are
// dropped, except for what the passes in progress prefill.
func (f *simFleet) abandon(c *simCaller) {
	if c.done || c.abandoned {
		return
	}
	c.abandoned = true
	c.placed.End()
	for _, s := range f.servers {
		s.parts = slices.DeleteFunc(s.parts, func(p *simPart) bool { return p.caller == c })
		s.decoding = slices.DeleteFunc(s.decoding, func(o *simCaller) bool { return o == c })
		s.queued = slices.DeleteFunc(s.queued, func(o *simCaller) bool { return o == c })
	}
	if c.admitted {
		f.servers[c.placed.Server.Instance].freeSlot()
	}
}

// abandonWithoutFirstToken removes a caller that has no first token yet.
func (f *simFleet) abandonWithoutFirstToken(c *simCaller) {
	if c.firstTokenAt.IsZero() {
		f.abandon(c)
	}
}

// admit gives a request a slot, or queues it until one is free.
func (s *simServer) admit(c *simCaller, p *simPart) {
	if s.slots >= s.fleet.engine.Capacity {
		s.queued = append(s.queued, c)
		return
	}
	s.slots++
	p.caller.admitted = true
	s.enqueue(p)
}

// enqueue queues a part in the order that engines use.
func (s *simServer) enqueue(p *simPart) {
	if p.helper {
		s.parts = slices.Insert(s.parts, 0, p)
	} else {
		s.parts = append(s.parts, p)
	}
	s.startPass()
}

// startPass starts a pass if there is work and no pass is in progress.
func (s *simServer) startPass() {
	if s.running || len(s.parts)+len(s.decoding) == 0 {
		return
	}
	s.running = true
	e := s.fleet.engine
	context := 0
	for _, c := range s.decoding {
		context += c.query.totalTokens()
	}
	length, room := e.DecodePassTime(len(s.decoding), context), e.Chunk*e.Stride
	if len(s.decoding) == 0 {
		length, room = idlePassSteps*e.StepTime, e.Chunk*idlePassSteps
	}
	streams := slices.Clone(s.decoding)
	var prefilled []*simPart
	for len(s.parts) > 0 && room > 0 {
		p := s.parts[0]
		tokens := min(room, p.tokens)
		took := time.Duration(float64(p.left) * float64(tokens) / float64(max(1, p.tokens)))
		p.left, p.tokens = p.left-took, p.tokens-tokens
		length += took
		room -= tokens
		if p.tokens > 0 {
			break
		}
		prefilled = append(prefilled, p)
		s.parts = s.parts[1:]
	}
	s.fleet.schedule(length, func() { s.finishPass(streams, prefilled) })
}

// finishPass ends a pass: each stream gets one more event, and prefilled prompts start to
// decode.
func (s *simServer) finishPass(streams []*simCaller, prefilled []*simPart) {
	s.running = false
	for _, c := range streams {
		s.deliverEvent(c)
	}
	for _, p := range prefilled {
		c := p.caller
		if c.pendingParts--; c.pendingParts == 0 && !c.abandoned {
			c.firstTokenAt = s.fleet.now
			c.placed.FirstToken()
			first := s.fleet.servers[c.placed.Server.Instance]
			first.decoding = append(first.decoding, c)
			first.deliverEvent(c)
			first.startPass()
		}
	}
	s.startPass()
}

// deliverEvent gives a caller the next event of its stream.
func (s *simServer) deliverEvent(c *simCaller) {
	if c.abandoned || c.done {
		return
	}
	now := s.fleet.now
	if !c.lastEventAt.IsZero() {
		c.longestPause = max(c.longestPause, now.Sub(c.lastEventAt))
	}
	c.lastEventAt = now
	c.placed.Event()
	if c.eventsLeft--; c.eventsLeft > 0 {
		return
	}
	c.done = true
	c.placed.End()
	s.decoding = slices.DeleteFunc(s.decoding, func(o *simCaller) bool { return o == c })
	s.freeSlot()
}

// freeSlot passes a free slot to the next waiting request.
func (s *simServer) freeSlot() {
	s.slots--
	if len(s.queued) > 0 {
		next := s.queued[0]
		s.queued = s.queued[1:]
		s.admit(next, &simPart{caller: next, left: next.placed.PartTime, tokens: next.query.InputTokens / (1 + len(next.placed.Helpers))})
	}
}

// onTime reports whether a caller got its first token and all events in time.
func (c *simCaller) onTime() bool {
	return c.done && c.firstTokenAt.Sub(c.arrivedAt) <= c.query.FirstTokenObjective && c.longestPause <= c.query.PauseObjective
}

// The measure of the plays stays the same when the planner's weights change, so that their bounds
// mean the same: a caller counts one and its tokens, and a late one a quarter.
const (
	measuredTokens    = 10_000 // count as much as the caller
	measuredLateShare = 0.25
)

// measuredWeight returns the weight of a caller in the results of a play.
func measuredWeight(tokens int) float64 { return 1 + float64(tokens)/measuredTokens }

// earnedShare returns the fraction of its weight that a caller got: all of it if on time, a
// part of it if late.
func (c *simCaller) earnedShare() float64 {
	switch {
	case c.onTime():
		return 1
	case c.done:
		return measuredLateShare
	}
	return 0
}

// simResult summarizes what a group of callers got.
type simResult struct {
	callers, onTime, lateFirst, latePause, unserved int
	earned, owed                                    float64
	firstTokenTimes                                 []time.Duration
}

// summarize returns the result of the callers whose prompts have at least from and fewer
// than to tokens.
func summarize(callers []*simCaller, from, to int) simResult {
	var r simResult
	for _, c := range callers {
		if c.query.InputTokens < from || c.query.InputTokens >= to {
			continue
		}
		r.add(c)
	}
	slices.Sort(r.firstTokenTimes)
	return r
}

func (r *simResult) add(c *simCaller) {
	weight := measuredWeight(c.query.InputTokens)
	r.callers++
	r.owed += weight
	r.earned += weight * c.earnedShare()
	if !c.done {
		r.unserved++
		return
	}
	r.firstTokenTimes = append(r.firstTokenTimes, c.firstTokenAt.Sub(c.arrivedAt))
	if c.onTime() {
		r.onTime++
	}
	if c.firstTokenAt.Sub(c.arrivedAt) > c.query.FirstTokenObjective {
		r.lateFirst++
	}
	if c.longestPause > c.query.PauseObjective {
		r.latePause++
	}
}

// quantile returns the time to the first token at the given quantile of the callers.
func (r simResult) quantile(share float64) time.Duration {
	if len(r.firstTokenTimes) == 0 {
		return 0
	}
	return r.firstTokenTimes[min(len(r.firstTokenTimes)-1, int(share*float64(len(r.firstTokenTimes))))]
}

// String returns a line of a table.
func (r simResult) String() string {
	share := func(n int) float64 { return float64(n) / float64(max(1, r.callers)) }
	return fmt.Sprintf("%4d callers, earned %.3f, in time %.3f, late first %.3f, late pause %.3f, unserved %.3f, first p50 %v p95 %v",
		r.callers, r.earned/max(1, r.owed), share(r.onTime), share(r.lateFirst), share(r.latePause), share(r.unserved),
		r.quantile(0.5).Round(time.Millisecond), r.quantile(0.95).Round(time.Millisecond))
}

// workload describes one kind of request in a simulation.
type workload struct {
	perSecond            float64
	median, sigma        float64 // of the prompt length in tokens, which is log-normal
	minTokens, maxTokens int
	events               float64 // mean number
	objective, pause     time.Duration
	timeout              time.Duration
	patience             time.Duration // time without a first token after which callers leave; 0: timeout
}

// addTraffic schedules the arrivals of a workload for a period.
func (f *simFleet) addTraffic(k workload, begins, lasts time.Duration) {
	for at := time.Duration(0); at < lasts; at += time.Duration(f.random.ExpFloat64() / k.perSecond * float64(time.Second)) {
		tokens := int(math.Exp(math.Log(k.median) + k.sigma*f.random.NormFloat64()))
		q := Query{
			InputTokens: min(max(tokens, k.minTokens), k.maxTokens), MaxOutputTokens: int(k.events) * f.engine.Stride,
			FirstTokenObjective: k.objective, PauseObjective: k.pause, TimeLeft: k.timeout, FirstTokenLimit: k.patience, Stream: true,
		}
		events := max(1, int(k.events*(0.4+1.2*f.random.Float64())))
		f.schedule(begins+at, func() { f.arrive(q, events) })
	}
}
