package placement

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// A play of a whole fleet in virtual time: entries that know of each other's attempts a
// little late, engines that read and write in passes on an account of their own, and
// callers. It checks what callers get of the decisions of this package alone, without a
// network. Left out: memory, failures, and callers that come back.

// playEvent is something that happens at a time.
type playEvent struct {
	at  time.Time
	seq int // orders those of the same time
	do  func()
}

// playEvents is a heap of events by time.
type playEvents []playEvent

func (e playEvents) Len() int { return len(e) }
func (e playEvents) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e playEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *playEvents) Push(x any)   { *e = append(*e, x.(playEvent)) }
func (e *playEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// playFleet is the play.
type playFleet struct {
	engine  *EngineProfile
	now     time.Time
	seq     int
	events  playEvents
	random  *rand.Rand
	entries []*playEntry
	servers map[string]*playServer
	options []Candidate
	callers []*playCaller
	// transit is from a placement to its parts' arrival, news from an entry to the others.
	transit, news time.Duration
	// hidesEnd: entries don't know when a caller's time ends.
	hidesEnd bool
}

// playEntry is one entry. It is a Teller that passes on to the others after a while.
type playEntry struct {
	fleet   *playFleet
	ledger  *Ledger
	planner *Planner
}

// playCaller is one request.
type playCaller struct {
	query   Query
	came    time.Time
	events  int // that its stream has
	placed  Placement
	unread  int // parts
	firstAt time.Time
	lastAt  time.Time
	pause   time.Duration // the longest
	left    int           // events to be written
	done    bool
	gaveUp  bool
	// admitted: it has one of its server's slots.
	admitted bool
}

// playPart is a part on a server.
type playPart struct {
	caller *playCaller
	left   time.Duration
	tokens int
	helper bool
}

// playServer is an engine.
type playServer struct {
	fleet   *playFleet
	parts   []*playPart   // those for others first, the newest of them ahead
	queued  []*playCaller // wait for a slot
	slots   int           // taken
	writing []*playCaller
	running bool // a pass goes on
}

func newPlayFleet(e *EngineProfile, seed uint64, entries, servers int) *playFleet {
	f := &playFleet{
		engine: e, now: start, random: rand.New(rand.NewPCG(seed, 11)), servers: map[string]*playServer{},
		transit: 8 * time.Millisecond, news: 3 * time.Millisecond,
	}
	for i := range servers {
		c := Candidate{Instance: fmt.Sprintf("engine-%03d", i), Capacity: e.Capacity}
		f.options = append(f.options, c)
		f.servers[c.Instance] = &playServer{fleet: f}
	}
	for i := range entries {
		entry := &playEntry{fleet: f, ledger: NewLedger(func(uint64) *EngineProfile { return e })}
		entry.planner = NewPlanner(entry.ledger, uint64(i)+1, func() time.Time { return f.now }, entry)
		entry.planner.shuffle = f.random.Shuffle
		f.entries = append(f.entries, entry)
	}
	return f
}

// after has something happen later.
func (f *playFleet) after(d time.Duration, do func()) {
	f.seq++
	heap.Push(&f.events, playEvent{at: f.now.Add(d), seq: f.seq, do: do})
}

// run plays until a time since the start.
func (f *playFleet) run(until time.Duration) {
	for len(f.events) > 0 && f.events[0].at.Sub(start) < until {
		e := heap.Pop(&f.events).(playEvent)
		f.now = e.at
		e.do()
	}
}

func (e *playEntry) tellOthers(do func(l *Ledger, now time.Time)) {
	f := e.fleet
	f.after(f.news, func() {
		for _, other := range f.entries {
			if other != e {
				do(other.ledger, f.now)
			}
		}
	})
}

// Began implements Teller.
func (e *playEntry) Began(w Attempt) {
	e.tellOthers(func(l *Ledger, now time.Time) { l.Begin(w, now) })
}

// FirstToken implements Teller.
func (e *playEntry) FirstToken(id AttemptID) {
	e.tellOthers(func(l *Ledger, now time.Time) { l.FirstToken(id, now) })
}

// Ended implements Teller.
func (e *playEntry) Ended(id AttemptID) {
	e.tellOthers(func(l *Ledger, _ time.Time) { l.End(id) })
}

// come has a caller come at some entry.
func (f *playFleet) come(q Query, events int) {
	c := &playCaller{query: q, came: f.now, events: events, left: events}
	f.callers = append(f.callers, c)
	f.try(f.entries[f.random.IntN(len(f.entries))], c)
}

// retryPlace is how often a prompt that waits asks for a place again, as the gateway does.
const retryPlace = 60 * time.Millisecond

func (f *playFleet) try(e *playEntry, c *playCaller) {
	q := c.query
	q.Engine = f.engine
	q.Waited = f.now.Sub(c.came)
	q.FirstTokenObjective -= q.Waited
	left := q.TimeLeft - q.Waited
	if left <= 0 {
		c.gaveUp = true
		return
	}
	q.TimeLeft = left
	if f.hidesEnd {
		q.TimeLeft = 0
	}
	placed, answer := e.planner.Place(q, slices.Clone(f.options))
	if answer == DeadlineUnmeetable {
		c.gaveUp = true
		return
	}
	if answer != Placed {
		f.after(retryPlace, func() { f.try(e, c) })
		return
	}
	c.placed = placed
	f.after(left, func() { f.leave(c) })
	n := 1 + len(placed.Helpers)
	c.unread = n
	part := func(helper bool) *playPart {
		return &playPart{caller: c, left: placed.PartTime, tokens: c.query.InputTokens / n, helper: helper}
	}
	f.after(f.transit, func() {
		f.servers[placed.Server.Instance].admit(c, part(false))
		for _, h := range placed.Helpers {
			f.servers[h.Instance].take(part(true))
		}
	})
}

// leave has a caller go at the end of its time if its answer isn't whole. Its parts are
// dropped, but for what is read in the passes that go on.
func (f *playFleet) leave(c *playCaller) {
	if c.done {
		return
	}
	c.gaveUp = true
	c.placed.End()
	for _, s := range f.servers {
		s.parts = slices.DeleteFunc(s.parts, func(p *playPart) bool { return p.caller == c })
		s.writing = slices.DeleteFunc(s.writing, func(o *playCaller) bool { return o == c })
		s.queued = slices.DeleteFunc(s.queued, func(o *playCaller) bool { return o == c })
	}
	if c.admitted {
		f.servers[c.placed.Server.Instance].freeSlot()
	}
}

// admit gives a request a slot, or has it wait for one.
func (s *playServer) admit(c *playCaller, p *playPart) {
	if s.slots >= s.fleet.engine.Capacity {
		s.queued = append(s.queued, c)
		return
	}
	s.slots++
	p.caller.admitted = true
	s.take(p)
}

// take queues a part as engines do.
func (s *playServer) take(p *playPart) {
	if p.helper {
		s.parts = slices.Insert(s.parts, 0, p)
	} else {
		s.parts = append(s.parts, p)
	}
	s.begin()
}

// begin begins a pass if there is something to do and none goes on.
func (s *playServer) begin() {
	if s.running || len(s.parts)+len(s.writing) == 0 {
		return
	}
	s.running = true
	e := s.fleet.engine
	context := 0
	for _, c := range s.writing {
		context += c.query.memory()
	}
	length, room := e.DecodePassTime(len(s.writing), context), e.Chunk*e.Stride
	if len(s.writing) == 0 {
		length, room = idleSteps*e.StepTime, e.Chunk*idleSteps
	}
	writers := slices.Clone(s.writing)
	var read []*playPart
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
		read = append(read, p)
		s.parts = s.parts[1:]
	}
	s.fleet.after(length, func() { s.end(writers, read) })
}

