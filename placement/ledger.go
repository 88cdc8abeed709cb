package placement

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ServerKey returns the key that identifies an instance in a Ledger and in messages between
// entries.
func ServerKey(instance string) uint64 { return xxhash.Sum64String(instance) }

// Ledger records the attempts of all entries on each server. An entry adds its own attempts
// and those that its peers announce. It is safe for concurrent use; mu guards all fields
// and is a leaf lock.
type Ledger struct {
	profileOf func(server uint64) *EngineProfile
	onEnded   func(Attempt) // set before use; called without mu

	mu               sync.Mutex
	servers          map[uint64]*serverState
	attempts         map[AttemptID]*activeAttempt
	prefilling       map[AttemptID]*activeAttempt // attempts whose prompts are not prefilled yet
	lastOverdueCheck time.Time                    // when prefilling was last checked for overdue attempts
	slow             map[*serverState]struct{}    // servers currently treated as slow
	peerChoices      choiceRate                   // placements by other entries
	ownChoices       choiceRate                   // placements by this entry
	recentChoices    recentChoices                // placements by this entry that others may not know of
	shownAt          time.Time                    // when any server last showed a sign of work
}

type activeAttempt struct {
	Attempt
	prefillTime   time.Duration // of the whole prompt on one idle server
	pauseExceeded bool          // a pause was over the limit; further long pauses cost nothing
	expectedReady time.Time     // expected time of the first token
	changedAt     time.Time
	begunAt       time.Time
	parts         []*part    // while the prompt isn't prefilled
	sample        passSample // while the attempt is decoding
}

// serverState is the ledger's model of the passes of one server. A pass decodes Stride
// tokens for each stream and prefills queued parts. Parts that arrive during a pass are
// prefilled in the next one.
type serverState struct {
	passEnd time.Time // end of the current prefill pass
	queue   []*part   // parts to prefill in later passes, in order
	// unconfirmed parts should be prefilled by now or by the end of the current pass, but
	// no first token has confirmed it.
	unconfirmed     []*part
	attempts        []*activeAttempt  // attempts with this primary server, oldest first
	heldFor         map[AttemptID]int // tokens held as one of several holders
	heldTokens      int               // sum of heldFor
	longPrefillLoad float64           // decaying fraction of time spent on long parts
	longLoadUpdated time.Time         // when longPrefillLoad was last updated
	refusedAt       time.Time         // time of its last refusal
	shownAt         time.Time         // when it last showed a first token or the end of a pass
	slowdown        slowdown
	slowdownFactor  float64       // factor of slowdown when advance was last called
	prefilled       time.Duration // declared time of all prefill done so far
}

// NewLedger returns an empty Ledger. profileOf returns the profile of a server's engine, or
// nil for a plain service or an unknown server; it must not call the ledger.
func NewLedger(profileOf func(server uint64) *EngineProfile) *Ledger {
	return &Ledger{profileOf: profileOf, servers: map[uint64]*serverState{}, attempts: map[AttemptID]*activeAttempt{}, prefilling: map[AttemptID]*activeAttempt{}, slow: map[*serverState]struct{}{}}
}

// OnEnded sets a function that is called after each attempt that has ended, of this entry and of
// others. It must not block. Set it before the ledger is used.
func (l *Ledger) OnEnded(f func(Attempt)) { l.onEnded = f }

// reportEnded calls the function set by OnEnded. The caller doesn't hold mu.
func (l *Ledger) reportEnded(ended []*activeAttempt) {
	if l.onEnded == nil {
		return
	}
	for _, a := range ended {
		l.onEnded(a.Attempt)
	}
}

// Begin records an attempt of another entry. If the attempt is already known, it only
// counts toward the rate of choices of other entries.
func (l *Ledger) Begin(attempt Attempt, now time.Time) (isNew bool) {
	engine := l.profileOf(attempt.Server)
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.attempts[attempt.ID]; known {
		return false
	}
	l.peerChoices.add(now)
	l.beginLocked(attempt, engine, now)
	return true
}

