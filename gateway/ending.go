package gateway

import (
	"github.com/briarturn/briarturn/routetable"
)

// Phases of a shutdown, in order.
const (
	phaseServing  int32 = iota
	phaseLeaving        // answers close their connections
	phaseNoStream       // streams that begin now would not end in time
	phaseClosed         // nothing that begins now would
)

// BeginShutdown begins a shutdown: every answer from now on asks its caller to open a new
// connection, which the balancer takes to another entry.
func (g *Gateway) BeginShutdown() { g.ending.Store(phaseLeaving) }

// RefuseStreams has new streams refused, which might outlast the shutdown.
func (g *Gateway) RefuseStreams() { g.ending.Store(phaseNoStream) }

// RefuseAll has every new request refused.
func (g *Gateway) RefuseAll() { g.ending.Store(phaseClosed) }

// ShuttingDown reports whether a shutdown has begun.
func (g *Gateway) ShuttingDown() bool { return g.ending.Load() >= phaseLeaving }

// ActiveRequests returns how many requests are in progress.
func (g *Gateway) ActiveRequests() int64 { return g.running.Load() }

func (g *Gateway) refusesNew(route *routetable.Route) bool {
	switch g.ending.Load() {
	case phaseNoStream:
		return route.Kind == routetable.Stream
	case phaseClosed:
		return true
	}
	return false
}
