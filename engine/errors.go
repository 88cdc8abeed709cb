package engine

import (
	"fmt"

	"github.com/juju/errors"
)

// Errors of a run; test for them with errors.Is.
const (
	// ErrNotRun means that the engine certainly did not run the request: no byte
	// of it left this process, or the engine rejected it with code not_run.
	ErrNotRun = errors.ConstError("engine did not run it")
	// ErrBroken means that the connection broke after part of the request was
	// sent: the engine may have run it. If the caller's context ended, errors.Is
	// also matches context.Canceled or context.DeadlineExceeded.
	ErrBroken = errors.ConstError("connection to engine broke")
	// ErrMalformed means that the output of the engine violates the API or exceeds
	// a limit.
	ErrMalformed = errors.ConstError("engine output is malformed")
	// ErrBadBody means that the caller's body is not a JSON object; nothing was
	// sent.
	ErrBadBody = errors.ConstError("request body is not a JSON object")
	// ErrStaleFence means that the engine has seen a higher fencing number.
	ErrStaleFence = errors.ConstError("fencing number is stale")
)

// Error codes in the error bodies of an engine.
const (
	codeNotRun     = "not_run"
	codeStaleFence = "stale_fence"
)

// StatusError is a response with an error status, or an error object inside a
// stream, in which case Status is 200.
type StatusError struct {
	Status  int
	Code    string
	Excerpt string // start of the body
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("engine answered with status %d, code %q: %s", e.Status, e.Code, e.Excerpt)
}
