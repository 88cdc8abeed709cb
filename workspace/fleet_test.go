package workspace

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/briarturn/briarturn/placement"
)

// The load of the tests with several entries: requests that take 100 ms each and are on time
// within 300 ms. The servers have room for 40 at a time: 400 a second.
const (
	callTime      = 100 * time.Millisecond
	callObjective = 300 * time.Millisecond
	callTimeout   = 5 * time.Second
	fleetSlots    = 40
	fleetRate     = float64(fleetSlots) / 0.1 // requests per second
	newsDelay     = 5 * time.Millisecond
)

// fleet plays entries with a queue each before servers that all of them share, in virtual time
// with steps of a millisecond.
type fleet struct {
	now     time.Time
	rnd     *rand.Rand
	entries []*fleetEntry
	order   []*fleetEntry // the same, shuffled
	free    int
	running []runningCall
	news    []peerNews
	timers  []timer
	results map[string]*tally // by workspace
	// subjects holds the same by subject.
	subjects map[uint64]*tally
	// deliver returns how often and how late an entry hears of a start.
	deliver func() []time.Duration
	// fifo makes the queues serve in order of arrival.
	fifo bool
}

type fleetEntry struct {
	s     *Scheduler
	calls []*fleetCall
	dead  bool
}

// fleetCall is a request that waits at an entry.
type fleetCall struct {
	w     *waiter
	turn  *turn
	again time.Time // looks for room again if it was put aside
}

type runningCall struct {
	end    time.Time
	ticket Ticket
}

type timer struct {
	at   time.Time
	call func()
}

type peerNews struct {
	at     time.Time
	entry  *fleetEntry
	key    uint32
	tokens int64
}

// tally counts the requests of a workspace.
type tally struct {
	asked, onTime, late, refused int
	held                         int           // of the refused ones, those that had waited to the end
	longest                      time.Duration // wait of a served request
	least                        float64       // part on time of the workspace with the smallest one
}

func newFleet(entries int) *fleet {
	f := &fleet{
		now: time.Unix(1_000, 0), rnd: rand.New(rand.NewPCG(4, uint64(entries))), free: fleetSlots,
		results: map[string]*tally{}, subjects: map[uint64]*tally{},
		deliver: func() []time.Duration { return []time.Duration{newsDelay} },
	}
	for range entries {
		s := NewScheduler(Options{Now: func() time.Time { return f.now }, Rand: func() float64 { return 0.5 }})
		s.SetEntries(entries)
		s.afterFunc = func(d time.Duration, call func()) { f.timers = append(f.timers, timer{f.now.Add(d), call}) }
		f.entries = append(f.entries, &fleetEntry{s: s})
	}
	f.order = slices.Clone(f.entries)
	return f
}

// count applies a change to the counts of a request.
func (f *fleet) count(workspace string, subject uint64, change func(*tally)) {
	if f.results[workspace] == nil {
		f.results[workspace] = &tally{}
	}
	if f.subjects[subject] == nil {
		f.subjects[subject] = &tally{}
	}
	change(f.results[workspace])
	change(f.subjects[subject])
}

// ask sends a request to an entry.
func (f *fleet) ask(e *fleetEntry, workspace string, subject uint64) {
	f.count(workspace, subject, func(t *tally) { t.asked++ })
	it := Item{
		Workspace: workspace, Pool: "p", Cost: 1_000, ExpectedDuration: callTime, Subject: subject,
		Deadline: f.now.Add(callTimeout), OnTimeUntil: f.now.Add(callObjective - callTime),
	}
	if f.fifo {
		it.Workspace, it.Subject, it.OnTimeUntil = "", 0, time.Time{}
	}
	w, failure := e.s.enqueueIn(queueKey{pool: "p", byTurns: true}, it)
	if failure != nil {
		f.count(workspace, subject, func(t *tally) { t.refused++ })
		return
	}
	w.Workspace, w.Subject = workspace, subject
	e.calls = append(e.calls, &fleetCall{w: w, turn: &turn{scheduler: e.s, waiter: w}})
}

// step plays a millisecond.
func (f *fleet) step() {
	f.now = f.now.Add(time.Millisecond)
	f.endCalls()
	f.deliverNews()
	f.runTimers()
	f.rnd.Shuffle(len(f.order), func(i, j int) { f.order[i], f.order[j] = f.order[j], f.order[i] })
	for _, e := range f.order {
		if !e.dead {
			f.look(e)
		}
	}
}

func (f *fleet) endCalls() {
	f.running = slices.DeleteFunc(f.running, func(r runningCall) bool {
		if r.end.After(f.now) {
			return false
		}
		f.free++
		r.ticket.Release(1_000)
		for _, e := range f.entries {
			if !e.dead {
				e.s.RoomFreed("p")
			}
		}
		return true
	})
}

