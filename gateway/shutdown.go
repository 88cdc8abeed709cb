package gateway

import (
	"context"
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

// errShutdownOver is the cancellation cause of requests whose response has not begun at the end
// of a shutdown.
const errShutdownOver = errors.ConstError("shutdown over")

// minTimeOfRepeatable is the time left with which a plain idempotent request is taken on although
// its deadline passes after the end of the shutdown. Few take as long, and callers may repeat them.
const minTimeOfRepeatable = 2 * time.Second

// shutdown is the progress of a gateway's shutdown. It is safe for concurrent use.
type shutdown struct {
	phase    atomic.Int32
	end      atomic.Pointer[time.Time] // by which responses have to begin; nil before the shutdown
	over     context.Context           // done at end
	markOver context.CancelFunc
}

func newShutdown() *shutdown {
	s := &shutdown{}
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

// RefuseLate makes the gateway refuse new requests that might outlast the shutdown, and those
// that wait for room.
func (g *Gateway) RefuseLate() {
	g.shutdown.phase.Store(phaseRefuseLate)
	if g.cfg.Room != nil {
		g.cfg.Room.close()
	}
}

// RefuseAll makes the gateway refuse all new requests.
func (g *Gateway) RefuseAll() { g.shutdown.phase.Store(phaseRefuseAll) }

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
// this is one: no response is certain to come before the end.
func (e *exchange) mayOutlastShutdown() bool {
	s := e.gateway.shutdown
	if s.phase.Load() < phaseRefuseLate {
		return false
	}
	end := *s.end.Load()
	return e.deadline.After(end) && !(e.isPlainRepeatable() && time.Until(end) >= minTimeOfRepeatable)
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
