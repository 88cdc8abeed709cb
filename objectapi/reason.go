package objectapi

import "context"

// Reason says why a process calls the object API, so that an operator sees which habit
// the calls of a fleet come from. Every call is paid for and counts toward a rate that
// all processes share.
type Reason string

// Reasons.
const (
	ReasonStart    Reason = "start"    // first list of a kind by a process
	ReasonFollow   Reason = "follow"   // a watch right after the one before
	ReasonTakeUp   Reason = "take_up"  // a watch after peers had kept the kind current
	ReasonGap      Reason = "gap"      // list again: the store forgot the watch's place
	ReasonRetry    Reason = "retry"    // after a call that failed
	ReasonAnnounce Reason = "announce" // presence of the process itself
	ReasonOther    Reason = "other"    // callers that give none
)

type reasonKey struct{}

// WithReason returns a context whose calls are counted under a reason.
func WithReason(ctx context.Context, r Reason) context.Context {
	return context.WithValue(ctx, reasonKey{}, r)
}

// ReasonOf returns the reason that WithReason set, else ReasonOther.
func ReasonOf(ctx context.Context) Reason {
	if r, ok := ctx.Value(reasonKey{}).(Reason); ok {
		return r
	}
	return ReasonOther
}