func (l *Ledger) beginLocked(attempt Attempt, engine *EngineProfile, now time.Time) {
	if _, known := l.attempts[attempt.ID]; known {
		return
	}
	a := &activeAttempt{Attempt: attempt, prefillTime: attempt.PartTime * time.Duration(1+len(attempt.Helpers)), changedAt: now, begunAt: now}
	l.attempts[attempt.ID] = a
	for _, key := range attempt.Holders {
		l.serverLocked(key).hold(attempt.ID, attempt.HolderTokens)
	}
	s := l.serverLocked(attempt.Server)
	s.attempts = append(s.attempts, a)
	if engine == nil || attempt.Decoding {
		a.Helpers = nil
		return
	}
	l.prefilling[a.ID] = a
	l.queuePartLocked(a, attempt.Server, false, engine, now)
	for _, key := range attempt.Helpers {
		l.queuePartLocked(a, key, true, engine, now)
	}
}

// queuePartLocked queues a part of an attempt on a server and updates the other attempts
// there. A stream whose pause gets too long has nothing more to lose, and queued prompts
// are prefilled later.
func (l *Ledger) queuePartLocked(a *activeAttempt, key uint64, helper bool, e *EngineProfile, now time.Time) {
	s := l.serverLocked(key)
	s.advance(e, now)
	f := s.forecast(e, a.PartTime, a.PartTokens, helper, now)
	for _, other := range s.attempts {
		if other.Decoding {
			other.pauseExceeded = other.pauseExceeded || other.PauseObjective > 0 && f.longestPass > other.PauseObjective
		}
	}
	for _, p := range s.queue {
		p.attempt.expectedReady = p.attempt.expectedReady.Add(f.delay)
		p.expectedReady = p.expectedReady.Add(f.delay)
	}
	ready := now.Add(f.ready)
	if ready.After(a.expectedReady) {
		a.expectedReady = ready
	}
	p := &part{attempt: a, helper: helper, timeLeft: a.PartTime, tokensLeft: a.PartTokens, server: s, key: key, expectedReady: ready, slowdownFactor: s.slowdownFactor}
	a.parts = append(a.parts, p)
	s.enqueue(p, e, now)
}

// FirstToken records that the prompt of an attempt is prefilled and its stream has begun.
func (l *Ledger) FirstToken(id AttemptID, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.attempts[id]
	if a == nil || a.Decoding {
		return
	}
	l.observeFirstTokenLocked(a, now)
	for _, p := range a.parts {
		l.recordSignLocked(p.server, now)
	}
	a.Decoding = true
	a.changedAt = now
	l.endPrefillLocked(a)
}

// Event records the arrival of stream events, which mark the end of a pass of the server.
func (l *Ledger) Event(id AttemptID, server uint64, now time.Time) {
	engine := l.profileOf(server)
	l.mu.Lock()
	defer l.mu.Unlock()
	a, s := l.attempts[id], l.servers[server]
	if a == nil || s == nil || engine == nil {
		return
	}
	l.recordSignLocked(s, now)
	s.recordPass(&a.sample, engine, now)
}

// endPrefillLocked removes the remaining parts of an attempt whose prompt is prefilled or
// no longer needed.
func (l *Ledger) endPrefillLocked(a *activeAttempt) {
	if s := l.servers[a.Server]; s != nil {
		s.removeParts(a.ID)
	}
	for _, key := range a.Helpers {
		if h := l.servers[key]; h != nil {
			h.removeParts(a.ID)
		}
	}
	delete(l.prefilling, a.ID)
	a.Helpers, a.parts = nil, nil
}

// End records the end of an attempt.
func (l *Ledger) End(id AttemptID) {
	l.reportEnded(l.end(id))
}

func (l *Ledger) end(id AttemptID) []*activeAttempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.endLocked(id)
}

