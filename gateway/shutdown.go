package gateway

import (
	"github.com/briarturn/briarturn/routetable"
)

// Phases of a shutdown, in order.
const (
	phaseServing       int32 = iota
	phaseDraining            // responses close their connections
	phaseRefuseStreams       // new streams are refused: they would not end in time
	phaseRefuseAll           // all new requests are refused: they would not end in time
)

// BeginShutdown begins a shutdown. From then on every response asks its caller to open a
// new connection, which the load balancer directs to another entry.
func (g *Gateway) BeginShutdown() { g.phase.Store(phaseDraining) }

// RefuseStreams makes the gateway refuse new streams, which might outlast the shutdown, and those
// that wait for room.
func (g *Gateway) RefuseStreams() {
	g.phase.Store(phaseRefuseStreams)
	if g.cfg.Room != nil {
		g.cfg.Room.close()
	}
}

// RefuseAll makes the gateway refuse all new requests.
func (g *Gateway) RefuseAll() { g.phase.Store(phaseRefuseAll) }

// ShuttingDown reports whether a shutdown has begun.
func (g *Gateway) ShuttingDown() bool { return g.phase.Load() >= phaseDraining }

// ActiveRequests returns how many requests are in progress.
func (g *Gateway) ActiveRequests() int64 { return g.activeRequests.Load() }

func (g *Gateway) refusesRoute(route *routetable.Route) bool {
	switch g.phase.Load() {
	case phaseRefuseStreams:
		return route.Kind == routetable.Stream
	case phaseRefuseAll:
		return true
	}
	return false
}