// end ends a pass: each writer has an event more, and what was read may begin to write.
func (s *playServer) end(writers []*playCaller, read []*playPart) {
	s.running = false
	for _, c := range writers {
		s.event(c)
	}
	for _, p := range read {
		c := p.caller
		if c.unread--; c.unread == 0 && !c.gaveUp {
			c.firstAt = s.fleet.now
			c.placed.FirstToken()
			first := s.fleet.servers[c.placed.Server.Instance]
			first.writing = append(first.writing, c)
			first.event(c)
			first.begin()
		}
	}
	s.begin()
}

// event gives a caller the next event of its stream.
func (s *playServer) event(c *playCaller) {
	if c.gaveUp {
		return
	}
	now := s.fleet.now
	if !c.lastAt.IsZero() {
		c.pause = max(c.pause, now.Sub(c.lastAt))
	}
	c.lastAt = now
	c.placed.Event()
	if c.left--; c.left > 0 {
		return
	}
	c.done = true
	c.placed.End()
	s.writing = slices.DeleteFunc(s.writing, func(o *playCaller) bool { return o == c })
	s.freeSlot()
}

// freeSlot gives a slot that is free to the next request that waits for one.
func (s *playServer) freeSlot() {
	s.slots--
	if len(s.queued) > 0 {
		next := s.queued[0]
		s.queued = s.queued[1:]
		s.admit(next, &playPart{caller: next, left: next.placed.PartTime, tokens: next.query.InputTokens / (1 + len(next.placed.Helpers))})
	}
}

