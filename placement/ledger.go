package placement

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ServerKey names an instance in a Ledger and between entries.
func ServerKey(instance string) uint64 { return xxhash.Sum64String(instance) }

// Ledger is what entries know together of the work on each server. Every entry
// notes its own attempts in it and what its peers tell of theirs. It is safe for
// concurrent use; mu guards all fields and is a leaf lock.
type Ledger struct {
	engineOf func(server uint64) *EngineProfile

	mu      sync.Mutex
	servers map[uint64]*serverState
	works   map[AttemptID]*activeWork
	reading map[AttemptID]*activeWork // those of works whose prompts are being read
	judged  time.Time                 // when those were last looked at
	slow    map[*serverState]struct{} // that were found slow, until forgotten
	others  arrivals                  // choices of other entries
}

type activeWork struct {
	Attempt
	late    bool      // a pause was over the limit, so that a further one loses nothing
	ready   time.Time // when its prompt should be read
	changed time.Time
	begun   time.Time
	parts   []*part  // of a work whose prompt isn't read
	mark    passMark // of a work that writes
}

// serverState is one server's passes as the ledger expects them. A pass writes a
// stride of tokens for each writer and reads what waits for it; work that comes
// while a pass runs is read in the next.
type serverState struct {
	passEnd time.Time // of the pass that reads now
	queue   []*part   // to be read after it, in order
	// unconfirmed parts should be read by now or when the pass ends, and may not be: no
	// first token shows it yet.
	unconfirmed []*part
	works       []*activeWork     // that it answers, in order of their beginning
	holds       map[AttemptID]int // tokens that it keeps for others
	held        int               // their sum
	longLoad    float64           // share of time spent on long parts, decaying
	longAt      time.Time         // when longLoad was last brought up to date
	refusedAt   time.Time         // when it last refused an attempt
	pace        pace
	factor      float64       // of pace when advance was last called
	read        time.Duration // declared time of all reading done so far
}

// NewLedger returns an empty Ledger. engineOf returns the engine that a server is,
// nil for a plain service or one that isn't known; it must not call the ledger.
func NewLedger(engineOf func(server uint64) *EngineProfile) *Ledger {
	return &Ledger{engineOf: engineOf, servers: map[uint64]*serverState{}, works: map[AttemptID]*activeWork{}, reading: map[AttemptID]*activeWork{}, slow: map[*serverState]struct{}{}}
}

// Begin notes an attempt of another entry. A work that is known already changes nothing.
func (l *Ledger) Begin(w Attempt, now time.Time) {
	engine := l.engineOf(w.Server)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.others.note(now)
	l.beginLocked(w, engine, now)
}

func (l *Ledger) beginLocked(w Attempt, engine *EngineProfile, now time.Time) {
	if _, known := l.works[w.ID]; known {
		return
	}
	a := &activeWork{Attempt: w, changed: now, begun: now}
	l.works[w.ID] = a
	for _, key := range w.Holders {
		l.serverLocked(key).hold(w.ID, w.HolderTokens)
	}
	s := l.serverLocked(w.Server)
	s.works = append(s.works, a)
	if engine == nil || w.Decoding {
		a.Helpers = nil
		return
	}
	l.reading[a.ID] = a
	l.readLocked(a, s, false, engine, now)
	for _, key := range w.Helpers {
		l.readLocked(a, l.serverLocked(key), true, engine, now)
	}
}

// readLocked queues a part of a work on a server and notes what that does to the
// others there: streams whose pause it makes too long have nothing more to lose,
// and prompts that wait are read later.
func (l *Ledger) readLocked(a *activeWork, s *serverState, helper bool, e *EngineProfile, now time.Time) {
	s.advance(e, now)
	f := s.forecast(e, a.PartTime, a.PartTokens, helper, now)
	for _, other := range s.works {
		if other.Decoding {
			other.late = other.late || other.PauseObjective > 0 && f.pass > other.PauseObjective
		}
	}
	for _, p := range s.queue {
		p.work.ready = p.work.ready.Add(f.delay)
		p.ready = p.ready.Add(f.delay)
	}
	ready := now.Add(f.ready)
	if ready.After(a.ready) {
		a.ready = ready
	}
	p := &part{work: a, helper: helper, left: a.PartTime, tokens: a.PartTokens, server: s, ready: ready, factor: s.factor}
	a.parts = append(a.parts, p)
	s.add(p, e, now)
}

