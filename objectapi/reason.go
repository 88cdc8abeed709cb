package objectapi

import "context"

// CallReason says why a process calls the object API, so that an operator sees which habit
// the calls of a fleet come from. Every call is paid for and counts toward a rate that
// all processes share.
type CallReason string

// Reasons.
const (
	ReasonStart       CallReason = "start"    // first list of a kind by a process
	ReasonNextWatch   CallReason = "follow"   // a watch right after the one before
	ReasonResumeWatch CallReason = "take_up"  // a watch after peers had kept the kind current
	ReasonGap         CallReason = "gap"      // list again: the store forgot the watch's place
	ReasonRetry       CallReason = "retry"    // after a call that failed
	ReasonAnnounce    CallReason = "announce" // presence of the process itself
	ReasonOther       CallReason = "other"    // callers that give none
)

type reasonKey struct{}

// WithReason returns a context whose calls are counted under a reason.
func WithReason(ctx context.Context, r CallReason) context.Context {
	return context.WithValue(ctx, reasonKey{}, r)
}

// ReasonFromContext returns the reason that WithReason set, else ReasonOther.
func ReasonFromContext(ctx context.Context) CallReason {
	if r, ok := ctx.Value(reasonKey{}).(CallReason); ok {
		return r
	}
	return ReasonOther
}
