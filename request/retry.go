package request

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// AttemptOutcome describes how an attempt ended, as observed by the entry.
type AttemptOutcome struct {
	Idempotent bool // the request may run more than once
	Refused    bool // the agent refused, or the end of the attempt proved that nothing started
	Sent       bool // the body, or a part of it, was sent
	FirstByte  bool // the caller has received a part of the answer
	EngineDead bool // the agent reported that the engine died
	Rejected   bool // the engine returned an error that any other engine would return too
	Deadline   bool // the deadline has passed
}

// RetryAction is the next step after an attempt that ended without an answer.
type RetryAction uint8

// Retry actions.
const (
	Fail   RetryAction = iota // return a failure to the caller
	Retry                     // start a new attempt from the beginning, on another server
	Resume                    // start a new attempt after the last delivered chunk
)

// RetryDecision is an action and the code of a failure.
type RetryDecision struct {
	Action      RetryAction
	FailureCode FailureCode // used for Fail, and if no retry is possible
	// Suspect is set if the request was sent to an engine that died. It may have
	// caused the crash and must not run together with other requests.
	Suspect bool
}

// DecideRetry returns the action and failure code from the table of safe retries:
//
//	| refused | sent | idempotent | first byte | action; failure code
//	| yes     | any  | any        | no         | retry; not_run
//	| yes     | any  | any        | yes        | resume; outcome_unknown
//	| no      | no   | any        | any        | retry; not_run
//	| no      | yes  | no         | any        | fail; outcome_unknown
//	| no      | yes  | yes        | no         | retry; outcome_unknown
//	| no      | yes  | yes        | yes        | resume; outcome_unknown
//
// After the deadline, or if the engine rejected the request itself, the action is
// fail in every row.
// A lost answer and a broken stream are treated alike, because after the body was
// sent they can't be distinguished.
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
		// A resume was refused: the earlier attempt has run.
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

// RetryBudget limits the retries of one workspace to a fraction of its requests, so
// that retries don't amplify an outage: if every attempt fails, the load grows by at
// most that fraction. Each request adds a fraction of a retry; each retry uses one.
type RetryBudget struct {
	mu         sync.Mutex // guards balance
	ratio      float64
	maxBalance float64
	balance    float64
	minRate    *rate.Limiter
}

// RetryBudgetOptions configures a RetryBudget.
type RetryBudgetOptions struct {
	Ratio float64 // retries added per request, 0 to 1
	Burst float64 // maximum number of retries that can accumulate
	// MinPerSecond is the number of retries per second that are allowed with an empty
	// balance, so that a workspace with few requests can retry.
	MinPerSecond float64
}

// DefaultRetryBudget allows retries to add a fifth to the load.
var DefaultRetryBudget = RetryBudgetOptions{Ratio: 0.2, Burst: 20, MinPerSecond: 1}

// NewRetryBudget returns a full RetryBudget.
func NewRetryBudget(o RetryBudgetOptions) *RetryBudget {
	minRate := rate.NewLimiter(rate.Limit(o.MinPerSecond), max(1, int(o.MinPerSecond)))
	return &RetryBudget{ratio: o.Ratio, maxBalance: o.Burst, balance: o.Burst, minRate: minRate}
}

// RecordRequest adds RetryBudgetOptions.Ratio to the balance, for one request.
func (b *RetryBudget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.maxBalance, b.balance+b.ratio)
}

// TryWithdraw uses one retry and reports whether one was available.
func (b *RetryBudget) TryWithdraw(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance >= 1 {
		b.balance--
		return true
	}
	return b.minRate.AllowN(now, 1)
}