// onTime reports whether a caller got its first token and all events in time.
func (c *playCaller) onTime() bool {
	return c.done && c.firstAt.Sub(c.came) <= c.query.FirstTokenObjective && c.pause <= c.query.PauseObjective
}

// earns is what a caller got of its weight: all of it in time, a part of it later.
func (c *playCaller) earns() float64 {
	switch {
	case c.onTime():
		return 1
	case c.done:
		return 1 - LateLoss
	}
	return 0
}

// playResult is what the callers of a kind got.
type playResult struct {
	callers, onTime, lateFirst, latePause, unserved int
	earned, owed                                    float64
	first                                           []time.Duration
}

// resultOf counts the callers whose prompts have from to under to tokens.
func resultOf(callers []*playCaller, from, to int) playResult {
	var r playResult
	for _, c := range callers {
		if c.query.InputTokens < from || c.query.InputTokens >= to {
			continue
		}
		r.add(c)
	}
	slices.Sort(r.first)
	return r
}

func (r *playResult) add(c *playCaller) {
	weight := WeightOf(c.query.InputTokens)
	r.callers++
	r.owed += weight
	r.earned += weight * c.earns()
	if !c.done {
		r.unserved++
		return
	}
	r.first = append(r.first, c.firstAt.Sub(c.came))
	if c.onTime() {
		r.onTime++
	}
	if c.firstAt.Sub(c.came) > c.query.FirstTokenObjective {
		r.lateFirst++
	}
	if c.pause > c.query.PauseObjective {
		r.latePause++
	}
}

// quantile is the time to the first token that a share of the callers stays under.
func (r playResult) quantile(share float64) time.Duration {
	if len(r.first) == 0 {
		return 0
	}
	return r.first[min(len(r.first)-1, int(share*float64(len(r.first))))]
}

// String is a line of a table.
func (r playResult) String() string {
	share := func(n int) float64 { return float64(n) / float64(max(1, r.callers)) }
	return fmt.Sprintf("%4d callers, earned %.3f, in time %.3f, late first %.3f, late pause %.3f, unserved %.3f, first p50 %v p95 %v",
		r.callers, r.earned/max(1, r.owed), share(r.onTime), share(r.lateFirst), share(r.latePause), share(r.unserved),
		r.quantile(0.5).Round(time.Millisecond), r.quantile(0.95).Round(time.Millisecond))
}

// kindOfPrompt is one kind of request of a play.
type kindOfPrompt struct {
	perSecond         float64
	median, sigma     float64 // of its tokens, log-normal
	shortest, longest int
	events            float64 // mean
	objective, pause  time.Duration
	patience          time.Duration
}

// traffic has callers of a kind come for a while.
func (f *playFleet) traffic(k kindOfPrompt, begins, lasts time.Duration) {
	for at := time.Duration(0); at < lasts; at += time.Duration(f.random.ExpFloat64() / k.perSecond * float64(time.Second)) {
		tokens := int(math.Exp(math.Log(k.median) + k.sigma*f.random.NormFloat64()))
		q := Query{
			InputTokens: min(max(tokens, k.shortest), k.longest), MaxOutputTokens: int(k.events) * f.engine.Stride,
			FirstTokenObjective: k.objective, PauseObjective: k.pause, TimeLeft: k.patience, Stream: true,
		}
		events := max(1, int(k.events*(0.4+1.2*f.random.Float64())))
		f.after(begins+at, func() { f.come(q, events) })
	}
}
