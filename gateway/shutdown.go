package gateway

import (
	"cmp"
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/routetable"
)

// Phases of a shutdown, in order.
const (
	phaseServing    int32 = iota
	phaseDraining         // responses close their connections
	phaseRefuseLate       // requests that might outlast the shutdown are refused
	phaseRefuseAll        // all new requests are refused
)

// Cancellation causes of a shutdown.
const (
	// errShutdownOver ends the attempts of requests whose response has not begun at its end.
	errShutdownOver = errors.ConstError("shutdown over")
	// errRefusedLate ends the waits of requests that might outlast it.
	errRefusedLate = errors.ConstError("might outlast the shutdown")
)

// presumedObjective is the time within which a plain idempotent request is presumed to be answered
// if its route names no objective. Few take as long, and callers may repeat them.
const presumedObjective = 2 * time.Second

// shutdown is the progress of a gateway's shutdown. It is safe for concurrent use.
type shutdown struct {
	phase    atomic.Int32
	end      atomic.Pointer[time.Time] // by which responses have to begin; nil before the shutdown
	late     context.Context           // done from phaseRefuseLate on
	markLate context.CancelFunc
	over     context.Context // done at end
	markOver context.CancelFunc
}

func newShutdown() *shutdown {
	s := &shutdown{}
	s.late, s.markLate = context.WithCancel(context.Background())
	s.over, s.markOver = context.WithCancel(context.Background())
	return s
}

// BeginShutdown begins a shutdown. From then on every response asks its caller to open a
// new connection, which the load balancer directs to another entry. A request whose response has
// not begun at end is answered then: its outcome is unknown, or it has not run.
func (g *Gateway) BeginShutdown(end time.Time) {
	s := g.shutdown
	s.end.Store(&end)
	s.phase.Store(phaseDraining)
	time.AfterFunc(time.Until(end), s.markOver)
}

// RefuseLate makes the gateway refuse requests that might outlast the shutdown: new ones, and those
// that wait and have not run.
func (g *Gateway) RefuseLate() { g.shutdown.refuse(phaseRefuseLate) }

// RefuseAll makes the gateway refuse all new requests, and those that RefuseLate refuses.
func (g *Gateway) RefuseAll() { g.shutdown.refuse(phaseRefuseAll) }

func (s *shutdown) refuse(phase int32) {
	s.phase.Store(phase)
	s.markLate()
}

// ShuttingDown reports whether a shutdown has begun.
func (g *Gateway) ShuttingDown() bool { return g.shutdown.phase.Load() >= phaseDraining }

// ActiveRequests returns how many requests are in progress.
func (g *Gateway) ActiveRequests() int64 { return g.activeRequests.Load() }

// refusedByShutdown reports whether the shutdown refuses the request before its next attempt. One that
// may have run keeps its attempts: no refusal would be true.
func (e *exchange) refusedByShutdown() bool { return !e.mayHaveRun && e.mayOutlastShutdown() }

// refusesNew reports whether the shutdown refuses the request, which has just arrived.
func (e *exchange) refusesNew() bool {
	return e.gateway.shutdown.phase.Load() == phaseRefuseAll || e.mayOutlastShutdown()
}

// mayOutlastShutdown reports whether requests that might outlast the shutdown are refused by now and
// this is one if it is sent now.
func (e *exchange) mayOutlastShutdown() bool {
	return e.gateway.shutdown.refusesLate() && time.Now().After(e.latestSend())
}

func (s *shutdown) refusesLate() bool { return s.phase.Load() >= phaseRefuseLate }

// latestSend returns the time until which the request may be sent to a server, once the shutdown
// refuses requests that might outlast it. It is in the past if a response might come after the end.
// A plain idempotent request is taken on as long as its route promises a response before the end:
// its caller may repeat it if the promise isn't kept.
func (e *exchange) latestSend() time.Time {
	end := *e.gateway.shutdown.end.Load()
	switch {
	case !e.deadline.After(end):
		return e.deadline
	case e.isPlainRepeatable():
		return end.Add(-cmp.Or(e.route.Objective, presumedObjective))
	}
	return e.startedAt
}

// limitWait returns a context for waits before an attempt is sent. It ends with its parent, or with the
// cause errRefusedLate when the shutdown refuses the request.
func (e *exchange) limitWait(parent context.Context) (context.Context, context.CancelFunc) {
	if e.mayHaveRun {
		return parent, func() {}
	}
	ctx, cancel := context.WithCancelCause(parent)
	stop := context.AfterFunc(e.gateway.shutdown.late, func() {
		if e.mayOutlastShutdown() {
			cancel(errRefusedLate)
		}
	})
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// limitBodyRead ends the reading of the body, which ends at limit otherwise, once it would be
// complete too late for the shutdown. Call the returned function after the reading.
func (e *exchange) limitBodyRead(controller *http.ResponseController, limit time.Time) (stop func()) {
	ran := make(chan struct{})
	unregister := context.AfterFunc(e.gateway.shutdown.late, func() {
		defer close(ran)
		if latest := e.latestSend(); latest.Before(limit) {
			_ = controller.SetReadDeadline(latest) // error ignored as in readBody
		}
	})
	return func() {
		if !unregister() {
			<-ran // it would limit what is read next
		}
	}
}

// isPlainRepeatable reports whether the request is idempotent and generates nothing.
func (e *exchange) isPlainRepeatable() bool {
	return e.route.Kind == routetable.Idempotent && e.info.Prompt.InputTokens == 0
}

// requestContext returns the context of the request's attempts. It ends at the deadline, or with
// the cause errShutdownOver when the shutdown is over and the response has not begun.
func (e *exchange) requestContext() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(e.incoming.Context())
	e.keepBeyondShutdown = context.AfterFunc(e.gateway.shutdown.over, func() { cancel(errShutdownOver) })
	ctx, cancelDeadline := context.WithDeadline(ctx, e.deadline)
	return ctx, func() {
		e.keepBeyondShutdown()
		cancelDeadline()
		cancel(nil)
	}
}

// endedByShutdown reports whether the context of a request ended because the shutdown is over.
func endedByShutdown(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), errShutdownOver)
}
