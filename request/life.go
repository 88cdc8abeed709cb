package request

import (
	"sync"
	"time"

	"github.com/briarturn/briarturn/invariant"
	"github.com/juju/errors"
)

// ErrInvalidTransition is returned for a transition that the life cycle doesn't allow.
const ErrInvalidTransition = errors.ConstError("request life cycle: no such transition")

// State is a state in the life cycle of a request.
type State uint8

// States of a request. Finished and Failed are final.
const (
	Received   State = iota // parsed and valid
	Admitted                // within the limits of its workspace
	Queued                  // waiting for dispatch
	Dispatched              // sent to an agent; the caller has received nothing
	Answering               // the caller has received a part of the answer
	Finished                // the caller has received the whole answer
	Failed                  // the caller has received a refusal or an error
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

// Final reports whether a request in this state has received its final answer.
func (s State) Final() bool { return s == Finished || s == Failed }

// allowedTransitions lists the valid next states. Dispatched may go back to Queued for
// a safe retry; Answering may not, because the caller has a part of the answer.
var allowedTransitions = [stateCount][]State{
	Received:   {Admitted, Failed},
	Admitted:   {Queued, Failed},
	Queued:     {Dispatched, Finished, Failed}, // Finished: answer replayed from a claim
	Dispatched: {Queued, Answering, Finished, Failed},
	Answering:  {Finished, Failed},
}

// Invariants of the life cycle.
var (
	invariantOneFinalAnswer = invariant.New("request.one-final-answer",
		"a request gets one final answer, and none after it")
	invariantNotRunIsTrue = invariant.New("request.not-run-is-true",
		"not_run is answered only while no attempt can have begun")
	invariantEndsByDeadline = invariant.New("request.ends-by-deadline",
		"a request ends no later than its deadline plus the grace")
)

// EndGrace is how long after the deadline of a request its final answer may still
// be in progress inside the process.
const EndGrace = 2 * time.Second

// Lifecycle tracks the state of one request. It is safe for concurrent use; mu guards
// all fields.
type Lifecycle struct {
	mu       sync.Mutex
	state    State
	deadline time.Time
	attempts uint32
	// mayHaveRun is set when the body of an attempt is about to be sent. It is
	// cleared only when the end of that attempt proves that it didn't start.
	mayHaveRun bool
	changed    time.Time
}

// NewLifecycle returns the Lifecycle of a request in state Received.
func NewLifecycle(deadline, now time.Time) *Lifecycle {
	return &Lifecycle{deadline: deadline, changed: now}
}

// State returns the current state.
func (l *Lifecycle) State() State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state
}

// Transition moves the request to a state. If the life cycle doesn't allow it, it
// returns ErrInvalidTransition and leaves the state unchanged.
func (l *Lifecycle) Transition(to State, now time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if to.Final() {
		invariantOneFinalAnswer.Check(!l.state.Final(), "from %s to %s", l.state, to)
		invariantEndsByDeadline.Check(!now.After(l.deadline.Add(EndGrace)), "%s after the deadline in %s", now.Sub(l.deadline), l.state)
	}
	for _, s := range allowedTransitions[l.state] {
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

// BeginAttempt returns the number of a new attempt, starting at 1.
func (l *Lifecycle) BeginAttempt() uint32 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts++
	return l.attempts
}

// MarkMayHaveRun records that the current attempt may start to run from now on. It
// must be called before the first byte of the body is sent.
func (l *Lifecycle) MarkMayHaveRun() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mayHaveRun = true
}

// MarkNotRun records that the current attempt has ended and can't have started.
// earlierMayHaveRun reports whether an earlier attempt may have run; if so, the
// request may still have run.
func (l *Lifecycle) MarkNotRun(earlierMayHaveRun bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mayHaveRun = earlierMayHaveRun
}

// FailureCode returns the code that a failure must have in the current state.
func (l *Lifecycle) FailureCode() FailureCode {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.mayHaveRun {
		return OutcomeUnknown
	}
	return NotRun
}

// CheckFailure verifies that a failure about to be returned doesn't claim not_run
// although an attempt may have run. If it does, the invariant is violated and
// CheckFailure returns a copy with outcome_unknown.
func (l *Lifecycle) CheckFailure(f *Failure) *Failure {
	code := l.FailureCode()
	if f.Code != NotRun {
		return f
	}
	if invariantNotRunIsTrue.Check(code == NotRun, "reason %s", f.Reason) {
		return f
	}
	weaker := *f
	weaker.Code = OutcomeUnknown
	return &weaker
}
