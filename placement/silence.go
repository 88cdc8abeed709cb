package placement

import (
	"math"
	"slices"
	"time"
)

// The constants below handle streams on a server that has become slow or mute while others
// serve: the forecast of such a stream is long past, and its caller leaves without an event.
const (
	// silentForecastFactor is the multiple of its forecast, beside firstTokenSlack, after which an
	// attempt without a first token counts as silent: more than forecasts are off on healthy servers.
	silentForecastFactor = 2.0
	// weakEvidenceFactor multiplies that time if nothing singles out a server of the attempt:
	// the entry may be cut off, or a part of the prompt be lost.
	weakEvidenceFactor = 2.0
	// minMoveGain is the ratio of the expected remaining wait to the forecast elsewhere from
	// which a move is worth the prefill that it discards.
	minMoveGain = 2.0
	// maxSilentShare is the share of servers with an overdue prompt above which the cause is
	// load, which moves would add to.
	maxSilentShare = 0.5
)

// Silence describes an attempt that has shown nothing yet, and what is known of its servers
// and the others.
type Silence struct {
	Forecast time.Duration // from the start of the attempt to its first token, as expected now
	Waited   time.Duration // since the start of the attempt
	TimeLeft time.Duration // of the caller; 0 if unknown
	Suspect  Candidate     // server of the attempt that most likely delays it
	// SuspectSilent means that Suspect has shown nothing since the attempt began, while
	// another server has.
	SuspectSilent bool
	SuspectSlow   bool    // Suspect is measured as slow
	OverdueShare  float64 // share of all servers that have an overdue prompt
}

// MoveVerdict says whether a silent attempt moves to another server.
type MoveVerdict uint8

// The verdicts on a silent attempt.
const (
	KeepWaiting    MoveVerdict = iota // not silent for long enough, or too little evidence
	MayMove                           // it moves if Gains says so
	MoveOverloaded                    // too many servers are overdue: no other one is better
)

// Patience returns how long an attempt may show nothing before it counts as silent, from its
// start.
func Patience(forecast time.Duration) time.Duration {
	return scale(forecast, silentForecastFactor) + firstTokenSlack
}

// Verdict returns whether the attempt may move.
func (s Silence) Verdict() MoveVerdict {
	patience := Patience(s.Forecast)
	if !s.SuspectSilent && !s.SuspectSlow {
		patience = scale(patience, weakEvidenceFactor)
	}
	switch {
	case s.Waited < patience:
		return KeepWaiting
	case s.OverdueShare > maxSilentShare:
		return MoveOverloaded
	}
	return MayMove
}

// Gains reports whether a first token that is forecast elsewhere after the given time (0: not placed
// there now) is clearly earlier than the one that the attempt waits for. The remaining wait of an
// attempt that is late by some time is expected to be as long again.
func (s Silence) Gains(elsewhere time.Duration) bool {
	if elsewhere <= 0 || s.TimeLeft > 0 && elsewhere >= s.TimeLeft {
		return false
	}
	return s.Waited-s.Forecast >= scale(elsewhere, minMoveGain)
}

// Silence returns what is known of an attempt that has shown nothing yet. The query is that of
// a new attempt. ok is false if the attempt has shown its first token or has ended.
func (p Placement) Silence(q Query) (s Silence, ok bool) {
	now := p.planner.clock()
	l := p.planner.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.prefilling[p.attemptID]
	if a == nil || len(a.parts) == 0 {
		return Silence{}, false
	}
	l.checkOverdueLocked(now)
	suspect := a.mostSilentPart()
	return Silence{
		Forecast: a.expectedReady.Sub(a.begunAt), Waited: now.Sub(a.begunAt), TimeLeft: q.TimeLeft,
		Suspect:       p.candidateOf(suspect.key),
		SuspectSilent: suspect.server.shownAt.Before(a.begunAt) && l.shownAt.After(a.begunAt),
		SuspectSlow:   suspect.server.slowdown.factorAt(now) > maxNormalSlowdown,
		OverdueShare:  l.overdueShareLocked(now),
	}, true
}

// Elsewhere returns the forecast of the first token if the request were placed on candidates now,
// without the suspect, or 0 if it would not be placed. It changes candidates.
func (p Placement) Elsewhere(s Silence, q Query, candidates []Candidate) time.Duration {
	l := p.planner.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	others := slices.DeleteFunc(candidates, func(c Candidate) bool { return c.Instance == s.Suspect.Instance })
	return p.planner.forecastLocked(q, others, p.planner.clock())
}

// candidateOf returns the server of the placement with the given key.
func (p Placement) candidateOf(key uint64) Candidate {
	for _, h := range p.Helpers {
		if ServerKey(h.Instance) == key {
			return h
		}
	}
	return p.Server
}

// mostSilentPart returns the part on the server that has shown nothing for longest.
func (a *activeAttempt) mostSilentPart() *part {
	most := a.parts[0]
	for _, p := range a.parts[1:] {
		if p.server.shownAt.Before(most.server.shownAt) {
			most = p
		}
	}
	return most
}

// recordSignLocked records that servers have shown a first token or the end of a pass.
func (l *Ledger) recordSignLocked(s *serverState, now time.Time) {
	s.shownAt = now
	l.shownAt = now
}

// overdueShareLocked returns the share of servers that most likely delay a prompt which is
// overdue.
func (l *Ledger) overdueShareLocked(now time.Time) float64 {
	overdue := map[*serverState]struct{}{}
	for _, a := range l.prefilling {
		expected := a.expectedReady.Sub(a.begunAt)
		late := now.Sub(a.expectedReady)
		if len(a.parts) > 0 && late > firstTokenSlack && now.Sub(a.begunAt) > scale(expected, lateFirstTokenFactor) {
			overdue[a.mostSilentPart().server] = struct{}{}
		}
	}
	return float64(len(overdue)) / float64(max(1, len(l.servers)))
}

// forecastLocked returns the forecast of the first token of a query if it were placed now, or 0 if
// it would not be placed.
func (p *Planner) forecastLocked(q Query, candidates []Candidate, now time.Time) time.Duration {
	if len(candidates) == 0 {
		return 0
	}
	best := p.bestChoice(q, p.optionsLocked(candidates), 0, now)
	if math.IsInf(best.loss, 1) || q.missesDeadline(best.firstToken) || best.shouldDefer(q, 0, len(candidates)) {
		return 0
	}
	return best.firstToken
}
