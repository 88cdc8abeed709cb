package request

import (
	"sync"
	"time"

	"github.com/briarturn/briarturn/invariant"
	"github.com/juju/errors"
)

// ErrInvalidTransition is returned for a step that the life cycle doesn't have.
const ErrInvalidTransition = errors.ConstError("request life cycle: no such transition")

// State is where a request is in its life.
type State uint8

// States of a request. Finished and Failed are final.
const (
	Received   State = iota // parsed and valid
	Admitted                // within its workspace's limits
	Queued                  // waits for its turn
	Dispatched              // an agent was asked; nothing has been given to the caller
	Answering               // the caller has a part of the answer
	Finished                // the caller has the whole answer
	Failed                  // the caller has a refusal or an error
	stateCount
)

var stateNames = [stateCount]string{
	"received", "admitted", "queued", "dispatched", "answering", "finished", "failed",
}

// String returns the state's name as metrics and logs print it.
func (s State) String() string {
	if s < stateCount {
		return stateNames[s]
	}
	return "invalid"
}

// Final reports whether a request in this state has had its last answer.
func (s State) Final() bool { return s == Finished || s == Failed }

// next lists the allowed steps. Dispatched leads back to Queued for a retry
// that is safe; Answering never does, since the caller holds a part already.
var next = [stateCount][]State{
	Received:   {Admitted, Failed},
	Admitted:   {Queued, Failed},
	Queued:     {Dispatched, Finished, Failed}, // finished: replayed from a claim
	Dispatched: {Queued, Answering, Finished, Failed},
	Answering:  {Finished, Failed},
}

// Invariants of the life cycle.
var (
	ivOneEnd = invariant.New("request.one-final-answer",
		"a request gets one final answer, and none after it")
	ivTrueNotRun = invariant.New("request.not-run-is-true",
		"not_run is answered only while no attempt can have begun")
	ivInTime = invariant.New("request.ends-by-deadline",
		"a request ends no later than its deadline plus the grace")
)

// EndGrace is how long after its deadline a request's final answer may still be
// on its way inside the process.
const EndGrace = 2 * time.Second

// Lifecycle is the life of one request. It is safe for concurrent use; mu guards all
// fields.
type Lifecycle struct {
	mu       sync.Mutex
	state    State
	deadline time.Time
	attempts uint32
	// mayHaveRun is set when an attempt's body is about to be sent and cleared
	// only when that attempt's end proves that it didn't begin.
	mayHaveRun bool
	changed    time.Time
}

// NewLifecycle starts the life of a request at Received.
func NewLifecycle(deadline, now time.Time) *Lifecycle {
	return &Lifecycle{deadline: deadline, changed: now}
}

// State returns the present state.
func (l *Lifecycle) State() State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state
}

// Transition takes one step. It returns ErrInvalidTransition, and leaves the state as it is,
// where the life cycle has no such step.
func (l *Lifecycle) Transition(to State, now time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if to.Final() {
		ivOneEnd.Check(!l.state.Final(), "from %s to %s", l.state, to)
		ivInTime.Check(!now.After(l.deadline.Add(EndGrace)), "%s after the deadline in %s", now.Sub(l.deadline), l.state)
	}
	for _, s := range next[l.state] {
		if s == to {
			l.state = to
			l.changed = now
			return nil
		}
	}
	return errors.Annotatef(ErrInvalidTransition, "from %s to %s", l.state, to)
}

// Expired reports whether the deadline has passed.
func (l *Lifecycle) Expired(now time.Time) bool { return !now.Before(l.deadline) }

// BeginAttempt numbers a new attempt, from 1.
func (l *Lifecycle) BeginAttempt() uint32 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts++
	return l.attempts
}

// MarkMayHaveRun records that the present attempt may begin to run from now on. Call
// it before the first byte of the body is sent.
func (l *Lifecycle) MarkMayHaveRun() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mayHaveRun = true
}

// MarkNotRun records that the present attempt has ended and can't have begun.
// earlier tells whether an earlier attempt may have run; then it stays so.
func (l *Lifecycle) MarkNotRun(earlier bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mayHaveRun = earlier
}

// FailureCode returns what a failure at this moment may truthfully say.
func (l *Lifecycle) FailureCode() FailureCode {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.mayHaveRun {
		return OutcomeUnknown
	}
	return NotRun
}

// CheckFailure asserts that a failure about to be answered claims no more than
// is known, and weakens it to outcome_unknown where it does.
func (l *Lifecycle) CheckFailure(f *Failure) *Failure {
	sure := l.FailureCode()
	if f.Code != NotRun {
		return f
	}
	if ivTrueNotRun.Check(sure == NotRun, "reason %s", f.Reason) {
		return f
	}
	weaker := *f
	weaker.Code = OutcomeUnknown
	return &weaker
}