// endLocked ends an attempt. It returns the attempt, or none if it isn't known.
func (l *Ledger) endLocked(id AttemptID) []*activeAttempt {
	a := l.attempts[id]
	if a == nil {
		return nil
	}
	delete(l.attempts, id)
	l.endPrefillLocked(a)
	if s := l.servers[a.Server]; s != nil {
		s.attempts = slices.DeleteFunc(s.attempts, func(o *activeAttempt) bool { return o == a })
	}
	for _, key := range a.Holders {
		if s := l.servers[key]; s != nil {
			s.release(id)
		}
	}
	return []*activeAttempt{a}
}

// Reconcile ends the attempts of an entry that active doesn't list. It keeps those that
// changed at or after the given time, and those with a sequence number above newest, the
// highest one when the list was made (0: unknown). Such attempts began while the list was
// in transit, however long that took.
func (l *Ledger) Reconcile(owner uint64, active []uint64, newest uint64, changedBefore time.Time) {
	listed := make(map[uint64]bool, len(active))
	for _, seq := range active {
		listed[seq] = true
	}
	l.reportEnded(l.endMatching(func(a *activeAttempt) bool {
		newer := newest > 0 && a.ID.Seq > newest
		return a.ID.Owner == owner && !newer && !listed[a.ID.Seq] && a.changedAt.Before(changedBefore)
	}))
}

// EndOwner ends all attempts of an entry that is gone.
func (l *Ledger) EndOwner(owner uint64) {
	l.reportEnded(l.endMatching(func(a *activeAttempt) bool { return a.ID.Owner == owner }))
}

// endMatching ends the attempts that match and returns them.
func (l *Ledger) endMatching(match func(*activeAttempt) bool) (ended []*activeAttempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, a := range l.attempts {
		if match(a) {
			ended = append(ended, l.endLocked(id)...)
		}
	}
	return ended
}

// Refused records that a server refused an attempt.
func (l *Ledger) Refused(server uint64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.serverLocked(server).refusedAt = now
}

// Restarted records that a server restarted under the same name. Its queued prefill is
// lost, and it counts as running at its declared speed until measured otherwise. Its
// attempts stay until their entries see the connections close. Without this call the server
// would be avoided for seconds because of lost work, and treated as slow for parts that it
// never prefills.
func (l *Ledger) Restarted(server uint64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.servers[server]
	if s == nil {
		return
	}
	for _, p := range s.queue {
		p.attempt.parts = slices.DeleteFunc(p.attempt.parts, func(q *part) bool { return q == p })
	}
	s.queue, s.unconfirmed = nil, nil
	s.passEnd, s.refusedAt = time.Time{}, time.Time{}
	s.longPrefillLoad = 0
	s.slowdown = slowdown{}
	s.slowdown.reset(now)
	delete(l.slow, s)
}

// PruneServers removes servers that have no work and for which keep returns false.
func (l *Ledger) PruneServers(keep func(server uint64) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, s := range l.servers {
		if !keep(key) && len(s.attempts) == 0 && len(s.heldFor) == 0 && len(s.queue) == 0 {
			delete(l.servers, key)
		}
	}
}

// AttemptsOf returns the attempts of an entry, for example for a peer that starts with an
// empty ledger.
func (l *Ledger) AttemptsOf(owner uint64) []Attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Attempt
	for id, a := range l.attempts {
		if id.Owner == owner {
			out = append(out, a.Attempt)
		}
	}
	return out
}

// ServerOf returns the server of an attempt. known is false if the attempt isn't active.
func (l *Ledger) ServerOf(id AttemptID) (server uint64, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.attempts[id]
	if a == nil {
		return 0, false
	}
	return a.Server, true
}

func (l *Ledger) serverLocked(key uint64) *serverState {
	s := l.servers[key]
	if s == nil {
		s = &serverState{heldFor: map[AttemptID]int{}}
		l.servers[key] = s
	}
	return s
}

// hold records that the server holds tokens for an attempt that has several holders.
func (s *serverState) hold(id AttemptID, tokens int) {
	s.release(id)
	s.heldFor[id] = tokens
	s.heldTokens += tokens
}

// release undoes hold.
func (s *serverState) release(id AttemptID) {
	s.heldTokens -= s.heldFor[id]
	delete(s.heldFor, id)
}
