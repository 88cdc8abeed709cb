package load

import (
	"time"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/internal/standin/answer"
	"github.com/briarturn/briarturn/request"
)

// Status is how a request ended, as its caller saw it.
type Status uint8

// Statuses. Exactly one holds of each arrival.
const (
	StatusFinished  Status = iota // whole and its own
	StatusNotRun                  // refused with not_run
	StatusUnknown                 // failed with outcome_unknown
	StatusTransport               // no answer that the API allows for
	StatusOverdue                 // no end within the time limit and its grace
	StatusCut                     // text is missing
	StatusDoubled                 // text was given twice
	StatusReordered               // all the text, in another order
	StatusCrossed                 // text of something else
	StatusUnsent                  // the generator was at its limit in flight
)

// Reasons of StatusTransport.
const (
	reasonConnect  = "connect"   // no response
	reasonBroken   = "broken"    // the response ended before its end mark
	reasonBadBody  = "bad_body"  // a 200 that can't be decoded
	reasonTooLarge = "too_large" // more answer than asked for, by far
)

// outcome is what came of one arrival.
type outcome struct {
	status    Status
	reason    string // for not run, unknown, transport
	ttft      time.Duration
	first     bool // ttft is set: a streamed token came
	total     time.Duration
	inTime    bool
	gaps      []time.Duration // between tokens
	sendLag   time.Duration
	finished  time.Duration // after the start of the run
	completed int           // output tokens of a whole answer
}

// failed sets what an API failure implies.
func (o *outcome) failed(code, reason string, httpStatus string) {
	switch request.FailureCode(code) {
	case request.NotRun:
		o.status, o.reason = StatusNotRun, reason
	case request.OutcomeUnknown:
		o.status, o.reason = StatusUnknown, reason
	default:
		o.status, o.reason = StatusTransport, httpStatus
	}
}

// judgement maps what package answer found to a status.
func judgement(err error) Status {
	if err == nil {
		return StatusFinished
	}
	var fault *answer.Fault
	if !errors.As(err, &fault) {
		return StatusCrossed
	}
	switch fault.Kind {
	case answer.Cut:
		return StatusCut
	case answer.Doubled:
		return StatusDoubled
	case answer.Reordered:
		return StatusReordered
	}
	return StatusCrossed
}