// FirstToken notes that an attempt's prompt is read and its stream has begun.
func (l *Ledger) FirstToken(id AttemptID, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.works[id]
	if a == nil || a.Decoding {
		return
	}
	l.judgeFirst(a, now)
	a.Decoding = true
	a.changed = now
	l.endReadingLocked(a)
}

// Event notes that events of a stream came, which end a pass of its server.
func (l *Ledger) Event(id AttemptID, server uint64, now time.Time) {
	engine := l.engineOf(server)
	l.mu.Lock()
	defer l.mu.Unlock()
	a, s := l.works[id], l.servers[server]
	if a == nil || s == nil || engine == nil {
		return
	}
	s.notePass(&a.mark, engine, now)
}

// endReadingLocked drops what is left of a work's parts: its prompt is read, or
// nobody waits for it.
func (l *Ledger) endReadingLocked(a *activeWork) {
	if s := l.servers[a.Server]; s != nil {
		s.drop(a.ID)
	}
	for _, key := range a.Helpers {
		if h := l.servers[key]; h != nil {
			h.drop(a.ID)
		}
	}
	delete(l.reading, a.ID)
	a.Helpers, a.parts = nil, nil
}

// End notes the end of an attempt.
func (l *Ledger) End(id AttemptID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endLocked(id)
}

func (l *Ledger) endLocked(id AttemptID) {
	a := l.works[id]
	if a == nil {
		return
	}
	delete(l.works, id)
	l.endReadingLocked(a)
	if s := l.servers[a.Server]; s != nil {
		s.works = slices.DeleteFunc(s.works, func(o *activeWork) bool { return o == a })
	}
	for _, key := range a.Holders {
		if s := l.servers[key]; s != nil {
			s.release(id)
		}
	}
}

// Reconcile ends the attempts of an entry that it does not list, but for those that are
// newer than before, or than upTo, the newest one when the list was made (0: not said): what
// began while the list was on its way isn't in it, however long that was.
func (l *Ledger) Reconcile(owner uint64, active []uint64, upTo uint64, before time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	listed := make(map[uint64]bool, len(active))
	for _, seq := range active {
		listed[seq] = true
	}
	for id, a := range l.works {
		newer := upTo > 0 && id.Seq > upTo
		if id.Owner == owner && !newer && !listed[id.Seq] && a.changed.Before(before) {
			l.endLocked(id)
		}
	}
}

// EndOwner notes the end of all attempts of an entry that is gone.
func (l *Ledger) EndOwner(owner uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range l.works {
		if id.Owner == owner {
			l.endLocked(id)
		}
	}
}

// Refused notes that a server refused an attempt.
func (l *Ledger) Refused(server uint64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.serverLocked(server).refusedAt = now
}

// Restarted notes that a server started again under its name. What it had to read is
// gone, and it is no slower than declared until it shows so. The attempts that it ran
// stay until their connections tell their entries of the end. Without this the server
// would be avoided for seconds for work that nobody does, and blamed for parts that
// nobody reads.
func (l *Ledger) Restarted(server uint64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.servers[server]
	if s == nil {
		return
	}
	for _, p := range s.queue {
		p.work.parts = slices.DeleteFunc(p.work.parts, func(q *part) bool { return q == p })
	}
	s.queue, s.unconfirmed = nil, nil
	s.passEnd, s.refusedAt = time.Time{}, time.Time{}
	s.longLoad = 0
	s.pace = pace{}
	s.pace.clear(now)
	delete(l.slow, s)
}

// PruneServers drops servers that keep does not name and that have no work.
func (l *Ledger) PruneServers(keep func(server uint64) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, s := range l.servers {
		if !keep(key) && len(s.works) == 0 && len(s.holds) == 0 && len(s.queue) == 0 {
			delete(l.servers, key)
		}
	}
}

// AttemptsOf returns the attempts of an entry, for a peer that starts with an empty
// ledger.
func (l *Ledger) AttemptsOf(owner uint64) []Attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Attempt
	for id, a := range l.works {
		if id.Owner == owner {
			out = append(out, a.Attempt)
		}
	}
	return out
}

func (l *Ledger) serverLocked(key uint64) *serverState {
	s := l.servers[key]
	if s == nil {
		s = &serverState{holds: map[AttemptID]int{}}
		l.servers[key] = s
	}
	return s
}

// hold notes that the server keeps so many tokens for a work that another answers.
func (s *serverState) hold(id AttemptID, tokens int) {
	s.release(id)
	s.holds[id] = tokens
	s.held += tokens
}

// release ends that.
func (s *serverState) release(id AttemptID) {
	s.held -= s.holds[id]
	delete(s.holds, id)
}
