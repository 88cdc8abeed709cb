package gateway

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/placement"
	"github.com/briarturn/briarturn/reservation"
	"github.com/briarturn/briarturn/workspace"
)

// placedAttempt is an attempt on the servers that were chosen for it, with the memory
// that is reserved on them.
type placedAttempt struct {
	placement.Placement
	reservation    *reservation.Reservation // nil if no memory is reserved
	firstEventSeen bool                     // an event of the stream was relayed
	began          bool                     // the server has begun to respond with content
	lifeAt         time.Time                // when an event was last recorded as a sign of life of the server
	ticket         workspace.Ticket         // of its turn, if it waited for room
	cost           int64                    // tokens charged for the turn
	watch          *silenceWatch            // nil if the attempt doesn't move when it shows nothing
}

// context returns a context that ends with its parent, or when the engines report that
// the attempt did not begin in time. Call the cancel function when done.
func (r *placedAttempt) context(parent context.Context) (context.Context, context.CancelFunc) {
	if r.reservation == nil {
		return context.WithCancel(parent)
	}
	return r.reservation.Context(parent)
}

// neverStarted reports whether the context of an attempt ended because the attempt did
// not begin in time.
func neverStarted(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), reservation.ErrUnused)
}

// requestEnded reports whether the request's deadline has passed or its caller is gone.
// It returns false if only the attempt was ended because it did not begin or showed nothing.
func requestEnded(ctx context.Context) bool {
	return ctx.Err() != nil && !neverStarted(ctx) && !movedAway(ctx)
}

// recordEvent records an event of the stream. The first event of each attempt, not only
// of the stream, shows that the prompt is read and its memory in use. The prompt of a
// resumed stream is read again by other servers, which would otherwise count as slow
// until the end of the stream.
func (r *placedAttempt) recordEvent() {
	if !r.firstEventSeen {
		r.firstEventSeen = true
		r.recordFirstToken()
	}
	r.Event()
}

func (r *placedAttempt) recordFirstToken() {
	r.FirstToken()
	if r.reservation != nil {
		r.reservation.FirstToken()
	}
}

// release ends the placement of the attempt and releases its memory.
func (r *placedAttempt) release() {
	r.End()
	if r.reservation != nil {
		r.reservation.Release()
	}
	r.ticket.Release(r.cost)
}
