package engine

import (
	"context"
	"syscall"

	"github.com/juju/errors"
)

// Liveness is the result of a probe.
type Liveness uint8

// Results of a probe.
const (
	// LivenessUnknown: there was no valid response in time. The engine hangs, is
	// paused or is unreachable, and may still run its requests.
	LivenessUnknown Liveness = iota
	// LivenessLive: the engine responds and is not known to have restarted.
	LivenessLive
	// LivenessDied: the engine refuses the connection, or has restarted with
	// another boot ID. Its requests are lost.
	LivenessDied
)

// Probe determines, after a stream broke, whether the engine died. bootID is
// that of an earlier Load, empty if unknown.
func (c *Client) Probe(ctx context.Context, bootID string) Liveness {
	// Idle connections to an engine that has restarted since would fail with an
	// error that looks like a network fault.
	c.transport.CloseIdleConnections()
	l, err := c.Load(ctx)
	if err == nil {
		return livenessOf(l, bootID)
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return LivenessDied
	}
	return LivenessUnknown
}

func livenessOf(l *Load, bootID string) Liveness {
	if bootID != "" && l.BootID != "" && l.BootID != bootID {
		return LivenessDied
	}
	return LivenessLive
}
