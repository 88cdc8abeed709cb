package gateway

import (
	"context"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/placement"
	"github.com/briarturn/briarturn/reservation"
)

// run is one attempt on the servers that were chosen for it, with the memory that is
// reserved there.
type run struct {
	placement.Placement
	memory *reservation.Reservation // nil: none is reserved
	writes bool                     // the first event has come
}

// context returns a context that ends with its parent, and when the engines say that
// the run has not begun in time. Cancel it.
func (r *run) context(parent context.Context) (context.Context, context.CancelFunc) {
	if r.memory == nil {
		return context.WithCancel(parent)
	}
	return r.memory.Context(parent)
}

// notBegun reports whether the context of a run ended because it has not begun.
func notBegun(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), reservation.ErrUnused)
}

// timeUp reports whether the caller's time is up or the caller gone, not only the time
// of a run.
func timeUp(ctx context.Context) bool { return ctx.Err() != nil && !notBegun(ctx) }

// event takes an event of the stream. The first one of each run, not of the stream
// alone, tells that its prompt is read and its memory in use: a resumed stream is read
// again by other servers, which else would count as slow until its end.
func (r *run) event() {
	if !r.writes {
		r.writes = true
		r.firstToken()
	}
	r.Event()
}

func (r *run) firstToken() {
	r.FirstToken()
	if r.memory != nil {
		r.memory.FirstToken()
	}
}

// end gives back what the attempt took.
func (r *run) end() {
	r.End()
	if r.memory != nil {
		r.memory.Release()
	}
}
