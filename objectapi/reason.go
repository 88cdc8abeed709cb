package objectapi

import "context"

// CallReason is the reason for a call of the object API, so that an operator can
// attribute the calls of a fleet to their causes. Every call is paid for and counts
// toward a rate limit that all processes share.
type CallReason string

// Reasons for calls.
const (
	ReasonStart       CallReason = "start"    // first list of a kind by a process
	ReasonNextWatch   CallReason = "follow"   // watch that directly follows the previous one
	ReasonResumeWatch CallReason = "take_up"  // watch after peers kept the kind current
	ReasonGap         CallReason = "gap"      // new list because the store's history no longer has the watch's revision
	ReasonRetry       CallReason = "retry"    // after a call that failed
	ReasonAnnounce    CallReason = "announce" // write of the presence of this process
	ReasonOther       CallReason = "other"    // calls whose context has no reason
)

type reasonKey struct{}

// WithReason returns a context whose calls are counted under reason r.
func WithReason(ctx context.Context, r CallReason) context.Context {
	return context.WithValue(ctx, reasonKey{}, r)
}

// ReasonFromContext returns the reason that WithReason set, or ReasonOther if
// there is none.
func ReasonFromContext(ctx context.Context) CallReason {
	if r, ok := ctx.Value(reasonKey{}).(CallReason); ok {
		return r
	}
	return ReasonOther
}
