package request

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// AttemptOutcome is how an attempt ended, as far as the entry knows.
type AttemptOutcome struct {
	Idempotent bool // the request may run more than once
	Refused    bool // the agent refused, or an end proved that nothing began
	Sent       bool // the body, or a part of it, was sent
	FirstByte  bool // the caller has a part of the answer
	EngineDead bool // the agent says that the engine died
	Rejected   bool // the engine answered with an error that another would give too
	Deadline   bool // the time limit has passed
}

// RetryAction is what to do after an attempt has ended without an answer.
type RetryAction uint8

// Actions.
const (
	Fail   RetryAction = iota // answer the caller now
	Retry                     // another attempt from the start, on another server
	Resume                    // another attempt behind the last chunk given
)

// RetryDecision is an action with what a failure may say.
type RetryDecision struct {
	Action      RetryAction
	FailureCode FailureCode // for Fail, and for the case that no retry can be had
	// Suspect: the request was running when an engine died, so that it may have
	// killed it and must not be tried beside others.
	Suspect bool
}

// DecideRetry is the table of safe retries:
//
//	| refused | sent | idempotent | first byte | → |
//	| yes     | any  | any        | no         | another attempt; not_run
//	| no      | no   | any        | no         | another attempt; not_run
//	| no      | yes  | no         | any        | fail; outcome_unknown
//	| no      | yes  | yes        | no         | another attempt; outcome_unknown
//	| no      | yes  | yes        | yes        | resume; outcome_unknown
//
// Past the deadline, or if the engine rejected the request itself, it fails in
// every row. A lost answer is the same as a broken stream: after a body was sent
// nothing tells the two apart.
func DecideRetry(s AttemptOutcome) RetryDecision {
	v := RetryDecision{FailureCode: OutcomeUnknown, Suspect: s.EngineDead && s.Sent}
	if s.Refused || !s.Sent {
		v.FailureCode = NotRun
	}
	if s.Deadline || s.Rejected {
		return v
	}
	switch {
	case s.Refused && s.FirstByte:
		// A resume was refused: the earlier attempt did run.
		v.FailureCode = OutcomeUnknown
		v.Action = Resume
	case v.FailureCode == NotRun:
		v.Action = Retry
	case !s.Idempotent:
		v.Action = Fail
	case s.FirstByte:
		v.Action = Resume
	default:
		v.Action = Retry
	}
	return v
}

// RetryBudget bounds retries of one workspace to a share of its requests, so that an
// outage isn't multiplied: when every attempt fails, load grows by that share
// and no more. Each request earns a part of a retry; each retry spends one.
type RetryBudget struct {
	mu    sync.Mutex // guards tokens
	share float64
	cap   float64
	have  float64
	floor *rate.Limiter
}

// RetryBudgetOptions configures a RetryBudget.
type RetryBudgetOptions struct {
	Ratio        float64 // retries a request earns, 0 to 1
	Burst        float64 // most that may be saved up
	MinPerSecond float64 // retries allowed in any case, so that a quiet workspace has some
}

// DefaultRetryBudget lets retries add a fifth to the load.
var DefaultRetryBudget = RetryBudgetOptions{Ratio: 0.2, Burst: 20, MinPerSecond: 1}

// NewRetryBudget returns a full RetryBudget.
func NewRetryBudget(o RetryBudgetOptions) *RetryBudget {
	floor := rate.NewLimiter(rate.Limit(o.MinPerSecond), max(1, int(o.MinPerSecond)))
	return &RetryBudget{share: o.Ratio, cap: o.Burst, have: o.Burst, floor: floor}
}

// RecordRequest credits one request.
func (b *RetryBudget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.have = min(b.cap, b.have+b.share)
}

// TryWithdraw takes one retry and reports whether there was one.
func (b *RetryBudget) TryWithdraw(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.have >= 1 {
		b.have--
		return true
	}
	return b.floor.AllowN(now, 1)
}