func (f *fleet) runTimers() {
	due := f.timers
	f.timers = nil
	for _, t := range due {
		if t.at.After(f.now) {
			f.timers = append(f.timers, t)
			continue
		}
		t.call()
	}
}

func (f *fleet) deliverNews() {
	f.news = slices.DeleteFunc(f.news, func(n peerNews) bool {
		if n.at.After(f.now) {
			return false
		}
		if !n.entry.dead {
			n.entry.s.RecordPeerStart("p", 0, n.key, n.tokens)
		}
		return true
	})
}

// look lets the requests of an entry that have the turn look for room, and ends those whose time
// is over.
func (f *fleet) look(e *fleetEntry) {
	for progress := true; progress; {
		progress = false
		e.calls = slices.DeleteFunc(e.calls, func(c *fleetCall) bool {
			progress = progress || c.w.state != waiting
			return f.lookCall(e, c)
		})
	}
}

// lookCall does what the goroutine of a request does. It reports whether the request has ended or
// started.
func (f *fleet) lookCall(e *fleetEntry, c *fleetCall) bool {
	waited := f.now.Sub(c.w.queuedAt)
	if c.w.state == waiting && c.w.expired(f.now) {
		e.s.refuseIfWaiting(c.w, ReasonDeadline)
	}
	switch {
	case c.w.state == granted && c.w.expired(f.now):
		c.turn.Leave()
		fallthrough
	case c.w.state == refused:
		f.count(c.w.Workspace, c.w.Subject, func(t *tally) {
			t.refused++
			if waited > (callTimeout-callTime)*9/10 { // to the end, but for the time of a retry
				t.held++
			}
		})
		return true
	case c.w.state == waiting:
		if !c.again.IsZero() && f.now.After(c.again) {
			c.again = time.Time{}
			e.s.lookAgain(c.w)
		}
		return false
	case f.free <= 0:
		c.again = f.now.Add(60 * time.Millisecond)
		c.turn.putAside()
		return false
	}
	f.free--
	f.running = append(f.running, runningCall{end: f.now.Add(callTime), ticket: c.turn.Started()})
	f.announce(e, c.w)
	f.count(c.w.Workspace, c.w.Subject, func(t *tally) {
		t.longest = max(t.longest, waited)
		if waited <= callObjective-callTime {
			t.onTime++
		} else {
			t.late++
		}
	})
	return true
}

func (f *fleet) announce(from *fleetEntry, w *waiter) {
	for _, e := range f.entries {
		if e == from {
			continue
		}
		for _, delay := range f.deliver() {
			f.news = append(f.news, peerNews{f.now.Add(delay), e, placement.WorkspaceKey(w.Workspace), w.Cost})
		}
	}
}

// arrivals is a stream of requests of a workspace.
type arrivals struct {
	workspace string
	perSecond float64
	subjects  int           // drawn from, if over 1
	subject   uint64        // of all requests otherwise
	entries   []*fleetEntry // those that see it
}

// play plays a time with streams of requests. Each stream has random numbers of its own, so that
// a change of one leaves the others as they are.
func (f *fleet) play(d time.Duration, streams []arrivals) {
	random := make([]*rand.Rand, len(streams))
	for i := range random {
		random[i] = rand.New(rand.NewPCG(uint64(f.now.UnixMilli()), uint64(i)))
	}
	for end := f.now.Add(d); f.now.Before(end); {
		f.step()
		for i, a := range streams {
			if random[i].Float64() < a.perSecond/1_000 {
				a.ask(f, random[i])
			}
		}
	}
}

// ask sends a request of the stream.
func (a arrivals) ask(f *fleet, random *rand.Rand) {
	subject := a.subject
	if a.subjects > 1 {
		subject = random.Uint64N(uint64(a.subjects))
	}
	f.ask(a.entries[random.IntN(len(a.entries))], a.workspace, subject)
}

// sum returns the sum over the workspaces that match.
func (f *fleet) sum(match func(workspace string) bool) tally {
	var all tally
	for name, t := range f.results {
		if match(name) {
			all.asked += t.asked
			all.onTime += t.onTime
			all.late += t.late
			all.refused += t.refused
			all.held += t.held
			all.longest = max(all.longest, t.longest)
		}
	}
	return all
}

// leastInTime returns the part on time of the workspace with the smallest one.
func (f *fleet) leastInTime() float64 {
	least := 1.0
	for _, t := range f.results {
		least = min(least, t.inTime())
	}
	return least
}

func anyWorkspace(string) bool { return true }

// inTime returns the share of requests that were served on time.
func (t tally) inTime() float64 { return share(t.onTime, t.asked) }

func share(n, of int) float64 { return float64(n) / float64(cmp.Or(of, 1)) }
